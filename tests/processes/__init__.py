"""Tests with entries and back ends as separate processes."""
