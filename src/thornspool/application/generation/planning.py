"""What an entry knows for planning routes, and what it learns on the way."""

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
from thornspool.domain.pipelines import questions
from thornspool.domain.pipelines import stage_times

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool.domain.configuration import documents
    from thornspool.domain.pipelines import routes
    from thornspool.domain.targets import messages as target_messages

_PER_RANGE = 16
_PREFILL_MS = 200.0
_SPREAD = 4.0
_LOADS_AGE_MS = 2_000
_HOPS_AGE_MS = 4_000


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
    fingerprint : str
        Of the request, by which all entries draw the same stages for it;
        empty for draws at random.
    """

    model: documents.Model
    prefix: int
    tokens: int
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()
    fingerprint: str = ''


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
    read_limits : callable, optional
        Returns how often engines are asked to tell loads and times of links.
    """

    def __init__(
        self,
        entry: str,
        snapshot: Callable[[], documents.Snapshot],
        targets: target_messages.TargetView,
        random_source: random.Random,
        link_times: links.LinkTimes | None = None,
        per_range: int = _PER_RANGE,
        read_limits: Callable[[], questions.Limits] = questions.Limits,
    ) -> None:
        self.links = link_times or links.LinkTimes()
        self.affinity = affinity.PrefixAffinity()
        self.own = loads.OwnRequests()
        self._stage_times = stage_times.StageTimes()
        self._loads_asking = questions.Asking(_LOADS_AGE_MS)
        self._hops_asking = questions.Asking(_HOPS_AGE_MS)
        self._read_limits = read_limits
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
        if wish.fingerprint:
            usable = candidates.draw_stages(
                wish.fingerprint,
                usable,
                targets,
                lambda layers: self.affinity.find(wish.prefix, layers),
            )
        costs = planner.Costs(
            stage=lambda stage: self._price(wish, stage, now),
            link=functools.cache(
                lambda first, second: self.links.read(first, second, now)
            ),
            favourite=lambda layers: self.affinity.find(wish.prefix, layers),
        )
        return planner.plan_route(
            wish.model, usable, targets, costs, self._random
        )

    def _price(self, wish: Wish, stage: documents.Stage, now: int) -> float:
        """Price a stage in milliseconds a token."""
        estimate = self._estimate(stage.target, now)
        # Entries that read the same old report would all prefer the same
        # stages until the next one, and their queues would grow while
        # others stood idle. The older the report, the more is left to
        # chance.
        doubt = _SPREAD * estimate.doubt
        time = estimate.time * (1 + doubt * self._draw(wish, stage))
        layers = (stage.first_layer, stage.end_layer)
        warm = self.affinity.read_weight(
            wish.prefix, layers, stage.target, now
        )
        # A prefix is worked through once, so a long answer weighs it less.
        return time + _PREFILL_MS * (1 - warm) / max(1, wish.tokens)

    def _estimate(self, target: str, now: int) -> stage_times.Estimate:
        report = self._targets.read_load(target)
        time = loads.estimate_time(report, self.own, target, now)
        trust = loads.compute_trust(report, now)
        return self._stage_times.refine(target, time, trust, now)

    def _draw(self, wish: Wish, stage: documents.Stage) -> float:
        """Draw a number from 0 to 1, for a request the same everywhere."""
        if not wish.fingerprint:
            return self._random.random()
        return rendezvous.draw(wish.fingerprint, stage.target)

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

    def choose_tell(self, route: routes.Route, now: int) -> questions.Tell:
        """Choose what the engines of a route are asked to tell.

        At the size to design for, loads with each answer and times of links
        with one token in sixteen were several times all that control may
        spend.
        """
        loads_known = [
            (target, self._read_reported_at(target))
            for target in route.list_targets()
        ]
        # Nobody times the way back to the first stage.
        hops_known = [
            (link, self.links.read_learnt_at(*link))
            for link in route.list_links()[:-1]
        ]
        limits = self._read_limits()
        return questions.Tell(
            self._loads_asking.ask(loads_known, limits.loads_per_s, now),
            self._hops_asking.ask(hops_known, limits.hops_per_s, now),
        )

    def _read_reported_at(self, target: str) -> int | None:
        report = self._targets.read_load(target)
        return None if report is None else report.received_at

    def note_hops(
        self, route: routes.Route, hops: list[float], now: int
    ) -> None:
        """Learn links from the times between stages, in milliseconds."""
        for link, time_ms in zip(route.list_links(), hops, strict=False):
            self.links.note_hop(*link, time_ms, now)

    def note_pace(self, route: routes.Route, pace: float, now: int) -> None:
        """Learn stages from the milliseconds between tokens of a stream."""
        expected = [
            (target, self._estimate(target, now).time)
            for target in route.list_targets()
        ]
        between = sum(
            self.links.read(first, second, now)
            for first, second in route.list_links()
        )
        self._stage_times.note_pace(expected, pace - between, now)

    def note_stall(
        self, route: routes.Route, waited_ms: float, now: int
    ) -> None:
        """Learn links from a wait without a token."""
        self.links.note_stall(route, waited_ms, now)
