"""Tests of ``thornspool.domain.routing``."""
