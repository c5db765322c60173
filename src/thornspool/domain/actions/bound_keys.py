"""Idempotency keys that are bound to the process that created them.

While the platform is down, entries can not use the ledger to agree on who
runs a key. A bound key names one process as its only possible runner and
needs no agreement: that process keeps the outcome of the key in memory. Once
the process has ended, the key can never run.
"""

from __future__ import annotations

import attrs

from thornspool.domain.actions import events
from thornspool.domain.actions import records
from thornspool.domain.actions import results

_HORIZON_STEP_MS = 10_000
"""Step of the expiry horizon.

Each step scans all outcomes, so the horizon does not move with each call.
"""


@attrs.frozen
class BoundSettings:
    """Limits of bound keys.

    Attributes
    ----------
    max_age_ms : int
        Age in milliseconds up to which a bound key is accepted.
    max_outcomes : int
        Maximum number of outcomes in memory; at this number no further
        bound key is run.
    """

    max_age_ms: int = 900_000
    max_outcomes: int = 16_384


@attrs.frozen
class _BoundOutcome:
    """The outcome of a bound key with the time and digest of its request."""

    time: int
    digest: str
    outcome: records.Outcome


class BoundKeys:
    """Outcomes of the bound keys of this process.

    Parameters
    ----------
    settings : BoundSettings
        Limits.
    """

    def __init__(self, settings: BoundSettings) -> None:
        self._settings = settings
        self._horizon = 0
        self._outcomes: dict[str, _BoundOutcome] = {}

    @property
    def full(self) -> bool:
        """Whether no further outcome can be stored."""
        return len(self._outcomes) >= self._settings.max_outcomes

    def move_horizon(self, wall: int) -> None:
        """Drop the outcomes of keys that are too old to be accepted.

        The horizon never moves back, even when the wall clock does. A key
        whose outcome was dropped therefore stays behind the horizon and can
        not run again; a clock that jumps ahead only expires keys early.

        Parameters
        ----------
        wall : int
            Milliseconds since the Unix epoch.
        """
        history_base_version = wall - self._settings.max_age_ms
        if history_base_version < self._horizon + _HORIZON_STEP_MS:
            return
        self._horizon = history_base_version
        self._outcomes = {
            name: stored
            for name, stored in self._outcomes.items()
            if stored.time >= history_base_version
        }

    def decide(
        self, event: events.ActionRequested
    ) -> results.ActionResult | None:
        """Return the result of a key that must not run, or None to run it."""
        if event.bound_time < self._horizon:
            return results.ActionRefused(results.REFUSED_EXPIRED)
        stored = self._outcomes.get(event.name)
        if stored is None:
            return None
        if stored.digest != event.digest:
            return results.ActionRefused(results.REFUSED_REUSED)
        return self.look_up(event.name)

    def look_up(self, name: str) -> results.ActionResult:
        """Return the recorded result of a key."""
        stored = self._outcomes.get(name)
        if stored is None:
            return results.ActionUnknown(results.UNKNOWN_NO_RECORD, 0)
        if stored.outcome.known:
            return results.replay(stored.outcome)
        return results.ActionUnknown(results.UNKNOWN_ANSWER_LOST, 0)

    def record_outcome(
        self, event: events.ActionRequested, outcome: records.Outcome
    ) -> None:
        """Store the outcome of a key that ran or may have run."""
        self._outcomes[event.name] = _BoundOutcome(
            event.bound_time, event.digest, records.trim_outcome(outcome)
        )
