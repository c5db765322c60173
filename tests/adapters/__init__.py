"""Tests of the package adapters."""
