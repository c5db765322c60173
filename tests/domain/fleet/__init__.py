"""Tests of ``thornspool.domain.fleet``."""
