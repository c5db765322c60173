"""How long an entry has owned a name.

The owner of a name stores its reservations. An entry that became the owner
only recently does not have those that the previous owner accepted.
"""

from __future__ import annotations

import attrs

from thornspool.domain.limits import ownership

SETTLE_MS = 5000
"""Time for which a new owner of a name refuses to reserve it.

It has no record of the reservations that its predecessor accepted, so it
waits for them to end.
"""


@attrs.frozen
class _Period:
    view: tuple[str, ...]
    since: int


class OwnershipHistory:
    """Membership views of the last `SETTLE_MS`, which determine ownership.

    Parameters
    ----------
    incarnation : str
        Incarnation of the local entry.
    now : int
        Monotonic milliseconds at which it started.
    """

    def __init__(self, incarnation: str, now: int) -> None:
        self._incarnation = incarnation
        self._periods = [_Period((), now)]

    @property
    def view(self) -> tuple[str, ...]:
        """Entries among which names are divided; empty before the first."""
        return self._periods[-1].view

    def record_view(self, view: tuple[str, ...], now: int) -> None:
        """Record the entries among which names are divided from now on."""
        if view == self.view:
            return
        self._drop_expired(now)
        self._periods.append(_Period(view, now))

    def has_settled(self, name: str, now: int) -> bool:
        """Return whether this entry has owned a name for `SETTLE_MS`.

        Only a name whose owner changed can have reservations that the new
        owner did not receive. If every change of the view counted, the
        loss of one entry would delay the trials of all names, and with
        them the streams whose stage died, in the middle of an outage.
        """
        if self.view == (self._incarnation,):
            return True
        self._drop_expired(now)
        return all(
            self._incarnation in period.view
            and ownership.find_owner(name, period.view) == self._incarnation
            for period in self._periods
        )

    def _drop_expired(self, now: int) -> None:
        """Drop views that were replaced at least `SETTLE_MS` ago."""
        while (
            len(self._periods) > 1
            and now - self._periods[1].since >= SETTLE_MS
        ):
            del self._periods[0]
