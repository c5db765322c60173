"""Tests of ``thornspool.domain.clients``."""
