"""Readiness and load of targets."""
