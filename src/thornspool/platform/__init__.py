"""Adapter for the deployment platform: settings, store, engines and callers.

Only this package uses the platform's names and formats. It converts them
into the project's types and contains no routing decisions.
"""
