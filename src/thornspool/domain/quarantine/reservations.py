"""Names kept for one holder at a time, by the entry that owns them.

Two suspects of two entries on one target would both be in flight when it
dies, and the innocent one would be condemned with the other. The owner of
the target's name lets one of them run there at a time.
"""

from __future__ import annotations

import attrs

MAX_RESERVATIONS = 10_000
LONGEST_TTL_MS = 600_000


@attrs.frozen
class _Reservation:
    holder: str
    expires_at: int


class Reservations:
    """Reservations that this entry keeps."""

    def __init__(self) -> None:
        self._kept: dict[str, _Reservation] = {}

    def reserve(self, name: str, holder: str, ttl_ms: int, now: int) -> bool:
        """Keep a name for a holder; False while another has it.

        Parameters
        ----------
        name : str
            What is to be kept.
        holder : str
            For whom; the same holder may ask again.
        ttl_ms : int
            For how long, in milliseconds.
        now : int
            Monotonic milliseconds.
        """
        kept = self._kept.get(name)
        if kept and kept.holder != holder and kept.expires_at > now:
            return False
        if kept is None and not self._has_room(now):
            return False
        ttl_ms = min(ttl_ms, LONGEST_TTL_MS)
        self._kept[name] = _Reservation(holder, now + ttl_ms)
        return True

    def release(self, name: str, holder: str) -> None:
        """Give a name back if the holder has it."""
        kept = self._kept.get(name)
        if kept and kept.holder == holder:
            del self._kept[name]

    def _has_room(self, now: int) -> bool:
        if len(self._kept) < MAX_RESERVATIONS:
            return True
        self._kept = {
            name: kept
            for name, kept in self._kept.items()
            if kept.expires_at > now
        }
        return len(self._kept) < MAX_RESERVATIONS
