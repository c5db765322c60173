"""Limits of each workspace across entries."""
