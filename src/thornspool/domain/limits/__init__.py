"""Limits of workspaces across entries, and concurrency of target groups."""
