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

    def test_delivers_a_chunk_whole(self):
        commands = self.receive(self.build(0), self.build(1))
        self.assertEqual(commands, [messages.Deliver(0, ('0', '1'))])

    def test_finishes_on_the_right_count(self):
        end = frames.Frame('r', 0, end=1)
        commands = self.receive(self.build(0), end)
        self.assertEqual(
            commands, [messages.Deliver(0, ('0',)), messages.Finish(1)]
        )
        self.assertEqual(self.receive(self.build(1)), [])

    def test_drops_what_is_not_the_next_token(self):
        """Frames of others, of older attempts and repeats come in between.

        Passed on, the caller would read a stranger's text or words twice.
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
        """A stream runs on after the request has moved to another route.

        Its frames would be taken for the new attempt's if the stream that
        they came from were not looked at.
        """
        self.receive(self.build(1))
        self.verifier.handle(messages.Started(ROUTE), 10)
        late = self.build(0, attempt=1)
        self.assertEqual(self.receive(late, attempt=0), [])

    def test_resumes_elsewhere_and_names_the_suspect(self):
        """Something is wrong with the stream after its first token.

        Waiting on would leave the caller with half an answer; the rest is
        computed elsewhere, from the last verified token on.
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

    def test_stall_is_noticed_at_its_bound(self):
        """A link slows so much that tokens stop without any error.

        Without a bound the caller would wait until the deadline.
        """
        self.receive(self.build(0), now=10)
        self.assertEqual(self.verifier.read_wake(), 110)
        early = self.verifier.handle(messages.TimePassed(), 109)
        cancel, _ = self.verifier.handle(messages.TimePassed(), 110)
        self.assertEqual(early, [])
        self.assertEqual(cancel.reason, REASONS.STALLED)

    def stream(self, intervals, first=0, attempt=0, start=0):
        """Receive tokens; returns the time and the commands that were due."""
        now = start
        commands = []
        for index, interval in enumerate(intervals, first):
            while (wake := self.verifier.read_wake()) < now + interval:
                commands += self.verifier.handle(messages.TimePassed(), wake)
            now += interval
            if self.verifier.attempt != attempt:
                return now, commands
            frame = self.build(index, attempt=attempt)
            self.receive(frame, attempt=attempt, now=now)
        return now, commands

    def leave_out_checks(self, commands):
        """Return the commands that a caller may notice."""
        check = messages.CheckStages()
        return [command for command in commands if command != check]

    def test_a_link_that_slows_within_the_bound_is_left_once(self):
        """A link slows from 5 to 500 ms; each token still comes in time.

        No error shows and no stall: a draft of seconds takes minutes.
        """
        bounds = verifier.Bounds(10**6, 1_000, 1_000)
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        self.verifier.handle(messages.Started(ROUTE), 0)
        now, commands = self.stream([500] * 20)
        cancel, replan = self.leave_out_checks(commands)
        self.assertEqual(cancel.reason, REASONS.SLOWED)
        self.assertEqual(replan.avoided, frozenset(ROUTE.list_targets()))
        self.verifier.handle(messages.Started(ROUTE), now)
        first = len(self.verifier.tokens)
        _, commands = self.stream([500] * 20, first, 1, now)
        self.assertEqual(self.leave_out_checks(commands), [])

    def test_a_slow_link_without_a_retry_ends_nothing(self):
        """A link slows and the retry budget is spent.

        Slow tokens are better than a request that ends with an error.
        """
        bounds = verifier.Bounds(10**6, 1_000, 1_000)
        self.retries = 0
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        self.verifier.handle(messages.Started(ROUTE), 0)
        _, commands = self.stream([5] * 20 + [500] * 20)
        self.assertEqual(self.leave_out_checks(commands), [])
        self.assertEqual(len(self.verifier.tokens), 40)

    def test_a_silent_stage_is_left_before_its_route_is_slow(self):
        """The host of a stage vanishes; its connections stay open.

        A token is late for the same time as on a slow link, but the stage
        does not answer. Word of it that is old must not end the attempt.
        """
        bounds = verifier.Bounds(10**6, 1_000, 1_000)
        for name, token_after, attempt, left in (
            ('silent', False, 0, True),
            ('token came', True, 0, False),
            ('former attempt', False, -1, False),
        ):
            with self.subTest(name):
                self.setUp()
                self.verifier = verifier.Verifier('r', bounds, self.take_retry)
                self.verifier.handle(messages.Started(ROUTE), 0)
                self.receive(self.build(0), now=10)
                due = self.verifier.handle(messages.TimePassed(), 160)
                self.assertEqual(due, [messages.CheckStages()])
                self.assertEqual(self.verifier.read_wake(), 410)
                if token_after:
                    self.receive(self.build(1), now=170)
                silence = messages.StageSilent(attempt)
                commands = self.verifier.handle(silence, 180)
                self.assertEqual(bool(commands), left)

    def test_a_silent_stage_is_left_before_the_first_token(self):
        """Hosts vanish one after another before anybody knows of them.

        New requests would wait for the bound on a first token, 5 s, on
        each. Without a retry the wait goes on: a token may still come.
        """
        bounds = verifier.Bounds(10**6)
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        now = 0
        for attempt, left in ((0, True), (1, True), (2, False)):
            with self.subTest(attempt):
                self.verifier.handle(messages.Started(ROUTE), now)
                now = self.verifier.read_wake()
                due = self.verifier.handle(messages.TimePassed(), now)
                self.assertEqual(due, [messages.CheckStages()])
                silence = messages.StageSilent(attempt)
                commands = self.verifier.handle(silence, now)
                self.assertEqual(bool(commands), left)
        self.assertLess(now, 2_000)

    def test_usual_variation_is_not_slow(self):
        """Batches and prompts of others hold tokens up for a moment."""
        bounds = verifier.Bounds(10**6, 1_000, 1_000)
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        self.verifier.handle(messages.Started(ROUTE), 0)
        _, commands = self.stream([5, 30, 20, 5, 300, 10] * 10)
        self.assertEqual(self.leave_out_checks(commands), [])
        self.assertEqual(commands, [messages.CheckStages()] * 10)
        self.assertEqual(self.retries, 2)

    def test_ends_explicitly(self):
        """No retry is left, or the deadline passes.

        The request must end with a reason and never go on in silence.
        """
        self.retries = 0
        _, last = self.receive(self.build(5))
        self.assertEqual(last, messages.GiveUp(REASONS.NO_RETRY))
        self.setUp()
        _, last = self.verifier.handle(messages.TimePassed(), 10_000)
        self.assertEqual(last, messages.GiveUp(REASONS.DEADLINE))

    def test_refusal_costs_no_retry(self):
        """A target refuses work that never started there.

        Retries are for work that was lost; spent on refusals, none would be
        left while many targets leave at once.
        """
        event = messages.StreamClosed(0, REASONS.REFUSED, 'a-1')
        self.verifier.handle(event, 10)
        self.assertEqual(self.retries, 2)
