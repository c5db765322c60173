"""Builds, starts and drains one entry of the router on the platform."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import functools
import random
import signal
import sys
import typing

import attrs
import structlog

from thornspool import allocation
from thornspool import clock as clock_module
from thornspool import exceptions
from thornspool import logs
from thornspool import metrics as metrics_module
from thornspool import tasks
from thornspool.adapters import connections
from thornspool.adapters import servers as listeners
from thornspool.adapters import transfers
from thornspool.application import quarantine
from thornspool.application.routing import admission_control
from thornspool.application.routing import calls
from thornspool.application.routing import crash_detection
from thornspool.application.routing import failure_detection
from thornspool.application.routing import intake as intake_module
from thornspool.application.routing import members
from thornspool.application.routing import membership
from thornspool.application.routing import observed_servers
from thornspool.application.routing import path_finding
from thornspool.application.routing import placement
from thornspool.application.routing import registration
from thornspool.application.routing import relays
from thornspool.application.routing import retry_pools
from thornspool.application.routing import route_preview
from thornspool.application.routing import (
    routing_state as routing_state_module,
)
from thornspool.application.routing import run_permits
from thornspool.application.routing import server_evidence
from thornspool.application.routing import server_limits
from thornspool.application.routing import stored_verdicts
from thornspool.application.routing import streams
from thornspool.domain.clients import limits
from thornspool.domain.entries import leadership
from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module
from thornspool.domain.fleet import link_loads
from thornspool.domain.fleet import links as links_module
from thornspool.domain.fleet import refusals
from thornspool.domain.freshness import age_limits
from thornspool.domain.paths import reservations
from thornspool.platform import callers
from thornspool.platform import engines
from thornspool.platform import follower
from thornspool.platform import loop_delays
from thornspool.platform import peer_calls
from thornspool.platform import peer_gateway
from thornspool.platform import peers
from thornspool.platform import registry
from thornspool.platform import settings as settings_module
from thornspool.platform import state_metrics
from thornspool.platform import store as store_module

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from tornado import httputil

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

FAST_TICK_INTERVAL_MS = 25
"""Interval at which queued requests are retried and deadlines checked."""

DETECTION_INTERVAL_MS = 100
"""Interval of the check for stalled streams.

It is a third of the shortest idle time that counts as a stall.
"""

STATE_UPDATE_INTERVAL_MS = 200
"""Interval of state updates to peers; reports of engines lag as much."""

PLACEMENT_INTERVAL_MS = 100
"""Interval at which placement is planned."""

REGISTRATION_INTERVAL_MS = 200
"""Interval at which registration and leadership are checked."""

PURGE_INTERVAL_MS = 200
"""Interval at which removed servers and old suspicions are purged."""

USAGE_LOG_INTERVAL_MS = 10_000
"""Interval of the log line with the number of store calls."""

ACCEPT_NEW_MS = 2_500
"""Time after the stop signal in which new requests are still accepted.

Callers cache this address for up to two lookups. A later request could not
finish within the grace period.
"""

MIN_DRAIN_MS = 3_500
"""Minimum time for which a stopping entry responds.

Callers that still cache its address get a refusal that names the reason, and
not a connection error, and go to another entry.
"""

MAX_LOGGED_REQUESTS = 10
"""Number of requests listed in the log line at the end of a drain."""

FLUSH_TIMEOUT_MS = 200
"""Longest time for callers to read the rest of their responses."""

EXIT_MARGIN_MS = 500
"""Time between the exit and the end of the grace period.

Closing takes about 250 ms.
"""

CONNECTION_SHARES = {
    'callers': 0.45,
    'peers': 0.10,
    'lookups': 0.10,
    'readiness': 0.05,
    'metrics': 0.02,
}
"""Shares of all connections that clients of each listener may have open.

