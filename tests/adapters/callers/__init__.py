"""Tests of the package adapters callers."""
