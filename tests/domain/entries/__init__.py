"""Tests of the package domain entries."""
