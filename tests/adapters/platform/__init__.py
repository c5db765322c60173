"""Tests of the package adapters platform."""
