"""Tests of the package domain membership."""
