"""The daemon of one entry."""

from __future__ import annotations


def main() -> int:
    """Run one entry until it is told to stop."""
    raise NotImplementedError
