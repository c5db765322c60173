"""Tests of the package domain."""
