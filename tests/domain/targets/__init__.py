"""Tests of the package domain.targets."""
