"""Quarantine of requests that crash the targets running them."""
