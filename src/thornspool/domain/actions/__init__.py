"""Rules that run non-idempotent actions at most once."""
