"""Outlier ejection: engines that break runs while their health is good.

Answers the load in which some engines reset what they are sent. A lost answer
now and then says nothing of an engine that serves the rest, so an entry blames
one only while most of its own runs there break, and evidence of all entries is
counted together. An entry on whose own link everything breaks blames nobody.
"""

from __future__ import annotations

import collections
import typing

import attrs

from thornspool.domain.fleet import marks

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_MS = 1_000
"""Time within which breaks count together."""

LEAST_BREAKS = 2
"""Breaks within the window that eject an engine; one may be chance."""

FAULTY_SHARE = 0.5
"""Share of an entry's recent runs that an engine breaks, from which the entry
blames it."""

HALF_LIFE_MS = 2_000
"""Time after which a run counts half in that share."""

TELL_MS = 500
"""Time for which a break is told to peers, a little over a turn of news."""

REMEMBER_MS = 10_000
"""Time for which an engine counts as one that has broken runs."""

OWN_FAULT = 3
"""Engines in a row that break an entry's runs, from which it doubts its own
link."""

MAX_EJECTED_SHARE = 0.34
"""Share of a fleet that may be ejected; past it the rest would be
overloaded."""


@attrs.define
class Runs:
    """Recent runs of one engine, weighted by their age."""

    broken: float = 0.0
    sound: float = 0.0
    at: int = 0

    def note(self, broken: bool, now: int) -> None:
        """Note one run."""
        weight = 0.5 ** (max(0, now - self.at) / HALF_LIFE_MS)
        self.broken = self.broken * weight + broken
        self.sound = self.sound * weight + (not broken)
        self.at = now

    @property
    def share(self) -> float:
        """Share of them that the engine broke."""
        total = self.broken + self.sound
        return self.broken / total if total else 0.0


@attrs.define
class Outliers:
    """Runs that engines broke, by mark.

    Attributes
    ----------
    has_news : bool
        Whether this entry has seen a break since peers were told.
    """

    has_news: bool = False
    _breaks: dict[int, collections.deque[int]] = attrs.field(factory=dict)
    _own: dict[int, int] = attrs.field(factory=dict)
    _told: dict[tuple[str, int], int] = attrs.field(factory=dict)
    _in_a_row: set[int] = attrs.field(factory=set)
    _runs: dict[int, Runs] = attrs.field(factory=dict)

    def note_success(self, name: str, now: int) -> None:
        """Note that an engine has answered this entry."""
        self._in_a_row.clear()
        self._note_run(marks.compute_mark(name), False, now)

    def _note_run(self, mark: int, broken: bool, now: int) -> None:
        self._runs.setdefault(mark, Runs(at=now)).note(broken, now)

    def note_break(self, name: str, now: int) -> bool:
        """Note that an engine has broken a run of this entry.

        Returns
        -------
        bool
            Whether it counts; False when the own link may be at fault, or
            when the engine has served most runs of this entry.
        """
        mark = marks.compute_mark(name)
        self._in_a_row.add(mark)
        self._note_run(mark, True, now)
        if len(self._in_a_row) >= OWN_FAULT:
            return False
        if self._runs[mark].share < FAULTY_SHARE:
            return False
        self._record(mark, now)
        self._own[mark] = now
        self.has_news = True
        return True

    def note_told(self, host: str, told: Iterable[int], now: int) -> set[int]:
        """Note what a peer tells; the same break is told several times.

        Returns
        -------
        set of int
            Marks of engines of which this was new.
        """
        new = set()
        for mark in told:
            since = self._told.get((host, mark))
            if since is None or now - since > TELL_MS:
                self._told[host, mark] = now
                self._record(mark, now)
                new.add(mark)
        return new

    def _record(self, mark: int, now: int) -> None:
        times = self._breaks.setdefault(
            mark, collections.deque(maxlen=LEAST_BREAKS)
        )
        times.append(now)

    def is_outlier(self, mark: int, now: int) -> bool:
        """Tell whether an engine has broken enough runs to be ejected."""
        own = self._runs.get(mark)
        if own is not None and own.share < FAULTY_SHARE:
            return False
        times = self._breaks.get(mark)
        if times is None or len(times) < LEAST_BREAKS:
            return False
        return now - times[0] <= WINDOW_MS

    def has_broken(self, mark: int) -> bool:
        """Tell whether an engine has broken a run in the last seconds."""
        return mark in self._breaks

    def list_fresh(self, now: int) -> tuple[int, ...]:
        """List the engines whose breaks peers should hear of."""
        return tuple(
            mark for mark, at in self._own.items() if now - at <= TELL_MS
        )

    def forget_old(self, now: int) -> None:
        """Forget what no longer counts."""
        self._breaks = {
            mark: times
            for mark, times in self._breaks.items()
            if now - times[-1] <= REMEMBER_MS
        }
        self._runs = {
            mark: runs
            for mark, runs in self._runs.items()
            if now - runs.at <= REMEMBER_MS
        }
        self._own = _keep_recent(self._own, now)
        self._told = _keep_recent(self._told, now)


_Key = typing.TypeVar('_Key')


def _keep_recent(times: dict[_Key, int], now: int) -> dict[_Key, int]:
    return {key: at for key, at in times.items() if now - at <= TELL_MS}
