"""Route selection policies: the planner and two simple policies."""

from __future__ import annotations

import collections
import random
import typing

from thornspool.application.generation import planning as generation_planning
from thornspool.domain.pipelines import report_requests
from thornspool.domain.pipelines import routes
from thornspool.domain.targets import messages
from tools import throughput_world

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.configuration import documents

_EXPECTED_TOKENS = 80
_DEFAULT_LIMITS = report_requests.ReportLimits()


class LaggingView:
    """Load reports as entries receive them, at intervals and with a lag."""

    def __init__(self) -> None:
        self._reports: dict[str, messages.LoadReport] = {}

    def publish(self, reports: list[messages.LoadReport]) -> None:
        """Replace the reports of some targets."""
        self._reports.update({report.target: report for report in reports})

    def read_readiness(self, target: str) -> messages.Readiness:
        """Return that every target is ready."""
        return messages.Readiness.READY

    def read_load(self, target: str) -> messages.LoadReport | None:
        """Return the last report."""
        return self._reports.get(target)


class Policy(typing.Protocol):
    """Selects the routes of the requests of one entry."""

    def plan(self, now: int) -> routes.Route:
        """Choose a route."""
        ...

    def choose_reports(
        self, route: routes.Route, now: int
    ) -> report_requests.ReportRequest:
        """Choose the reports that are requested with a response."""
        ...

    def end(self, route: routes.Route) -> None:
        """Record the end of a request."""
        ...

    def record_hops(
        self, route: routes.Route, hops: list[float], now: int
    ) -> None:
        """Record the link times of a token, in milliseconds."""
        ...

    def record_token_interval(
        self, route: routes.Route, pace: float, now: int
    ) -> None:
        """Record the milliseconds between the tokens of a stream."""
        ...


class PlannerPolicy:
    """The planner of the daemon."""

    def __init__(
        self,
        world: throughput_world.World,
        view: LaggingView,
        seed: int,
        limits: report_requests.ReportLimits = _DEFAULT_LIMITS,
    ) -> None:
        self._world = world
        self._planning = generation_planning.Planning(
            f'entry-{seed}',
            lambda: world.snapshot,
            view,
            random.Random(seed),
            read_limits=lambda: limits,
        )
        self.choose_reports = self._planning.choose_reports
        self.record_hops = self._planning.record_hops
        self.record_token_interval = self._planning.record_token_interval
        self.end = self._planning.end

    def plan(self, now: int) -> routes.Route:
        """Plan a route and count its load."""
        route_request = generation_planning.RouteRequest(
            self._world.model, now, _EXPECTED_TOKENS
        )
        route = self._planning.plan(route_request, now)
        self._planning.start(route)
        return route


class SimplePolicy:
    """Selects the stages in layer order by a simple rule."""

    def __init__(
        self,
        world: throughput_world.World,
        select: Callable[[list[documents.Stage]], documents.Stage],
    ) -> None:
        self._world = world
        self._select_stage = select

    def plan(self, now: int) -> routes.Route:
        """Select the stages of a route in layer order."""
        stages: list[routes.RouteStage] = []
        boundary = 0
        while boundary < throughput_world.LAYERS:
            candidates = [
                stage
                for stage in self._world.model.stages
                if stage.first_layer == boundary
            ]
            stage = self._select_stage(candidates)
            domain = self._world.get_domain(stage.target)
            stages.append(
                routes.RouteStage(
                    stage.target,
                    '',
                    stage.first_layer,
                    stage.end_layer,
                    domain,
                )
            )
            boundary = stage.end_layer
        return routes.Route(tuple(stages))

    def choose_reports(
        self, route: routes.Route, now: int
    ) -> report_requests.ReportRequest:
        """Request no reports."""
        return report_requests.NO_REPORTS

    def end(self, route: routes.Route) -> None:
        """Do nothing, as the rule does not count requests."""

    def record_hops(
        self, route: routes.Route, hops: list[float], now: int
    ) -> None:
        """Do nothing, as the rule does not use link times."""

    def record_token_interval(
        self, route: routes.Route, pace: float, now: int
    ) -> None:
        """Do nothing, as the rule does not use token times."""


def build_least_loaded(
    world: throughput_world.World, view: LaggingView, seed: int
) -> SimplePolicy:
    """Build a policy that selects the stage with the least reported load."""
    random_source = random.Random(seed)

    def compute_load(stage: documents.Stage) -> tuple[float, float]:
        report = view.read_load(stage.target)
        load = report.running + report.waiting if report else 0
        return load / (
            report.max_batch if report else 1
        ), random_source.random()

    return SimplePolicy(world, lambda stages: min(stages, key=compute_load))


def build_round_robin(
    world: throughput_world.World, _view: LaggingView, seed: int
) -> SimplePolicy:
    """Build a policy that selects the stages in round-robin order."""
    counters: collections.Counter[int] = collections.Counter()

    def select(stages: list[documents.Stage]) -> documents.Stage:
        first = stages[0].first_layer
        counters[first] += 1
        return stages[(counters[first] + seed) % len(stages)]

    return SimplePolicy(world, select)
