"""Non-idempotent actions that run at most once."""
