"""Randomized faults on real processes, checked from what callers see."""
