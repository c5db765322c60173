"""Runs requests suspected of crashing targets apart from each other."""

from __future__ import annotations

import asyncio
import typing

import attrs

from thornspool.domain.quarantine import messages as quarantine_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module

POLL_MS = 100
"""Interval between attempts to reserve targets for a suspect."""

_MS_PER_S = 1000


class Trials(typing.Protocol):
    """Port to the quarantine of requests that crash targets."""

    def check(self, fingerprint: str) -> quarantine_messages.Verdict:
        """Return whether a request may run."""
        ...

    async def reserve_run_on_all(
        self, fingerprint: str, targets: tuple[str, ...], longest_ms: int
    ) -> bool:
        """Return whether a request may run on all these targets now."""
        ...

    def record_start(self, fingerprint: str, target: str) -> bool:
        """Record the start of a request on a target; True if on trial."""
        ...

    def record_end(
        self, fingerprint: str, target: str, succeeded: bool
    ) -> None:
        """Record the end of a request on a target."""
        ...


class NoTrials:
    """Quarantine that lets every request run."""

    def check(self, fingerprint: str) -> quarantine_messages.Verdict:
        """Return that the request may run."""
        return quarantine_messages.Clear()

    async def reserve_run_on_all(
        self, fingerprint: str, targets: tuple[str, ...], longest_ms: int
    ) -> bool:
        """Return that the request may run."""
        return True

    def record_start(self, fingerprint: str, target: str) -> bool:
        """Return that the request is not on trial."""
        return False

    def record_end(
        self, fingerprint: str, target: str, succeeded: bool
    ) -> None:
        """Do nothing."""


@attrs.frozen
class QuarantinedRequest:
    """The request crashed the targets that ran it and may not run.

    Attributes
    ----------
    retry_after_ms : int
        Time until the quarantine expires, in milliseconds.
    """

    retry_after_ms: int


class Placement(typing.Protocol):
    """A set of targets that would run a request, such as a route."""

    def list_targets(self) -> tuple[str, ...]:
        """Return the names of the targets."""
        ...


Placed = typing.TypeVar('Placed', bound=Placement)


class DeadlineExceeded(Exception):
    """The deadline passed before the request's targets were available."""


async def find_route(
    trials: Trials,
    fingerprint: str,
    plan: Callable[[frozenset[str]], Placed],
    clock: clock_module.Clock,
    deadline: int,
    min_reservation_ms: int = 0,
) -> Placed | QuarantinedRequest:
    """Plan a route on which a request may run, and wait for it if needed.

    Parameters
    ----------
    trials : Trials
        Quarantine with the suspected requests.
    fingerprint : str
        Fingerprint of the request.
    plan : callable
        Plans a route that avoids the given targets if possible.
    clock : clock_module.Clock
        Source of time.
    deadline : int
        Monotonic milliseconds after which the wait ends.
    min_reservation_ms : int, optional
        Minimum time in milliseconds for which the targets are reserved,
        for runs that may continue after the deadline.

    Returns
    -------
    Placement or QuarantinedRequest
        The planned route, or the quarantine of the request. After a route,
        `record_end` must be called for each of its targets.

    Raises
    ------
    DeadlineExceeded
        No route became available before the deadline.
    """
    verdict = trials.check(fingerprint)
    if isinstance(verdict, quarantine_messages.Clear):
        return plan(frozenset())
    left_ms = max(0, deadline - clock.now())
    try:
        async with asyncio.timeout(left_ms / _MS_PER_S):
            return await _wait_for_trial(
                trials, fingerprint, plan, clock, deadline, min_reservation_ms
            )
    except TimeoutError as error:
        raise DeadlineExceeded from error


async def _wait_for_trial(
    trials: Trials,
    fingerprint: str,
    plan: Callable[[frozenset[str]], Placed],
    clock: clock_module.Clock,
    deadline: int,
    min_reservation_ms: int,
) -> Placed | QuarantinedRequest:
    """Retry until a route is reserved or the request is quarantined."""
    busy: frozenset[str] = frozenset()
    while True:
        verdict = trials.check(fingerprint)
        if isinstance(verdict, quarantine_messages.Condemned):
            return QuarantinedRequest(verdict.retry_after_ms)
        route = plan(busy)
        targets = route.list_targets()
        longest_ms = max(1, deadline - clock.now(), min_reservation_ms)
        if await trials.reserve_run_on_all(fingerprint, targets, longest_ms):
            return route
        busy = frozenset(targets)
        await asyncio.sleep(POLL_MS / _MS_PER_S)
