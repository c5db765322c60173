"""Paths of requests over the layer ranges that engines hold."""
