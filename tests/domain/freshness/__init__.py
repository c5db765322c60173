"""Tests of the package domain freshness."""
