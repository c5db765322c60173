"""The users' platform: its settings, store, engines and callers.

The only package that knows the platform's names and formats. It decodes
them once into the project's types and decides nothing.
"""
