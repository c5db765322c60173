"""Checks a token stream and decides when to resume it elsewhere.

A caller must get the whole answer of its own request. Streams may be cut,
doubled, late or mixed up, so nothing is passed on that is not the next token
of this request, from the current attempt, with receipts that show every
layer once and in order. What fails the check is dropped, or ends the attempt
and has the rest of the answer computed by another route.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.pipelines import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.pipelines import frames as frames_module
    from thornspool.domain.pipelines import routes

_UNPAID = frozenset({messages.Reason.REFUSED, messages.Reason.NOT_REACHED})
"""Nothing ran: another target may be tried without a retry."""

_FAILURES = {
    'leaving': messages.Reason.REFUSED,
    'not reached': messages.Reason.NOT_REACHED,
}
"""Failures that a first stage names and that cost no retry."""


@attrs.frozen
class Bounds:
    """Bounds in time of one request.

    Attributes
    ----------
    deadline : int
        Monotonic milliseconds; the request is given up then.
    first_token_ms : int
        Longest wait for the first frame of an attempt.
    between_tokens_ms : int
        Longest wait for each further frame.
    slow_token_ms : int
        Wait for a further frame that is far too long, though tokens may
        still come: eight times the objective of 49 ms.
    check_first_ms, check_token_ms : int
        Wait for the first and for a further frame after which the stages
        are asked whether they answer, and twice as long each time after
        that: some way into the objective of 840 ms, and three times that
        of 49 ms.
    """

    deadline: int
    first_token_ms: int = 5_000
    between_tokens_ms: int = 1_000
    slow_token_ms: int = 400
    check_first_ms: int = 500
    check_token_ms: int = 150


class Verifier:
    """State of one request's answer.

    Parameters
    ----------
    request : str
        Identifier of the request.
    bounds : Bounds
        When to give up and when to resume elsewhere.
    take_retry : callable
        Takes one retry from the budget; False when it is spent.
    """

    def __init__(
        self, request: str, bounds: Bounds, take_retry: Callable[[], bool]
    ) -> None:
        self.request = request
        self.attempt = 0
        self.tokens: list[str] = []
        self.route: routes.Route | None = None
        self.over = False
        self.dropped = 0
        self._bounds = bounds
        self._take_retry = take_retry
        self._receipts: list[tuple[int, int, str]] = []
        self._excluded: set[str] = set()
        self._avoided: set[str] = set()
        self._stalled_at = bounds.deadline
        self._slow_at: int | None = None
        self._left_slow = False
        self._check_at: int | None = None
        self._check_ms = 0
        self._is_checked = False

    def handle(
        self, event: messages.Event, now: int
    ) -> list[messages.Command]:
        """Take one event.

        Parameters
        ----------
        event : messages.Event
            What happened.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        list of messages.Command
            What to do, in order; nothing more once the request is over.
        """
        if self.over:
            return []
        if now >= self._bounds.deadline:
            return self._give_up(messages.Reason.DEADLINE)
        if isinstance(event, messages.FramesReceived):
            return self._receive(event, now)
        if isinstance(event, messages.StreamClosed):
            return self._close(event)
        if isinstance(event, messages.Started):
            return self._start(event.route, now)
        if isinstance(event, messages.StageSilent):
            return self._take_silence(event)
        return self._check_time(now)

    def read_wake(self) -> int:
        """Return when ``TimePassed`` is due, in monotonic milliseconds."""
        due = min(self._stalled_at, self._bounds.deadline)
        if self._slow_at is not None:
            due = min(due, self._slow_at)
        return due if self._check_at is None else min(due, self._check_at)

    def give_up(self, reason: messages.Reason) -> list[messages.Command]:
        """End the request, for instance when no route can be planned."""
        if self.over:
            return []
        return self._give_up(reason)

    def _start(self, route: routes.Route, now: int) -> list[messages.Command]:
        self.route = route
        self._receipts = route.build_receipts()
        self._stalled_at = now + self._bounds.first_token_ms
        self._check_ms = self._bounds.check_first_ms
        self._check_at = now + self._check_ms
        self._is_checked = False
        return []

    def _receive(
        self, event: messages.FramesReceived, now: int
    ) -> list[messages.Command]:
        # An older attempt's stream may still run after its cancel: its
        # tokens would reach the caller twice. Its number gives it away.
        if event.attempt != self.attempt or self.route is None:
            self.dropped += len(event.frames)
            return []
        first = len(self.tokens)
        unpassed = self._take_tokens(event.frames)
        commands: list[messages.Command] = []
        if len(self.tokens) > first:
            self._stalled_at = now + self._bounds.between_tokens_ms
            if not self._left_slow:
                self._slow_at = now + self._bounds.slow_token_ms
            self._check_ms = self._bounds.check_token_ms
            self._check_at = now + self._check_ms
            self._is_checked = False
            texts = tuple(self.tokens[first:])
            commands.append(messages.Deliver(first, texts))
        if unpassed is not None:
            commands.extend(self._judge(unpassed))
        return commands

    def _take_tokens(
        self, received: list[frames_module.Frame]
    ) -> frames_module.Frame | None:
        """Keep the tokens that pass and return the frame that stops it."""
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

    def _judge(self, frame: frames_module.Frame) -> list[messages.Command]:
        """Decide on a frame of this attempt that is not the next token."""
        assert self.route is not None
        if frame.failed:
            reason = _FAILURES.get(frame.failed, messages.Reason.STAGE_LOST)
            return self._resume(reason, frame.target)
        if frame.end == len(self.tokens):
            self.over = True
            return [messages.Finish(frame.end)]
        if frame.index == len(self.tokens):
            suspect = self._find_false_receipt(frame)
            return self._resume(messages.Reason.RECEIPTS, suspect)
        first_stage = self.route.stages[0].target
        return self._resume(messages.Reason.GAP, first_stage)

    def _find_false_receipt(self, frame: frames_module.Frame) -> str:
        """Return the stage whose receipt is the first that is not right."""
        for position, receipt in enumerate(self._receipts):
            if frame.receipts[position : position + 1] != [receipt]:
                return receipt[2]
        return self._receipts[-1][2]

    def _close(self, event: messages.StreamClosed) -> list[messages.Command]:
        if event.attempt != self.attempt or self.route is None:
            return []
        return self._resume(event.reason, event.target)

    def _check_time(self, now: int) -> list[messages.Command]:
        if self.route is None:
            return []
        if now >= self._stalled_at:
            return self._resume(messages.Reason.STALLED, '')
        if self._slow_at is not None and now >= self._slow_at:
            return self._leave_slow()
        if self._check_at is not None and now >= self._check_at:
            self._check_ms *= 2
            self._check_at = now + self._check_ms
            self._is_checked = True
            return [messages.CheckStages()]
        return []

    def _take_silence(
        self, event: messages.StageSilent
    ) -> list[messages.Command]:
        """Leave a route whose stage does not answer, if that is paid.

        Unlike a slow one it may be left again: when a failure domain is
        lost, the next route may have a silent stage, too. Each time takes a
        retry, so that the budget bounds it when all targets are too busy to
        answer.
        """
        # A token may have come since the check, and then all stages live.
        is_current = event.attempt == self.attempt and self.route is not None
        if not (is_current and self._is_checked):
            return []
        if not self._take_retry():
            return []
        return self._leave(messages.Reason.SILENT, '')

    def _leave_slow(self) -> list[messages.Command]:
        """Leave a route that slowed, once in a request and if it is paid.

        Unlike a stall it ends no request: without a retry to spend, the
        tokens that still come are better than none. Once, since a host that
        is slow by itself would make all its requests wander.
        """
        self._slow_at = None
        self._left_slow = True
        if not self._take_retry():
            return []
        return self._leave(messages.Reason.SLOWED, '')

    def _resume(
        self, reason: messages.Reason, suspect: str
    ) -> list[messages.Command]:
        """Leave the attempt for another route, if that can be paid."""
        assert self.route is not None
        if suspect not in self.route.list_targets():
            suspect = ''
        # Each unpaid try excludes a target, so there are only so many.
        paid = reason not in _UNPAID or not suspect
        if paid and not self._take_retry():
            cancel = messages.Cancel(self.attempt, self.route, reason, suspect)
            return [cancel, *self._end(messages.Reason.NO_RETRY)]
        return self._leave(reason, suspect)

    def _leave(
        self, reason: messages.Reason, suspect: str
    ) -> list[messages.Command]:
        """Have the rest computed by another route."""
        assert self.route is not None
        cancel = messages.Cancel(self.attempt, self.route, reason, suspect)
        if suspect:
            self._excluded.add(suspect)
        else:
            self._avoided.update(self.route.list_targets())
        self.attempt += 1
        self.route = None
        self._stalled_at = self._bounds.deadline
        self._slow_at = None
        self._check_at = None
        excluded = frozenset(self._excluded)
        avoided = frozenset(self._avoided)
        return [cancel, messages.Replan(self.attempt, excluded, avoided)]

    def _give_up(self, reason: messages.Reason) -> list[messages.Command]:
        if self.route is None:
            return self._end(reason)
        cancel = messages.Cancel(self.attempt, self.route, reason)
        return [cancel, *self._end(reason)]

    def _end(self, reason: messages.Reason) -> list[messages.Command]:
        self.over = True
        return [messages.GiveUp(reason)]
