"""Tests of the package domain.quarantine."""
