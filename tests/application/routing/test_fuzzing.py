"""Random histories of requests and faults, checked against a simple oracle.

Each history sends requests of all kinds. Servers respond, refuse, break the
connection, hang or disappear in any order, callers disconnect, and time
passes. The oracle counts how often servers executed each request.
"""

from __future__ import annotations

import collections
import random
import unittest

from tests.application.routing import builders
from thornspool.application.routing import ports

HISTORY_COUNT = 300
STEP_COUNT = 60
EVENT_COUNT = 6
PATHS = ('/brief/x', '/once/x', '/read/x', '/hold/x')
OUTCOMES = (
    'whole',
    'whole',
    'refuse',
    'not sent',
    'lost',
    'cut',
    'error',
    'forged',
    'moved',
)
SINGLE_EXECUTION_PATHS = ('/once/x', '/hold/x')
COMPLETE_STREAM = b''.join(
    b'id: %d\ndata: x\n\n' % number for number in range(EVENT_COUNT)
)


class History:
    """One random history of requests and faults."""

    def __init__(self, seed):
        self.source = random.Random(seed)
        self.world = builders.World(slack=self.source.choice((3.0, 1e6)))
        self.replies = {}
        self.executions = collections.Counter()
        self.open_runs = []
        self.collected_count = 0
        self.sent = {}

    def run_history(self):
        """Run the history to its end."""
        actions = (
            self.send_request,
            self.send_request,
            self.complete_run,
            self.complete_run,
            self.complete_run,
        )
        actions += (
            self.advance_clock,
            self.disconnect_caller,
            self.suspect_server,
            self.fail_over_stream,
        )
        for _ in range(STEP_COUNT):
            self.source.choice(actions)()
            self.collect_runs()
        while self.open_runs:
            self.complete_run()
            self.collect_runs()
        self.world.advance(21_000, 500)
        self.collect_runs()
        while self.open_runs:
            self.complete_run()
            self.collect_runs()
        self.world.advance(21_000, 500)

    def collect_runs(self):
        """Collect the runs that were sent since the last call."""
        runs = self.world.servers.runs
        self.open_runs.extend(runs[self.collected_count :])
        self.collected_count = len(runs)
        for run in self.open_runs:
            if run.stopped:
                # Its server may have executed it.
                self.executions[run.run.request.id] += 1
        self.open_runs = [run for run in self.open_runs if not run.stopped]

    def send_request(self):
        """Send a request as a caller."""
        number = len(self.replies)
        path = self.source.choice(PATHS)
        timeout_ms = self.source.choice((400, 3_000, 20_000))
        reply = self.world.serve(path, number, timeout_ms=timeout_ms)
        self.replies[f'request-{number}'] = (path, reply)

    def complete_run(self):
        """Complete a run with a random outcome."""
        self.collect_runs()
        if not self.open_runs:
            return
        run = self.source.choice(self.open_runs)
        self.open_runs.remove(run)
        outcome = self.source.choice(OUTCOMES)
        if outcome == 'refuse':
            run.refuse()
        elif outcome == 'moved':
            run.refuse(421, run.run.server.address)
        elif outcome == 'not sent':
            run.end(ports.Completion.NOT_SENT)
        else:
            self.executions[run.run.request.id] += 1
            self.execute_run(run, outcome)

    def execute_run(self, run, outcome):
        """Complete a run whose request the server executes."""
        if outcome == 'lost':
            run.end(ports.Completion.BROKEN)
        elif outcome == 'error':
            run.answer(500, b'failed')
        elif not run.run.hops:
            run.begin(is_authentic=outcome != 'forged')
            run.listener.handle_body(b'done'[: 2 if outcome == 'cut' else 4])
            broken = outcome == 'cut'
            run.end(
                ports.Completion.BROKEN
                if broken
                else ports.Completion.COMPLETE
            )
        else:
            self.stream_events(run, outcome)

    def stream_events(self, run, outcome):
        """Send events as an engine, all of them or up to the middle of one."""
        run.begin(is_authentic=outcome != 'forged')
        first = int(run.run.resume_after or -1) + 1
        if outcome != 'cut':
            run.send(first, EVENT_COUNT)
            run.end()
            return
        end = self.source.randint(first, EVENT_COUNT)
        run.send(first, end)
        if end < EVENT_COUNT:
            run.listener.handle_body(b'id: %d\nda' % end)
        run.end(
            self.source.choice(
                (ports.Completion.BROKEN, ports.Completion.COMPLETE)
            )
            if end < EVENT_COUNT
            else ports.Completion.BROKEN
        )

    def advance_clock(self):
        """Advance the clock by a random time."""
        self.world.advance(self.source.choice((25, 200, 1_000)))

    def disconnect_caller(self):
        """Disconnect a caller."""
        waiting = [
            reply
            for _, reply in self.replies.values()
            if not reply.whole and not reply.aborted
        ]
        if waiting:
            reply = self.source.choice(waiting)
            reply.disconnected = True
            reply.leave()

    def suspect_server(self):
        """Suspect a server."""
        name = self.source.choice(list(self.world.routing_state.servers))
        self.world.routing_state.suspect(
            name, 'not_reached', self.world.clock.now()
        )

    def fail_over_stream(self):
        """Make a stream fail over to another path."""
        in_flight_requests = [
            in_flight
            for in_flight in self.world.streams.in_flight_requests
            if in_flight.open_runs
        ]
        if in_flight_requests:
            in_flight = self.source.choice(in_flight_requests)
            self.world.streams.fail_over(in_flight, 'silent')


class FuzzingTest(unittest.TestCase):
    def test_responses_match_what_servers_executed(self):
        for seed in range(HISTORY_COUNT):
            with self.subTest(seed=seed):
                history = History(seed)
                history.run_history()
                for request_id, (path, reply) in history.replies.items():
                    self.check(history, request_id, path, reply)
                self.check_end(history)

    def check(self, history, request_id, path, reply):
        """Compare the response of a caller with what servers executed."""
        executions = history.executions[request_id]
        if path in SINGLE_EXECUTION_PATHS:
            self.assertLessEqual(executions, 1, request_id)
            if reply.status in {429, 503}:
                self.assertEqual(0, executions, request_id)
        if reply.status == 200 and reply.whole:
            self.assertGreaterEqual(executions, 1, request_id)
            streamed = path in {'/brief/x', '/once/x'}
            self.assertEqual(
                COMPLETE_STREAM if streamed else b'done', reply.body
            )
        disconnected = getattr(reply, 'disconnected', False)
        self.assertTrue(
            reply.whole or reply.aborted or disconnected, request_id
        )

    def check_end(self, history):
        """Check that no request, reservation or stream is left."""
        world = history.world
        self.assertEqual(0, world.intake.in_flight)
        self.assertEqual({}, world.reserved.local)
        self.assertEqual(set(), world.streams.in_flight_requests)
        self.assertEqual(set(), world.calls.calls)
