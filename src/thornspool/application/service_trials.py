"""Trials of calls to plain services that may crash their targets."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.application import quarantine
from thornspool.application.generation import trials as generation_trials
from thornspool.domain.membership import rendezvous

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from thornspool import clock as clock_module
    from thornspool.application import ports
    from thornspool.domain.configuration import documents

CONDEMNED = 'This request crashed the targets that ran it.'
WAIT_EXPIRED = (
    'Targets crashed while they ran this request or others with it; '
    'it could not run separately from other such requests in time.'
)
RETRY_AFTER_MS = 1000
TRIAL_MS = quarantine.DEFAULT_TRIAL_MS
UPDATE_PROPAGATION_MS = 50
"""Time within which all entries receive the update on a crash, unless it is
lost."""

_MS_PER_S = 1000

logger = structlog.get_logger()


class Trials(generation_trials.Trials, typing.Protocol):
    """Port to the quarantine, for calls to plain services."""

    def may_send(self, fingerprint: str, target: str) -> bool:
        """Return whether a call may be sent to a target now."""
        ...

    def find_trial(self, fingerprint: str) -> object | None:
        """Return the current trial of a request; None if there is none."""
        ...

    def abandon_trial(self, fingerprint: str, trial: object) -> None:
        """End a trial that never started."""
        ...

    def record_completion(self, fingerprint: str) -> None:
        """Record that a target completed a request and is alive."""
        ...

    def has_completed_recently(self, fingerprint: str) -> bool:
        """Return whether a request recently completed through this entry."""
        ...

    def record_crash(self, target: str, fingerprints: tuple[str, ...]) -> None:
        """Record that a target crashed, and the requests in flight on it."""
        ...


class NoTrials(generation_trials.NoTrials):
    """Quarantine that lets every call run."""

    def may_send(self, fingerprint: str, target: str) -> bool:
        """Return that the call may be sent."""
        return True

    def find_trial(self, fingerprint: str) -> object | None:
        """Return that there is no trial."""
        return None

    def abandon_trial(self, fingerprint: str, trial: object) -> None:
        """Do nothing; there are no trials."""

    def record_completion(self, fingerprint: str) -> None:
        """Do nothing; completions are not recorded."""

    def has_completed_recently(self, fingerprint: str) -> bool:
        """Return that every request completed recently."""
        return True

    def record_crash(self, target: str, fingerprints: tuple[str, ...]) -> None:
        """Do nothing; crashes are not recorded."""


class NoTargetAvailable(Exception):
    """No target is available for the call."""


class Refused(Exception):
    """The call may not run now; nothing was sent.

    Parameters
    ----------
    reason : str
        Reason for the caller.
    retry_after_ms : int
        Delay before the caller should retry, in milliseconds.
    """

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


@attrs.frozen
class TargetPlan:
    """Plan of a call, which consists of one target."""

    target: documents.Target

    def list_targets(self) -> tuple[str, ...]:
        """Return the name of the target as the only one."""
        return (self.target.name,)


def rank_targets(
    trials: Trials, fingerprint: str, ready: tuple[documents.Target, ...]
) -> tuple[documents.Target, ...]:
    """Rank the targets to which a call may be sent.

    A call that crashes targets may arrive at several entries at the same
    time, before any of them has learned of a crash; each entry would then
    lose a target. A call that is new to this entry is therefore sent to the
    first target of a ranking that all entries compute alike, without any
    message, and costs one target only. Calls that completed recently may go
    to any target. Otherwise the same status read, sent many times a second,
    would use a single target of its service.

    Parameters
    ----------
    trials : Trials
        Quarantine, which records completed calls.
    fingerprint : str
        Hash of the content of the call.
    ready : tuple of documents.Target
        Ready targets in a random order.

    Returns
    -------
    tuple of documents.Target
        The same targets, in the order in which to use them.
    """
    if trials.has_completed_recently(fingerprint):
        return ready
    by_name = {target.name: target for target in ready}
    ranked = rendezvous.choose(fingerprint, by_name, len(by_name))
    return tuple(by_name[name] for name in ranked)


async def find_target(
    trials: Trials,
    fingerprint: str,
    choose: Callable[[frozenset[str]], documents.Target | None],
    clock: clock_module.Clock,
    deadline: int,
) -> documents.Target:
    """Find a target to which a call may be sent, or wait for one.

    Parameters
    ----------
    trials : Trials
        Quarantine, which records suspected calls.
    fingerprint : str
        Hash of the content of the call.
    choose : callable
        Takes names of targets and returns a target that is not among them,
        or None.
    clock : clock_module.Clock
        Source of time.
    deadline : int
        Monotonic milliseconds after which the wait ends.

    Returns
    -------
    documents.Target
        Target that the call may use; a suspected call has it reserved.

    Raises
    ------
    Refused
        The call is condemned, or no target was reserved for it in time.
    NoTarget
        No target is available.
    """

    def plan(busy: frozenset[str]) -> TargetPlan:
        target = choose(busy) or choose(frozenset())
        if target is None:
            raise NoTargetAvailable
        return TargetPlan(target)

    try:
        # An action may be sent just before the deadline and then run for
        # the same time again. The trial lasts beyond that, because an entry
        # that missed the update on a crash during the trial would try the
        # call once more.
        trial_ms = TRIAL_MS + max(0, deadline - clock.now())
        planned = await generation_trials.find_route(
            trials, fingerprint, plan, clock, deadline, trial_ms
        )
    except generation_trials.DeadlineExceeded:
        raise Refused(WAIT_EXPIRED, RETRY_AFTER_MS) from None
    if isinstance(planned, generation_trials.QuarantinedRequest):
        raise Refused(CONDEMNED, planned.retry_after_ms)
    return planned.target


@contextlib.asynccontextmanager
async def reserve_targets(
    trials: Trials,
    fingerprint: str,
    list_ready: Callable[[], tuple[documents.Target, ...]],
    clock: clock_module.Clock,
    deadline: int,
) -> AsyncIterator[tuple[documents.Target, ...]]:
    """Yield the targets that an action may use, before it requests a grant.

    An action that is not suspected gets all ready targets. A suspected one
    gets a single target, which is reserved for it.

    Raises
    ------
    Refused
        As in `find_target`.
    """

    def choose(busy: frozenset[str]) -> documents.Target | None:
        ready = tuple(one for one in list_ready() if one.name not in busy)
        return next(iter(rank_targets(trials, fingerprint, ready)), None)

    try:
        target = await find_target(
            trials, fingerprint, choose, clock, deadline
        )
    except NoTargetAvailable:
        yield ()
        return
    trial = trials.find_trial(fingerprint)
    if trial is None:
        others = tuple(one for one in list_ready() if one != target)
        yield (target, *rank_targets(trials, fingerprint, others))
        return
    try:
        yield (target,)
    finally:
        # A call that was sent ends its trial itself, possibly after its
        # caller cancelled. A call without a grant never starts its trial.
        trials.abandon_trial(fingerprint, trial)


class CrashDetectingServices:
    """Implements the port ``Services`` and reports crashes to quarantine.

    A target counts as crashed if the connection closes during a call and its
    host then refuses connections. Calls whose connection closed in this way
    become suspects. A timeout is not evidence of a crash.

    Parameters
    ----------
    services : ports.Services
        Sends one call.
    trials : Trials
        Quarantine, which allows calls and records how they end.
    is_refusing : coroutine function
        Returns whether connections to a URL are refused.
    record_failure : callable
        Called with the name of a crashed target and the reason.
    """

    def __init__(
        self,
        services: ports.Services,
        trials: Trials,
        is_refusing: Callable[[str], Awaitable[bool]],
        record_failure: Callable[[str, str], None],
    ) -> None:
        self._services = services
        self._trials = trials
        self._is_refusing = is_refusing
        self._record_failure = record_failure
        self._broken_calls: dict[str, set[str]] = {}
        self._crash_checks: dict[str, asyncio.Task[None]] = {}

    async def call(self, call: ports.ServiceCall) -> ports.ServiceResponse:
        """Call an operation once; never retries it.

        Raises
        ------
        exceptions.TargetCallBlocked
            A target crashed while running the same request after this one
            got its target; nothing was sent.
        exceptions.TargetError
            The call failed, as the port describes.
        """
        if not call.fingerprint:
            return await self._services.call(call)
        if not self._trials.may_send(call.fingerprint, call.target):
            raise exceptions.TargetCallBlocked(
                'A target crashed while it ran this request; it was not sent.',
                'Nothing ran; send the request again.',
            )
        on_trial = self._trials.record_start(call.fingerprint, call.target)
        succeeded = False
        try:
            response = await self._services.call(call)
            succeeded = True
        except exceptions.TargetConnectionBroken:
            # The crash is recorded before the trial ends; otherwise it would
            # not be attributed to the trial.
            await self._detect_crash(call)
            await self._wait_for_updates(call)
            raise
        except exceptions.TargetUnreachable:
            await self._wait_for_updates(call)
            raise
        finally:
            self._record_end(call, on_trial, succeeded)
        return response

    async def _wait_for_updates(self, call: ports.ServiceCall) -> None:
        """Wait before a new call that failed is sent to another target.

        The target may just have crashed, or be about to crash, because of
        the same call through another entry, whose update is in transit. If
        the call were retried at once, it would crash the next target.
        """
        is_new = not self._trials.has_completed_recently(call.fingerprint)
        if is_new and self._trials.may_send(call.fingerprint, call.target):
            await asyncio.sleep(UPDATE_PROPAGATION_MS / _MS_PER_S)

    def _record_end(
        self, call: ports.ServiceCall, on_trial: bool, succeeded: bool
    ) -> None:
        if on_trial:
            self._trials.record_end(call.fingerprint, call.target, succeeded)
        elif succeeded:
            self._trials.record_completion(call.fingerprint)

    async def _detect_crash(self, call: ports.ServiceCall) -> None:
        """Record a crash if the target of a broken call crashed.

        All calls in flight on a target break when it crashes. They share one
        check, so that the other entries receive one update and not one for
        each call.
        """
        self._broken_calls.setdefault(call.target, set()).add(call.fingerprint)
        task = self._crash_checks.get(call.target)
        if task is None:
            task = asyncio.create_task(self._check_crash(call))
            self._crash_checks[call.target] = task
        await asyncio.shield(task)

    async def _check_crash(self, call: ports.ServiceCall) -> None:
        try:
            has_crashed = await self._is_refusing(call.url)
        finally:
            fingerprints = self._broken_calls.pop(call.target)
            del self._crash_checks[call.target]
        if not has_crashed:
            return
        self._record_failure(call.target, 'The target refuses connections.')
        self._trials.record_crash(call.target, tuple(sorted(fingerprints)))
