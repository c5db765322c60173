"""Tests of the stream verifier."""

from __future__ import annotations

import unittest

from tests.domain.pipelines import builders
from thornspool.domain.pipelines import frames
from thornspool.domain.pipelines import messages
from thornspool.domain.pipelines import verifier

ROUTE = builders.build_route('a-1', 'b-1')
REASONS = messages.Reason


class VerifierTest(unittest.TestCase):
    def setUp(self):
        bounds = verifier.Bounds(10_000, 1_000, 100)
        self.retries = 2
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        self.verifier.handle(messages.Started(ROUTE), 0)

    def take_retry(self):
        self.retries -= 1
        return self.retries >= 0

    def receive(self, *received, attempt=0, now=10):
        event = messages.FramesReceived(attempt, list(received))
        return self.verifier.handle(event, now)

    def build(self, index, **changes):
        return builders.build_frame(ROUTE, index, **changes)

    def test_delivers_the_tokens_of_a_chunk_together(self):
        commands = self.receive(self.build(0), self.build(1))
        self.assertEqual(commands, [messages.Deliver(0, ('0', '1'))])

    def test_finishes_on_the_expected_count(self):
        end = frames.Frame('r', 0, end=1)
        commands = self.receive(self.build(0), end)
        self.assertEqual(
            commands, [messages.Deliver(0, ('0',)), messages.Finish(1)]
        )
        self.assertEqual(self.receive(self.build(1)), [])

    def test_drops_frames_that_are_not_the_next_token(self):
        """Frames of other requests, older attempts and duplicates arrive.

        If they were delivered, the caller would get the text of another
        caller, or the same text twice.
        """
        cases = {
            'crossed': self.build(1, request='s'),
            'late': self.build(1, attempt=-1),
            'doubled': self.build(0),
        }
        self.receive(self.build(0))
        for name, frame in cases.items():
            with self.subTest(name):
                dropped = self.verifier.dropped
                self.assertEqual(self.receive(frame), [])
                self.assertEqual(self.verifier.dropped, dropped + 1)

    def test_drops_the_stream_of_an_older_attempt(self):
        """A stream continues after the request was rerouted.

        If the attempt of the stream were not checked, its frames would count
        as frames of the new attempt.
        """
        self.receive(self.build(1))
        self.verifier.handle(messages.Started(ROUTE), 10)
        late = self.build(0, attempt=1)
        self.assertEqual(self.receive(late, attempt=0), [])

    def test_fails_over_and_attributes_the_fault(self):
        """The stream fails a check after its first token.

        If the verifier kept waiting, the caller would get half a response.
        The rest is computed on another route, after the last verified token.
        """
        receipts = ROUTE.build_receipts()
        order = receipts[::-1]
        both = frozenset({'a-1', 'b-1'})
        none = frozenset()
        cases = (
            (self.build(2), REASONS.GAP, {'a-1'}, none),
            (frames.Frame('r', 0, end=3), REASONS.GAP, {'a-1'}, none),
            (
                self.build(1, receipts=receipts[:1]),
                REASONS.RECEIPTS,
                {'b-1'},
                none,
            ),
            (self.build(1, receipts=order), REASONS.RECEIPTS, {'a-1'}, none),
            (
                self.build(1, receipts=receipts * 2),
                REASONS.RECEIPTS,
                {'b-1'},
                none,
            ),
            (
                frames.Frame('r', 0, failed='lost', target='b-1'),
                REASONS.STAGE_LOST,
                {'b-1'},
                none,
            ),
            (
                frames.Frame('r', 0, failed='lost', target='stranger'),
                REASONS.STAGE_LOST,
                none,
                both,
            ),
        )
        for frame, reason, excluded, avoided in cases:
            with self.subTest(reason=reason, frame=frame):
                self.setUp()
                self.receive(self.build(0))
                cancel, replan = self.receive(frame)
                self.assertEqual(cancel.reason, reason)
                self.assertEqual(
                    replan,
                    messages.Replan(1, frozenset(excluded), avoided),
                )

    def test_stall_is_detected_at_its_timeout(self):
        """A link becomes so slow that tokens stop without any error.

        Without a timeout the caller would wait until the deadline.
        """
        self.receive(self.build(0), now=10)
        self.assertEqual(self.verifier.read_wake_time(), 110)
        early = self.verifier.handle(messages.TimerExpired(), 109)
        cancel, _ = self.verifier.handle(messages.TimerExpired(), 110)
        self.assertEqual(early, [])
        self.assertEqual(cancel.reason, REASONS.STALLED)

    def stream(self, intervals, first=0, attempt=0, start=0):
        """Receive tokens; return the end time and the commands in between."""
        now = start
        commands = []
        for index, interval in enumerate(intervals, first):
            while (wake_at := self.verifier.read_wake_time()) < now + interval:
                commands += self.verifier.handle(
                    messages.TimerExpired(), wake_at
                )
            now += interval
            if self.verifier.attempt != attempt:
                return now, commands
            frame = self.build(index, attempt=attempt)
            self.receive(frame, attempt=attempt, now=now)
        return now, commands

    def exclude_probes(self, commands):
        """Return the commands without the probes of stages."""
        check = messages.ProbeStages()
        return [command for command in commands if command != check]

    def test_slow_stream_within_the_timeout_is_rerouted_once(self):
        """A link slows from 5 to 500 ms; each token arrives in time.

        There is no error and no stall, but a response of seconds takes
        minutes.
        """
        bounds = verifier.Bounds(10**6, 1_000, 1_000)
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        self.verifier.handle(messages.Started(ROUTE), 0)
        now, commands = self.stream([500] * 20)
        cancel, replan = self.exclude_probes(commands)
        self.assertEqual(cancel.reason, REASONS.SLOWED)
        self.assertEqual(replan.avoided, frozenset(ROUTE.list_targets()))
        self.verifier.handle(messages.Started(ROUTE), now)
        first = len(self.verifier.tokens)
        _, commands = self.stream([500] * 20, first, 1, now)
        self.assertEqual(self.exclude_probes(commands), [])

    def test_slow_stream_continues_without_a_retry(self):
        """A link slows and the retry budget is exhausted.

        Slow tokens are better than a request that fails.
        """
        bounds = verifier.Bounds(10**6, 1_000, 1_000)
        self.retries = 0
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        self.verifier.handle(messages.Started(ROUTE), 0)
        _, commands = self.stream([5] * 20 + [500] * 20)
        self.assertEqual(self.exclude_probes(commands), [])
        self.assertEqual(len(self.verifier.tokens), 40)

    def test_unresponsive_stage_is_left_before_its_route_is_slow(self):
        """The host of a stage fails while its connections stay open.

        The idle time is the same as on a slow link, but the stage does not
        respond to a probe. An outdated probe result must not end the
        attempt.
        """
        bounds = verifier.Bounds(10**6, 1_000, 1_000)
        for name, token_after, attempt, is_left in (
            ('unresponsive', False, 0, True),
            ('token came', True, 0, False),
            ('older attempt', False, -1, False),
        ):
            with self.subTest(name):
                self.setUp()
                self.verifier = verifier.Verifier('r', bounds, self.take_retry)
                self.verifier.handle(messages.Started(ROUTE), 0)
                self.receive(self.build(0), now=10)
                due = self.verifier.handle(messages.TimerExpired(), 160)
                self.assertEqual(due, [messages.ProbeStages()])
                self.assertEqual(self.verifier.read_wake_time(), 410)
                if token_after:
                    self.receive(self.build(1), now=170)
                unresponsive = messages.StageUnresponsive(attempt)
                commands = self.verifier.handle(unresponsive, 180)
                self.assertEqual(bool(commands), is_left)

    def test_unresponsive_stage_is_left_before_the_first_token(self):
        """Hosts fail one after another before their failure is detected.

        New requests would wait for the timeout of the first token, 5 s, on
        each. Without a retry the wait continues: a token may still arrive.
        """
        bounds = verifier.Bounds(10**6)
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        now = 0
        for attempt, is_left in ((0, True), (1, True), (2, False)):
            with self.subTest(attempt):
                self.verifier.handle(messages.Started(ROUTE), now)
                now = self.verifier.read_wake_time()
                due = self.verifier.handle(messages.TimerExpired(), now)
                self.assertEqual(due, [messages.ProbeStages()])
                unresponsive = messages.StageUnresponsive(attempt)
                commands = self.verifier.handle(unresponsive, now)
                self.assertEqual(bool(commands), is_left)
        self.assertLess(now, 2_000)

    def test_usual_variation_is_not_slow(self):
        """Batches and prompts of other requests delay tokens briefly."""
        bounds = verifier.Bounds(10**6, 1_000, 1_000)
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        self.verifier.handle(messages.Started(ROUTE), 0)
        _, commands = self.stream([5, 30, 20, 5, 300, 10] * 10)
        self.assertEqual(self.exclude_probes(commands), [])
        self.assertEqual(commands, [messages.ProbeStages()] * 10)
        self.assertEqual(self.retries, 2)

    def test_fails_explicitly(self):
        """The retry budget is exhausted, or the deadline passes.

        The request must fail with a reason and must not stall.
        """
        self.retries = 0
        _, last = self.receive(self.build(5))
        self.assertEqual(last, messages.Fail(REASONS.NO_RETRY))
        self.setUp()
        _, last = self.verifier.handle(messages.TimerExpired(), 10_000)
        self.assertEqual(last, messages.Fail(REASONS.DEADLINE))

    def test_refusal_costs_no_retry(self):
        """A target refuses a request that never started there.

        Retries are for lost work. If refusals used them, the budget would be
        exhausted when many targets leave at the same time.
        """
        event = messages.StreamClosed(0, REASONS.REFUSED, 'a-1')
        self.verifier.handle(event, 10)
        self.assertEqual(self.retries, 2)
