"""One attempt of a request: sending, streaming, faults and cancellation."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import msgspec

from thornspool.application import exceptions
from thornspool.application.generation import (
    exceptions as generation_exceptions,
)
from thornspool.application.generation import in_flight as generation_in_flight
from thornspool.application.generation import trials as generation_trials
from thornspool.domain.pipelines import affinity
from thornspool.domain.pipelines import messages
from thornspool.domain.pipelines import stage_times
from thornspool.domain.quarantine import fingerprints

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from thornspool import clock as clock_module
    from thornspool.application.generation import (
        messages as generation_messages,
    )
    from thornspool.application.generation import (
        planning as generation_planning,
    )
    from thornspool.domain.pipelines import frames as frames_module

_CANCEL_TIMEOUT_MS = 2_000
_STALL_REASONS = frozenset({messages.Reason.STALLED, messages.Reason.SLOWED})


def fingerprint_request(
    request: generation_messages.GenerationRequest,
) -> str:
    """Compute the fingerprint of a request, the same for each retry."""
    content = msgspec.json.encode((request.prompt, request.attachments))
    return fingerprints.compute_fingerprint(
        request.workspace, request.model, content
    )


def _ignore_failure(target: str, reason: messages.Reason) -> None:
    """Do nothing."""


def _ignore_loads(loads: list[frames_module.StageLoad]) -> None:
    """Do nothing."""


async def _assume_responsive(target: str) -> bool:
    """Return True without a probe."""
    return True


@attrs.frozen
class Hooks:
    """Callbacks to the other services of the entry.

    Attributes
    ----------
    take_retry : callable
        Takes one retry from the budget; returns False when it is exhausted.
    record_failure : callable
        Called with a target's name and why an attempt on it failed.
    record_crash : callable
        Called with a target's name and the fingerprints in flight on it,
        once for each crash of a target.
    record_loads : callable
        Called with the loads that stages reported in a stream.
    is_responsive : coroutine function
        Probes a target and returns whether it responds.
    fingerprint : callable
        Computes the fingerprint of a request's content.
    trials : generation_trials.Trials
        Decides whether a request may run, and records its runs.
    """

    take_retry: Callable[[], bool] = lambda: True
    record_failure: Callable[[str, messages.Reason], None] = _ignore_failure
    record_crash: Callable[[str, tuple[str, ...]], None] = (
        generation_in_flight.ignore_crash
    )
    record_loads: Callable[[list[frames_module.StageLoad]], None] = (
        _ignore_loads
    )
    is_responsive: Callable[[str], Awaitable[bool]] = _assume_responsive
    fingerprint: Callable[[generation_messages.GenerationRequest], str] = (
        fingerprint_request
    )
    trials: generation_trials.Trials = attrs.field(
        factory=generation_trials.NoTrials
    )


class Context:
    """State shared by all requests of an entry.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    engines : generation_messages.Engines
        Calls to engines.
    planning : generation_planning.Planning
        Planner of routes.
    hooks : Hooks
        Callbacks to the other services of the entry.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        engines: generation_messages.Engines,
        planning: generation_planning.Planning,
        hooks: Hooks,
    ) -> None:
        self.clock = clock
        self.engines = engines
        self.planning = planning
        self.hooks = hooks
        self.in_flight = generation_in_flight.InFlightAttempts(
            hooks.record_crash
        )
        self.background: set[asyncio.Task[None]] = set()
        self.attempts: set[Attempt] = set()

    def abandon_suspects(self, fingerprints: frozenset[str]) -> None:
        """Abandon the attempts of requests suspected of crashing a target.

        Another attempt with the same content might crash the next target.
        The request is retried as a suspect, on trial.
        """
        for attempt in tuple(self.attempts):
            attempt.abandon_if_suspect(fingerprints)

    def hold_task(self, task: asyncio.Task[None]) -> None:
        """Hold a reference to a task; the event loop keeps only a weak one."""
        self.background.add(task)
        task.add_done_callback(self.background.discard)


