"""Exclusive reservations of names, stored by the entry that owns each name.

If two entries each ran a suspect on the same target, both suspects would be
in flight when it dies, and the harmless one would be condemned with the
other. The owner of the target's name therefore reserves it for one of them
at a time.
"""

from __future__ import annotations

import attrs

MAX_RESERVATIONS = 10_000
MAX_TTL_MS = 600_000


@attrs.frozen
class _Reservation:
    holder: str
    expires_at: int


class Reservations:
    """Reservations of the names that this entry owns."""

    def __init__(self) -> None:
        self._by_name: dict[str, _Reservation] = {}

    def reserve(self, name: str, holder: str, ttl_ms: int, now: int) -> bool:
        """Reserve a name for a holder.

        Parameters
        ----------
        name : str
            Name to reserve.
        holder : str
            Incarnation of the entry that requests it; a holder may renew
            its own reservation.
        ttl_ms : int
            Lifetime of the reservation in milliseconds, limited to
            `MAX_TTL_MS`.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        bool
            False while another holder has the name, or when
            `MAX_RESERVATIONS` is reached.
        """
        existing = self._by_name.get(name)
        if (
            existing
            and existing.holder != holder
            and existing.expires_at > now
        ):
            return False
        if existing is None and not self._has_capacity(now):
            return False
        ttl_ms = min(ttl_ms, MAX_TTL_MS)
        self._by_name[name] = _Reservation(holder, now + ttl_ms)
        return True

    def release(self, name: str, holder: str) -> None:
        """Release a name if it is reserved for the holder."""
        existing = self._by_name.get(name)
        if existing and existing.holder == holder:
            del self._by_name[name]

    def _has_capacity(self, now: int) -> bool:
        if len(self._by_name) < MAX_RESERVATIONS:
            return True
        self._by_name = {
            name: reservation
            for name, reservation in self._by_name.items()
            if reservation.expires_at > now
        }
        return len(self._by_name) < MAX_RESERVATIONS
