"""Adapters: HTTP, peer messaging, engines, services and the store."""
