"""Tests of the package domain.objectives."""
