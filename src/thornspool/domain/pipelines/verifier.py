"""Stream verifier: checks a token stream and decides when to fail over.

A caller must get the complete response to its own request. Streams may be
broken, duplicated, late or mixed up. So the verifier delivers only the next
token of this request, from the current attempt, with receipts that show every
layer once and in order. A frame that fails the check is dropped, or ends the
attempt, and another route computes the rest of the response.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.pipelines import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.pipelines import frames as frames_module
    from thornspool.domain.pipelines import routes

_RETRY_FREE_REASONS = frozenset(
    {messages.Reason.REFUSED, messages.Reason.NOT_REACHED}
)
"""Reasons after which nothing ran; trying another target costs no retry."""

_REASONS_BY_FAILURE = {
    'leaving': messages.Reason.REFUSED,
    'not reached': messages.Reason.NOT_REACHED,
}
"""Reasons by the failure that a first stage reports; they cost no retry."""


@attrs.frozen
class Bounds:
    """Timeouts of one request.

    Attributes
    ----------
    deadline : int
        Monotonic milliseconds at which the request fails.
    first_token_ms : int
        Timeout of the first frame of an attempt.
    between_tokens_ms : int
        Timeout of each further frame.
    slow_token_ms : int
        Idle time after which a stream counts as slow, though tokens may
        still arrive: eight times the objective of 49 ms.
    probe_first_ms, probe_token_ms : int
        Idle time before the first and before a further frame after which
        the stages are probed; it doubles with each probe. The first is
        below the objective of 840 ms, the second is three times the
        objective of 49 ms.
    """

    deadline: int
    first_token_ms: int = 5_000
    between_tokens_ms: int = 1_000
    slow_token_ms: int = 400
    probe_first_ms: int = 500
    probe_token_ms: int = 150


class Verifier:
    """State of the response to one request.

    Parameters
    ----------
    request : str
        Identifier of the request.
    bounds : Bounds
        Timeouts after which the request fails or another route is used.
    take_retry : callable
        Takes one retry from the budget; returns False when it is exhausted.
    """

    def __init__(
        self, request: str, bounds: Bounds, take_retry: Callable[[], bool]
    ) -> None:
        self.request = request
        self.attempt = 0
        self.tokens: list[str] = []
        self.route: routes.Route | None = None
        self.is_finished = False
        self.dropped = 0
        self._bounds = bounds
        self._take_retry = take_retry
        self._receipts: list[tuple[int, int, str]] = []
        self._excluded: set[str] = set()
        self._avoided: set[str] = set()
        self._stall_at = bounds.deadline
        self._slow_at: int | None = None
        self._was_rerouted_slow = False
        self._probe_at: int | None = None
        self._probe_interval_ms = 0
        self._was_probed = False

    def handle(
        self, event: messages.Event, now: int
    ) -> list[messages.Command]:
        """Handle one event.

        Parameters
        ----------
        event : messages.Event
            The event.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        list of messages.Command
            Commands to execute in order; none once the request has ended.
        """
        if self.is_finished:
            return []
        if now >= self._bounds.deadline:
            return self._fail(messages.Reason.DEADLINE)
        if isinstance(event, messages.FramesReceived):
            return self._receive(event, now)
        if isinstance(event, messages.StreamClosed):
            return self._close(event)
        if isinstance(event, messages.Started):
            return self._start(event.route, now)
        if isinstance(event, messages.StageUnresponsive):
            return self._handle_unresponsive_stage(event)
        return self._check_timeouts(now)

    def read_wake_time(self) -> int:
        """Return when ``TimerExpired`` is due, in monotonic milliseconds."""
        due = min(self._stall_at, self._bounds.deadline)
        if self._slow_at is not None:
            due = min(due, self._slow_at)
        return due if self._probe_at is None else min(due, self._probe_at)

    def fail(self, reason: messages.Reason) -> list[messages.Command]:
        """Fail the request, for instance when no route can be planned."""
        if self.is_finished:
            return []
        return self._fail(reason)

    def _start(self, route: routes.Route, now: int) -> list[messages.Command]:
        self.route = route
        self._receipts = route.build_receipts()
        self._stall_at = now + self._bounds.first_token_ms
        self._probe_interval_ms = self._bounds.probe_first_ms
        self._probe_at = now + self._probe_interval_ms
        self._was_probed = False
        return []

    def _receive(
        self, event: messages.FramesReceived, now: int
    ) -> list[messages.Command]:
        # The stream of an older attempt may still run after its cancellation,
        # and its tokens would be delivered twice. The attempt number of the
        # stream identifies it.
        if event.attempt != self.attempt or self.route is None:
            self.dropped += len(event.frames)
            return []
        first = len(self.tokens)
        rejected = self._accept_tokens(event.frames)
        commands: list[messages.Command] = []
        if len(self.tokens) > first:
            self._stall_at = now + self._bounds.between_tokens_ms
            if not self._was_rerouted_slow:
                self._slow_at = now + self._bounds.slow_token_ms
            self._probe_interval_ms = self._bounds.probe_token_ms
            self._probe_at = now + self._probe_interval_ms
            self._was_probed = False
            texts = tuple(self.tokens[first:])
            commands.append(messages.Deliver(first, texts))
        if rejected is not None:
            commands.extend(self._handle_rejected_frame(rejected))
        return commands

    def _accept_tokens(
        self, received: list[frames_module.Frame]
    ) -> frames_module.Frame | None:
        """Accept valid tokens; return the first frame that is rejected."""
        request, attempt = self.request, self.attempt
        receipts, tokens = self._receipts, self.tokens
        expected = len(tokens)
        for frame in received:
            if frame.request != request or frame.attempt != attempt:
                self.dropped += 1
            elif frame.index == expected:
                if frame.receipts != receipts:
                    return frame
                tokens.append(frame.token)
                expected += 1
            elif 0 <= frame.index < expected:
                self.dropped += 1
            else:
                return frame
        return None

    def _handle_rejected_frame(
        self, frame: frames_module.Frame
    ) -> list[messages.Command]:
        """Handle a frame of this attempt that is not the next token."""
        assert self.route is not None
        if frame.failed:
            reason = _REASONS_BY_FAILURE.get(
                frame.failed, messages.Reason.STAGE_LOST
            )
            return self._fail_over(reason, frame.target)
        if frame.end == len(self.tokens):
            self.is_finished = True
            return [messages.Finish(frame.end)]
        if frame.index == len(self.tokens):
            suspect = self._find_invalid_receipt(frame)
            return self._fail_over(messages.Reason.RECEIPTS, suspect)
        first_stage = self.route.stages[0].target
        return self._fail_over(messages.Reason.GAP, first_stage)

    def _find_invalid_receipt(self, frame: frames_module.Frame) -> str:
        """Return the target of the first receipt that is not valid."""
        for position, receipt in enumerate(self._receipts):
            if frame.receipts[position : position + 1] != [receipt]:
                return receipt[2]
        return self._receipts[-1][2]

    def _close(self, event: messages.StreamClosed) -> list[messages.Command]:
        if event.attempt != self.attempt or self.route is None:
            return []
        return self._fail_over(event.reason, event.target)

    def _check_timeouts(self, now: int) -> list[messages.Command]:
        if self.route is None:
            return []
        if now >= self._stall_at:
            return self._fail_over(messages.Reason.STALLED, '')
        if self._slow_at is not None and now >= self._slow_at:
            return self._reroute_slow()
        if self._probe_at is not None and now >= self._probe_at:
            self._probe_interval_ms *= 2
            self._probe_at = now + self._probe_interval_ms
            self._was_probed = True
            return [messages.ProbeStages()]
        return []

    def _handle_unresponsive_stage(
        self, event: messages.StageUnresponsive
    ) -> list[messages.Command]:
        """Reroute when a stage is unresponsive, if a retry is available.

        Unlike for a slow route, this may happen again: when a failure domain
        is lost, the next route may have an unresponsive stage too. Each time
        takes a retry, so that the budget limits reroutes when all targets
        are too busy to respond.
        """
        # A token that arrived since the probe shows that all stages run.
        is_current = event.attempt == self.attempt and self.route is not None
        if not (is_current and self._was_probed):
            return []
        if not self._take_retry():
            return []
        return self._reroute(messages.Reason.SILENT, '')

    def _reroute_slow(self) -> list[messages.Command]:
        """Reroute a slow stream, once a request, if a retry is available.

        Unlike a stall, slowness never fails the request: without a retry,
        slow tokens are better than none. It happens only once, since a host
        that is slow itself would cause repeated reroutes of all its
        requests.
        """
        self._slow_at = None
        self._was_rerouted_slow = True
        if not self._take_retry():
            return []
        return self._reroute(messages.Reason.SLOWED, '')

    def _fail_over(
        self, reason: messages.Reason, suspect: str
    ) -> list[messages.Command]:
        """Reroute after a failure; fail the request without a retry."""
        assert self.route is not None
        if suspect not in self.route.list_targets():
            suspect = ''
        # Each attempt without a retry excludes a target, which limits them.
        needs_retry = reason not in _RETRY_FREE_REASONS or not suspect
        if needs_retry and not self._take_retry():
            cancel = messages.Cancel(self.attempt, self.route, reason, suspect)
            return [cancel, *self._end(messages.Reason.NO_RETRY)]
        return self._reroute(reason, suspect)

    def _reroute(
        self, reason: messages.Reason, suspect: str
    ) -> list[messages.Command]:
        """Cancel the attempt and replan the rest of the response."""
        assert self.route is not None
        cancel = messages.Cancel(self.attempt, self.route, reason, suspect)
        if suspect:
            self._excluded.add(suspect)
        else:
            self._avoided.update(self.route.list_targets())
        self.attempt += 1
        self.route = None
        self._stall_at = self._bounds.deadline
        self._slow_at = None
        self._probe_at = None
        excluded = frozenset(self._excluded)
        avoided = frozenset(self._avoided)
        return [cancel, messages.Replan(self.attempt, excluded, avoided)]

    def _fail(self, reason: messages.Reason) -> list[messages.Command]:
        if self.route is None:
            return self._end(reason)
        cancel = messages.Cancel(self.attempt, self.route, reason)
        return [cancel, *self._end(reason)]

    def _end(self, reason: messages.Reason) -> list[messages.Command]:
        self.is_finished = True
        return [messages.Fail(reason)]
