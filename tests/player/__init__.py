"""A player of loads: entries and engines in virtual time, no network."""