The rest is for calls to servers, peers and the store.
"""

_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


def make_parser() -> argparse.ArgumentParser:
    """Create the command-line parser."""
    parser = argparse.ArgumentParser(
        prog='thornspoold',
        description='Run one entry of the router on the platform. Its '
        f'settings file is named by {settings_module.FILE_VARIABLE}.',
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    parser.add_argument(
        '--log-level',
        default='info',
        choices=('debug', 'info', 'warning', 'error'),
        help='minimum level of log lines (default: info)',
    )
    parser.add_argument(
        '--share-memory',
        action='store_true',
        help='share scarce engine memory by the demand of all entries: by '
        'priority and by workspace',
    )
    parser.add_argument(
        '--decide-spillover',
        action='store_true',
        help='decide by the load of all failure domains which requests leave '
        'their domain',
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command-line arguments without the program name.

    Returns
    -------
    int
        0 after a drain, 1 if the entry failed, 2 for invalid settings.
    """
    options = make_parser().parse_args(arguments)
    try:
        settings = settings_module.read_settings(settings_module.find_file())
    except exceptions.ThornspoolError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        return EXIT_OK
    logs.configure_logs(options.log_level, settings.host, to_stdout=True)
    allocation.map_large_blocks()
    try:
        asyncio.run(_run_entry(settings, options))
    except exceptions.ThornspoolError as error:
        logger.error('entry_failed', reason=str(error))
        return EXIT_FAILED
    return EXIT_OK


async def _run_entry(
    settings: settings_module.NodeSettings, options: argparse.Namespace
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _check_reloaded_settings, settings)
    seed = random.SystemRandom().getrandbits(64)
    entry = Entry(
        settings,
        clock_module.Clock(),
        random.Random(seed),
        Features(options.share_memory, options.decide_spillover),
    )
    await entry.start()
    allocation.exempt_start_objects()
    logger.info(
        'entry_started',
        seed=seed,
        callers=settings.callers,
        store=settings.store,
    )
    await stopping.wait()
    await entry.stop()
    logger.info('entry_stopped')


def _check_reloaded_settings(settings: settings_module.NodeSettings) -> None:
    """Validate a changed settings file; new addresses need a restart."""
    try:
        reloaded = settings_module.read_settings(settings_module.find_file())
    except exceptions.ThornspoolError as error:
        logger.error('settings_refused', reason=str(error))
        return
    logger.info('settings_reloaded', changed=reloaded != settings)


@attrs.frozen
class Features:
    """Features that take effect only where a deployment asks for them.

    Attributes
    ----------
    shares_memory : bool
        Whether scarce engine memory is shared by the demand of all entries.
    decides_spillover : bool
        Whether the load of all failure domains decides which requests leave
        their domain.
    """

    shares_memory: bool = False
    decides_spillover: bool = False


