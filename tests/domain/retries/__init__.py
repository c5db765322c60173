"""Tests of ``thornspool.domain.retries``."""
