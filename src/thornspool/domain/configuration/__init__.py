"""Rules of the versioned configuration: planning, encoding, checks."""
