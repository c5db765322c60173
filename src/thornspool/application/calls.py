"""Idempotent calls to plain services, which may be retried freely."""

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
MIN_IN_FLIGHT_MARGIN = 2
"""Minimum of the margin by which the in-flight calls of the first target of a
new call may exceed those of the second target."""

MARGIN_PER_BATCH_SLOT = 0.25
"""The same margin, as a fraction of the mean of the reported batch sizes."""

RETRY_AFTER_MS = 1000

logger = structlog.get_logger()


@attrs.frozen
class CallAnswered:
    """A target returned a complete response."""

    response: ports.ServiceResponse


@attrs.frozen
class CallFailed:
    """No target returned a complete response in time.

    Attributes
    ----------
    reason : str
        Reason of the last failure.
    may_have_run : bool
        Whether an attempt may have run on a target.
    retry_after_ms : int
        Delay before the caller should retry, in milliseconds.
    """

    reason: str
    may_have_run: bool
    retry_after_ms: int


CallResult = CallAnswered | CallFailed


class CallService:
    """Sends idempotent calls and retries them on other targets.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    services : ports.Services
        Sends one call.
    targets : target_messages.TargetView
        Readiness and load of the targets.
    random_source : random.Random
        Orders targets randomly.
    acquire_retry : callable
        Takes the name of a service and acquires one retry from its budget.
        Returns False when the budget is spent, so that retries can't amplify
        an outage.
    record_success : callable
        Takes the name of a service and credits its retry budget.
    record_failure : callable
        Takes the name of a target that failed and the error.
    trials : service_trials.Trials, optional
        Quarantine of calls that crash targets.
    """

    def __init__(
        self,
        clock: clock.Clock,
        services: ports.Services,
        targets: target_messages.TargetView,
        random_source: random.Random,
        acquire_retry: Callable[[str], bool],
        record_success: Callable[[str], None],
        record_failure: Callable[[str, exceptions.TargetError], None],
        trials: service_trials.Trials | None = None,
    ) -> None:
        self._clock = clock
        self._services = services
        self._targets = targets
        self._random = random_source
        self._acquire_retry = acquire_retry
        self._record_success = record_success
        self._record_failure = record_failure
        self._trials = trials or service_trials.NoTrials()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._in_flight_by_fingerprint: collections.Counter[str] = (
            collections.Counter()
        )

    async def call(
        self,
        resolved: directory.ResolvedOperation,
        body: bytes,
        fingerprint: str = '',
    ) -> CallResult:
        """Call an operation until a target responds or no attempt is left.

        Parameters
        ----------
        resolved : directory.ResolvedOperation
            An idempotent operation.
        body : bytes
            JSON body of the request.
        fingerprint : str, optional
            Hash of the content of the request.

        Returns
        -------
        CallAnswered or CallFailed
            The first complete response, or the last failure.
        """
        deadline = self._clock.now() + resolved.operation.timeout_ms
        tried_targets: set[str] = set()
        may_have_run = False
        failure = CallFailed('No target is ready.', False, RETRY_AFTER_MS)
        name = resolved.service.name
        while (
            len(tried_targets) < MAX_ATTEMPTS and self._clock.now() < deadline
        ):
            if tried_targets and not self._acquire_retry(name):
                break
            try:
                target = await self._wait_for_target(
                    resolved, fingerprint, tried_targets, deadline
                )
            except service_trials.NoTargetAvailable:
                break
            except service_trials.Refused as refused:
                return CallFailed(
                    refused.reason, may_have_run, refused.retry_after_ms
                )
            tried_targets.add(target.name)
            try:
                response = await self._send(
                    target, resolved, body, fingerprint, deadline
                )
            except exceptions.TargetCallBlocked as error:
                failure = CallFailed(
                    error.message, may_have_run, RETRY_AFTER_MS
                )
                continue
            except exceptions.TargetError as error:
                may_have_run |= not isinstance(
                    error, exceptions.TargetUnreachable
                )
                failure = CallFailed(
                    error.message, may_have_run, RETRY_AFTER_MS
                )
                self._record_failure(target.name, error)
                logger.warning(
                    'call_failed', target=target.name, reason=error.message
                )
                continue
            self._record_success(name)
            return CallAnswered(response)
        return failure

    async def _wait_for_target(
        self,
        resolved: directory.ResolvedOperation,
        fingerprint: str,
        tried_targets: set[str],
        deadline: int,
    ) -> documents.Target:
        """Find a target for the next attempt.

        A suspected call waits until a target is reserved for it.
        """
        return await service_trials.find_target(
            self._trials,
            fingerprint,
            lambda busy: self._choose_target(
                resolved.targets, tried_targets | busy, fingerprint
            ),
            self._clock,
            deadline,
        )

    def _choose_target(
        self,
        targets: tuple[documents.Target, ...],
        tried_targets: set[str],
        fingerprint: str,
    ) -> documents.Target | None:
        """Choose the less loaded of two ready targets.

        For a call that completed recently the two are random. For a new call
        all entries consider the same two. The first is chosen unless it has
        more calls in flight by a margin, and always while the same call is
        in flight.
        """
        untried = tuple(
            one for one in targets if one.name not in tried_targets
        )
        ready = directory.list_ready(untried, self._targets, self._random)
        candidates = service_trials.rank_targets(
            self._trials, fingerprint, ready
        )[:2]
        is_new = not self._trials.has_completed_recently(fingerprint)
        if len(candidates) < 2 or (
            is_new and self._in_flight_by_fingerprint[fingerprint]
        ):
            return next(iter(candidates), None)
        first, second = (self._in_flight[one.name] for one in candidates)
        margin = self._compute_margin(ready) if is_new else 0.0
        return candidates[0] if first <= second + margin else candidates[1]

    def _compute_margin(self, ready: Sequence[documents.Target]) -> float:
        """Return by how many calls the first target may exceed the second.

        A few more calls cause no queue at targets that report large batches.
        If they sent a call to the second target, a call that crashes targets
        would cost one more of them. An entry polls only some of the targets;
        the others are assumed to have their mean batch size.
        """
        reports = [self._targets.read_load(one.name) for one in ready]
        batch_sizes = [one.max_batch for one in reports if one is not None]
        if not batch_sizes:
            return MIN_IN_FLIGHT_MARGIN
        return max(
            MIN_IN_FLIGHT_MARGIN,
            MARGIN_PER_BATCH_SLOT * sum(batch_sizes) / len(batch_sizes),
        )

    async def _send(
        self,
        target: documents.Target,
        resolved: directory.ResolvedOperation,
        body: bytes,
        fingerprint: str,
        deadline: int,
    ) -> ports.ServiceResponse:
        """Send one attempt."""
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
        with self._track_in_flight(target.name, fingerprint):
            return await self._services.call(call)

    @contextlib.contextmanager
    def _track_in_flight(
        self, target: str, fingerprint: str
    ) -> Iterator[None]:
        """Count an attempt while it is in flight."""
        self._in_flight[target] += 1
        self._in_flight_by_fingerprint[fingerprint] += 1
        try:
            yield
        finally:
            self._in_flight[target] -= 1
            self._in_flight_by_fingerprint[fingerprint] -= 1
            # The number of distinct requests is unbounded, unlike that of
            # targets.
            if not self._in_flight_by_fingerprint[fingerprint]:
                del self._in_flight_by_fingerprint[fingerprint]
