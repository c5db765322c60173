"""Builders and fakes for the routing services."""

from __future__ import annotations

import asyncio
import random
import typing

import attrs

from tests import builders as common
from tests.domain.fleet import builders as fleet_builders
from thornspool import metrics
from thornspool.application import quarantine
from thornspool.application.routing import admission_control
from thornspool.application.routing import calls
from thornspool.application.routing import crash_detection
from thornspool.application.routing import failure_detection
from thornspool.application.routing import intake
from thornspool.application.routing import members
from thornspool.application.routing import path_finding
from thornspool.application.routing import ports
from thornspool.application.routing import retry_pools
from thornspool.application.routing import route_preview
from thornspool.application.routing import (
    routing_state as routing_state_module,
)
from thornspool.application.routing import run_permits
from thornspool.application.routing import server_evidence
from thornspool.application.routing import server_limits
from thornspool.application.routing import streams
from thornspool.domain.clients import limits
from thornspool.domain.entries import messages as entries
from thornspool.domain.entries import view as view_module
from thornspool.domain.fleet import links as links_module
from thornspool.domain.freshness import age_limits
from thornspool.domain.paths import reservations
from thornspool.domain.routing import messages as routing
from thornspool.platform import peer_calls

HOST = 'desk.example'
FAR_FUTURE = 2**62

LIMITS = age_limits.compute_limits(5_000, 2_000)
_tasks = set()


def build_route(prefix, kind, service, **changes):
    """Build a route with the defaults of these tests."""
    values = {
        'name': f'route-{prefix.strip("/")}',
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'shares': (routing.Share(service, 1.0),),
        'timeout_ms': 20_000,
        'target_latency_ms': 500,
        'attempts': 2,
    }
    values.update(changes)
    return routing.Route(**values)


def build_configuration(version=1, **changes):
    """Build a configuration with routes of each kind."""
    routes = [
        build_route(
            '/brief/', routing.Kind.STREAMING, 'drafting', resumable=True
        ),
        build_route('/once/', routing.Kind.STREAMING, 'drafting'),
        build_route('/read/', routing.Kind.IDEMPOTENT, 'ledger'),
        # Two attempts, so that only the kind of the route prevents a second
        # run of the action.
        build_route(
            '/hold/', routing.Kind.NON_IDEMPOTENT, 'ledger', attempts=2
        ),
        build_route(
            '/open/', routing.Kind.IDEMPOTENT, 'ledger', anonymous=True
        ),
    ]
    values = {
        'version': version,
        'routes': routing.group_routes(routes),
        'services': {
            'drafting': routing.Service(
                'drafting', fleet_builders.build_model()
            ),
            'ledger': routing.Service('ledger'),
        },
        'workspaces': {'key-1': routing.Workspace('north')},
        'needs_keys': True,
        'client_limits': limits.ClientLimits(),
    }
    values.update(changes)
    return routing.Configuration(**values)


def build_request(path='/brief/x', number=1, **changes):
    """Build the request of a caller."""
    values = {
        'id': f'request-{number}',
        'method': 'POST',
        'target': path,
        'host': HOST,
        'headers': (),
        'body': b'{}',
        'key': 'key-1',
        'timeout_ms': 20_000,
        'arrived_at': 0,
        'prompt_tokens': 760.0,
        'output_tokens': 170.0,
    }
    values.update(changes)
    return ports.Request(**values)


def build_record(host='a-00', domain='a'):
    """Build the registration of an entry."""
    return entries.Record(
        host, f'{host}-1', domain, f'{host}:80', f'{host}:90'
    )


def start_task(coroutine):
    """Run a coroutine as a task; drop it in tests without an event loop."""
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        coroutine.close()
        return
    _tasks.add(task := loop.create_task(coroutine))
    task.add_done_callback(_tasks.discard)


def build_limits(clock, routing_state):
    """Build the limits of servers at the only entry of a fleet."""
    return server_limits.ServerLimits(
        clock,
        routing_state,
        view_module.View(build_record()),
        lambda address, message: None,
    )


def build_quarantine(clock):
    """Build the quarantine of the only entry of a fleet."""
    record = build_record()
    return quarantine.QuarantineService(
        members.RegisteredMembers(clock, view_module.View(record)),
        record.incarnation,
        peer_calls.PeerCalls(
            record.incarnation, lambda address, call: None, start_task
        ),
        clock,
        random.Random(1).random,
        run_permits.SUSPECT_DEATHS,
    )


def build_evidence(clock, routing_state, servers):
    """Build the evidence of an entry that a further server answers always."""
    links = links_module.Links()
    links.record_answer('always', FAR_FUTURE)
    return server_evidence.ServerEvidence(
        clock, routing_state, servers, links, random.Random(1), start_task
    )


