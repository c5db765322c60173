"""Tests of the package adapters operators."""
