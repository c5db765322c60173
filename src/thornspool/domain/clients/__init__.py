"""Limits on clients, and the memory and connections that they may use."""
