"""Tests of ``thornspool.domain.entries``."""
