"""Membership of entries, maintained by gossip."""
