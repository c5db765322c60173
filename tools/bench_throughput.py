"""Measure the planner's throughput relative to the maximum-flow bound.

A discrete-event simulation: entries plan routes with delayed load reports,
engines of several kinds run steps with a maximum batch, and links differ by
a factor of 100 in latency and rate. The compared policies differ only in the
selection of routes.
"""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import json
import random
import typing

import attrs

from thornspool.domain.pipelines import report_requests
from thornspool.domain.pipelines import stage_times
from thornspool.domain.targets import messages
from tools import throughput_policies
from tools import throughput_world

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.pipelines import routes

SEEDS = (1, 2, 3)

_REPORT_LAG_MS = 250
_WARM_UP_MS = 10_000
_END_MS = 25_000
_TOKEN_RANGE = (40, 120)
_IN_FLIGHT_FACTOR = 3.0
_TYPICAL_CYCLE_MS = 100.0


@attrs.frozen
class Scenario:
    """Reports that are available to entries.

    Attributes
    ----------
    entries : int
        Entries that plan independently.
    report_ms : int
        Interval between load reports of an engine, in milliseconds; 0 for a
        single report at the start, when all engines are idle, which has
        their step times and batch limits.
    limits : report_requests.ReportLimits or None
        Rates at which entries request reports of loads and link times with
        a response; None if loads are published and every 16th token has the
        link times.
    """

    entries: int
    report_ms: int
    limits: report_requests.ReportLimits | None = None


PUBLISHED = Scenario(entries=6, report_ms=500)
STALE = Scenario(entries=60, report_ms=5_000)
"""Each entry sends 1/60 of the load, with reports that are seconds old."""

REQUESTED = Scenario(
    entries=60, report_ms=0, limits=report_requests.ReportLimits(0.043, 1.3)
)
"""The same rate of reports for each engine and link as at the design size.

At the design size, an entry requests 0.25 responses a second with the loads
of 4 of 288 engines, and 3 a second with the times of 3 of 42 links. In this
simulation a route has 2.4 of 30 engines and crosses about one of 6 links
between domains.
"""

REQUESTED_CURRENT = Scenario(
    entries=6, report_ms=0, limits=report_requests.compute_limits(6)
)

BuildPolicy = typing.Callable[
    [throughput_world.World, throughput_policies.LaggingView, int],
    throughput_policies.Policy,
]

_HOPS_REPORT_INTERVAL = 16

POLICIES: dict[str, BuildPolicy] = {
    'thornspool': throughput_policies.PlannerPolicy,
    'least_loaded': throughput_policies.build_least_loaded,
    'round_robin': throughput_policies.build_round_robin,
}


@attrs.define(eq=False)
class _Engine:
    """An engine with its queue and its current batch."""

    name: str
    step_ms: float
    max_batch: int
    queue: collections.deque[_Request] = attrs.field(factory=collections.deque)
    batch: list[_Request] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Request:
    """A request with its position on the route and its progress."""

    entry: int
    route: routes.Route
    remaining_tokens: int
    requested_reports: report_requests.ReportRequest
    completed_tokens: int = 0
    position: int = 0
    hops: list[float] = attrs.field(factory=list)
    meter: stage_times.TokenIntervalMeter = attrs.field(
        factory=stage_times.TokenIntervalMeter
    )


