"""Tests of the package processes."""
