"""Configuration and outcomes of the own interface, in the platform's store."""
