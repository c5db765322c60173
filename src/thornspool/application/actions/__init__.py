"""Use cases of non-idempotent actions."""
