"""Engines, plain servers and models, with their health and load."""
