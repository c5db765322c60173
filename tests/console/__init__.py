"""Tests of the package console."""
