"""Which entries are alive, from gossip."""
