"""Service-level objectives: event counts and error budget burn rates."""
