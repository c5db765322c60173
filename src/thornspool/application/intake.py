"""The way of every caller's request: looked up, admitted, run, counted."""

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
_ISOLATED = 'This entry reaches neither the platform nor any other entry.'
_DRAINING = 'This entry is leaving; use another one.'


@attrs.frozen
class Work:
    """What admission weighs.

    Attributes
    ----------
    workspace : str
        Whose limits count.
    group : str
        Model or service whose targets would run it.
    fingerprint : str
        Names the content of the request.
    deadline : int
        Monotonic milliseconds.
    tokens : int
        Most tokens that it may generate; 0 for calls.
    kind : str
        Names work that takes about as long: the model, or the operation
        within its service.
    """

    workspace: str
    group: str
    fingerprint: str
    deadline: int
    tokens: int
    kind: str


class Ticket(typing.Protocol):
    """A place among the admitted; it has to be given back once."""

    def note_first_token(self) -> None:
        """Tell that the first token of a stream has come."""
        ...

    def finish(self, tokens: int, outcome: observation.Outcome) -> None:
        """Give the place back and tell what became of the request."""
        ...


@attrs.frozen
class Gates:
    """What decides whether a request is taken.

    Attributes
    ----------
    admit : callable
        Returns a ticket or raises ``RequestRefused``.
    is_accepting : callable
        False while the entry drains.
    is_isolated : callable
        True while neither platform nor peers answer.
    list_instead : callable
        URLs of entries to use instead.
    """

    admit: Callable[[Work], Ticket]
    is_accepting: Callable[[], bool]
    is_isolated: Callable[[], bool]
    list_instead: Callable[[], tuple[str, ...]]


@attrs.frozen
class Runners:
    """The use cases that run requests.

    Attributes
    ----------
    actions, calls, generation
        One for each kind of request.
    list_ready : callable
        Returns those of some targets that may be given new work.
    trials : service_trials.Trials
        Keeps calls that crash targets from running.
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
    """Takes the requests of callers.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    snapshot : callable
        Returns the configuration in force.
    gates : Gates
        Decide whether a request is taken.
    runners : Runners
        Run what was taken.
    track : callable
        Context manager that counts a request as in flight, so that a drain
        waits for it.
    metrics : metrics.Metrics
        Counts requests.
    objective_service : objectives.ObjectiveService
        Compares requests with their objectives.
    """

    def __init__(
        self,
        clock: clock.Clock,
        snapshot: Callable[[], documents.Snapshot],
        gates: Gates,
        runners: Runners,
        track: Callable[[], contextlib.AbstractContextManager[None]],
        metrics: metrics.Metrics,
        objective_service: objectives.ObjectiveService,
    ) -> None:
        self._clock = clock
        self._snapshot = snapshot
        self._gates = gates
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
            What to run.

        Returns
        -------
        results.ActionResult
            What the caller is told.

        Raises
        ------
        requests.RequestRefused
            The request was not taken; nothing ran.
        exceptions.UnknownName
            Nothing of that name is in force for the workspace.
        """
        resolved = directory.find_operation(
            self._snapshot(),
            request.workspace,
            request.service,
            request.operation,
        )
        try:
            with self._admit_operation(request, resolved) as run:
                result = await self._operations.run(request, resolved)
                run.result = result
                return result
        except requests.RequestRefused as refused:
            if request.resent and not resolved.operation.idempotent:
                return operations.say_unknown(
                    refused.message, refused.retry_after_ms
                )
            raise

    def mint_key(self, workspace: str) -> str:
        """Make a key that only this process may ever run.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.

        Returns
        -------
        str
            For the ``Idempotency-Key`` of one action sent to this entry.

        Raises
        ------
        requests.RequestRefused
            This entry would not run the key: it drains or is isolated.
        exceptions.UnknownName
            No such workspace is in force.
        """
        directory.find_workspace(self._snapshot(), workspace)
        self._check_open()
        return self._runners.actions.mint_key()

    async def look_up(self, workspace: str, key: str) -> results.ActionResult:
        """Tell what became of an action; also while draining."""
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
            What to generate.

        Yields
        ------
        generation.GenerationEvent
            Tokens, then one ``Finished`` or ``Failed``.

        Raises
        ------
        requests.RequestRefused
            The request was not taken; nothing ran.
        exceptions.UnknownName
            The workspace may not use such a model.
        """
        directory.find_model(
            self._snapshot(), request.workspace, request.model
        )
        wanted = generation.GenerationRequest(
            request_id=request.request_id,
            workspace=request.workspace,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.priority,
            deadline=self._clock.now() + request.timeout_ms,
            attachments=request.attachments,
        )
        work = Work(
            request.workspace,
            request.model,
            generation_attempts.fingerprint_request(wanted),
            wanted.deadline,
            request.max_tokens,
            request.model,
        )
        watch = observation.TokenWatch(
            self._clock, self._metrics, self._objectives, request
        )
        with self._admit(work, GENERATION) as run, contextlib.closing(watch):
            events = self._runners.generation.stream(wanted)
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    run.add_tokens(watch.see(event))
                    run.result = event
                    yield event

    @contextlib.contextmanager
    def _admit_operation(
        self,
        request: requests.OperationRequest,
        resolved: directory.ResolvedOperation,
    ) -> Iterator[observation.Run]:
        """Admit an operation."""
        work = Work(
            request.workspace,
            request.service,
            operations.fingerprint_operation(request),
            self._clock.now() + resolved.operation.timeout_ms,
            0,
            timed_services.name_kind(request.service, request.operation),
        )
        kind = 'call' if resolved.operation.idempotent else 'action'
        with self._admit(work, kind) as run:
            yield run

    @contextlib.contextmanager
    def _admit(self, work: Work, kind: str) -> Iterator[observation.Run]:
        """Take a request, or refuse it, and count it when it ends."""
        started = self._clock.now()
        try:
            self._check_open()
            ticket = self._gates.admit(work)
        except requests.RequestRefused as refused:
            self._metrics.count_event('request_refused')
            outcome = observation.Outcome.REFUSED
            if refused.by_limit:
                outcome = observation.Outcome.LIMITED
            self._count(work, kind, outcome, started)
            raise
        run = observation.Run(ticket.note_first_token)
        try:
            with self._track():
                yield run
        finally:
            outcome = observation.name_outcome(run.result)
            ticket.finish(run.tokens, outcome)
            self._count(work, kind, outcome, started)

    def _check_open(self) -> None:
        """Refuse new work while draining or cut off from everything."""
        if not self._gates.is_accepting():
            raise requests.RequestRefused(
                _DRAINING, DRAINING_RETRY_MS, self._gates.list_instead()
            )
        if self._gates.is_isolated():
            raise requests.RequestRefused(_ISOLATED, ISOLATED_RETRY_MS)

    def _count(
        self,
        work: Work,
        kind: str,
        outcome: observation.Outcome,
        started: int,
    ) -> None:
        """Count a request that ended."""
        duration = self._clock.now() - started
        self._metrics.count_request(
            kind, work.workspace, outcome.value, duration
        )
        if outcome in observation.OF_CALLERS:
            return
        done = outcome is observation.Outcome.DONE
        self._objectives.record_outcome(work.workspace, work.group, done)
        if kind != GENERATION and done:
            self._objectives.record_time(
                work.workspace, work.group, burn.Indicator.LATENCY, duration
            )
