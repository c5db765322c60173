"""Detection of lost and slow engines from stalled streams.

When an engine is lost, the engines that depend on it wait for seconds before
they report it, but callers abandon a stream after two seconds without an
event. The detector therefore probes the engines that stalled streams have in
common as soon as the streams stall, and the first engine of a stream that
stays stalled, which knows the engine that it waits for.
"""

from __future__ import annotations

import asyncio
import collections
import typing

import structlog

from thornspool import tasks
from thornspool.application.routing import probe_budget
from thornspool.application.routing import rerouting
from thornspool.application.routing import (
    routing_state as routing_state_module,
)
from thornspool.domain.fleet import slowdowns as slowdowns_module
from thornspool.domain.fleet import sweeps
from thornspool.domain.paths import stalls

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import in_flight as in_flight_module
    from thornspool.application.routing import ports
    from thornspool.application.routing import server_evidence
    from thornspool.application.routing import streams
    from thornspool.domain.fleet import messages as fleet

FIRST_EVENT_PROBE_MS = 450
"""Idle time before the first event after which the first engine is probed.

Engines process a usual prompt in 30 to 100 ms; callers aim at 500 ms for the
first event.
"""

STALL_PROBE_MS = 350
"""Idle time between events after which the first engine is probed.

Usual event intervals are 30 to 60 ms, and the engine's own report is 200 ms
old.
"""

LATE_FIRST_EVENT_MS = 180
"""Idle time before the first event after which all engines of a path are
probed for their speed.

This is three times the usual 60 ms.
"""

LATE_EVENT_MS = 150
"""Idle time between events after which all engines are probed for their speed.

Callers count a stream as late from an event interval of 200 ms.
"""

SLOWDOWN_RECHECK_MS = (500, 1_000)
"""Range of the age at which the slowdown factor of a slow engine is renewed.

The first entry that probes the engine reports the result to its peers, so that
about one entry sends a probe. While an engine that has recovered still counts
as slow, the other engines carry its load.
"""

FAILOVER_IDLE_MS = 1_500
"""Idle time after which a stream leaves its path without a known cause.

Callers abandon a stream after 2 s.
"""

_MS_PER_S = 1000.0

LOSS_PROBE_TIMEOUT_MS = 40
"""Longest wait for the report of an engine that may be lost.

A healthy engine answers within some 10 ms.
"""

SECOND_PROBE_DELAY_MS = 20
"""Time after which an engine that may be lost is probed a second time.

A lost packet affects only one probe; the engine counts as lost when both
probes stay unanswered.
"""

MAX_PROBE_DELAY_MS = 15
"""Delay of this entry above which an unanswered short probe is ignored.

The answer may have arrived without having been read.
"""

MAX_CHECK_DELAY_MS = 50
"""Time between two checks, 25 ms apart, above which this entry counts as busy.

Events and answers that arrived in the meantime have not been read yet, so that
sound streams and engines seem to stall.
"""

BUSY_SETTLE_MS = 75
"""Time after a late check for which idle times and unanswered short probes are
ignored; the backlog of a busy entry is processed by then."""

MAX_TICK_DELAY_MS = 500
"""Delay of a tick above which idle times are ignored.

The entry was suspended, and what it measured in that time is wrong.
"""

logger = structlog.get_logger(__name__)