def build_permits(clock, routing_state, servers):
    """Build the permits of runs at the only entry of a fleet."""
    crashes = crash_detection.CrashDetector(
        clock,
        routing_state,
        build_evidence(clock, routing_state, servers),
        build_limits(clock, routing_state).try_acquire,
        start_task,
    )
    return run_permits.RunPermits(build_quarantine(clock), crashes, start_task)


class FakeResponseWriter:
    """Records the answer that a caller receives."""

    def __init__(self):
        self.status = None
        self.headers = ()
        self.body = b''
        self.whole = False
        self.aborted = False
        self.reason = ''
        self.retry_after_ms = None
        self.is_relay_refused = False
        self.relayed_sends = None
        self._on_close = lambda: None
        self._has_left = False

    def set_disconnect_callback(self, callback):
        self._on_close = callback
        if self._has_left:
            callback()

    def leave(self):
        """Close the connection from the caller's side."""
        self._has_left = True
        self._on_close()

    def refuse(self, status, reason, retry_after_ms=None):
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.whole = True

    def refuse_relay(
        self,
        status=503,
        reason='relay_refused',
        retry_after_ms=None,
        sends=None,
    ):
        self.is_relay_refused = True
        self.relayed_sends = sends
        self.refuse(status, reason, retry_after_ms)

    def begin(self, status, headers):
        self.status = status

    def write(self, chunk):
        self.body += chunk

    def finish(self):
        self.whole = True

    def abort(self):
        self.aborted = True

    def send(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = True


class FailingResponseWriter(FakeResponseWriter):
    """Can't write the responses of servers, as their heads can't be sent.

    With `fails_always` it can write no other response either.
    """

    def __init__(self, fails_always=False):
        super().__init__()
        self.fails_always = fails_always

    def begin(self, status, headers):
        raise ValueError('head')

    def send(self, status, headers, body):
        raise ValueError('head')

    def refuse(self, status, reason, retry_after_ms=None):
        if self.fails_always:
            raise ValueError('refusal')
        super().refuse(status, reason, retry_after_ms)


@attrs.define(eq=False)
class FakeRun:
    """A run at a server, whose output the test provides."""

    run: ports.Run
    listener: ports.ResponseListener
    on_notice: typing.Callable
    stopped: bool = False

    def begin(
        self,
        status=200,
        executed=True,
        fault='',
        is_authentic=True,
        is_event_stream=False,
        **statements,
    ):
        """Send the head; ``statements`` are fields of a `ServerNotice`."""
        self.on_notice(
            self.run.server, ports.ServerNotice(is_authentic, **statements)
        )
        self.listener.handle_head(
            ports.ResponseHead(
                status,
                (),
                executed,
                fault,
                None,
                is_authentic,
                is_event_stream=is_event_stream,
            )
        )

    def send(self, first, end):
        """Send complete events with the numbers from `first` to `end` - 1."""
        for number in range(first, end):
            self.listener.handle_body(b'id: %d\ndata: x\n\n' % number)

    def end(self, ending=ports.Completion.COMPLETE):
        self.listener.handle_completion(ending)

    def refuse(self, status=503, fault='', **statements):
        """Answer that the request was not run."""
        self.begin(
            status,
            executed=False,
            fault=fault,
            is_authentic=False,
            **statements,
        )
        self.end()

    def answer(self, status=200, body=b'done', **statements):
        """Send a complete answer."""
        self.begin(status, **statements)
        self.listener.handle_body(body)
        self.end()


class FakeServerClient:
    """Records calls to servers and returns answers set by the test."""

    def __init__(self, on_notice=lambda server, notice: None):
        self.on_notice = on_notice
        self.runs = []
        self.reports = {}
        self.checks = {}
        self.checked = []
        self.probed = []
        self.orders = []
        self.order_results = []
        self.reroutes = []
        self.reroute_result = ports.OrderResult.BEGUN

    @property
    def last(self):
        """The latest run."""
        return self.runs[-1]

    def send(self, run, listener):
        fake = FakeRun(run, listener, self.on_notice)
        self.runs.append(fake)

        def stop():
            fake.stopped = True

        return stop

    async def probe(self, server, wait_ms=ports.REPORT_MS):
        self.probed.append(server.id)
        return self.reports.get(server.id)

    async def check(self, server, wait_ms=ports.CHECK_MS):
        self.checked.append(server.id)
        return self.checks.get(server.id, ports.ProcessCheck(True))

    async def assign_layers(self, server, layers, order_count):
        self.orders.append((server.id, layers, order_count))
        if self.order_results:
            return self.order_results.pop(0)
        return ports.OrderResult.BEGUN

    async def reroute(self, request, hops):
        self.reroutes.append((request, hops))
        return self.reroute_result


class World:
    """Services of an entry with two model replicas and three plain servers."""

    def __init__(self, slack=100.0, entries=1):
        self.clock = common.FakeClock()
        self.routing_state = routing_state_module.RoutingState()
        self.servers = FakeServerClient(
            lambda server, notice: self.routing_state.record_notice(
                server, notice, self.clock.now()
            )
        )
        self.limits = build_limits(self.clock, self.routing_state)
        self.reserved = reservations.Reservations()
        self.budget = retry_pools.RetryPools(
            self.clock, 0.2, slack, 10_000, lambda: 1
        )
        common_arguments = (self.clock, self.routing_state)
        self.evidence = build_evidence(*common_arguments, self.servers)
        self.crashes = crash_detection.CrashDetector(
            *common_arguments,
            self.evidence,
            self.limits.try_acquire,
            start_task,
        )
        self.quarantine = build_quarantine(self.clock)
        self.permits = run_permits.RunPermits(
            self.quarantine, self.crashes, start_task
        )
        source = random.Random(1)
        self.control = admission_control.AdmissionControl(
            self.clock, lambda: entries, random.Random(1)
        )
        self.streams = streams.StreamService(
            *common_arguments,
            path_finding.PathFinder(
                *common_arguments,
                self.limits,
                self.reserved,
                self.budget,
                self.control,
                'a',
                source,
            ),
            self.permits,
            self.reserved,
            self.evidence,
            self.budget,
            source,
        )
        self.calls = calls.CallService(
            *common_arguments,
            self.limits,
            self.permits,
            self.evidence,
            self.budget,
            'a',
            random.Random(1),
        )
        self.failure_detector = failure_detection.FailureDetector(
            *common_arguments,
            self.streams,
            self.evidence,
            random.Random(1),
            lambda: 1,
        )
        self.metrics = metrics.Metrics()
        self.intake = intake.Intake(
            *common_arguments,
            self.streams,
            self.calls,
            self.metrics,
            LIMITS,
            random.Random(1),
            lambda age_ms: self.others_serve,
        )
        self.others_serve = False
        self.routing_state.apply_configuration(build_configuration())
        self.routing_state.freshness.confirm(0)
        for failure_domain in ('a', 'b'):
            self.add_replica(failure_domain)
        for number, domain in enumerate('abc'):
            self.add(
                fleet_builders.build_server(
                    f'{domain}-9{number}', service='ledger', slots=6
                )
            )

    def isolate(self):
        """Let no server answer the checks of this entry."""
        self.evidence.links.forget_old(FAR_FUTURE, -1)
        for name in self.routing_state.servers:
            self.servers.checks[name] = ports.ProcessCheck(None)

    def add_replica(self, failure_domain):
        """Add the engines of a model replica in a failure domain."""
        for number, (first, end) in enumerate(((0, 27), (27, 54), (54, 80))):
            self.add(
                fleet_builders.build_engine(
                    f'{failure_domain}-{number}', 'large', first, end
                )
            )

    def add(self, server):
        """Add a server to the server list."""
        self.routing_state.apply_server(server, self.clock.now())

    def replace(self, server, **changes):
        """Let a later process answer at a server's address, and list it."""
        changes.setdefault('started_at', server.started_at + 1)
        later = attrs.evolve(server, **changes)
        self.servers.checks[server.id] = ports.ProcessCheck(
            True, later.started_at
        )
        self.add(later)
        return later

    def serve(self, path='/brief/x', number=1, **changes):
        """Serve a request and return the reply that its caller receives."""
        return self.serve_with(FakeResponseWriter(), path, number, **changes)

    def serve_with(self, reply, path='/brief/x', number=1, **changes):
        """Serve a request whose answer a reply of the test receives."""
        changes.setdefault('arrived_at', self.clock.now())
        self.intake.serve(build_request(path, number, **changes), reply)
        return reply

    def advance(self, milliseconds, step=25, look=False):
        """Advance the clock and call the periodic methods.

        The check for stalled streams sends probes, so it needs a running event
        loop.
        """
        for _ in range(0, milliseconds, step):
            self.clock.advance(step)
            self.routing_state.freshness.confirm(self.clock.now())
            self.streams.tick()
            self.calls.tick()
            self.limits.tick()
            if look:
                self.failure_detector.check_idle_streams()
            self.routing_state.purge_expired(self.clock.now())


def build_services(world):
    """Build what a dry run of routing needs of an entry."""
    return route_preview.Services(
        world.clock,
        world.routing_state,
        world.intake,
        world.streams,
        world.calls,
    )


def serve_with_priority(world, priority, name):
    """Serve a request of a workspace with a priority."""
    configuration = world.routing_state.configuration
    workspaces = dict(configuration.workspaces)
    workspaces[name] = routing.Workspace(name, priority)
    world.routing_state.configuration = attrs.evolve(
        configuration, workspaces=workspaces
    )
    return world.serve(key=name, id=name)