class Simulation:
    """Simulation of one policy with one set of engines and links.

    Parameters
    ----------
    world : throughput_world.World
        Engines and links.
    build_policy : callable
        Builds the policy of an entry.
    seed : int
        Seed of the lengths of responses and of the policies.
    scenario : Scenario, optional
        Reports that are available to entries.
    """

    def __init__(
        self,
        world: throughput_world.World,
        build_policy: BuildPolicy,
        seed: int,
        scenario: Scenario = PUBLISHED,
    ) -> None:
        self.tokens = 0
        self._scenario = scenario
        self._world = world
        self._random = random.Random(seed)
        self._views = self._build_views()
        self._policies = [
            build_policy(world, view, seed * 100 + entry)
            for entry, view in enumerate(self._views)
        ]
        self._engines = {
            name: _Engine(name, step_ms, max_batch)
            for name, (step_ms, max_batch) in world.kinds.items()
        }
        self._link_free: dict[tuple[str, str], float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._now = 0.0

    def run(self, requests: int) -> float:
        """Keep a number of requests in flight; return tokens a millisecond."""
        for number in range(requests):
            # Starts are spread out, so that later requests are planned with
            # the reports of the first ones.
            begin = self._random.uniform(0, _WARM_UP_MS / 2)
            entry = number % self._scenario.entries
            self._schedule(
                begin, functools.partial(self._start_request, entry)
            )
        self._schedule(0.0, self._report)
        while self._events and self._now < _END_MS:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.tokens / (_END_MS - _WARM_UP_MS)

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._event_numbers), action))

    def _build_views(self) -> list[throughput_policies.LaggingView]:
        """Build a view for each entry, or one view that all entries share."""
        count = self._scenario.entries
        if self._scenario.limits is None:
            return [throughput_policies.LaggingView()] * count
        return [throughput_policies.LaggingView() for _ in range(count)]

    def _report(self) -> None:
        for view in dict.fromkeys(self._views):
            self._publish_loads(view, self._engines)
        if self._scenario.limits is None:
            self._schedule(self._now + self._scenario.report_ms, self._report)

    def _publish_loads(
        self,
        view: throughput_policies.LaggingView,
        targets: typing.Iterable[str],
    ) -> None:
        """Publish the current loads of engines to a view after the lag."""
        published_at = self._now + _REPORT_LAG_MS
        reports = [
            messages.LoadReport(
                engine.name,
                int(published_at),
                messages.Readiness.READY,
                len(engine.batch),
                len(engine.queue),
                engine.max_batch,
                engine.step_ms,
            )
            for engine in map(self._engines.__getitem__, targets)
        ]
        self._schedule(published_at, lambda: view.publish(reports))

    def _start_request(self, entry: int) -> None:
        policy = self._policies[entry]
        route = policy.plan(int(self._now))
        requested_reports = report_requests.NO_REPORTS
        if self._scenario.limits is not None:
            requested_reports = policy.choose_reports(route, int(self._now))
        length = self._random.randint(*_TOKEN_RANGE)
        self._arrive(_Request(entry, route, length, requested_reports))

    def _arrive(self, request: _Request) -> None:
        target = request.route.stages[request.position].target
        engine = self._engines[target]
        engine.queue.append(request)
        if not engine.batch:
            self._start_step(engine)

    def _start_step(self, engine: _Engine) -> None:
        count = min(engine.max_batch, len(engine.queue))
        engine.batch = [engine.queue.popleft() for _ in range(count)]
        if engine.batch:
            self._schedule(
                self._now + engine.step_ms, lambda: self._end_step(engine)
            )

    def _end_step(self, engine: _Engine) -> None:
        batch, engine.batch = engine.batch, []
        for request in batch:
            self._advance(request)
        if not engine.batch:
            self._start_step(engine)

    def _advance(self, request: _Request) -> None:
        stages = request.route.stages
        domain = stages[request.position].failure_domain
        if request.position + 1 < len(stages):
            request.position += 1
            next_domain = stages[request.position].failure_domain
            arrival = self._send_over_link(domain, next_domain)
            request.hops.append(arrival - self._now)
            self._schedule(arrival, lambda: self._arrive(request))
            return
        # The token returns without activations: it takes the link's latency
        # but none of its rate.
        return_ms = throughput_world.read_link_ms(
            domain, stages[0].failure_domain
        )
        self._schedule(self._now + return_ms, lambda: self._end_token(request))

    def _has_hops(self, request: _Request) -> bool:
        """Return whether the completed token has the link times."""
        if self._scenario.limits is None:
            return request.remaining_tokens % _HOPS_REPORT_INTERVAL == 0
        return request.requested_reports.hops and request.completed_tokens == 1

    def _send_over_link(self, domain: str, next_domain: str) -> float:
        """Return the arrival time of data sent now, after queued data."""
        free_at = max(
            self._now, self._link_free.get((domain, next_domain), 0.0)
        )
        free_at += 1 / throughput_world.read_link_rate(domain, next_domain)
        self._link_free[domain, next_domain] = free_at
        return free_at + throughput_world.read_link_ms(domain, next_domain)

    def _end_token(self, request: _Request) -> None:
        policy = self._policies[request.entry]
        if self._now >= _WARM_UP_MS:
            self.tokens += 1
        if self._has_hops(request):
            policy.record_hops(request.route, request.hops, int(self._now))
        interval_ms = request.meter.count(1, int(self._now))
        if interval_ms is not None:
            policy.record_token_interval(
                request.route, interval_ms, int(self._now)
            )
        request.hops = []
        request.remaining_tokens -= 1
        request.completed_tokens += 1
        if request.remaining_tokens:
            request.position = 0
            self._arrive(request)
            return
        policy.end(request.route)
        if request.requested_reports.loads:
            view = self._views[request.entry]
            self._publish_loads(view, request.route.list_targets())
        self._start_request(request.entry)


