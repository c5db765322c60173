"""Requests that ran to their end of late, so are not new."""

from __future__ import annotations

MAX_PROVEN = 4096


class ProvenRequests:
    """Fingerprints of which a target lately ran one to its end.

    Parameters
    ----------
    most : int, optional
        Most that are kept; the least recent are dropped.
    """

    def __init__(self, most: int = MAX_PROVEN) -> None:
        self._most = most
        self._kept: dict[str, None] = {}

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._kept

    def add(self, fingerprint: str) -> None:
        """Note that a target ran it and lives."""
        self._kept.pop(fingerprint, None)
        self._kept[fingerprint] = None
        if len(self._kept) > self._most:
            del self._kept[next(iter(self._kept))]

    def discard(self, fingerprint: str) -> None:
        """Note that a target died under it."""
        self._kept.pop(fingerprint, None)
