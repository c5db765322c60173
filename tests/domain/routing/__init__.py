"""Tests of the package domain routing."""
