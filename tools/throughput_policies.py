"""Ways of placing requests, the planner's and two plain ones."""

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
_USUAL_LIMITS = report_requests.ReportLimits()


class LaggingView:
    """Load reports as entries see them: now and then, and late."""

    def __init__(self) -> None:
        self._reports: dict[str, messages.LoadReport] = {}

    def publish(self, reports: list[messages.LoadReport]) -> None:
        """Take in reports in place of older ones."""
        self._reports.update({report.target: report for report in reports})

    def read_readiness(self, target: str) -> messages.Readiness:
        """Return that every target is ready."""
        return messages.Readiness.READY

    def read_load(self, target: str) -> messages.LoadReport | None:
        """Return the last report."""
        return self._reports.get(target)


class Policy(typing.Protocol):
    """Places requests of one entry."""

    def plan(self, now: int) -> routes.Route:
        """Choose a route."""
        ...

    def choose_reports(
        self, route: routes.Route, now: int
    ) -> report_requests.ReportRequest:
        """Choose what engines are asked to tell."""
        ...

    def end(self, route: routes.Route) -> None:
        """Take note that a request is over."""
        ...

    def record_hops(
        self, route: routes.Route, hops: list[float], now: int
    ) -> None:
        """Take note of the times of links."""
        ...

    def record_token_interval(
        self, route: routes.Route, pace: float, now: int
    ) -> None:
        """Take note of the milliseconds between tokens."""
        ...


class PlannerPolicy:
    """The planner of an entry."""

    def __init__(
        self,
        world: throughput_world.World,
        view: LaggingView,
        seed: int,
        limits: report_requests.ReportLimits = _USUAL_LIMITS,
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
        """Plan and count a route."""
        wish = generation_planning.RouteRequest(
            self._world.model, now, _EXPECTED_TOKENS
        )
        route = self._planning.plan(wish, now)
        self._planning.start(route)
        return route


class SimplePolicy:
    """Walks the layers and picks each stage by a plain rule."""

    def __init__(
        self,
        world: throughput_world.World,
        pick: Callable[[list[documents.Stage]], documents.Stage],
    ) -> None:
        self._world = world
        self._pick = pick

    def plan(self, now: int) -> routes.Route:
        """Pick stage after stage."""
        stages: list[routes.RouteStage] = []
        boundary = 0
        while boundary < throughput_world.LAYERS:
            following = [
                stage
                for stage in self._world.model.stages
                if stage.first_layer == boundary
            ]
            stage = self._pick(following)
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
        """Ask nothing."""
        return report_requests.NO_REPORTS

    def end(self, route: routes.Route) -> None:
        """Take note of nothing."""

    def record_hops(
        self, route: routes.Route, hops: list[float], now: int
    ) -> None:
        """Take note of nothing."""

    def record_token_interval(
        self, route: routes.Route, pace: float, now: int
    ) -> None:
        """Take note of nothing."""


def build_least_loaded(
    world: throughput_world.World, view: LaggingView, seed: int
) -> SimplePolicy:
    """Build a policy that picks the least load that was reported."""
    source = random.Random(seed)

    def read(stage: documents.Stage) -> tuple[float, float]:
        report = view.read_load(stage.target)
        load = report.running + report.waiting if report else 0
        return load / (report.max_batch if report else 1), source.random()

    return SimplePolicy(world, lambda stages: min(stages, key=read))


def build_round_robin(
    world: throughput_world.World, _view: LaggingView, seed: int
) -> SimplePolicy:
    """Build a policy that takes the stages in turn."""
    turns: collections.Counter[int] = collections.Counter()

    def pick(stages: list[documents.Stage]) -> documents.Stage:
        first = stages[0].first_layer
        turns[first] += 1
        return stages[(turns[first] + seed) % len(stages)]

    return SimplePolicy(world, pick)
