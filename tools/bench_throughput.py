"""Measure the planner's throughput against the maximum-flow bound.

A small discrete-event driver: entries plan routes with loads that lag,
engines of mixed kinds run steps of a bounded batch, links differ a
hundredfold in time and rate. Nothing but the placement differs between the
policies that are compared.
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
_WARM_MS = 10_000
_END_MS = 25_000
_TOKENS = (40, 120)
_CROWDING = 3.0
_TYPICAL_CYCLE_MS = 100.0


@attrs.frozen
class Scenario:
    """How much entries know.

    Attributes
    ----------
    entries : int
        Entries that plan, each for itself.
    report_ms : int
        Time between two load reports of an engine; 0 for one at the start,
        when all are idle, which tells of their kinds.
    limits : report_requests.ReportLimits or None
        How often entries ask engines to tell loads and times of links with
        an answer; None where loads are published, and times of links come
        with one token in sixteen.
    """

    entries: int
    report_ms: int
    limits: report_requests.ReportLimits | None = None


USUAL = Scenario(entries=6, report_ms=500)
STALE = Scenario(entries=60, report_ms=5_000)
"""Each entry knows a sixtieth of the load, from reports of seconds ago."""

ASKED = Scenario(
    entries=60, report_ms=0, limits=report_requests.ReportLimits(0.043, 1.3)
)
"""As often for each engine and each link as at the size to design for.

