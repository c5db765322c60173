"""Tests of the domain rules of the configuration."""
