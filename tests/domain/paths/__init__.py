"""Tests of the search for request paths."""
