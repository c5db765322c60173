"""Tests of the package domain fleet."""
