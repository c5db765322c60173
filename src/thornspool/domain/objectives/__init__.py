"""Service-level objectives: what was kept, what was missed, how fast."""