class Attempt:
    """One in-flight attempt.

    Parameters
    ----------
    context : Context
        State shared by all requests.
    call : generation_messages.GenerateCall
        The call to send.
    put_event : callable
        Called with each event of the stream.
    """

    def __init__(
        self,
        context: Context,
        call: generation_messages.GenerateCall,
        put_event: Callable[[messages.Event], None],
    ) -> None:
        self.nothing_ran = False
        self._context = context
        self._call = call
        self._put_event = put_event
        self._route = call.route
        self._started_at = context.clock.now()
        self._last_token_at = -1
        self._interval_meter = stage_times.TokenIntervalMeter()
        self._task: asyncio.Task[None] | None = None
        self._on_trial = False
        self._in_flight_attempt = context.in_flight.start(
            context.hooks.fingerprint(call.request),
            call.route.list_targets(),
        )

    def start(self) -> None:
        """Register the attempt and send it."""
        for target in self._in_flight_attempt.targets:
            self._on_trial |= self._context.hooks.trials.record_start(
                self._in_flight_attempt.fingerprint, target
            )
        self._context.attempts.add(self)
        self._context.planning.start(self._route)
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._context.hold_task(self._task)

    def abandon_if_suspect(self, fingerprints: frozenset[str]) -> None:
        """End it if its fingerprint is suspected and it is not on trial."""
        if (
            self._in_flight_attempt.fingerprint in fingerprints
            and not self._on_trial
        ):
            self._put_event(
                messages.StreamClosed(
                    self._call.attempt, messages.Reason.SUSPECTED
                )
            )

    def record_tokens(self, now: int) -> None:
        """Record the arrival of verified tokens."""
        planning = self._context.planning
        if self._last_token_at < 0:
            prefix = affinity.compute_prefix(self._call.request.prompt)
            planning.record_prefix(self._route, prefix, now)
        self._last_token_at = now

    def probe_stages(self) -> None:
        """Probe all stages and queue an event if one is unresponsive."""
        loop = asyncio.get_running_loop()
        self._context.hold_task(loop.create_task(self._probe_stages()))

    async def _probe_stages(self) -> None:
        is_responsive = self._context.hooks.is_responsive
        responses = await asyncio.gather(
            *(is_responsive(target) for target in self._route.list_targets())
        )
        if not all(responses):
            self._put_event(messages.StageUnresponsive(self._call.attempt))

    def attribute_fault(self, command: messages.Cancel) -> None:
        """Record a stall, and report the target that failed."""
        context = self._context
        if command.reason in _STALL_REASONS and self._last_token_at >= 0:
            now = context.clock.now()
            idle_ms = now - self._last_token_at
            context.planning.record_stall(self._route, idle_ms, now)
        if not command.suspect:
            return
        context.hooks.record_failure(command.suspect, command.reason)
        if command.reason is messages.Reason.STAGE_LOST:
            context.in_flight.report_crash(
                command.suspect, self._in_flight_attempt
            )

    def stop(self, cancel: bool) -> None:
        """Deregister the attempt, and cancel it unless it is complete.

        It must be called after `attribute_fault`: a crash during a trial has
        to be reported before the trial ends, or it would not be attributed
        to the trial.

        Parameters
        ----------
        cancel : bool
            Whether to cancel it; False when it is complete.
        """
        self._context.attempts.discard(self)
        self._context.planning.end(self._route)
        self._context.in_flight.end(self._in_flight_attempt)
        trials, fingerprint = (
            self._context.hooks.trials,
            self._in_flight_attempt.fingerprint,
        )
        for target in self._in_flight_attempt.targets:
            trials.record_end(fingerprint, target, succeeded=not cancel)
        if not cancel:
            return
        if self._task is not None:
            self._task.cancel()
        if self.nothing_ran:
            return
        loop = asyncio.get_running_loop()
        for stage in self._route.stages:
            self._context.hold_task(loop.create_task(self._cancel(stage.url)))

    async def _cancel(self, url: str) -> None:
        request = self._call.request.request_id
        # A stage that can't be reached is dead, or notices when its
        # connection closes; nothing depends on the result.
        with contextlib.suppress(exceptions.TargetError):
            await self._context.engines.cancel(
                url, request, self._call.attempt, _CANCEL_TIMEOUT_MS
            )

    async def _run(self) -> None:
        self._put_event(await self._run_stream())

    async def _run_stream(self) -> messages.StreamClosed:
        """Run the stream to its end and return how it ended."""
        attempt, first = self._call.attempt, self._route.stages[0].target
        reasons = messages.Reason
        try:
            await self._context.engines.generate(self._call, self._deliver)
        except exceptions.TargetUnreachable:
            self.nothing_ran = True
            return messages.StreamClosed(attempt, reasons.NOT_REACHED, first)
        except generation_exceptions.EngineRefused:
            self.nothing_ran = True
            return messages.StreamClosed(attempt, reasons.REFUSED, first)
        except generation_exceptions.StreamMalformed:
            return messages.StreamClosed(attempt, reasons.MALFORMED, first)
        except exceptions.TargetError:
            return messages.StreamClosed(attempt, reasons.STAGE_LOST, first)
        return messages.StreamClosed(attempt)

    def _deliver(self, frames: list[frames_module.Frame]) -> None:
        if not frames:
            return
        if frames[-1].loads:
            self._context.hooks.record_loads(frames[-1].loads)
        now = self._context.clock.now()
        planning = self._context.planning
        if frames[-1].hops:
            planning.record_hops(self._route, frames[-1].hops, now)
        interval_ms = self._interval_meter.count(len(frames), now)
        if interval_ms is not None:
            planning.record_token_interval(self._route, interval_ms, now)
        self._put_event(messages.FramesReceived(self._call.attempt, frames))
