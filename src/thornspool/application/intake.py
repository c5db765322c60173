"""Handling of callers' requests: lookup, admission, execution, metrics."""

from __future__ import annotations

import contextlib
import typing

import attrs

from thornspool.application import directory
from thornspool.application import observation
from thornspool.application import operations
from thornspool.application import requests
from thornspool.application import service_trials
from thornspool.application import timed_services
from thornspool.application.generation import attempts as generation_attempts
from thornspool.application.generation import messages as generation
from thornspool.domain.objectives import burn

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Iterator

    from thornspool import clock
    from thornspool import metrics
    from thornspool.application import calls as call_service
    from thornspool.application import objectives
    from thornspool.application.actions import service as action_service
    from thornspool.application.generation import service as generation_service
    from thornspool.domain.actions import results
    from thornspool.domain.configuration import documents

GENERATION = 'generation'
ISOLATED_RETRY_MS = 2000
DRAINING_RETRY_MS = 100
_ISOLATED = 'This entry can reach neither the platform nor any other entry.'
_DRAINING = 'This entry is shutting down; use another one.'


@attrs.frozen
class WorkEstimate:
    """What admission control needs to know of a request.

    Attributes
    ----------
    workspace : str
        Workspace whose limits apply.
    group : str
        Model or service whose targets would run the request.
    fingerprint : str
        Hash of the content of the request.
    deadline : int
        Monotonic milliseconds.
    tokens : int
        Maximum number of generated tokens; 0 for calls.
    kind : str
        Name shared by requests of similar duration: the model, or the
        service and its operation.
    """

    workspace: str
    group: str
    fingerprint: str
    deadline: int
    tokens: int
    kind: str


class AdmittedRequest(typing.Protocol):
    """An admitted request; its capacity must be released exactly once."""

    def record_first_token(self) -> None:
        """Record that the first token of a stream has arrived."""
        ...

    def finish(self, tokens: int, outcome: observation.Outcome) -> None:
        """Release the capacity and record the outcome of the request."""
        ...


@attrs.frozen
class AdmissionChecks:
    """Checks that decide whether a request is accepted.

    Attributes
    ----------
    admit : callable
        Returns the admitted request or raises ``RequestRefused``.
    is_accepting : callable
        Returns False while the entry drains.
    is_isolated : callable
        Returns True while neither the platform nor any peer responds.
    list_alternatives : callable
        Returns the URLs of entries to use instead.
    """

    admit: Callable[[WorkEstimate], AdmittedRequest]
    is_accepting: Callable[[], bool]
    is_isolated: Callable[[], bool]
    list_alternatives: Callable[[], tuple[str, ...]]


@attrs.frozen
class Runners:
    """The use cases that run requests.

    Attributes
    ----------
    actions, calls, generation
        Services for each kind of request.
    list_ready : callable
        Takes targets and returns those that accept new work.
    trials : service_trials.Trials
        Quarantine of calls that crash targets.
    """

    actions: action_service.ActionService
    calls: call_service.CallService
    generation: generation_service.GenerationService
    list_ready: Callable[
        [tuple[documents.Target, ...]], tuple[documents.Target, ...]
    ]
    trials: service_trials.Trials = attrs.field(
        factory=service_trials.NoTrials
    )


