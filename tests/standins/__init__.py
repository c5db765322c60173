"""Tests of the package standins."""
