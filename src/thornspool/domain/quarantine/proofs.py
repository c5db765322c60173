"""Parts of prompts that ran well recently."""

from __future__ import annotations

MAX_PROVEN = 4096


class ProvenParts:
    """Parts of prompts that ran well.

    Parameters
    ----------
    capacity : int, optional
        Maximum number of parts; the least recently proven are evicted.
    """

    def __init__(self, capacity: int = MAX_PROVEN) -> None:
        self._capacity = capacity
        self._parts: dict[str, None] = {}

    def __contains__(self, part: str) -> bool:
        return part in self._parts

    def __len__(self) -> int:
        return len(self._parts)

    def record(self, part: str) -> None:
        """Record that a target ran a request with the part well."""
        self._parts.pop(part, None)
        self._parts[part] = None
        if len(self._parts) > self._capacity:
            del self._parts[next(iter(self._parts))]