class Intake:
    """Accepts the requests of callers and runs them.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    snapshot : callable
        Returns the configuration in force.
    checks : AdmissionChecks
        Checks that decide whether a request is accepted.
    runners : Runners
        Services that run accepted requests.
    track : callable
        Returns a context manager that counts a request as in flight, so that
        a drain waits for it.
    metrics : metrics.Metrics
        Metrics of requests and tokens.
    objective_service : objectives.ObjectiveService
        Counts of requests that meet their objectives.
    """

    def __init__(
        self,
        clock: clock.Clock,
        snapshot: Callable[[], documents.Snapshot],
        checks: AdmissionChecks,
        runners: Runners,
        track: Callable[[], contextlib.AbstractContextManager[None]],
        metrics: metrics.Metrics,
        objective_service: objectives.ObjectiveService,
    ) -> None:
        self._clock = clock
        self._snapshot = snapshot
        self._checks = checks
        self._runners = runners
        self._operations = operations.OperationRunner(clock, runners)
        self._track = track
        self._metrics = metrics
        self._objectives = objective_service

    async def run_operation(
        self, request: requests.OperationRequest
    ) -> results.ActionResult:
        """Run an operation of a plain service.

        Parameters
        ----------
        request : requests.OperationRequest
            Operation to run, with its body.

        Returns
        -------
        results.ActionResult
            Result to return to the caller.

        Raises
        ------
        requests.RequestRefused
            The request was refused; nothing ran.
        exceptions.UnknownName
            The workspace, service or operation is not in force.
        """
        resolved = directory.find_operation(
            self._snapshot(),
            request.workspace,
            request.service,
            request.operation,
        )
        try:
            with self._admit_operation(request, resolved) as progress:
                result = await self._operations.run(request, resolved)
                progress.result = result
                return result
        except requests.RequestRefused as refused:
            if request.is_resent and not resolved.operation.idempotent:
                return operations.build_unknown_result(
                    refused.message, refused.retry_after_ms
                )
            raise

    def mint_key(self, workspace: str) -> str:
        """Create a key that only this process can run.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.

        Returns
        -------
        str
            Value of ``Idempotency-Key`` for one action sent to this entry.

        Raises
        ------
        requests.RequestRefused
            The entry would not run the key: it is draining or isolated.
        exceptions.UnknownName
            No such workspace is in force.
        """
        directory.find_workspace(self._snapshot(), workspace)
        self._check_accepting()
        return self._runners.actions.mint_key()

    async def look_up(self, workspace: str, key: str) -> results.ActionResult:
        """Return the outcome of an action; works while draining too."""
        directory.find_workspace(self._snapshot(), workspace)
        with self._track():
            return await self._runners.actions.look_up(workspace, key)

    async def stream(
        self, request: requests.ModelRequest
    ) -> AsyncIterator[generation.GenerationEvent]:
        """Generate text.

        Parameters
        ----------
        request : requests.ModelRequest
            Model, prompt and limits of the generation.

        Yields
        ------
        generation.GenerationEvent
            Tokens, followed by one ``Finished`` or ``Failed``.

        Raises
        ------
        requests.RequestRefused
            The request was refused; nothing ran.
        exceptions.UnknownName
            No such model is in force for the workspace.
        """
        directory.find_model(
            self._snapshot(), request.workspace, request.model
        )
        generation_request = generation.GenerationRequest(
            request_id=request.request_id,
            workspace=request.workspace,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.priority,
            deadline=self._clock.now() + request.timeout_ms,
            attachments=request.attachments,
        )
        estimate = WorkEstimate(
            request.workspace,
            request.model,
            generation_attempts.fingerprint_request(generation_request),
            generation_request.deadline,
            request.max_tokens,
            request.model,
        )
        token_timer = observation.TokenTimer(
            self._clock, self._metrics, self._objectives, request
        )
        with (
            self._admit(estimate, GENERATION) as progress,
            contextlib.closing(token_timer),
        ):
            events = self._runners.generation.stream(generation_request)
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    progress.add_tokens(token_timer.record_event(event))
                    progress.result = event
                    yield event

    @contextlib.contextmanager
    def _admit_operation(
        self,
        request: requests.OperationRequest,
        resolved: directory.ResolvedOperation,
    ) -> Iterator[observation.RequestProgress]:
        """Admit an operation and record its end."""
        estimate = WorkEstimate(
            request.workspace,
            request.service,
            operations.fingerprint_operation(request),
            self._clock.now() + resolved.operation.timeout_ms,
            0,
            timed_services.format_work_kind(
                request.service, request.operation
            ),
        )
        kind = 'call' if resolved.operation.idempotent else 'action'
        with self._admit(estimate, kind) as progress:
            yield progress

    @contextlib.contextmanager
    def _admit(
        self, estimate: WorkEstimate, kind: str
    ) -> Iterator[observation.RequestProgress]:
        """Admit or refuse a request, and record its end."""
        started_at = self._clock.now()
        try:
            self._check_accepting()
            admitted = self._checks.admit(estimate)
        except requests.RequestRefused as refused:
            self._metrics.count_event('request_refused')
            outcome = observation.Outcome.REFUSED
            if refused.exceeds_workspace_limit:
                outcome = observation.Outcome.LIMITED
            self._record_end(estimate, kind, outcome, started_at)
            raise
        progress = observation.RequestProgress(admitted.record_first_token)
        try:
            with self._track():
                yield progress
        finally:
            outcome = observation.classify_outcome(progress.result)
            admitted.finish(progress.tokens, outcome)
            self._record_end(estimate, kind, outcome, started_at)

    def _check_accepting(self) -> None:
        """Refuse new work while the entry is draining or isolated."""
        if not self._checks.is_accepting():
            raise requests.RequestRefused(
                _DRAINING, DRAINING_RETRY_MS, self._checks.list_alternatives()
            )
        if self._checks.is_isolated():
            raise requests.RequestRefused(_ISOLATED, ISOLATED_RETRY_MS)

    def _record_end(
        self,
        estimate: WorkEstimate,
        kind: str,
        outcome: observation.Outcome,
        started_at: int,
    ) -> None:
        """Record a request that ended in the metrics and objectives."""
        duration_ms = self._clock.now() - started_at
        self._metrics.count_request(
            kind, estimate.workspace, outcome.value, duration_ms
        )
        if outcome in observation.CALLER_CAUSED:
            return
        is_done = outcome is observation.Outcome.DONE
        self._objectives.record_outcome(
            estimate.workspace, estimate.group, is_done
        )
        if kind != GENERATION and is_done:
            self._objectives.record_time(
                estimate.workspace,
                estimate.group,
                burn.Indicator.LATENCY,
                duration_ms,
            )
