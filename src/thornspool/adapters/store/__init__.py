"""Stores configuration and action outcomes in the platform's store."""
