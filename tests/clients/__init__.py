"""Tests of clients that exceed limits, stall or flood an entry."""
