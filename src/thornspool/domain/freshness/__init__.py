"""Freshness of the local copy of the store."""
