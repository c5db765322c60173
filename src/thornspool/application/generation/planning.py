"""Route planning of an entry, with the costs that it learns from streams."""

from __future__ import annotations

import functools
import typing

import attrs

from thornspool.domain.membership import rendezvous
from thornspool.domain.pipelines import affinity
from thornspool.domain.pipelines import candidates
from thornspool.domain.pipelines import exceptions
from thornspool.domain.pipelines import links
from thornspool.domain.pipelines import loads
from thornspool.domain.pipelines import planner
from thornspool.domain.pipelines import report_requests
from thornspool.domain.pipelines import stage_times

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool.domain.configuration import documents
    from thornspool.domain.pipelines import routes
    from thornspool.domain.targets import messages as target_messages

_CANDIDATES_PER_RANGE = 16
_PREFILL_MS = 200.0
_RANDOM_COST_FACTOR = 4.0
_LOADS_MAX_AGE_MS = 2_000
_HOPS_MAX_AGE_MS = 4_000


@attrs.frozen
class RouteRequest:
    """Request for a route.

    Attributes
    ----------
    model : documents.Model
        The model, the same for all attempts of a request.
    prefix : int
        Digest of the prompt's prefix.
    tokens : int
        Number of tokens still to generate.
    excluded, avoided : frozenset of str
        Targets that must not be used, and targets to use only if no others
        cover the layers.
    fingerprint : str
        Fingerprint of the request, by which all entries draw the same
        stages for it; empty for random draws.
    """

    model: documents.Model
    prefix: int
    tokens: int
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()
    fingerprint: str = ''


@attrs.frozen
class _Candidates:
    """Candidate stages of a model, and the document they come from."""

    model: documents.Model
    stages: list[documents.Stage]


