"""Tests of the package domain paths."""
