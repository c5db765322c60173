"""Serves model requests: plans routes, verifies streams and resumes them."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import structlog

from thornspool.application.generation import attempts as generation_attempts
from thornspool.application.generation import events as generation_events
from thornspool.application.generation import messages as generation_messages
from thornspool.application.generation import planning as generation_planning
from thornspool.application.generation import trials as generation_trials
from thornspool.domain.pipelines import affinity
from thornspool.domain.pipelines import exceptions as pipeline_exceptions
from thornspool.domain.pipelines import messages
from thornspool.domain.pipelines import verifier as verifier_module

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from thornspool import clock as clock_module
    from thornspool.domain.pipelines import routes

logger = structlog.get_logger(__name__)

_RETRY_AFTER_MS = 1_000


@attrs.frozen
class StreamBounds:
    """Timeouts of an attempt, in milliseconds.

    Attributes
    ----------
    first_token_ms : int
        Timeout of the first token.
    between_tokens_ms : int
        Timeout between two tokens.
    """

    first_token_ms: int = 5_000
    between_tokens_ms: int = 1_000


class GenerationService:
    """Serves model requests on this entry.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    engines : generation_messages.Engines
        Calls to engines.
    planning : generation_planning.Planning
        Planner of routes.
    hooks : generation_attempts.Hooks, optional
        Callbacks to the other services of the entry.
    bounds : StreamBounds, optional
        Timeouts of an attempt.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        engines: generation_messages.Engines,
        planning: generation_planning.Planning,
        hooks: generation_attempts.Hooks | None = None,
        bounds: StreamBounds | None = None,
    ) -> None:
        self._bounds = bounds or StreamBounds()
        self._context = generation_attempts.Context(
            clock, engines, planning, hooks or generation_attempts.Hooks()
        )

    def abandon_suspects(self, fingerprints: frozenset[str]) -> None:
        """Abandon the attempts of requests suspected of crashing a target."""
        self._context.abandon_suspects(fingerprints)

    async def stream(
        self, request: generation_messages.GenerationRequest
    ) -> AsyncIterator[generation_messages.GenerationEvent]:
        """Stream the response to a request.

        Parameters
        ----------
        request : generation_messages.GenerationRequest
            The caller's request.

        Yields
        ------
        generation_messages.GenerationEvent
            Tokens in order, then exactly one ``Finished`` or ``Failed``.
            Closing the iterator cancels the attempt at every stage.
        """
        run = _Run(self._context, self._bounds, request)
        try:
            async for event in run.follow():
                yield event
        finally:
            run.close()

    async def close(self) -> None:
        """Wait until all background tasks have ended."""
        while self._context.background:
            await asyncio.wait(self._context.background)


