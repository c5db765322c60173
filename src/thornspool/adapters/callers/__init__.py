"""HTTP API of callers."""
