"""Tests of the package domain configuration."""
