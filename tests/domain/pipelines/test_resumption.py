"""Stateful fuzz test of verifier and planner against a simple oracle."""

from __future__ import annotations

import random
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tests.domain.pipelines import builders
from thornspool.domain.pipelines import exceptions
from thornspool.domain.pipelines import frames
from thornspool.domain.pipelines import messages
from thornspool.domain.pipelines import planner
from thornspool.domain.pipelines import verifier

LENGTH = 6
SNAPSHOT = builders.build_snapshot(
    {
        'a-1': (0, 4),
        'b-1': (0, 2),
        'c-1': (2, 4),
        'a-2': (4, 8),
        'b-2': (4, 6),
        'c-2': (6, 8),
        'c-3': (0, 8),
    }
)
MODEL = SNAPSHOT.models['text']
CONSTANT_COSTS = planner.Costs(stage=lambda _: 1.0, link=lambda *_: 1.0)
NAMES = strategies.sampled_from(sorted(SNAPSHOT.targets))


class FakeEngine:
    """Stream of one attempt; it continues even after a cancellation."""

    def __init__(self, attempt, route, start):
        self.attempt = attempt
        self.route = route
        self.index = start

    def build_next(self):
        if self.index >= LENGTH:
            return frames.Frame('r', self.attempt, end=LENGTH)
        self.index += 1
        return builders.build_frame(
            self.route,
            self.index - 1,
            attempt=self.attempt,
            token=f'{self.index - 1} of attempt {self.attempt}',
        )


class Resumption(stateful.RuleBasedStateMachine):
    """A request whose streams are corrupted at random times."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.retries = 4
        self.random = random.Random(3)
        self.view = builders.FakeTargetView()
        self.delivered = []
        self.ended = None
        self.streams = []
        self.delayed = []
        bounds = verifier.Bounds(5_000, 300, 100)
        self.verifier = verifier.Verifier('r', bounds, self.take_retry)
        none = frozenset()
        self.execute([messages.Replan(0, none, none)])

    def take_retry(self):
        self.retries -= 1
        return self.retries >= 0

    def execute(self, commands):
        for command in commands:
            assert self.ended is None, 'a command after the end'
            if isinstance(command, messages.Deliver):
                self.check_tokens(command)
            elif isinstance(command, messages.Replan):
                self.plan(command)
            elif not isinstance(command, messages.Cancel):
                self.ended = command

    def check_tokens(self, command):
        """Check that the tokens are the next ones of the current attempt."""
        assert command.first_index == len(self.delivered)
        for text in command.texts:
            expected = f'{len(self.delivered)} of attempt {self.attempt}'
            assert text == expected, f'{text}, not {expected}'
            self.delivered.append(text)

    def plan(self, command):
        self.attempt = command.attempt
        try:
            usable = planner.list_usable(
                MODEL.stages, SNAPSHOT.targets, self.view, command.excluded
            )
            route = planner.plan_route(
                MODEL, usable, SNAPSHOT.targets, CONSTANT_COSTS, self.random
            )
        except exceptions.NoPipeline:
            reason = messages.Reason.NO_PIPELINE
            self.execute(self.verifier.fail(reason))
            return
        assert route.covers(MODEL.layers)
        assert not command.excluded & set(route.list_targets())
        start = len(self.delivered)
        self.streams.append(FakeEngine(command.attempt, route, start))
        self.handle(messages.Started(route))

    def handle(self, event):
        self.execute(self.verifier.handle(event, self.now))

    def receive(self, stream, *received):
        self.handle(messages.FramesReceived(stream.attempt, list(received)))

    def draw(self, data):
        return data.draw(strategies.sampled_from(self.streams))

    @stateful.rule(data=strategies.data(), count=strategies.integers(1, 4))
    def send_valid_frames(self, data, count):
        stream = self.draw(data)
        self.receive(stream, *(stream.build_next() for _ in range(count)))

    @stateful.rule(data=strategies.data())
    def lose_a_frame(self, data):
        self.draw(data).build_next()

    @stateful.rule(data=strategies.data())
    def duplicate_a_frame(self, data):
        stream = self.draw(data)
        frame = stream.build_next()
        self.receive(stream, frame, frame)

    @stateful.rule(data=strategies.data())
    def delay_a_frame(self, data):
        self.delayed.append(self.draw(data).build_next())

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule(data=strategies.data())
    def release_a_frame_on_any_stream(self, data):
        self.receive(self.draw(data), self.delayed.pop(0))

    @stateful.rule(data=strategies.data(), index=strategies.integers(0, 6))
    def cross_with_another_request(self, data, index):
        stream = self.draw(data)
        frame = builders.build_frame(
            stream.route,
            index,
            request='s',
            attempt=stream.attempt,
        )
        self.receive(stream, frame)

    @stateful.rule(data=strategies.data(), kind=strategies.integers(0, 3))
    def corrupt_receipts(self, data, kind):
        stream = self.draw(data)
        frame = stream.build_next()
        receipts = frame.receipts
        corrupted = (
            receipts[1:],
            receipts + receipts[-1:],
            [*receipts[:-1], (0, 1, 'x-1')],
            receipts[::-1] if len(receipts) > 1 else [],
        )[kind]
        frame.receipts = corrupted
        frame.token = 'corrupted'
        self.receive(stream, frame)

    @stateful.rule(data=strategies.data(), name=NAMES)
    def fail_at_a_stage(self, data, name):
        stream = self.draw(data)
        for reason in ('lost', 'leaving'):
            failure = frames.Frame(
                'r', stream.attempt, failed=reason, target=name
            )
            self.receive(stream, failure)

    @stateful.rule(data=strategies.data())
    def close_a_stream(self, data):
        self.handle(messages.StreamClosed(self.draw(data).attempt))

    @stateful.rule(data=strategies.data(), name=NAMES)
    def leave(self, data, name):
        states = list(builders.messages.Readiness)
        self.view.readiness[name] = data.draw(strategies.sampled_from(states))

    @stateful.rule(wait=strategies.integers(1, 400))
    def pass_time(self, wait):
        self.now += wait
        self.handle(messages.TimerExpired())

    @stateful.invariant()
    def a_finished_response_is_complete(self):
        if isinstance(self.ended, messages.Finish):
            assert self.ended.count == len(self.delivered) == LENGTH

    def teardown(self):
        self.now += 10_000
        self.handle(messages.TimerExpired())
        assert self.ended is not None, 'the request never ended'


class ResumptionTest(unittest.TestCase):
    def test_responses_are_complete_or_fail_explicitly(self):
        """Streams are broken, duplicated, mixed up, late and forged at random.

        In every case the caller must get a correct prefix of its response,
        and finally the complete response or an explicit failure.
        """
        stateful.run_state_machine_as_test(
            Resumption,
            settings=settings(
                max_examples=300,
                stateful_step_count=30,
                derandomize=True,
                deadline=None,
                database=None,
            ),
        )
