"""One attempt of a request: sent, followed, blamed, cancelled."""

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
from thornspool.application.generation import flights as generation_flights
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
_WAITS = frozenset({messages.Reason.STALLED, messages.Reason.SLOWED})


def fingerprint_request(
    request: generation_messages.GenerationRequest,
) -> str:
    """Name a request's content, the same each time it is sent again."""
    content = msgspec.json.encode((request.prompt, request.attachments))
    return fingerprints.compute_fingerprint(
        request.workspace, request.model, content
    )


def _ignore_failure(target: str, reason: messages.Reason) -> None:
    """Take note of nothing."""


def _ignore_loads(loads: list[frames_module.StageLoad]) -> None:
    """Take note of nothing."""


async def _hold_for_answering(target: str) -> bool:
    """Take a target for one that answers."""
    return True


@attrs.frozen
class Hooks:
    """What the use case asks and tells the rest of the entry.

    Attributes
    ----------
    take_retry : callable
        Takes one retry from the budget; False when it is spent.
    note_failure : callable
        Told a target's name and why an attempt on it failed.
    note_death : callable
        Told a target's name and the fingerprints in flight on it, once for
        each death.
    note_loads : callable
        Told the loads that stages sent along with an answer.
    is_answering : coroutine function
        Asks a target whether it answers.
    fingerprint : callable
        Names the content of a request.
    trials : generation_trials.Trials
        Says whether a request may run, and is told of its runs.
    """

    take_retry: Callable[[], bool] = lambda: True
    note_failure: Callable[[str, messages.Reason], None] = _ignore_failure
    note_death: Callable[[str, tuple[str, ...]], None] = (
        generation_flights.ignore_death
    )
    note_loads: Callable[[list[frames_module.StageLoad]], None] = _ignore_loads
    is_answering: Callable[[str], Awaitable[bool]] = _hold_for_answering
    fingerprint: Callable[[generation_messages.GenerationRequest], str] = (
        fingerprint_request
    )
    trials: generation_trials.Trials = attrs.field(
        factory=generation_trials.NoTrials
    )


class Context:
    """What all requests of an entry share.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    engines : generation_messages.Engines
        Calls to engines.
    planning : generation_planning.Planning
        What is known for planning routes.
    hooks : Hooks
        What to tell the rest of the entry.
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
        self.flights = generation_flights.Flights(hooks.note_death)
        self.background: set[asyncio.Task[None]] = set()
        self.attempts: set[Attempt] = set()

    def leave_suspects(self, fingerprints: frozenset[str]) -> None:
        """Leave the attempts of requests under which a target died.

        What is in flight elsewhere of the same request would take the next
        target with it. It goes on as a suspect, on trial.
        """
        for attempt in tuple(self.attempts):
            attempt.leave_suspect(fingerprints)

    def keep(self, task: asyncio.Task[None]) -> None:
        """Hold a task until it ends; the loop alone would drop it."""
        self.background.add(task)
        task.add_done_callback(self.background.discard)


class Attempt:
    """One attempt in flight.

    Parameters
    ----------
    context : Context
        What all requests share.
    call : generation_messages.GenerateCall
        What to send.
    tell : callable
        Told each event of the stream.
    """

    def __init__(
        self,
        context: Context,
        call: generation_messages.GenerateCall,
        tell: Callable[[messages.Event], None],
    ) -> None:
        self.nothing_ran = False
        self._context = context
        self._call = call
        self._tell = tell
        self._route = call.route
        self._started_at = context.clock.now()
        self._seen_at = -1
        self._meter = stage_times.PaceMeter()
        self._task: asyncio.Task[None] | None = None
        self._on_trial = False
        self._flight = context.flights.start(
            context.hooks.fingerprint(call.request),
            call.route.list_targets(),
        )

    def start(self) -> None:
        """Send it."""
        for target in self._flight.targets:
            self._on_trial |= self._context.hooks.trials.start(
                self._flight.fingerprint, target
            )
        self._context.attempts.add(self)
        self._context.planning.start(self._route)
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._context.keep(self._task)

    def leave_suspect(self, fingerprints: frozenset[str]) -> None:
        """End it if it is one of these requests and not on trial."""
        if self._flight.fingerprint in fingerprints and not self._on_trial:
            self._tell(
                messages.StreamClosed(
                    self._call.attempt, messages.Reason.SUSPECTED
                )
            )

    def note_tokens(self, now: int) -> None:
        """Learn from verified tokens."""
        planning = self._context.planning
        if self._seen_at < 0:
            prefix = affinity.compute_prefix(self._call.request.prompt)
            planning.note_prefix(self._route, prefix, now)
        self._seen_at = now

    def check_stages(self) -> None:
        """Ask all stages whether they answer, and tell when one does not."""
        loop = asyncio.get_running_loop()
        self._context.keep(loop.create_task(self._check_stages()))

    async def _check_stages(self) -> None:
        is_answering = self._context.hooks.is_answering
        answers = await asyncio.gather(
            *(is_answering(target) for target in self._route.list_targets())
        )
        if not all(answers):
            self._tell(messages.StageSilent(self._call.attempt))

    def blame(self, command: messages.Cancel) -> None:
        """Tell who failed, and learn from a stall."""
        context = self._context
        if command.reason in _WAITS and self._seen_at >= 0:
            now = context.clock.now()
            waited = now - self._seen_at
            context.planning.note_stall(self._route, waited, now)
        if not command.suspect:
            return
        context.hooks.note_failure(command.suspect, command.reason)
        if command.reason is messages.Reason.STAGE_LOST:
            context.flights.report_death(command.suspect, self._flight)

    def stop(self, cancel: bool) -> None:
        """Stop counting it, and cancel it at every stage unless it is done.

        Comes after `blame`: a death under a trial has to be told before the
        trial ends, or it would not count as the trial's.
        """
        self._context.attempts.discard(self)
        self._context.planning.end(self._route)
        self._context.flights.end(self._flight)
        trials, fingerprint = (
            self._context.hooks.trials,
            self._flight.fingerprint,
        )
        for target in self._flight.targets:
            trials.finish(fingerprint, target, succeeded=not cancel)
        if not cancel:
            return
        if self._task is not None:
            self._task.cancel()
        if self.nothing_ran:
            return
        loop = asyncio.get_running_loop()
        for stage in self._route.stages:
            self._context.keep(loop.create_task(self._cancel(stage.url)))

    async def _cancel(self, url: str) -> None:
        request = self._call.request.request_id
        # A stage that can't be told is dead, or finds out when its
        # connection closes; nobody waits for it.
        with contextlib.suppress(exceptions.TargetError):
            await self._context.engines.cancel(
                url, request, self._call.attempt, _CANCEL_TIMEOUT_MS
            )

    async def _run(self) -> None:
        self._tell(await self._follow())

    async def _follow(self) -> messages.StreamClosed:
        """Run the stream to its end and say how it ended."""
        attempt, first = self._call.attempt, self._route.stages[0].target
        reasons = messages.Reason
        try:
            await self._context.engines.generate(self._call, self._deliver)
        except exceptions.TargetNotReached:
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
            self._context.hooks.note_loads(frames[-1].loads)
        now = self._context.clock.now()
        planning = self._context.planning
        if frames[-1].hops:
            planning.note_hops(self._route, frames[-1].hops, now)
        pace = self._meter.count(len(frames), now)
        if pace is not None:
            planning.note_pace(self._route, pace, now)
        self._tell(messages.FramesReceived(self._call.attempt, frames))
