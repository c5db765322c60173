"""HTTP API of operators."""
