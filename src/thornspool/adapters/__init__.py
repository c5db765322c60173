"""Adapters: the edges that carry commands out."""
