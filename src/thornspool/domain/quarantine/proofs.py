"""Parts of prompts that ran well recently."""

from __future__ import annotations

MAX_PROVEN = 4096


class ProvenParts:
    """Parts of prompts with the times at which they last ran well.

    Parameters
    ----------
    capacity : int, optional
        Maximum number of parts; the least recently proven are evicted.
    """

    def __init__(self, capacity: int = MAX_PROVEN) -> None:
        self._capacity = capacity
        self._proven_at: dict[str, int] = {}

    def __contains__(self, part: str) -> bool:
        return part in self._proven_at

    def __len__(self) -> int:
        return len(self._proven_at)

    def record(self, part: str, now: int) -> None:
        """Record that a server ran a request with the part well."""
        self._proven_at.pop(part, None)
        self._proven_at[part] = now
        if len(self._proven_at) > self._capacity:
            del self._proven_at[next(iter(self._proven_at))]
