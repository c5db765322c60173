"""Tests of the package adapters store."""
