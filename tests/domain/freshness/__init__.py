"""Tests of ``thornspool.domain.freshness``."""
