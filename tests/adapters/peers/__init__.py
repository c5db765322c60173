"""Tests of the package adapters peers."""
