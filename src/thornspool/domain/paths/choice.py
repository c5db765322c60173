"""Which path a request takes among all failure domains."""

from __future__ import annotations

import enum
import itertools
import math
import typing

import attrs

from thornspool.domain.paths import bounds as bounds_module
from thornspool.domain.paths import reservations
from thornspool.domain.paths import search

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from thornspool.domain.fleet import messages as fleet

REMOTE_COST_MS = 800.0
"""Cost of a path that begins in another failure domain than the entry.

The events of a usual stream, 10 kB, cross then, and bytes between domains
are what the users pay most for. It is a third of the time of a usual
request, so that an entry turns to another domain when its own is slower by
that much or its memory fills to about 0.4.
"""

LEAVING_LAYER_MS = 300.0
"""Cost of a layer on a server that leaves, besides its time.

It may end before the answer does, so any other path is better: three layers
of it cost more than a path in another domain (``REMOTE_COST_MS``).
"""


class Lack(enum.Enum):
    """Why there is no path."""

    NO_ROOM = 'no_room'
    NOT_COVERED = 'not_covered'


@attrs.frozen
class Need:
    """What a request needs of a path.

    Attributes
    ----------
    prompt_tokens, answer_tokens : float
        Tokens to read and expected tokens to write.
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def tokens(self) -> float:
        """Tokens for which memory is taken."""
        return self.prompt_tokens + self.answer_tokens


@attrs.frozen
class Situation:
    """State of the engines at the moment of a choice.

    Attributes
    ----------
    model : fleet.Model
        Sizes and speeds.
    engines : tuple of fleet.Server
        Engines that may be used.
    leaving : frozenset of str
        Those of them that will end soon.
    taken : reservations.Reservations
        Memory that requests hold.
    slowness : mapping of str to float
        Measured times against expected ones, by engine.
    domain : str
        Failure domain of this entry.
    noise : callable
        Random numbers from 0 to under 1.
    may_cross : bool
        Whether a path may change its failure domain in the middle, where
        no domain has a whole one.
    bounds : mapping of str to bounds_module.Bound
        Least costs by failure domain; a domain without one is searched.
    """

    model: fleet.Model
    engines: tuple[fleet.Server, ...]
    leaving: frozenset[str]
    taken: reservations.Reservations
    slowness: Mapping[str, float]
    domain: str
    noise: Callable[[], float]
    may_cross: bool = True
    bounds: Mapping[str, bounds_module.Bound] = attrs.field(factory=dict)


NOISE_SHARE = 0.1
"""Random part of an engine's cost.

