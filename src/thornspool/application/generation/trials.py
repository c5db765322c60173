"""Runs suspects of crashing targets apart from each other."""

from __future__ import annotations

import asyncio
import typing

import attrs

from thornspool.domain.quarantine import messages as quarantine_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module

POLL_MS = 100
"""Between two tries to get a suspect's targets for it alone."""

_MS_PER_S = 1000


class Trials(typing.Protocol):
    """Quarantine, as far as generation needs it."""

    def check(self, fingerprint: str) -> quarantine_messages.Verdict:
        """Say whether a request may run."""
        ...

    async def may_run_on_all(
        self, fingerprint: str, targets: tuple[str, ...], longest_ms: int
    ) -> bool:
        """Say whether a request may run on some targets now."""
        ...

    def start(self, fingerprint: str, target: str) -> bool:
        """Note that a request starts on a target; True if on trial."""
        ...

    def finish(self, fingerprint: str, target: str, succeeded: bool) -> None:
        """Note that a request ended on a target."""
        ...


class NoTrials:
    """Holds every request for harmless."""

    def check(self, fingerprint: str) -> quarantine_messages.Verdict:
        """Say that a request may run."""
        return quarantine_messages.Clear()

    async def may_run_on_all(
        self, fingerprint: str, targets: tuple[str, ...], longest_ms: int
    ) -> bool:
        """Say that a request may run."""
        return True

    def start(self, fingerprint: str, target: str) -> bool:
        """Say that the request is on no trial."""
        return False

    def finish(self, fingerprint: str, target: str, succeeded: bool) -> None:
        """Take note of nothing."""


@attrs.frozen
class Condemned:
    """The request crashed what ran it and may not run.

    Attributes
    ----------
    retry_after_ms : int
        When the verdict expires, in milliseconds.
    """

    retry_after_ms: int


class Placement(typing.Protocol):
    """Targets that a request would run on, as a route is."""

    def list_targets(self) -> tuple[str, ...]:
        """Return the names of the targets."""
        ...


Placed = typing.TypeVar('Placed', bound=Placement)


class TimeSpent(Exception):
    """The deadline came before the request's targets were free."""


async def find_route(
    trials: Trials,
    fingerprint: str,
    plan: Callable[[frozenset[str]], Placed],
    clock: clock_module.Clock,
    deadline: int,
    keep_ms: int = 0,
) -> Placed | Condemned:
    """Plan a route that a request may run on now, or wait for one.

    Parameters
    ----------
    trials : Trials
        Knows the suspects.
    fingerprint : str
        The request's.
    plan : callable
        Plans a route that avoids some targets if it can.
    clock : clock_module.Clock
        Source of time.
    deadline : int
        Monotonic milliseconds after which the wait ends.
    keep_ms : int, optional
        Least time for which the request and its targets are kept, for
        runs that may outlast the deadline.

    Returns
    -------
    Placement or Condemned
        What was planned; `finish` must follow for each target of it.

    Raises
    ------
    TimeSpent
        No route came free before the deadline.
    """
    verdict = trials.check(fingerprint)
    if isinstance(verdict, quarantine_messages.Clear):
        return plan(frozenset())
    left_ms = max(0, deadline - clock.now())
    try:
        async with asyncio.timeout(left_ms / _MS_PER_S):
            return await _wait_for_trial(
                trials, fingerprint, plan, clock, deadline, keep_ms
            )
    except TimeoutError as error:
        raise TimeSpent from error


async def _wait_for_trial(
    trials: Trials,
    fingerprint: str,
    plan: Callable[[frozenset[str]], Placed],
    clock: clock_module.Clock,
    deadline: int,
    keep_ms: int,
) -> Placed | Condemned:
    """Try until the request is alone on a route, or condemned."""
    busy: frozenset[str] = frozenset()
    while True:
        verdict = trials.check(fingerprint)
        if isinstance(verdict, quarantine_messages.Condemned):
            return Condemned(verdict.retry_after_ms)
        route = plan(busy)
        targets = route.list_targets()
        longest_ms = max(1, deadline - clock.now(), keep_ms)
        if await trials.may_run_on_all(fingerprint, targets, longest_ms):
            return route
        busy = frozenset(targets)
        await asyncio.sleep(POLL_MS / _MS_PER_S)
