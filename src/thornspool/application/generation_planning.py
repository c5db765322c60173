"""What an entry knows for planning routes, and what it learns on the way."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.pipelines import affinity
from thornspool.domain.pipelines import candidates
from thornspool.domain.pipelines import exceptions
from thornspool.domain.pipelines import links
from thornspool.domain.pipelines import loads
from thornspool.domain.pipelines import planner

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool.domain.configuration import documents
    from thornspool.domain.pipelines import routes
    from thornspool.domain.targets import messages as target_messages

_PER_RANGE = 16
_PREFILL_MS = 200.0
_PACE_TOKENS = 16


@attrs.frozen
class Wish:
    """What a route is planned for.

    Attributes
    ----------
    model : documents.Model
        The model, pinned for all attempts of a request.
    prefix : int
        Digest of the prompt's prefix.
    tokens : int
        Tokens still to generate.
    excluded, avoided : frozenset of str
        Targets never to use, and to use only if nothing else will do.
    """

    model: documents.Model
    prefix: int
    tokens: int
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()


@attrs.frozen
class _Chosen:
    """Candidates of a model and the document that they were chosen from."""

    model: documents.Model
    stages: list[documents.Stage]


class Planning:
    """Plans routes from the present view of targets.

    Parameters
    ----------
    entry : str
        Name of this entry's host.
    snapshot : callable
        Returns the configuration in force.
    targets : target_messages.TargetView
        Readiness and loads.
    random_source : random.Random
        Source of the draws.
    link_times : links.LinkTimes, optional
        Times of links to start from.
    per_range : int
        Candidate engines for each layer range.
    """

    def __init__(
        self,
        entry: str,
        snapshot: Callable[[], documents.Snapshot],
        targets: target_messages.TargetView,
        random_source: random.Random,
        link_times: links.LinkTimes | None = None,
        per_range: int = _PER_RANGE,
    ) -> None:
        self.links = link_times or links.LinkTimes()
        self.affinity = affinity.PrefixAffinity()
        self.own = loads.OwnRequests()
        self._entry = entry
        self._snapshot = snapshot
        self._targets = targets
        self._random = random_source
        self._per_range = per_range
        self._chosen: dict[str, _Chosen] = {}

    def find_model(self, name: str) -> documents.Model | None:
        """Return a model of the configuration in force."""
        return self._snapshot().models.get(name)

    def list_candidates(self, model: documents.Model) -> list[documents.Stage]:
        """Return the stages of a model that this entry considers."""
        known = self._chosen.get(model.name)
        if known is None or known.model is not model:
            stages = candidates.choose_candidates(
                self._entry, model, self._per_range
            )
            known = _Chosen(model, stages)
            self._chosen[model.name] = known
        return known.stages

    def plan(self, wish: Wish, now: int) -> routes.Route:
        """Plan a route, widening the choice until the layers are covered.

        Raises
        ------
        NoPipeline
            When no set of ready targets covers the model.
        """
        shunned = wish.excluded | wish.avoided
        chosen = self.list_candidates(wish.model)
        for stages, left_out in (
            (chosen, shunned),
            (list(wish.model.stages), shunned),
        ):
            try:
                return self._plan(wish, stages, left_out, now)
            except exceptions.NoPipeline:
                continue
        return self._plan(wish, list(wish.model.stages), wish.excluded, now)

    def _plan(
        self,
        wish: Wish,
        stages: list[documents.Stage],
        left_out: frozenset[str],
        now: int,
    ) -> routes.Route:
        targets = self._snapshot().targets
        usable = planner.list_usable(stages, targets, self._targets, left_out)
        costs = planner.Costs(
            stage=lambda stage: self._price(wish, stage, now),
            link=self.links.read,
            favourite=lambda layers: self.affinity.find(wish.prefix, layers),
        )
        return planner.plan_route(
            wish.model, usable, targets, costs, self._random
        )

    def _price(self, wish: Wish, stage: documents.Stage, now: int) -> float:
        """Price a stage in milliseconds a token."""
        report = self._targets.read_load(stage.target)
        time = loads.estimate_time(report, self.own, stage.target, now)
        layers = (stage.first_layer, stage.end_layer)
        warm = self.affinity.read_weight(
            wish.prefix, layers, stage.target, now
        )
        # A prefix is worked through once, so a long answer weighs it less.
        return time + _PREFILL_MS * (1 - warm) / max(1, wish.tokens)

    def start(self, route: routes.Route) -> None:
        """Count an attempt on its targets."""
        for target in route.list_targets():
            self.own.add(target, 1)

    def end(self, route: routes.Route) -> None:
        """Stop counting an attempt on its targets."""
        for target in route.list_targets():
            self.own.add(target, -1)

    def note_prefix(self, route: routes.Route, prefix: int, now: int) -> None:
        """Remember where a prefix ran."""
        for stage in route.stages:
            layers = (stage.first_layer, stage.end_layer)
            self.affinity.note(prefix, layers, stage.target, now)

    def note_pace(self, route: routes.Route, interval_ms: float) -> None:
        """Learn links from the time between two tokens of a route."""
        steps = route.cost_ms - self._sum_links(route)
        self.links.observe(route, interval_ms, max(0.0, steps))

    def note_stall(self, route: routes.Route, waited_ms: float) -> None:
        """Learn links from a wait without a token."""
        self.links.observe_stall(route, waited_ms)

    def _sum_links(self, route: routes.Route) -> float:
        return sum(self.links.read(*link) for link in route.list_links())


class Pace:
    """Time between tokens of one attempt, told now and then."""

    def __init__(self) -> None:
        self._since = -1
        self._tokens = 0

    def add(self, tokens: int, now: int) -> float | None:
        """Add tokens; return the mean interval once there are enough."""
        if self._since < 0:
            self._since = now
            return None
        self._tokens += tokens
        if self._tokens < _PACE_TOKENS:
            return None
        interval = (now - self._since) / self._tokens
        self._since, self._tokens = now, 0
        return interval
