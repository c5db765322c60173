"""Requests that recently completed on a target."""

from __future__ import annotations

MAX_COMPLETED = 4096


class CompletedRequests:
    """Fingerprints of requests that a target recently completed.

    Parameters
    ----------
    capacity : int, optional
        Maximum number of fingerprints; the least recent are evicted.
    """

    def __init__(self, capacity: int = MAX_COMPLETED) -> None:
        self._capacity = capacity
        self._fingerprints: dict[str, None] = {}

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._fingerprints

    def add(self, fingerprint: str) -> None:
        """Record that a target completed the request and still runs."""
        self._fingerprints.pop(fingerprint, None)
        self._fingerprints[fingerprint] = None
        if len(self._fingerprints) > self._capacity:
            del self._fingerprints[next(iter(self._fingerprints))]

    def discard(self, fingerprint: str) -> None:
        """Remove a request that was in flight on a target that died."""
        self._fingerprints.pop(fingerprint, None)
