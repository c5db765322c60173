"""Times for which servers want no requests of this entry.

A server that refuses a request may ask the entry that sent it for rest. The
other entries are not bound by it.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.define
class Rests:
    """Ends of the rests, in milliseconds of the clock, by server."""

    _ends: dict[str, int] = attrs.field(factory=dict)

    def record(self, name: str, rest_ms: int, now: int) -> bool:
        """Record that a server asks for rest.

        A shorter rest does not end a longer one that was requested before.

        Parameters
        ----------
        name : str
            The server.
        rest_ms : int
            Milliseconds for which it wants no request.
        now : int
            Milliseconds of the clock.

        Returns
        -------
        bool
            Whether the server was not at rest before.
        """
        was_resting = self.compute_remaining(name, now) > 0
        self._ends[name] = max(self._ends.get(name, 0), now + rest_ms)
        return not was_resting

    @property
    def is_any_requested(self) -> bool:
        """Whether there are rests that have not been removed yet."""
        return bool(self._ends)

    def compute_remaining(self, name: str, now: int) -> int:
        """Compute the milliseconds until a server accepts requests again."""
        if not self._ends:
            return 0
        return max(0, self._ends.get(name, 0) - now)

    def select(self, names: Iterable[str], now: int) -> dict[str, int]:
        """Return the remaining rests of some servers, in milliseconds."""
        if not self._ends:
            return {}
        remaining = {name: self.compute_remaining(name, now) for name in names}
        return {name: rest for name, rest in remaining.items() if rest > 0}

    def forget_old(self, now: int) -> None:
        """Remove the rests that have ended."""
        self._ends = {
            name: end for name, end in self._ends.items() if end > now
        }