class Entry:
    """One entry of the router.

    Parameters
    ----------
    settings : settings_module.NodeSettings
        Validated settings.
    clock : clock_module.Clock
        Source of time.
    random_source : random.Random
        Source of all random choices.
    features : Features, optional
        Features that the deployment asks for.
    """

    def __init__(
        self,
        settings: settings_module.NodeSettings,
        clock: clock_module.Clock,
        random_source: random.Random,
        features: Features | None = None,
    ) -> None:
        self._settings = settings
        self._features = features or Features()
        self._limits = age_limits.compute_limits(
            settings.bounds.withdrawn_key_ms, settings.bounds.configuration_ms
        )
        self._clock = clock
        self._random = random_source
        self._loop_delay = loop_delays.LoopDelay(FAST_TICK_INTERVAL_MS)
        self._link_load = link_loads.LinkLoad(settings.link_mbps)
        self._tasks = tasks.BackgroundTasks(clock)
        self._listeners: list[listeners.Listener] = []
        self._connections = connections.ConnectionManager(
            clock,
            limits.compute_capacity(
                settings.memory_mb,
                limits.find_descriptors(settings.descriptors),
            ),
        )

    async def start(self) -> None:
        """Open the listeners and start the periodic tasks."""
        self._build()
        await self._peer_socket.open(
            self._settings.ip, self._settings.peer_port
        )
        self._listen()
        self._start_tasks()

    def _start_tasks(self) -> None:
        self._failure_detector.start_task = self._tasks.start
        self._placement.start_task = self._tasks.start
        for work in (
            self._follower.run,
            self._follower.run_confirmations,
            self._run_quarantine,
        ):
            self._tasks.supervise(work)
        for interval_ms, periodic in (
            (REGISTRATION_INTERVAL_MS, self._register),
            (REGISTRATION_INTERVAL_MS, self._keep_verdicts),
            (FAST_TICK_INTERVAL_MS, self._tick_quickly),
            (DETECTION_INTERVAL_MS, self._detect),
            (STATE_UPDATE_INTERVAL_MS, self._send_updates),
            (PLACEMENT_INTERVAL_MS, self._plan),
            (USAGE_LOG_INTERVAL_MS, self._log_usage),
        ):
            self._tasks.run_periodically(interval_ms, periodic)

    async def stop(self) -> None:
        """Leave lookups, finish in-flight requests, then close."""
        started_at = self._clock.now()
        deadline = started_at + self._settings.bounds.grace_ms - EXIT_MARGIN_MS
        self._membership.set_state(messages.State.LEAVING)
        logger.info('drain_began', in_flight=self._intake.in_flight)
        self._caller_listener.disable_keep_alive()
        self._streams.set_shutdown_time(deadline)
        await self._registration.release_leadership()
        while True:
            now = self._clock.now()
            elapsed_ms = now - started_at
            if elapsed_ms >= ACCEPT_NEW_MS:
                self._intake.is_draining = True
            idle = self._intake.in_flight == 0
            if now >= deadline or (idle and elapsed_ms >= MIN_DRAIN_MS):
                break
            await asyncio.sleep(0.05)
        logger.info(
            'drain_ended',
            in_flight=self._intake.in_flight,
            left=self._describe_in_flight(),
        )
        self._tasks.cancel()
        for listener in self._listeners:
            await listener.stop(FLUSH_TIMEOUT_MS, self._intake.begin_closing)
        self._registration.stop_renewing()
        self._peer_socket.close()
        self._session.close()

    def _describe_in_flight(self) -> str:
        """Format the in-flight requests with their ages for the log."""
        now = self._clock.now()
        exchanges = [
            in_flight.exchange
            for in_flight in self._streams.in_flight_requests
        ]
        exchanges += [call.exchange for call in self._calls.calls]
        return ','.join(
            f'{exchange.request.id}:{now - exchange.request.arrived_at}ms'
            for exchange in exchanges[:MAX_LOGGED_REQUESTS]
        )

    def is_ready(self) -> bool:
        """Return whether this entry can serve callers."""
        return (
            self._membership.state is messages.State.SERVING
            and self._intake.is_current()
        )

    def _build(self) -> None:
        """Create the services and connect them."""
        settings, clock = self._settings, self._clock
        local_record = messages.Record(
            settings.host,
            f'{settings.host}-{self._random.getrandbits(48):012x}',
            settings.failure_domain,
            settings.callers,
            f'{settings.ip}:{settings.peer_port}',
        )
        self._metrics = metrics_module.Metrics()
        self._session = transfers.Session()
        store = store_module.Store(self._session, settings.store)
        self._store = store
        self._routing_state = routing_state_module.RoutingState()
        self._routing_state.refusals.jitter_factor = self._random.uniform(
            1.0, refusals.MAX_JITTER_FACTOR
        )
        self._view = view_module.View(local_record)
        self._leadership = leadership.Leadership(local_record.incarnation)
        self._peer_socket = peers.PeerSocket(
            self._apply_state_update,
            lambda change_set: self._follower.apply_change_set(change_set),
            lambda message: self._server_limits.apply_message(message),
            lambda call, address: self._peer_calls.receive(call, address),
        )
        self._build_quarantine(local_record.incarnation)
        self._follower = follower.Follower(
            clock,
            store,
            self._routing_state,
            self._view,
            self._leadership,
            self._limits,
            follower.Coordination(
                lambda: self._membership.is_feed_current(),
                lambda: self._membership.is_collector_cut_off(),
                self._send_feed,
                lambda: self._membership.is_follower(),
                lambda: self._membership.awaits_change_feed(),
                lambda: self._membership.hand_over_collecting(),
                self._random.random,
            ),
            self._verdicts,
        )
        held_reservations = reservations.Reservations()
        self._server_limits = server_limits.ServerLimits(
            clock,
            self._routing_state,
            self._view,
            self._peer_socket.send_limit_message,
        )
        budget = self._build_retry_budget()
        self._membership = membership.MembershipService(
            clock,
            self._view,
            self._routing_state,
            held_reservations,
            budget,
            self._peer_socket.send,
            lambda: self._follower.revision,
            self._send_missed_changes,
        )
        self._build_registration(budget)
        self._build_evidence()
        self._crashes = crash_detection.CrashDetector(
            clock,
            self._routing_state,
            self._evidence,
            self._server_limits.try_acquire,
            self._tasks.start,
        )
        permits = run_permits.RunPermits(
            self._quarantine,
            self._crashes,
            self._tasks.start,
            self._verdicts.keep,
        )
        self._streams = streams.StreamService(
            clock,
            self._routing_state,
            path_finding.PathFinder(
                clock,
                self._routing_state,
                self._server_limits,
                held_reservations,
                budget,
                self._build_admission_control(),
                settings.failure_domain,
                self._random,
            ),
            permits,
            held_reservations,
            self._evidence,
            budget,
            self._random,
        )
        self._calls = calls.CallService(
            clock,
            self._routing_state,
            self._server_limits,
            permits,
            self._evidence,
            budget,
            settings.failure_domain,
            self._random,
        )
        self._failure_detector = failure_detection.FailureDetector(
            clock,
            self._routing_state,
            self._streams,
            self._evidence,
            self._random,
            self._view.count_entries,
            self._membership.broadcast_failures,
        )
        self._placement = placement.PlacementService(
            clock,
            self._routing_state,
            self._server_limits,
            self._evidence,
            lambda: self._leadership.may_act(clock.now()),
            budget.estimate_rate,
        )
        self._build_relays(budget)
        self._build_intake()
        state_metrics.add_entry_metrics(
            self._metrics,
            state_metrics.MetricSources(
                clock,
                self._session,
                store,
                self._follower,
                self._routing_state,
                self._view,
                self._leadership,
                held_reservations,
                budget,
                self._membership,
                self._placement,
                self._intake,
                self._server_limits,
                self._crashes,
                self._evidence,
                self._relays,
                self._streams.paths,
                self._quarantine,
                self._loop_delay,
                self._tasks,
                self._connections,
            ),
        )

    def _build_retry_budget(self) -> retry_pools.RetryPools:
        """Create the budget of an entry that knows no past yet."""
        bounds = self._settings.bounds
        return retry_pools.RetryPools(
            self._clock,
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_ms,
            self._view.count_entries,
            self._random.getrandbits(32),
            is_past_known=False,
        )

    def _build_registration(self, budget: retry_pools.RetryPools) -> None:
        """Create the registration, which finds out about a first start."""
        self._registration = registration.RegistrationService(
            self._clock,
            self._view,
            self._leadership,
            registry.Registry(self._store),
            lambda: self._follower.previous_lease,
        )
        self._registration.is_start_recorded = lambda: (
            self._follower.is_start_recorded
        )
        self._registration.on_start_recorded = functools.partial(
            self._apply_first_start, budget
        )

    def _apply_first_start(self, budget: retry_pools.RetryPools) -> None:
        """Tell the retry budget that no entry has run before.

        Entries of an earlier version did not record their start, but they are
        listed while their leases last.
        """
        if self._follower.found_no_entry:
            budget.histories.assume_no_past()

    def _build_admission_control(self) -> admission_control.AdmissionControl:
        """Create the control that exchanges demand with the other entries."""
        control = admission_control.AdmissionControl(
            self._clock,
            self._view.count_entries,
            self._random,
            self._features.shares_memory,
        )
        if self._features.shares_memory:
            self._membership.exchange_admission(control)
        return control

    def _build_intake(self) -> None:
        """Create the service that requests of callers reach first."""
        self._intake: intake_module.Intake = intake_module.Intake(
            self._clock,
            self._routing_state,
            self._streams,
            self._calls,
            self._metrics,
            self._limits,
            self._random,
            lambda age_ms: self._view.has_current_peer(
                age_ms, self._clock.now()
            ),
        )
        self._intake.confirm_copy = self._follower.request_confirmation
        self._intake.find_newest_version = lambda: self._view.newest_version
        self._intake.describe_copy = self._describe_copy

    def _describe_copy(self) -> dict[str, typing.Any]:
        """Build the log fields on what is known of newer configurations."""
        return {
            'newest_peer_version': self._view.newest_version,
            'collector': self._view.collector_choice.current,
            'loop_delay_ms': self._loop_delay.read(self._clock.now()),
        }

    def _build_evidence(self) -> None:
        """Connect the client for servers with the evidence against them."""
        servers = observed_servers.ObservedServers(
            self._clock,
            engines.ServerClient(
                self._session,
                lambda server, notice: self._routing_state.record_notice(
                    server, notice, self._clock.now()
                ),
            ),
            lambda *answer: self._evidence.record_answer(*answer),
        )
        self._evidence = server_evidence.ServerEvidence(
            self._clock,
            self._routing_state,
            servers,
            links_module.Links(),
            self._random,
            self._tasks.start,
            self._server_limits.try_acquire,
            self._membership.broadcast_failures,
        )

    def _build_relays(self, budget: retry_pools.RetryPools) -> None:
        """Let peers serve requests while this entry reaches no server."""
        links = self._evidence.links
        self._relays = relays.RelayService(
            self._clock,
            self._view,
            links,
            peer_gateway.PeerGateway(self._session),
            budget,
            self._random,
        )
        self._streams.take_over = self._relays.take_over
        self._streams.offer_to_peers = self._relays.offer
        self._streams.has_linked_peer = self._relays.has_linked_peer
        self._calls.has_linked_peer = self._relays.has_linked_peer
        self._calls.take_over = self._relays.take_over
        self._membership.limits = self._limits
        self._membership.has_lost_links = lambda: links.are_lost
        self._failure_detector.is_link_busy = lambda: self._link_load.is_busy
        decides = self._features.decides_spillover
        self._streams.paths.spillover.is_enabled = decides
        self._calls.decides_spillover = decides
        self._registration.may_lead = self._evidence.may_lead

    def _build_quarantine(self, incarnation: str) -> None:
        self._peer_calls = peer_calls.PeerCalls(
            incarnation, self._peer_socket.send_call, self._tasks.start
        )
        self._quarantine = quarantine.QuarantineService(
            members.RegisteredMembers(self._clock, self._view),
            incarnation,
            self._peer_calls,
            self._clock,
            self._random.random,
            run_permits.SUSPECT_DEATHS,
            run_permits.MAX_SYNC_RECORDS,
        )
        self._verdicts = stored_verdicts.StoredVerdicts(
            self._quarantine, registry.Registry(self._store)
        )

    def _apply_state_update(
        self, state_update: messages.StateUpdate | messages.FailureNotice
    ) -> None:
        """Apply a peer's state update; reroute streams from its suspects."""
        self._membership.apply_update(state_update)
        if state_update.suspects:
            self._failure_detector.reroute_from_suspects()

    def _send_feed(self, change_set: follower.ChangeSet) -> int:
        """Send changes to the entries that use this one as collector."""
        receivers = self._membership.list_follower_addresses()
        if receivers and change_set.until > change_set.since:
            self._peer_socket.send_change_set(receivers, change_set)
        return len(receivers)

    def _send_missed_changes(self, address: str, since: int) -> None:
        """Send an entry the changes that it missed, if they are retained."""
        change_set = self._follower.find_changes_since(since)
        if change_set is not None:
            self._peer_socket.send_change_set([address], change_set)

    def _listen(self) -> None:
        settings = self._settings
        self._caller_listener = self._open(
            'callers',
            settings.callers,
            callers.CallerDelegate(
                self._clock,
                self._intake.serve,
                check_body=self._intake.check_body,
            ),
        )
        relay_intake = relays.RelayIntake(
            self._view,
            self._evidence.confirm_links,
            self._intake.serve,
            self._intake.count_relayed,
            self._intake.find_priority,
            self._intake.is_available,
        )
        self._peer_listener = self._open(
            'peers',
            f'{settings.ip}:{settings.peer_port}',
            callers.CallerDelegate(
                self._clock,
                relay_intake.serve,
                peer_gateway.decode_relayed_request,
                relay_intake.check_body,
            ),
        )
        self._open(
            'lookups',
            settings.lookups,
            callers.QueryDelegate(
                {
                    callers.LOOKUP_PATH: functools.partial(
                        callers.handle_lookup,
                        self._membership.list_addresses,
                        settings.bounds.max_address_ttl_s,
                    )
                }
            ),
        )
        self._open(
            'readiness',
            settings.readiness,
            callers.QueryDelegate(
                {
                    callers.READINESS_PATH: functools.partial(
                        callers.handle_readiness, self.is_ready
                    )
                }
            ),
        )
        self._open(
            'metrics',
            f'{settings.ip}:{settings.metrics_port}',
            callers.QueryDelegate(
                {
                    '/metrics': self._answer_metrics,
                    callers.ROUTE_PATH: functools.partial(
                        callers.handle_route, self._preview_route
                    ),
                }
            ),
        )

    def _open(
        self,
        name: str,
        address: str,
        delegate: httputil.HTTPServerConnectionDelegate,
    ) -> listeners.Listener:
        listener = listeners.Listener(
            address,
            None,
            name=name,
            manager=self._connections,
            share=CONNECTION_SHARES[name],
        )
        listener.start(delegate)
        self._listeners.append(listener)
        return listener

    def _preview_route(
        self, query: route_preview.Query
    ) -> route_preview.RoutePreview | None:
        return route_preview.preview_route(
            route_preview.Services(
                self._clock,
                self._routing_state,
                self._intake,
                self._streams,
                self._calls,
            ),
            query,
        )

    def _answer_metrics(
        self, _query: dict[str, str]
    ) -> tuple[int, bytes, str]:
        body, content_type = self._metrics.render()
        return 200, body, content_type

    async def _run_quarantine(self) -> None:
        """Fetch the records of the quarantine once peers are known."""
        while not self._view.peers:
            await asyncio.sleep(FAST_TICK_INTERVAL_MS / _MS_PER_S)
        await self._quarantine.run()

    async def _register(self) -> None:
        await self._registration.tick()

    async def _keep_verdicts(self) -> None:
        await self._verdicts.tick()

    async def _tick_quickly(self) -> None:
        self._loop_delay.record(self._clock.now())
        self._tasks.run_each(
            self._streams.tick,
            self._calls.tick,
            self._relays.tick,
            self._record_link_load,
            self._failure_detector.check_idle_streams,
            self._update_starting_state,
            self._membership.broadcast_failures,
            self._server_limits.tick,
        )

    def _record_link_load(self) -> None:
        self._link_load.record(
            self._session.received_bytes + self._peer_socket.passed_bytes,
            self._clock.now(),
        )

    def _update_starting_state(self) -> None:
        # While all entries start, lookups return no address, so this state is
        # checked at the shorter interval.
        if self._membership.state is messages.State.STARTING:
            self._update_state()

    async def _detect(self) -> None:
        self._tasks.run_each(
            self._failure_detector.tick,
            self._crashes.tick,
            self._evidence.tick,
            self._purge_expired,
        )

    def _purge_expired(self) -> None:
        self._routing_state.purge_expired(self._clock.now())

    async def _send_updates(self) -> None:
        self._tasks.run_each(self._update_state, self._membership.tick)

    def _update_state(self) -> None:
        configuration = self._routing_state.configuration
        if configuration is not None:
            self._connections.limits = configuration.client_limits
            for listener in self._listeners:
                listener.allow_body(configuration.client_limits.max_body_bytes)
        self._membership.update_state(
            configuration is not None,
            self._limits.key_ms,
        )

    async def _plan(self) -> None:
        self._placement.tick()

    async def _log_usage(self) -> None:
        """Log the number of store calls since the start, by kind."""
        calls = {
            kind.replace('-', '_'): count
            for kind, count in self._store.calls.items()
        }
        logger.info('store_used', collects=self._view.is_collector, **calls)


if __name__ == '__main__':
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(main())
