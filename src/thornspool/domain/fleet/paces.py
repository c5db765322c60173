"""How fast engines work against what their kind should do.

An engine that has turned slow answers everything, only late, so that no
failure shows it: callers notice by first events after a second in place of
60 ms. It says so itself when asked. Entries ask the engines of a path on
which a request is late, tell each other what they heard, and choose other
paths meanwhile.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import marks

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

VALID_MS = 4_000
"""Time for which a pace counts; engines are slow for 5 to 9 s, and one that
has recovered is used again within this."""

FRESH_MS = 1_000
"""Time for which an engine is not asked again; its own report lags 200 ms."""

SLOW = 1.5
"""Pace from which an engine counts as slow; others vary by some 10 in 100."""


@attrs.frozen
class Pace:
    """What is known of one engine.

    Attributes
    ----------
    factor : float
        Its times against the expected ones.
    at : int
        When it was heard.
    direct : bool
        Whether this entry or one of its own failure domain has asked it;
        what a collector passed on is not passed on again.
    """

    factor: float
    at: int
    direct: bool


@attrs.define
class Paces:
    """Paces of engines, by mark."""

    _known: dict[int, Pace] = attrs.field(factory=dict)

    def note(self, name: str, factor: float, now: int) -> None:
        """Note what an engine said of itself."""
        self._known[marks.compute_mark(name)] = Pace(factor, now, True)

    def note_told(
        self, told: dict[int, float], now: int, direct: bool
    ) -> None:
        """Note what a peer tells of slow engines."""
        for mark, factor in told.items():
            known = self._known.get(mark)
            if known is None or now - known.at > FRESH_MS:
                self._known[mark] = Pace(factor, now, direct)

    def get(self, name: str, now: int) -> float:
        """Return an engine's pace; 1 for one of which nothing is known."""
        known = self._known.get(marks.compute_mark(name))
        if known is None or now - known.at > VALID_MS:
            return 1.0
        return max(1.0, known.factor)

    def is_fresh(self, name: str, now: int, within_ms: int = FRESH_MS) -> bool:
        """Tell whether an engine's pace was heard a moment ago."""
        known = self._known.get(marks.compute_mark(name))
        return known is not None and now - known.at <= within_ms

    def select(self, names: Iterable[str], now: int) -> dict[str, float]:
        """Select the slow ones of some engines."""
        if not self._known:
            return {}
        paces = {name: self.get(name, now) for name in names}
        return {name: pace for name, pace in paces.items() if pace >= SLOW}

    def list_slow(self, now: int, direct_only: bool) -> dict[int, float]:
        """List the slow engines that were heard a moment ago, to be told."""
        return {
            mark: known.factor
            for mark, known in self._known.items()
            if known.factor >= SLOW
            and now - known.at <= FRESH_MS
            and (known.direct or not direct_only)
        }

    def forget_old(self, now: int) -> None:
        """Forget what no longer counts."""
        for mark, known in list(self._known.items()):
            if now - known.at > VALID_MS:
                del self._known[mark]