class Planning:
    """Plans routes from the current state of the targets.

    Parameters
    ----------
    entry : str
        Name of this entry's host.
    snapshot : callable
        Returns the configuration in force.
    targets : target_messages.TargetView
        Readiness and loads.
    random_source : random.Random
        Source of the random draws.
    link_times : links.LinkTimes, optional
        Initial link times.
    per_range : int
        Maximum number of candidate engines for each layer range.
    read_limits : callable, optional
        Returns the rate limits of requested load and link reports.
    """

    def __init__(
        self,
        entry: str,
        snapshot: Callable[[], documents.Snapshot],
        targets: target_messages.TargetView,
        random_source: random.Random,
        link_times: links.LinkTimes | None = None,
        per_range: int = _CANDIDATES_PER_RANGE,
        read_limits: Callable[
            [], report_requests.ReportLimits
        ] = report_requests.ReportLimits,
    ) -> None:
        self.links = link_times or links.LinkTimes()
        self.affinity = affinity.PrefixAffinity()
        self.local_requests = loads.LocalRequests()
        self._stage_times = stage_times.StageTimes()
        self._loads_limiter = report_requests.ReportLimiter(_LOADS_MAX_AGE_MS)
        self._hops_limiter = report_requests.ReportLimiter(_HOPS_MAX_AGE_MS)
        self._read_limits = read_limits
        self._entry = entry
        self._snapshot = snapshot
        self._targets = targets
        self._random = random_source
        self._per_range = per_range
        self._candidates: dict[str, _Candidates] = {}

    def find_model(self, name: str) -> documents.Model | None:
        """Return a model of the configuration in force."""
        return self._snapshot().models.get(name)

    def list_candidates(self, model: documents.Model) -> list[documents.Stage]:
        """Return the candidate stages of a model on this entry."""
        cached = self._candidates.get(model.name)
        if cached is None or cached.model is not model:
            stages = candidates.choose_candidates(
                self._entry, model, self._per_range
            )
            cached = _Candidates(model, stages)
            self._candidates[model.name] = cached
        return cached.stages

    def plan(self, request: RouteRequest, now: int) -> routes.Route:
        """Plan a route, adding more targets until the layers are covered.

        Raises
        ------
        NoPipeline
            When no set of ready targets covers the model.
        """
        unwanted = request.excluded | request.avoided
        candidate_stages = self.list_candidates(request.model)
        for stages, excluded in (
            (candidate_stages, unwanted),
            (list(request.model.stages), unwanted),
        ):
            try:
                return self._plan(request, stages, excluded, now)
            except exceptions.NoPipeline:
                continue
        return self._plan(
            request, list(request.model.stages), request.excluded, now
        )

    def _plan(
        self,
        request: RouteRequest,
        stages: list[documents.Stage],
        excluded: frozenset[str],
        now: int,
    ) -> routes.Route:
        targets = self._snapshot().targets
        usable = planner.list_usable(stages, targets, self._targets, excluded)
        if request.fingerprint:
            usable = candidates.draw_stages(
                request.fingerprint,
                usable,
                targets,
                lambda layers: self.affinity.find(request.prefix, layers),
            )
        costs = planner.Costs(
            stage=lambda stage: self._compute_cost(request, stage, now),
            link=functools.cache(
                lambda first, second: self.links.read(first, second, now)
            ),
            preferred=lambda layers: self.affinity.find(
                request.prefix, layers
            ),
        )
        return planner.plan_route(
            request.model, usable, targets, costs, self._random
        )

    def _compute_cost(
        self, request: RouteRequest, stage: documents.Stage, now: int
    ) -> float:
        """Compute the cost of a stage in milliseconds a token."""
        estimate = self._estimate(stage.target, now)
        # Entries that read the same outdated report would all prefer the
        # same stages until the next one, and the queues there would grow
        # while other stages were idle. So the random part of the cost grows
        # with the age of the report.
        random_factor = _RANDOM_COST_FACTOR * estimate.uncertainty
        time = estimate.time * (1 + random_factor * self._draw(request, stage))
        layers = (stage.first_layer, stage.end_layer)
        cached_weight = self.affinity.read_weight(
            request.prefix, layers, stage.target, now
        )
        # The prefill runs once, so its cost is divided by the tokens.
        return time + _PREFILL_MS * (1 - cached_weight) / max(
            1, request.tokens
        )

    def _estimate(self, target: str, now: int) -> stage_times.Estimate:
        report = self._targets.read_load(target)
        time = loads.estimate_time(report, self.local_requests, target, now)
        report_weight = loads.compute_report_weight(report, now)
        return self._stage_times.refine(target, time, report_weight, now)

    def _draw(self, request: RouteRequest, stage: documents.Stage) -> float:
        """Draw a number from 0 to 1, the same on every entry for a request."""
        if not request.fingerprint:
            return self._random.random()
        return rendezvous.compute_fraction(request.fingerprint, stage.target)

    def start(self, route: routes.Route) -> None:
        """Add an attempt to the request counts of its targets."""
        for target in route.list_targets():
            self.local_requests.add(target, 1)

    def end(self, route: routes.Route) -> None:
        """Remove an attempt from the request counts of its targets."""
        for target in route.list_targets():
            self.local_requests.add(target, -1)

    def record_prefix(
        self, route: routes.Route, prefix: int, now: int
    ) -> None:
        """Record on which targets a prefix ran."""
        for stage in route.stages:
            layers = (stage.first_layer, stage.end_layer)
            self.affinity.record(prefix, layers, stage.target, now)

    def choose_reports(
        self, route: routes.Route, now: int
    ) -> report_requests.ReportRequest:
        """Choose the reports to request from the engines of a route.

        At the design size, loads in each response and link times with one
        token in sixteen took several times the whole budget for control
        messages.
        """
        load_reports = [
            (target, self._read_reported_at(target))
            for target in route.list_targets()
        ]
        # The link back to the first stage is not measured.
        hop_reports = [
            (link, self.links.read_updated_at(*link))
            for link in route.list_links()[:-1]
        ]
        limits = self._read_limits()
        return report_requests.ReportRequest(
            self._loads_limiter.should_request(
                load_reports, limits.loads_per_s, now
            ),
            self._hops_limiter.should_request(
                hop_reports, limits.hops_per_s, now
            ),
        )

    def _read_reported_at(self, target: str) -> int | None:
        report = self._targets.read_load(target)
        return None if report is None else report.received_at

    def record_hops(
        self, route: routes.Route, hops: list[float], now: int
    ) -> None:
        """Learn link times from the times between stages, in milliseconds."""
        for link, time_ms in zip(route.list_links(), hops, strict=False):
            self.links.record_hop(*link, time_ms, now)

    def record_token_interval(
        self, route: routes.Route, interval_ms: float, now: int
    ) -> None:
        """Learn stage times from the token interval in milliseconds."""
        expected = [
            (target, self._estimate(target, now).time)
            for target in route.list_targets()
        ]
        links_ms = sum(
            self.links.read(first, second, now)
            for first, second in route.list_links()
        )
        self._stage_times.record_token_interval(
            expected, interval_ms - links_ms, now
        )

    def record_stall(
        self, route: routes.Route, idle_ms: float, now: int
    ) -> None:
        """Learn link times from a stall, by its idle time."""
        self.links.record_stall(route, idle_ms, now)