There an entry asks for 0.25 answers a second with the loads of 4 engines of
288, and for 3 with the times of 3 links of 42. Here a route has 2.4 of 30
engines and crosses about one of 6 links between domains.
"""

ASKED_TODAY = Scenario(
    entries=6, report_ms=0, limits=report_requests.compute_limits(6)
)

BuildPolicy = typing.Callable[
    [throughput_world.World, throughput_policies.LaggingView, int],
    throughput_policies.Policy,
]

_HOPS_EVERY = 16

POLICIES: dict[str, BuildPolicy] = {
    'thornspool': throughput_policies.PlannerPolicy,
    'least_loaded': throughput_policies.build_least_loaded,
    'round_robin': throughput_policies.build_round_robin,
}


@attrs.define(eq=False)
class _Engine:
    """An engine: its queue and what its batch holds."""

    name: str
    step_ms: float
    max_batch: int
    queue: collections.deque[_Request] = attrs.field(factory=collections.deque)
    batch: list[_Request] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Request:
    """A request: where it is on its route and how much is left."""

    entry: int
    route: routes.Route
    left: int
    tell: report_requests.ReportRequest
    done: int = 0
    position: int = 0
    hops: list[float] = attrs.field(factory=list)
    meter: stage_times.TokenIntervalMeter = attrs.field(
        factory=stage_times.TokenIntervalMeter
    )


class Driver:
    """A run of one policy in one world, event by event.

    Parameters
    ----------
    world : throughput_world.World
        Engines and links.
    build_policy : callable
        Builds the policy of an entry.
    seed : int
        Seed of the lengths of answers and of the policies.
    scenario : Scenario, optional
        How much entries know.
    """

    def __init__(
        self,
        world: throughput_world.World,
        build_policy: BuildPolicy,
        seed: int,
        scenario: Scenario = USUAL,
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
        self._order = itertools.count()
        self._now = 0.0

    def run(self, requests: int) -> float:
        """Keep some requests in flight; return tokens a millisecond."""
        for number in range(requests):
            # Callers do not all start at once; the reports of the first
            # ones are there when the others come.
            begin = self._random.uniform(0, _WARM_MS / 2)
            entry = number % self._scenario.entries
            self._at(begin, functools.partial(self._begin, entry))
        self._at(0.0, self._report)
        while self._events and self._now < _END_MS:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self.tokens / (_END_MS - _WARM_MS)

    def _at(self, time: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), act))

    def _build_views(self) -> list[throughput_policies.LaggingView]:
        """Build a view for each entry, or one for all of them."""
        count = self._scenario.entries
        if self._scenario.limits is None:
            return [throughput_policies.LaggingView()] * count
        return [throughput_policies.LaggingView() for _ in range(count)]

    def _report(self) -> None:
        for view in dict.fromkeys(self._views):
            self._tell_loads(view, self._engines)
        if self._scenario.limits is None:
            self._at(self._now + self._scenario.report_ms, self._report)

    def _tell_loads(
        self,
        view: throughput_policies.LaggingView,
        targets: typing.Iterable[str],
    ) -> None:
        """Have an entry know the present loads of engines a bit later."""
        known_at = self._now + _REPORT_LAG_MS
        reports = [
            messages.LoadReport(
                engine.name,
                int(known_at),
                messages.Readiness.READY,
                len(engine.batch),
                len(engine.queue),
                engine.max_batch,
                engine.step_ms,
            )
            for engine in map(self._engines.__getitem__, targets)
        ]
        self._at(known_at, lambda: view.publish(reports))

    def _begin(self, entry: int) -> None:
        policy = self._policies[entry]
        route = policy.plan(int(self._now))
        tell = report_requests.NO_REPORTS
        if self._scenario.limits is not None:
            tell = policy.choose_reports(route, int(self._now))
        length = self._random.randint(*_TOKENS)
        self._arrive(_Request(entry, route, length, tell))

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
            self._at(
                self._now + engine.step_ms, lambda: self._end_step(engine)
            )

    def _end_step(self, engine: _Engine) -> None:
        batch, engine.batch = engine.batch, []
        for request in batch:
            self._move_on(request)
        if not engine.batch:
            self._start_step(engine)

    def _move_on(self, request: _Request) -> None:
        stages = request.route.stages
        here = stages[request.position].failure_domain
        if request.position + 1 < len(stages):
            request.position += 1
            there = stages[request.position].failure_domain
            arrival = self._cross(here, there)
            request.hops.append(arrival - self._now)
            self._at(arrival, lambda: self._arrive(request))
            return
        # The way back carries a token and no activations, so it takes time
        # but no part of the link's rate.
        back = throughput_world.read_link_ms(here, stages[0].failure_domain)
        self._at(self._now + back, lambda: self._end_token(request))

    def _tells_hops(self, request: _Request) -> bool:
        """Say whether the token that ends brings the times of links."""
        if self._scenario.limits is None:
            return request.left % _HOPS_EVERY == 0
        return request.tell.hops and request.done == 1

    def _cross(self, here: str, there: str) -> float:
        """Return when something sent now arrives, behind what is sent."""
        free = max(self._now, self._link_free.get((here, there), 0.0))
        free += 1 / throughput_world.read_link_rate(here, there)
        self._link_free[here, there] = free
        return free + throughput_world.read_link_ms(here, there)

    def _end_token(self, request: _Request) -> None:
        policy = self._policies[request.entry]
        if self._now >= _WARM_MS:
            self.tokens += 1
        if self._tells_hops(request):
            policy.record_hops(request.route, request.hops, int(self._now))
        pace = request.meter.count(1, int(self._now))
        if pace is not None:
            policy.record_token_interval(request.route, pace, int(self._now))
        request.hops = []
        request.left -= 1
        request.done += 1
        if request.left:
            request.position = 0
            self._arrive(request)
            return
        policy.end(request.route)
        if request.tell.loads:
            view = self._views[request.entry]
            self._tell_loads(view, request.route.list_targets())
        self._begin(request.entry)


def measure_seed(seed: int) -> dict[str, float]:
    """Measure each policy in the world of one seed."""
    world = throughput_world.build_world(seed)
    bound = world.compute_bound()
    requests = int(bound * _TYPICAL_CYCLE_MS * _CROWDING)
    shares = {
        name: Driver(world, build, seed).run(requests) / bound
        for name, build in POLICIES.items()
    }
    planner = POLICIES['thornspool']
    stale = Driver(world, planner, seed, STALE).run(requests) / bound
    asked = _measure_asked(world, seed, requests, ASKED) / bound
    asked_today = _measure_asked(world, seed, requests, ASKED_TODAY) / bound
    return {
        'seed': seed,
        'bound_tokens_per_s': round(bound * 1000),
        'requests': requests,
        **{name: round(share, 3) for name, share in shares.items()},
        'thornspool_stale': round(stale, 3),
        'thornspool_asked': round(asked, 3),
        'thornspool_asked_today': round(asked_today, 3),
    }


def _measure_asked(
    world: throughput_world.World,
    seed: int,
    requests: int,
    scenario: Scenario,
) -> float:
    """Measure the planner where loads come with answers that are asked."""
    assert scenario.limits is not None
    build = functools.partial(
        throughput_policies.PlannerPolicy, limits=scenario.limits
    )
    return Driver(world, build, seed, scenario).run(requests)


def _compute_mean(runs: list[dict[str, float]], name: str) -> float:
    return round(sum(run[name] for run in runs) / len(runs), 3)


def measure_throughput() -> dict[str, typing.Any]:
    """Measure throughput as a share of the maximum-flow bound.

    Returns
    -------
    dict
        ``throughput_to_bound`` with the mean share of each policy,
        ``stale_reports`` with that of the planner when sixty entries plan
        by reports of each 5 s, ``asked`` and ``asked_today`` when sixty and
        six plan by what they ask engines to tell with answers, and ``runs``
        with each run and its seed.
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