class FailureDetector:
    """Detects failed and slow engines from the streams of an entry.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    routing_state : routing_state_module.RoutingState
        Routing state in which suspected servers are recorded.
    service : streams.StreamService
        Service whose streams are watched.
    evidence : server_evidence.ServerEvidence
        Client for the servers, and what counts against them.
    random_source : random.Random
        Spreads the probes of many entries over time.
    count_entries : callable
        Returns the number of entries that send probes.
    announce_suspects : callable, optional
        Sends the suspected servers to peers.

    Attributes
    ----------
    start_task : callable
        Runs a coroutine as a background task.
    is_link_busy : callable
        Returns whether the link of this host is busy.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        service: streams.StreamService,
        evidence: server_evidence.ServerEvidence,
        random_source: random.Random,
        count_entries: Callable[[], int],
        announce_suspects: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._service = service
        self._evidence = evidence
        self._servers = evidence.servers
        self._random = random_source
        self._count_entries = count_entries
        self._announce_suspects = announce_suspects
        self.start_task = tasks.BackgroundTasks(clock).start
        self._probe_budget = probe_budget.ProbeBudget(
            clock.now(), self._compute_engines_per_entry
        )
        self._last_tick_at = clock.now()
        self._last_check_at = clock.now()
        self._busy_until = 0
        self.is_link_busy: Callable[[], bool] = lambda: False
        self._sweep = sweeps.Sweep()
        self._check_scheduled = False
        self._rerouter = rerouting.Rerouter(
            clock,
            service,
            evidence.servers,
            lambda work: self.start_task(work),
        )

    def _compute_engines_per_entry(self) -> float:
        """Compute the number of engines per entry that sends probes."""
        return len(self._routing_state.servers) / self._count_entries()

    def tick(self) -> None:
        """Check streams and engines; called about every 100 ms."""
        now = self._clock.now()
        delay_ms = now - self._last_tick_at
        self._last_tick_at = now
        if delay_ms > MAX_TICK_DELAY_MS:
            # This host was suspended. Events that arrived in the meantime
            # have not been read, so idle times say nothing about engines.
            logger.warning('entry_stood_still', milliseconds=delay_ms)
            for in_flight in self._service.in_flight_requests:
                in_flight.active_at = now
                for run in in_flight.open_runs:
                    run.active_at = now
            return
        for in_flight, run in self._list_running():
            with self._service.end_on_error(in_flight):
                self._check_stream(in_flight, run, now)
        self._probe_refusing(now)
        self._probe_late_streams(now)
        self._probe_slow(now)
        self._probe_swept(now)

    def check_idle_streams(self) -> None:
        """Check for streams that stall together; called every few ms."""
        now = self._clock.now()
        delay_ms = now - self._last_check_at
        self._last_check_at = now
        if delay_ms > MAX_CHECK_DELAY_MS or self.is_link_busy():
            self._busy_until = now + BUSY_SETTLE_MS
        if now < self._busy_until:
            return
        if self._evidence.links.are_lost:
            self._service.leave_lost_links()
            return
        self.reroute_from_suspects()
        suspicious = [
            self._routing_state.servers[server_id]
            for server_id in self._find_suspicious(now)
            if server_id in self._routing_state.servers
            and server_id not in self._routing_state.suspicions
        ]
        selected = [
            server for server in suspicious if self._acquire_probe(server, now)
        ]
        if selected:
            self.start_task(self._probe_suspicious(selected))

    def _find_suspicious(self, now: int) -> list[str]:
        """Find the engines that stalled streams have in common."""
        return stalls.find_suspects(
            (
                run.engines,
                self._service.count_idle_intervals(in_flight, run, now),
            )
            for in_flight, run in self._list_running()
            if in_flight.events.count
        )

    def _schedule_check(self, after_ms: float) -> None:
        """Schedule another check for when the next stream becomes overdue.

        Parameters
        ----------
        after_ms : float
            Milliseconds until the check.
        """
        if not self._check_scheduled:
            self._check_scheduled = True
            self.start_task(self._check_later(after_ms))

    async def _check_later(self, after_ms: float) -> None:
        await asyncio.sleep(max(1.0, after_ms) / _MS_PER_S)
        self._check_scheduled = False
        self.reroute_from_suspects()

    def _list_running(
        self,
    ) -> list[
        tuple[in_flight_module.InFlightRequest, in_flight_module.OpenRun]
    ]:
        """List the running streams with their latest runs."""
        return [
            (in_flight, in_flight.latest)
            for in_flight in self._service.in_flight_requests
            if in_flight.latest is not None and not in_flight.rerouting
        ]

    def reroute_from_suspects(self) -> None:
        """Reroute streams away from suspected engines.

        The most urgent come first, then the oldest, as the retries and the
        memory that they need elsewhere are limited.
        """
        if not self._routing_state.suspicions:
            return
        for in_flight, run in sorted(
            self._list_running(), key=lambda one: one[0].rank
        ):
            with self._service.end_on_error(in_flight):
                if run in in_flight.open_runs and not (
                    self._service.end_proven(in_flight, run)
                ):
                    self._reroute_from_suspects(in_flight, run)

    def _probe_refusing(self, now: int) -> None:
        """Probe the engines that have refused requests.

        The first engine of a path refuses a request on behalf of an engine
        that is lost just as on behalf of one that is full. Without a probe,
        requests were sent to a lost engine again and again while the store,
        and with it the server list, was unavailable.
        """
        candidates, self._routing_state.probe_candidates = (
            self._routing_state.probe_candidates,
            set(),
        )
        for server_id in candidates:
            server = self._routing_state.servers.get(server_id)
            if server is not None:
                self._probe_within_budget(server, now)

    def _check_stream(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        now: int,
    ) -> None:
        if self._reroute_from_suspects(in_flight, run):
            return
        idle_ms = now - run.active_at
        has_events = in_flight.events.count > 0
        if idle_ms < (STALL_PROBE_MS if has_events else FIRST_EVENT_PROBE_MS):
            return
        if idle_ms >= _compute_failover_idle(
            in_flight
        ) and self._service.may_retry(in_flight):
            in_flight.exchange.exclude(run.engines, now)
            self._service.fail_over(in_flight, 'silent')
            return
        if now - run.probed_at >= probe_budget.PROBE_INTERVAL_MS:
            run.probed_at = now
            self._probe_unless_recent(run.first_server, now)

    def _probe_late_streams(self, now: int) -> None:
        """Probe the engines of late streams for their speed.

        The engines that most late streams have in common are probed first:
        they are the most likely cause, and the number of probes is limited.
        """
        late_engines: collections.Counter[str] = collections.Counter()
        for in_flight in self._service.in_flight_requests:
            run = in_flight.latest
            if run is not None and self._is_late(in_flight, run, now):
                late_engines.update(run.engines)
        for server_id, _ in late_engines.most_common():
            if self._routing_state.slowdowns.is_fresh(server_id, now):
                continue
            server = self._routing_state.servers.get(server_id)
            if server is not None and not self._probe_within_budget(
                server, now
            ):
                return

    def _is_late(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        now: int,
    ) -> bool:
        if not in_flight.is_streamed:
            return False
        idle_ms = now - run.active_at
        has_events = in_flight.events.count > 0
        return idle_ms >= (
            LATE_EVENT_MS if has_events else LATE_FIRST_EVENT_MS
        )

    def _probe_within_budget(self, server: fleet.Server, now: int) -> bool:
        """Probe an engine if the budget allows it.

        Returns
        -------
        bool
            False when the probe budget is used up for now.
        """
        if not self._probe_budget.has_capacity(now):
            return False
        if self._acquire_probe(server, now):
            self.start_task(self._probe(server))
        return True

    def _acquire_probe(self, server: fleet.Server, now: int) -> bool:
        """Use up one probe of the budget, and of the engine's limit if any."""
        return (
            self._service.limits.has_room(server.id)
            and self._probe_budget.acquire(server, now)
            and self._service.limits.try_acquire(server.id)
        )

    def _probe_slow(self, now: int) -> None:
        """Probe slow engines again before their slowdown factors expire."""
        slow = self._routing_state.slowdowns.select(
            self._routing_state.servers, now
        )
        for server_id in slow:
            age_ms = self._random.randint(*SLOWDOWN_RECHECK_MS)
            if not self._routing_state.slowdowns.is_fresh(
                server_id, now, age_ms
            ):
                self._probe_within_budget(
                    self._routing_state.servers[server_id], now
                )

    def _begin_sweep(self, service: str, now: int) -> None:
        """Start a sweep of a service after one of its engines became slow."""
        server_ids = [
            server_id
            for server_id, server in self._routing_state.servers.items()
            if server.service == service
        ]
        self._sweep.begin(server_ids, self._random, now)

    def _probe_swept(self, now: int) -> None:
        for server_id in self._sweep.pop_batch():
            server = self._routing_state.servers.get(server_id)
            if server is None or self._routing_state.slowdowns.is_fresh(
                server_id, now
            ):
                continue
            self._probe_unless_recent(server, now)

    def _probe_unless_recent(self, server: fleet.Server, now: int) -> None:
        if (
            self._service.limits.has_room(server.id)
            and self._probe_budget.record_probe(server, now)
            and self._service.limits.try_acquire(server.id)
        ):
            self.start_task(self._probe(server))

    def _reroute_from_suspects(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
    ) -> bool:
        """Reroute a stream when an engine of its path is suspected.

        Returns
        -------
        bool
            Whether the stream has to leave its path.
        """
        suspected = [
            server_id
            for server_id in run.engines
            if server_id in self._routing_state.suspicions
        ]
        if not suspected:
            return False
        idle_intervals = self._service.count_idle_intervals(
            in_flight, run, self._clock.now()
        )
        has_events = in_flight.events.count > 0
        needed_intervals = stalls.STALL_INTERVALS
        if has_events:
            needed_intervals = stalls.CONFIRMING_INTERVALS
        if idle_intervals < needed_intervals:
            # The stream is not overdue, so the suspicion may be wrong.
            interval_ms = self._service.compute_event_interval(in_flight)
            self._schedule_check(
                (needed_intervals - idle_intervals) * interval_ms
            )
            return False
        self._rerouter.reroute(in_flight, suspected)
        return True

    async def _probe(self, server: fleet.Server) -> None:
        """Probe an engine for its speed and the servers it waits for."""
        probed_at = self._clock.now()
        report = await self._servers.probe(server)
        if report is None:
            self._evidence.record_unanswered_probe(server, probed_at)
            return
        self._apply_report(server, report)

    async def _probe_suspicious(self, servers: list[fleet.Server]) -> None:
        """Probe engines that may be lost, with a short timeout."""
        probed_at = self._clock.now()
        answers = await asyncio.gather(
            *(self._is_unresponsive(server) for server in servers),
            return_exceptions=True,
        )
        unresponsive = []
        for server, answer in zip(servers, answers, strict=True):
            if isinstance(answer, BaseException):
                # An engine whose answer can't be handled has answered.
                logger.error('probe_failed', server=server.id, exc_info=answer)
            elif answer:
                unresponsive.append(server)
        if unresponsive and self._is_busy():
            logger.info(
                'silence_doubted',
                servers=len(unresponsive),
                waited=self._clock.now() - probed_at,
            )
            return
        for server in unresponsive:
            self._evidence.record_unanswered_probe(
                server,
                probed_at,
                LOSS_PROBE_TIMEOUT_MS,
                routing_state_module.NO_QUICK_REPORT,
                MAX_PROBE_DELAY_MS,
            )
        self._announce_losses()

    def _is_busy(self) -> bool:
        """Return whether this entry was too busy to read answers in time."""
        now = self._clock.now()
        return (
            now < self._busy_until
            or now - self._last_check_at > MAX_CHECK_DELAY_MS
        )

    def _announce_losses(self) -> None:
        """Announce lost engines to peers at once and reroute local streams.

        The streams of all entries stay stalled until their entry receives the
        announcement, and callers count every stall.
        """
        self._announce_suspects()
        self.reroute_from_suspects()

    async def _is_unresponsive(self, server: fleet.Server) -> bool:
        """Probe one engine and return whether it left both probes unanswered.

        An engine that refuses the connection is gone, which is recorded at
        once. An engine that does not answer in time gets a second probe in
        parallel to the first.
        """
        probed_at = self._clock.now()
        first_probe = asyncio.ensure_future(
            self._servers.probe(server, LOSS_PROBE_TIMEOUT_MS)
        )
        await asyncio.wait(
            {first_probe}, timeout=SECOND_PROBE_DELAY_MS / _MS_PER_S
        )
        elapsed_ms = self._clock.now() - probed_at
        report = first_probe.result() if first_probe.done() else None
        refused = first_probe.done() and elapsed_ms < SECOND_PROBE_DELAY_MS
        if report is None and not refused:
            remaining_ms = LOSS_PROBE_TIMEOUT_MS - SECOND_PROBE_DELAY_MS
            report = await self._servers.probe(server, remaining_ms)
            report = report or await first_probe
        if report is not None:
            self._apply_report(server, report)
        elif refused:
            self._evidence.record_unanswered_probe(
                server, probed_at, LOSS_PROBE_TIMEOUT_MS
            )
            self._announce_losses()
        return report is None and not refused

    def _apply_report(
        self, server: fleet.Server, report: ports.EngineReport
    ) -> None:
        now = self._clock.now()
        self._record_slowdown(server, report.slowdown_factor, now)
        for stalled in report.stalled:
            for one in self._routing_state.list_at_address(stalled.address):
                self._routing_state.suspect(one.id, 'stalls_others', now)

    def _record_slowdown(
        self, server: fleet.Server, factor: float, now: int
    ) -> None:
        if factor <= 0:
            return
        before = self._routing_state.slowdowns.get(server.id, now)
        self._routing_state.slowdowns.record_probe(server.id, factor, now)
        if before < slowdowns_module.SLOW_FACTOR <= factor:
            self._begin_sweep(server.service, now)
        if (before >= slowdowns_module.SLOW_FACTOR) is not (
            factor >= slowdowns_module.SLOW_FACTOR
        ):
            logger.info(
                'pace_changed',
                server=server.id,
                before=round(before, 1),
                pace=round(factor, 1),
            )


def _compute_failover_idle(in_flight: in_flight_module.InFlightRequest) -> int:
    """Compute the idle time after which a request leaves its path.

    An answer that is no stream arrives as a whole, so that its engines are
    idle until then. They have the time within which callers want it.
    """
    if in_flight.is_streamed:
        return FAILOVER_IDLE_MS
    return max(FAILOVER_IDLE_MS, in_flight.exchange.route.target_latency_ms)
