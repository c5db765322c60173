"""Calls to plain services that may crash the targets that run them."""

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
WAITED = (
    'Targets died under this request or beside it; '
    'it could not run apart from other such requests in time.'
)
RETRY_AFTER_MS = 1000
KEEP_MS = quarantine.DEFAULT_TRIAL_MS
NEWS_MS = 50
"""News of a death are everywhere within it, unless they are lost."""

_MS_PER_S = 1000

logger = structlog.get_logger()


class Trials(generation_trials.Trials, typing.Protocol):
    """Quarantine, as far as calls to plain services need it."""

    def may_send(self, fingerprint: str, target: str) -> bool:
        """Say whether a call may be sent to a target at this moment."""
        ...

    def find_trial(self, fingerprint: str) -> object | None:
        """Return the trial that is kept for a request."""
        ...

    def give_up(self, fingerprint: str, trial: object) -> None:
        """End a trial that never started."""
        ...

    def clear(self, fingerprint: str) -> None:
        """Note that a target ran a request to its end and lives."""
        ...

    def is_proven(self, fingerprint: str) -> bool:
        """Say whether a request lately ran to its end from here."""
        ...

    def note_death(self, target: str, fingerprints: tuple[str, ...]) -> None:
        """Note that a target died, and what was in flight on it."""
        ...


class NoTrials(generation_trials.NoTrials):
    """Holds every call for harmless."""

    def may_send(self, fingerprint: str, target: str) -> bool:
        """Say that a call may be sent."""
        return True

    def find_trial(self, fingerprint: str) -> object | None:
        """Say that there is none."""
        return None

    def give_up(self, fingerprint: str, trial: object) -> None:
        """Take note of nothing."""

    def clear(self, fingerprint: str) -> None:
        """Take note of nothing."""

    def is_proven(self, fingerprint: str) -> bool:
        """Say that every request is known."""
        return True

    def note_death(self, target: str, fingerprints: tuple[str, ...]) -> None:
        """Take note of nothing."""


class NoTarget(Exception):
    """No target may be given the call."""


class Refused(Exception):
    """The call may not run now; nothing of it was sent.

    Parameters
    ----------
    reason : str
        Why, for the caller.
    retry_after_ms : int
        When to come back.
    """

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


@attrs.frozen
class Place:
    """A target that a call may be sent to."""

    target: documents.Target

    def list_targets(self) -> tuple[str, ...]:
        """Return its name."""
        return (self.target.name,)


def rank(
    trials: Trials, fingerprint: str, ready: tuple[documents.Target, ...]
) -> tuple[documents.Target, ...]:
    """Rank the targets that a call may be sent to.

    A call that crashes targets may be sent through several entries at the
    same moment, before any of them can know of it, and each would lose a
    target. So a call that is new here goes to the target that all entries
    find first for it, without a message between them; it costs one target
    then. Calls that ran of late go anywhere, or the same status read, sent
    many times a second, would use one target of its service.

    Parameters
    ----------
    trials : Trials
        Knows which calls ran.
    fingerprint : str
        The call's.
    ready : tuple of documents.Target
        Targets in a random order.
    """
    if trials.is_proven(fingerprint):
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
    """Find a target that a call may be sent to, or wait for one.

    Parameters
    ----------
    trials : Trials
        Knows the suspects.
    fingerprint : str
        The call's.
    choose : callable
        Chooses a target that is not among the given names, if it can.
    clock : clock_module.Clock
        Source of time.
    deadline : int
        Monotonic milliseconds after which the wait ends.

    Raises
    ------
    Refused
        The call is condemned, or got no target for itself in time.
    NoTarget
        There is none to choose.
    """

    def plan(busy: frozenset[str]) -> Place:
        target = choose(busy) or choose(frozenset())
        if target is None:
            raise NoTarget
        return Place(target)

    try:
        # An action may be sent just before the deadline and take as long
        # again. Beyond that it is kept on, since an entry that missed the
        # news of a death under the trial would try the call once more.
        keep_ms = KEEP_MS + max(0, deadline - clock.now())
        place = await generation_trials.find_route(
            trials, fingerprint, plan, clock, deadline, keep_ms
        )
    except generation_trials.TimeSpent:
        raise Refused(WAITED, RETRY_AFTER_MS) from None
    if isinstance(place, generation_trials.Condemned):
        raise Refused(CONDEMNED, place.retry_after_ms)
    return place.target


