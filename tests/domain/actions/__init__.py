"""Tests of the package domain actions."""
