"""Simulation of entries and engines under load in virtual time."""