class _Run:
    """One request, run in one or more attempts."""

    def __init__(
        self,
        context: generation_attempts.Context,
        bounds: StreamBounds,
        request: generation_messages.GenerationRequest,
    ) -> None:
        self._context = context
        self._request = request
        self._verifier = verifier_module.Verifier(
            request.request_id,
            verifier_module.Bounds(
                request.deadline,
                bounds.first_token_ms,
                bounds.between_tokens_ms,
            ),
            context.hooks.take_retry,
        )
        self._model = context.planning.find_model(request.model)
        self._fingerprint = context.hooks.fingerprint(request)
        self._prefix = affinity.compute_prefix(request.prompt)
        self._events = generation_events.EventQueue(context.clock)
        self._commands: collections.deque[messages.Command]
        self._commands = collections.deque()
        self._attempt: generation_attempts.Attempt | None = None
        self._may_have_run = False
        self._retry_after_ms = _RETRY_AFTER_MS

    async def follow(
        self,
    ) -> AsyncIterator[generation_messages.GenerationEvent]:
        """Yield the events for the caller until the request has ended."""
        self._commands.extend(self._begin())
        while True:
            while self._commands:
                command = self._commands.popleft()
                if isinstance(command, messages.Replan):
                    await self._start(command)
                    continue
                event = self._execute(command)
                if event is not None:
                    yield event
            if self._verifier.is_finished:
                return
            stream_event = await self._events.get(
                self._verifier.read_wake_time()
            )
            now = self._context.clock.now()
            self._commands.extend(self._verifier.handle(stream_event, now))

    def close(self) -> None:
        """Cancel the current attempt, for instance after a disconnect."""
        self._events.close()
        self._stop(cancel=True)

    def _begin(self) -> list[messages.Command]:
        if self._model is None:
            reason = messages.Reason.UNKNOWN_MODEL
            return self._verifier.fail(reason)
        return [messages.Replan(0, frozenset(), frozenset())]

    def _execute(
        self, command: messages.Command
    ) -> generation_messages.GenerationEvent | None:
        if isinstance(command, messages.Deliver):
            return self._deliver(command)
        if isinstance(command, messages.Finish):
            self._stop(cancel=False)
            return generation_messages.Finished(command.count)
        if isinstance(command, messages.Fail):
            return self._fail(command.reason)
        if isinstance(command, messages.ProbeStages):
            self._probe_stages()
            return None
        assert isinstance(command, messages.Cancel)
        self._abandon_attempt(command)
        return None

    def _probe_stages(self) -> None:
        if self._attempt is not None:
            self._attempt.probe_stages()

    def _deliver(
        self, command: messages.Deliver
    ) -> generation_messages.GenerationEvent:
        if self._attempt is not None:
            now = self._context.clock.now()
            self._attempt.record_tokens(now)
        return generation_messages.Tokens(command.first_index, command.texts)

    def _fail(
        self, reason: messages.Reason
    ) -> generation_messages.GenerationEvent:
        outcome = generation_messages.Outcome.NOT_RUN
        if self._may_have_run:
            outcome = generation_messages.Outcome.UNKNOWN
        delivered = len(self._verifier.tokens)
        logger.info(
            'generation_failed',
            request=self._request.request_id,
            reason=reason.name,
            outcome=outcome.value,
            delivered=delivered,
        )
        return generation_messages.Failed(
            reason, outcome, self._retry_after_ms, delivered
        )

    def _abandon_attempt(self, command: messages.Cancel) -> None:
        """End the current attempt and attribute its failure."""
        attempt = self._attempt
        if attempt is None:
            return
        logger.info(
            'attempt_left',
            request=self._request.request_id,
            attempt=command.attempt,
            reason=command.reason.name,
            suspect=command.suspect,
        )
        attempt.attribute_fault(command)
        self._stop(cancel=True)

    async def _start(self, command: messages.Replan) -> None:
        """Plan and send the next attempt, or fail the request."""
        context, request = self._context, self._request
        resume = tuple(self._verifier.tokens)
        try:
            route = await generation_trials.find_route(
                context.hooks.trials,
                self._fingerprint,
                lambda busy: self._plan(command, busy),
                context.clock,
                request.deadline,
            )
        except pipeline_exceptions.NoPipeline:
            self._fail_request(messages.Reason.NO_PIPELINE)
            return
        except generation_trials.DeadlineExceeded:
            self._fail_request(messages.Reason.DEADLINE)
            return
        if isinstance(route, generation_trials.QuarantinedRequest):
            self._retry_after_ms = route.retry_after_ms
            self._fail_request(messages.Reason.CONDEMNED)
            return
        self._send(command.attempt, route, resume)

    def _plan(
        self, command: messages.Replan, busy: frozenset[str]
    ) -> routes.Route:
        """Plan a route; busy targets are used only if no others can be."""
        assert self._model is not None
        route_request = generation_planning.RouteRequest(
            self._model,
            self._prefix,
            self._request.max_tokens - len(self._verifier.tokens),
            command.excluded,
            command.avoided | busy,
            self._fingerprint,
        )
        return self._context.planning.plan(
            route_request, self._context.clock.now()
        )

    def _fail_request(self, reason: messages.Reason) -> None:
        self._commands.extend(self._verifier.fail(reason))

    def _send(
        self, attempt: int, route: routes.Route, resume: tuple[str, ...]
    ) -> None:
        """Send an attempt."""
        assert self._model is not None
        context, request = self._context, self._request
        now = context.clock.now()
        call = generation_messages.GenerateCall(
            request,
            attempt,
            self._model.version,
            self._model.adapter,
            route,
            resume,
            max(1, request.deadline - now),
            context.planning.choose_reports(route, now),
        )
        self._verifier.handle(messages.Started(route), now)
        self._attempt = generation_attempts.Attempt(
            context, call, self._events.put
        )
        self._attempt.start()

    def _stop(self, cancel: bool) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        attempt.stop(cancel)
        if not attempt.nothing_ran:
            self._may_have_run = True
