"""Tests of the package domain retries."""
