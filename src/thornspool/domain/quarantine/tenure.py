"""Whether an entry has owned a name for long enough to know who holds it."""

from __future__ import annotations

import attrs

from thornspool.domain.limits import ownership

SETTLE_MS = 5000
"""A new owner keeps nothing until reservations it cannot know of ended."""


@attrs.frozen
class _Period:
    view: tuple[str, ...]
    since: int


class Tenure:
    """The views of the last `SETTLE_MS`, and who owned what in them.

    Parameters
    ----------
    incarnation : str
        This entry's own.
    now : int
        Monotonic milliseconds of its start.
    """

    def __init__(self, incarnation: str, now: int) -> None:
        self._incarnation = incarnation
        self._periods = [_Period((), now)]

    @property
    def view(self) -> tuple[str, ...]:
        """The entries that share the names now; empty before the first."""
        return self._periods[-1].view

    def note_view(self, view: tuple[str, ...], now: int) -> None:
        """Take in which entries share the names."""
        if view == self.view:
            return
        self._drop_old(now)
        self._periods.append(_Period(view, now))

    def has_settled(self, name: str, now: int) -> bool:
        """Say whether this entry owns a name and did for `SETTLE_MS`.

        Were any change of the view to count, the loss of one entry would
        hold up trials of all names, and with them streams whose stage died,
        just when much has failed. Only the names that changed their owner
        have reservations that the new one has not heard of.
        """
        if self.view == (self._incarnation,):
            return True
        self._drop_old(now)
        return all(
            self._incarnation in period.view
            and ownership.find_owner(name, period.view) == self._incarnation
            for period in self._periods
        )

    def _drop_old(self, now: int) -> None:
        """Drop views that others replaced before the time that counts."""
        while (
            len(self._periods) > 1
            and now - self._periods[1].since >= SETTLE_MS
        ):
            del self._periods[0]
