"""Idempotent calls to plain services; these may be repeated freely."""

from __future__ import annotations

import collections
import contextlib
import typing

import attrs
import structlog

from thornspool.application import directory
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application import service_trials

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence
    import random

    from thornspool import clock
    from thornspool.domain.configuration import documents
    from thornspool.domain.targets import messages as target_messages

MAX_ATTEMPTS = 4
MARGIN = 2
"""Calls that a new call's first target may have more than its second."""

SLOTS_AHEAD = 0.25
"""The same as a part of what targets say that they run at once."""

RETRY_AFTER_MS = 1000

logger = structlog.get_logger()


@attrs.frozen
class CallAnswered:
    """A target gave a whole answer."""

    answer: ports.ServiceAnswer


@attrs.frozen
class CallFailed:
    """No target gave a whole answer in time.

    Attributes
    ----------
    reason : str
        What went wrong last.
    ran : bool
        Whether an attempt may have run on a target.
    retry_after_ms : int
        When to come back.
    """

    reason: str
    ran: bool
    retry_after_ms: int


CallResult = CallAnswered | CallFailed


class CallService:
    """Sends idempotent calls and repeats them on other targets.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    services : ports.Services
        Sends one call.
    targets : target_messages.TargetView
        Which targets may be given work.
    random_source : random.Random
        Breaks ties between targets.
    take_retry : callable
        Takes one retry from the budget of a service, by name; False when
        the budget is spent, so that retries can't amplify an outage.
    note_success : callable
        Tells the budget of a service of a success.
    note_failure : callable
        Tells of a target that failed, with the error.
    trials : service_trials.Trials, optional
        Keeps calls that crash targets from running.
    """

    def __init__(
        self,
        clock: clock.Clock,
        services: ports.Services,
        targets: target_messages.TargetView,
        random_source: random.Random,
        take_retry: Callable[[str], bool],
        note_success: Callable[[str], None],
        note_failure: Callable[[str, exceptions.TargetError], None],
        trials: service_trials.Trials | None = None,
    ) -> None:
        self._clock = clock
        self._services = services
        self._targets = targets
        self._random = random_source
        self._take_retry = take_retry
        self._note_success = note_success
        self._note_failure = note_failure
        self._trials = trials or service_trials.NoTrials()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._asked: collections.Counter[str] = collections.Counter()

    async def call(
        self,
        resolved: directory.ResolvedOperation,
        body: bytes,
        fingerprint: str = '',
    ) -> CallResult:
        """Call an operation until a target answers or the budget is spent.

        Parameters
        ----------
        resolved : directory.ResolvedOperation
            An idempotent operation.
        body : bytes
            Request body, JSON.
        fingerprint : str, optional
            Names what is asked.

        Returns
        -------
        CallAnswered or CallFailed
            The first whole answer, or the last failure.
        """
        deadline = self._clock.now() + resolved.operation.timeout_ms
        tried: set[str] = set()
        ran = False
        failed = CallFailed('No target is ready.', False, RETRY_AFTER_MS)
        name = resolved.service.name
        while len(tried) < MAX_ATTEMPTS and self._clock.now() < deadline:
            if tried and not self._take_retry(name):
                break
            try:
                target = await self._find_target(
                    resolved, fingerprint, tried, deadline
                )
            except service_trials.NoTarget:
                break
            except service_trials.Refused as refused:
                return CallFailed(refused.reason, ran, refused.retry_after_ms)
            tried.add(target.name)
            try:
                answer = await self._send(
                    target, resolved, body, fingerprint, deadline
                )
            except exceptions.TargetHeldBack as error:
                failed = CallFailed(error.message, ran, RETRY_AFTER_MS)
                continue
            except exceptions.TargetError as error:
                ran |= not isinstance(error, exceptions.TargetNotReached)
                failed = CallFailed(error.message, ran, RETRY_AFTER_MS)
                self._note_failure(target.name, error)
                logger.warning(
                    'call_failed', target=target.name, reason=error.message
                )
                continue
            self._note_success(name)
            return CallAnswered(answer)
        return failed

    async def _find_target(
        self,
        resolved: directory.ResolvedOperation,
        fingerprint: str,
        tried: set[str],
        deadline: int,
    ) -> documents.Target:
        """Find a target for the next attempt; a suspect waits for its own."""
        return await service_trials.find_target(
            self._trials,
            fingerprint,
            lambda busy: self._choose(
                resolved.targets, tried | busy, fingerprint
            ),
            self._clock,
            deadline,
        )

    def _choose(
        self,
        targets: tuple[documents.Target, ...],
        tried: set[str],
        fingerprint: str,
    ) -> documents.Target | None:
        """Choose the less loaded of two ready targets.

        They are drawn at random for a call that ran of late. For a new one
        all entries draw the same two, and the first of them is taken unless
        it has clearly more to do; and always beside the same call.
        """
        left = tuple(one for one in targets if one.name not in tried)
        ready = directory.list_ready(left, self._targets, self._random)
        drawn = service_trials.rank(self._trials, fingerprint, ready)[:2]
        is_new = not self._trials.is_proven(fingerprint)
        if len(drawn) < 2 or (is_new and self._asked[fingerprint]):
            return next(iter(drawn), None)
        first, second = (self._in_flight[one.name] for one in drawn)
        margin = self._read_margin(ready) if is_new else 0.0
        return drawn[0] if first <= second + margin else drawn[1]

    def _read_margin(self, ready: Sequence[documents.Target]) -> float:
        """Return by how many calls a target may be ahead of another.

        A few calls more make no queue at targets that say that they run
        many at once. Gone past for them, a call that crashes targets would
        cost one more. An entry polls some of the targets only; the others
        count like the mean of those.
        """
        reports = [self._targets.read_load(one.name) for one in ready]
        slots = [one.max_batch for one in reports if one is not None]
        if not slots:
            return MARGIN
        return max(MARGIN, SLOTS_AHEAD * sum(slots) / len(slots))

    async def _send(
        self,
        target: documents.Target,
        resolved: directory.ResolvedOperation,
        body: bytes,
        fingerprint: str,
        deadline: int,
    ) -> ports.ServiceAnswer:
        """Send one attempt and count it while it is in flight."""
        call = ports.ServiceCall(
            url=target.url,
            service=resolved.service.name,
            operation=resolved.operation.name,
            workspace=resolved.service.workspace,
            key='',
            fencing_token=0,
            body=body,
            timeout_ms=max(1, deadline - self._clock.now()),
            target=target.name,
            fingerprint=fingerprint,
        )
        with self._count(target.name, fingerprint):
            return await self._services.call(call)

    @contextlib.contextmanager
    def _count(self, target: str, fingerprint: str) -> Iterator[None]:
        """Count an attempt while it is in flight."""
        self._in_flight[target] += 1
        self._asked[fingerprint] += 1
        try:
            yield
        finally:
            self._in_flight[target] -= 1
            self._asked[fingerprint] -= 1
            # Unlike targets, requests are without number.
            if not self._asked[fingerprint]:
                del self._asked[fingerprint]
