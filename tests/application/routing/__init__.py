"""Tests of the package application routing."""