@contextlib.asynccontextmanager
async def hold_targets(
    trials: Trials,
    fingerprint: str,
    list_ready: Callable[[], tuple[documents.Target, ...]],
    clock: clock_module.Clock,
    deadline: int,
) -> AsyncIterator[tuple[documents.Target, ...]]:
    """Give the targets that an action may use, before it asks for a grant.

    All that are ready to an action without suspicion; one, kept for it, to
    a suspect.

    Raises
    ------
    Refused
        As in `find_target`.
    """

    def choose(busy: frozenset[str]) -> documents.Target | None:
        ready = tuple(one for one in list_ready() if one.name not in busy)
        return next(iter(rank(trials, fingerprint, ready)), None)

    try:
        target = await find_target(
            trials, fingerprint, choose, clock, deadline
        )
    except NoTarget:
        yield ()
        return
    trial = trials.find_trial(fingerprint)
    if trial is None:
        others = tuple(one for one in list_ready() if one != target)
        yield (target, *rank(trials, fingerprint, others))
        return
    try:
        yield (target,)
    finally:
        # A call that was sent ends its trial itself, maybe after its caller
        # has gone; one that got no grant never starts it.
        trials.give_up(fingerprint, trial)


class WatchedServices:
    """Calls to plain services, of which quarantine is told.

    A target counts as dead if the connection ended under a call and the
    target's host then refuses connections. Calls whose connection ended so
    are suspects. No answer in time counts for nothing.

    Parameters
    ----------
    services : ports.Services
        Sends one call.
    trials : Trials
        Says whether a call may be sent, and is told of its end.
    is_refusing : coroutine function
        Tells whether connections to a URL are refused.
    note_failure : callable
        Told the name of a target that died, and why it is held for dead.
    """

    def __init__(
        self,
        services: ports.Services,
        trials: Trials,
        is_refusing: Callable[[str], Awaitable[bool]],
        note_failure: Callable[[str, str], None],
    ) -> None:
        self._services = services
        self._trials = trials
        self._is_refusing = is_refusing
        self._note_failure = note_failure
        self._broken: dict[str, set[str]] = {}
        self._judging: dict[str, asyncio.Task[None]] = {}

    async def call(self, call: ports.ServiceCall) -> ports.ServiceAnswer:
        """Call an operation once; never repeats it.

        Raises
        ------
        exceptions.TargetHeldBack
            A target died under this request since it was placed; nothing
            was sent.
        exceptions.TargetError
            As the services say.
        """
        if not call.fingerprint:
            return await self._services.call(call)
        if not self._trials.may_send(call.fingerprint, call.target):
            raise exceptions.TargetHeldBack(
                'A target died under this request; it was not sent again.',
                'Nothing was run; send the request again.',
            )
        on_trial = self._trials.start(call.fingerprint, call.target)
        succeeded = False
        try:
            answer = await self._services.call(
                attrs.evolve(call, alone=on_trial)
            )
            succeeded = True
        except exceptions.TargetConnectionBroken:
            # Told before the trial ends, or it would not count as its.
            await self._judge(call)
            await self._wait_for_news(call)
            raise
        except exceptions.TargetNotReached:
            await self._wait_for_news(call)
            raise
        finally:
            self._end(call, on_trial, succeeded)
        return answer

    async def _wait_for_news(self, call: ports.ServiceCall) -> None:
        """Wait before a new call that failed is sent elsewhere.

        The target may have died a moment ago, or be about to, under the
        same call of another entry, whose news is on its way; sent on at
        once, the call would cost the next target.
        """
        is_new = not self._trials.is_proven(call.fingerprint)
        if is_new and self._trials.may_send(call.fingerprint, call.target):
            await asyncio.sleep(NEWS_MS / _MS_PER_S)

    def _end(
        self, call: ports.ServiceCall, on_trial: bool, succeeded: bool
    ) -> None:
        if on_trial:
            self._trials.finish(call.fingerprint, call.target, succeeded)
        elif succeeded:
            self._trials.clear(call.fingerprint)

    async def _judge(self, call: ports.ServiceCall) -> None:
        """Tell of a death if the target of a broken call died.

        All calls on a target break with it. They share one judgement, so
        that the other entries are told once and not for each of them.
        """
        self._broken.setdefault(call.target, set()).add(call.fingerprint)
        task = self._judging.get(call.target)
        if task is None:
            task = asyncio.create_task(self._tell_death(call))
            self._judging[call.target] = task
        await asyncio.shield(task)

    async def _tell_death(self, call: ports.ServiceCall) -> None:
        try:
            is_dead = await self._is_refusing(call.url)
        finally:
            broken = self._broken.pop(call.target)
            del self._judging[call.target]
        if not is_dead:
            return
        self._note_failure(call.target, 'It refuses connections.')
        self._trials.note_death(call.target, tuple(sorted(broken)))
