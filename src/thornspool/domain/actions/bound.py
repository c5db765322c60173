"""Keys that one process minted and nobody else may run.

While the platform is down no entry can get another's agreement. A key that
names one process as its only possible runner needs none: that process keeps
in memory what became of the key. When it is gone, nobody may run the key,
ever.
"""

from __future__ import annotations

import attrs

from thornspool.domain.actions import events
from thornspool.domain.actions import records
from thornspool.domain.actions import results

_STEP_MS = 10_000
"""Outcomes are looked through no more often than this."""


@attrs.frozen
class BoundSettings:
    """Bounds of bound keys.

    Attributes
    ----------
    max_age_ms : int
        How long after its time a bound key may be sent.
    max_kept : int
        Most outcomes in memory; past it no bound key is run.
    """

    max_age_ms: int = 900_000
    max_kept: int = 16_384


@attrs.frozen
class _Kept:
    """What became of a bound key."""

    time: int
    digest: str
    outcome: records.Outcome


class BoundKeys:
    """Outcomes of the bound keys of this process.

    Parameters
    ----------
    settings : BoundSettings
        Bounds.
    """

    def __init__(self, settings: BoundSettings) -> None:
        self._settings = settings
        self._horizon = 0
        self._kept: dict[str, _Kept] = {}

    @property
    def full(self) -> bool:
        """Whether no further outcome can be kept."""
        return len(self._kept) >= self._settings.max_kept

    def move_horizon(self, wall: int) -> None:
        """Forget outcomes of keys that are too old to be accepted.

        The horizon never moves back, also when the clock does. So a key
        whose outcome was forgotten lies behind it for good and can not run
        again; a clock that jumps ahead only ends keys early.
        """
        horizon = wall - self._settings.max_age_ms
        if horizon < self._horizon + _STEP_MS:
            return
        self._horizon = horizon
        self._kept = {
            name: kept
            for name, kept in self._kept.items()
            if kept.time >= horizon
        }

    def decide(
        self, event: events.ActionRequested
    ) -> results.ActionResult | None:
        """Return the result of a key that need not or may not run."""
        if event.bound_time < self._horizon:
            return results.ActionRefused(results.REFUSED_EXPIRED)
        kept = self._kept.get(event.name)
        if kept is None:
            return None
        if kept.digest != event.digest:
            return results.ActionRefused(results.REFUSED_REUSED)
        return self.look_up(event.name)

    def look_up(self, name: str) -> results.ActionResult:
        """Return what is known of a key."""
        kept = self._kept.get(name)
        if kept is None:
            return results.ActionUnknown(results.UNKNOWN_NO_RECORD, 0)
        if kept.outcome.known:
            return results.replay(kept.outcome)
        return results.ActionUnknown(results.UNKNOWN_ANSWER_LOST, 0)

    def keep(
        self, event: events.ActionRequested, outcome: records.Outcome
    ) -> None:
        """Keep the outcome of a key that has run or may have."""
        self._kept[event.name] = _Kept(
            event.bound_time, event.digest, records.trim_outcome(outcome)
        )