All entries see the same loads some 200 ms late; without it they would all
turn to the same engine at once.
"""


def choose_path(situation: Situation, need: Need) -> search.Path | Lack:
    """Choose the cheapest path with room, within one domain if possible."""
    path = _find_any(situation, need)
    if path is not None:
        return path
    unbounded = [
        search.Offer(one, 1.0, situation.model.layers)
        for one in situation.engines
    ]
    if search.find_path(unbounded, situation.model.layers) is None:
        return Lack.NOT_COVERED
    return Lack.NO_ROOM


def _find_any(situation: Situation, need: Need) -> search.Path | None:
    layers = situation.model.layers
    domains: dict[str, list[fleet.Server]] = {}
    for one in situation.engines:
        domains.setdefault(one.failure_domain, []).append(one)
    best: search.Path | None = None
    best_cost = math.inf
    for domain in sorted(domains, key=lambda one: one != situation.domain):
        extra = 0.0 if domain == situation.domain else REMOTE_COST_MS
        if _bound_cost(situation, need, domain) + extra >= best_cost:
            continue
        path = search.find_path(
            make_offers(situation, need, domains[domain]), layers
        )
        if path is not None and path.cost_ms + extra < best_cost:
            best, best_cost = path, path.cost_ms + extra
    if best is not None or not situation.may_cross:
        return best
    return search.find_path(
        make_offers(situation, need, situation.engines), layers
    )


def _bound_cost(situation: Situation, need: Need, domain: str) -> float:
    """Return a cost that no path in a failure domain falls below."""
    bound = situation.bounds.get(domain)
    if bound is None:
        return 0.0
    return bound.compute_cost(need.prompt_tokens, need.answer_tokens)


def make_offers(
    situation: Situation, need: Need, engines: Iterable[fleet.Server]
) -> Iterable[search.Offer]:
    """Tell what each of some engines can do for a request."""
    model = situation.model
    for engine in engines:
        if engine.layers is None or engine.layers.end > model.layers:
            continue
        room = model.compute_room(engine.kind, engine.layers.count)
        if room <= 0:
            continue
        taken = situation.taken.compute_taken(engine.id)
        left = room * reservations.FILL_LIMIT - taken
        slowness = situation.slowness.get(engine.id, 1.0)
        cost = search.estimate_layer_cost(
            model,
            engine.kind,
            (need.prompt_tokens, need.answer_tokens),
            situation.taken.running.get(engine.id, 0),
            taken / room,
            slowness,
        )
        cost *= 1.0 + NOISE_SHARE * situation.noise()
        if engine.id in situation.leaving:
            cost += LEAVING_LAYER_MS
        yield search.Offer(
            engine,
            cost,
            int(max(0.0, left) / max(1.0, need.tokens)),
            search.estimate_wait(
                model,
                engine.kind,
                situation.taken.reading.get(engine.id, 0.0),
                slowness,
            ),
        )


def _draw_cost(
    offer: search.Offer, noise: Callable[[], float]
) -> search.Offer:
    """Draw a cost by which the cheapest of some engines is often a fast one.

    All streams of a lost engine look for its layers at the same moment, and
    a single holder would read their prompts one after the other. With
    exponential factors each holder is the cheapest in proportion to its speed.
    """
    factor = -math.log(1.0 - noise())
    return attrs.evolve(offer, layer_cost_ms=offer.layer_cost_ms * factor)


def choose_repair(
    situation: Situation,
    need: Need,
    hops: Sequence[search.Hop],
    lost: Container[str],
) -> tuple[search.Hop, ...] | None:
    """Replace the lost engines of a path within its failure domain.

    The engines that stay keep what they hold of the request, so that only
    the layers of those that were lost are read again.

    Parameters
    ----------
    situation : Situation
        Engines that may take a part.
    need : Need
        Tokens of the request.
    hops : sequence of search.Hop
        The path; its first engine stays.
    lost : container of str
        Engines that have to go.

    Returns
    -------
    tuple of search.Hop or None
        The whole path; None where the domain does not hold the layers.
    """
    domain = hops[0].server.failure_domain
    used = {hop.server.id for hop in hops}
    offers = [
        _draw_cost(one, situation.noise)
        for one in make_offers(situation, need, situation.engines)
        if one.server.failure_domain == domain and one.server.id not in used
    ]
    repaired: list[search.Hop] = []
    for is_lost, group in itertools.groupby(
        hops, key=lambda hop: hop.server.id in lost
    ):
        part = list(group)
        if not is_lost:
            repaired.extend(part)
            continue
        path = search.find_path(offers, part[-1].end, part[0].first, domain)
        if path is None:
            return None
        repaired.extend(path.hops)
        taken = {hop.server.id for hop in path.hops}
        offers = [one for one in offers if one.server.id not in taken]
    if len(repaired) > search.MAX_HOPS:
        return None
    return tuple(repaired)


def choose_rest(
    situation: Situation, need: Need, kept: search.Hop
) -> search.Path | None:
    """Choose the rest of a path behind a first hop that stays."""
    offers = [
        one
        for one in make_offers(situation, need, situation.engines)
        if one.server.id != kept.server.id
    ]
    return search.find_path(
        offers, situation.model.layers, kept.end, kept.server.failure_domain
    )
