"""Tests of the use cases."""