def measure_seed(seed: int) -> dict[str, float]:
    """Measure each policy with the engines and links of one seed."""
    world = throughput_world.build_world(seed)
    bound = world.compute_bound()
    requests = int(bound * _TYPICAL_CYCLE_MS * _IN_FLIGHT_FACTOR)
    shares = {
        name: Simulation(world, build, seed).run(requests) / bound
        for name, build in POLICIES.items()
    }
    planner = POLICIES['thornspool']
    stale = Simulation(world, planner, seed, STALE).run(requests) / bound
    requested = _measure_requested(world, seed, requests, REQUESTED) / bound
    requested_current = (
        _measure_requested(world, seed, requests, REQUESTED_CURRENT) / bound
    )
    return {
        'seed': seed,
        'bound_tokens_per_s': round(bound * 1000),
        'requests': requests,
        **{name: round(share, 3) for name, share in shares.items()},
        'thornspool_stale': round(stale, 3),
        'thornspool_asked': round(requested, 3),
        'thornspool_asked_today': round(requested_current, 3),
    }


def _measure_requested(
    world: throughput_world.World,
    seed: int,
    requests: int,
    scenario: Scenario,
) -> float:
    """Measure the planner with loads that are requested with responses."""
    assert scenario.limits is not None
    build = functools.partial(
        throughput_policies.PlannerPolicy, limits=scenario.limits
    )
    return Simulation(world, build, seed, scenario).run(requests)


def _compute_mean(runs: list[dict[str, float]], name: str) -> float:
    return round(sum(run[name] for run in runs) / len(runs), 3)


def measure_throughput() -> dict[str, typing.Any]:
    """Measure throughput as a share of the maximum-flow bound.

    Returns
    -------
    dict
        ``throughput_to_bound`` is the mean share of the bound by policy,
        ``stale_reports`` that of the planner when 60 entries plan with
        reports every 5 s, ``asked`` and ``asked_today`` when 60 and 6 entries
        plan with the reports that they request with responses, and ``runs``
        has the figures of each seed.
    """
    runs = [measure_seed(seed) for seed in SEEDS]
    means = {name: _compute_mean(runs, name) for name in POLICIES}
    return {
        'throughput_to_bound': means,
        'stale_reports': _compute_mean(runs, 'thornspool_stale'),
        'asked': _compute_mean(runs, 'thornspool_asked'),
        'asked_today': _compute_mean(runs, 'thornspool_asked_today'),
        'runs': runs,
    }


if __name__ == '__main__':
    print(json.dumps(measure_throughput(), indent=2))
