"""Engines that have just refused work, and how long they are left out.

An engine refuses when it is short of memory, gives up layers, leaves or is
gone, and the list of servers shows it late or not at all. Each refused request
costs a repeat of those that all entries share. So all entries leave such an
engine out at once, and try it again after a while that grows.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import marks

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_MS = 300
"""Time for which an engine is left out at first; a stream that frees its
memory ends there every some 100 ms."""

MAX_MS = 1_500
"""Longest time, which three refusals in a row lead to."""

MAX_EJECTED_MS = 5_000
"""Longest time for an engine that breaks runs; unlike one that is full it
does not recover by being left alone."""

EJECTED_SPREAD = 4.0
"""Times of the usual difference in patience for engines that break runs: each
entry that tries one at the same moment loses a run."""

TELL_MS = 500
"""Time for which a refusal is told to peers, a little over a turn of news."""

MOST_PATIENCE = 1.5
"""Largest difference between entries in the time of leaving out: 150 ms of
the first 300, in which news of a refusal reach the failure domain."""


@attrs.frozen
class Refusal:
    """How long an engine is left out.

    Attributes
    ----------
    since, until : int
        When it was last left out, and until when.
    length_ms : int
        Time of that without this entry's patience.
    direct : bool
        Whether it refused this entry or one of its failure domain.
    """

    since: int
    until: int
    length_ms: int
    direct: bool


@attrs.define
class Refusals:
    """Engines that are left out, by mark.

    Attributes
    ----------
    patience : float
        Factor from 1 to ``MOST_PATIENCE`` of the time for which this entry
        leaves engines out. Entries differ in it: the first one that tries an
        engine again tells the others before they do.
    has_news : bool
        Whether an engine has refused this entry since peers were told.
    """

    patience: float = 1.0
    has_news: bool = False
    _known: dict[int, Refusal] = attrs.field(factory=dict)

    def note(self, name: str, now: int, longest_ms: int = MAX_MS) -> bool:
        """Note a refusal; tells whether the engine was not left out yet."""
        mark = marks.compute_mark(name)
        known = self._known.get(mark)
        if known is not None and now < known.until:
            # Sent before the first refusal had come.
            return False
        self._leave_out(mark, now, True, longest_ms)
        self.has_news = True
        return True

    def is_on_trial(self, name: str, now: int) -> bool:
        """Tell whether an engine was left out until a moment ago."""
        known = self._known.get(marks.compute_mark(name))
        return known is not None and _is_on_trial(known, now)

    def count_left_out(self, now: int) -> int:
        """Count the engines that are left out now."""
        return sum(now < known.until for known in self._known.values())

    def _leave_out(
        self, mark: int, now: int, direct: bool, longest_ms: int
    ) -> None:
        """Leave an engine out, twice as long when it was just tried again."""
        known = self._known.get(mark)
        length = FIRST_MS
        if known is not None and _is_on_trial(known, now):
            length = min(longest_ms, 2 * known.length_ms)
        patience = self.patience
        if longest_ms > MAX_MS:
            patience = 1.0 + EJECTED_SPREAD * (patience - 1.0)
        until = now + round(length * patience)
        self._known[mark] = Refusal(now, until, length, direct)

    def note_told(
        self,
        told: Iterable[int],
        now: int,
        direct: bool,
        longest_ms: int = MAX_MS,
    ) -> None:
        """Note what peers tell, so that few entries try an engine again."""
        for mark in told:
            known = self._known.get(mark)
            is_same = known is not None and now - known.since <= TELL_MS
            if known is None or (now >= known.until and not is_same):
                self._leave_out(mark, now, direct, longest_ms)

    def is_refusing(self, name: str, now: int) -> bool:
        """Tell whether an engine is left out now."""
        known = self._known.get(marks.compute_mark(name))
        return known is not None and now < known.until

    def select(self, names: Iterable[str], now: int) -> set[str]:
        """Select the engines that are left out now."""
        if not self._known:
            return set()
        return {name for name in names if self.is_refusing(name, now)}

    def list_fresh(self, now: int, direct_only: bool) -> tuple[int, ...]:
        """List the marks that peers should hear of."""
        return tuple(
            mark
            for mark, known in self._known.items()
            if now - known.since <= TELL_MS
            and (known.direct or not direct_only)
        )

    def forget_old(self, now: int) -> None:
        """Forget engines that have not refused for a while."""
        for mark, known in list(self._known.items()):
            if now - known.until > max(MAX_MS, known.length_ms):
                del self._known[mark]


def _is_on_trial(known: Refusal, now: int) -> bool:
    return 0 <= now - known.until < known.length_ms
