"""Entries of the platform: membership, leadership and state updates."""
