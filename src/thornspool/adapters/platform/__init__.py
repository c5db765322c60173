"""Clients of the platform."""
