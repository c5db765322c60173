"""Tests of the package domain.limits."""
