"""Tests of the placement of layer ranges on engines."""
