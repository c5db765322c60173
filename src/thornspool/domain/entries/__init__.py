"""Entries on the platform: who serves, who leads, what they tell."""
