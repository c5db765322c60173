"""Tests of the package domain placement."""
