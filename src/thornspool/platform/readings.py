"""What operators watch of an entry on the platform, read at a scrape."""

from __future__ import annotations

import collections
import typing

import attrs

from thornspool import metrics as metrics_module
from thornspool.domain.entries import messages
from thornspool.domain.placement import orders as orders_module
from thornspool.platform import store

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool import clock as clock_module
    from thornspool.application.routing import beliefs as beliefs_module
    from thornspool.application.routing import intake as intake_module
    from thornspool.application.routing import membership as membership_module
    from thornspool.application.routing import placement as placement_module
    from thornspool.application.routing import repeats
    from thornspool.domain.entries import leadership
    from thornspool.domain.entries import view as view_module
    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import reservations

_MS_PER_S = 1000.0
_STATES = ('ready', 'empty', 'draining', 'suspected')


@attrs.frozen
class Sources:
    """The parts of an entry that know what is read."""

    clock: clock_module.Clock
    store: store.Store
    beliefs: beliefs_module.Beliefs
    view: view_module.View
    lead: leadership.Leadership
    taken: reservations.Reservations
    budget: repeats.Repeats
    membership: membership_module.MembershipService
    placement: placement_module.PlacementService
    intake: intake_module.Intake


def add_readings(metrics: metrics_module.Metrics, sources: Sources) -> None:
    """Have an entry's state shown with its metrics."""
    _add_entry(metrics, sources)
    _add_store(metrics, sources)
    _add_engines(metrics, sources)


def _add_entry(metrics: metrics_module.Metrics, sources: Sources) -> None:
    """Add what this entry does, and what it believes of the others."""
    metrics.add_gauge(
        'thornspool_serving',
        '1 while callers are led to this entry.',
        metrics_module.read_one(
            lambda: sources.membership.state is messages.State.SERVING
        ),
    )
    metrics.add_gauge(
        'thornspool_leads',
        '1 while this entry gives orders to engines.',
        metrics_module.read_one(
            lambda: sources.lead.may_act(sources.clock.now())
        ),
    )
    metrics.add_gauge(
        'thornspool_entries',
        'Other entries by whether callers are led to them.',
        lambda: _count_entries(sources),
    )
    metrics.add_gauge(
        'thornspool_requests_in_flight',
        'Requests of callers that have not got their whole answer.',
        metrics_module.read_one(lambda: sources.intake.in_flight),
    )
    metrics.add_counter(
        'thornspool_repeats_refused_total',
        'Repeats that were due and for which the budget had no room.',
        metrics_module.read_one(lambda: sources.budget.refused),
    )
    metrics.add_counter(
        'thornspool_orders_total',
        'Orders to engines that this entry gave.',
        metrics_module.read_one(lambda: sources.placement.given),
    )


def _add_store(metrics: metrics_module.Metrics, sources: Sources) -> None:
    """Add how current the copy of the store is, and what that costs."""
    metrics.add_gauge(
        'thornspool_configuration_version',
        'Version of the configuration in force here; 0 before the first.',
        metrics_module.read_one(lambda: _read_version(sources)),
    )
    metrics.add_gauge(
        'thornspool_proof_age_seconds',
        'Age of the proof that the copy of the store is current; absent '
        'before the first.',
        lambda: _read_proof_age(sources),
    )
    metrics.add_counter(
        'thornspool_store_calls_total',
        'Calls that left for the store, by kind.',
        lambda: metrics_module.list_by(
            'kind',
            {kind: sources.store.calls[kind] for kind in store.CALL_KINDS},
        ),
    )
    metrics.add_counter(
        'thornspool_store_failures_total',
        'Calls to the store without a whole answer.',
        metrics_module.read_one(lambda: sources.store.failures),
    )


def _add_engines(metrics: metrics_module.Metrics, sources: Sources) -> None:
    """Add what is believed of engines, by failure domain."""
    metrics.add_gauge(
        'thornspool_engines',
        'Servers of the list by failure domain and what is believed.',
        lambda: _count_engines(sources),
    )
    metrics.add_gauge(
        'thornspool_layers_missing',
        'Layers of models that no engine of a failure domain holds.',
        lambda: _count_missing(sources),
    )
    metrics.add_gauge(
        'thornspool_engine_memory_taken_ratio',
        'Share of the memory for tokens that requests hold, by failure '
        'domain.',
        lambda: _measure_taken(sources),
    )


def _count_entries(sources: Sources) -> list[metrics_module.Reading]:
    serving = len(sources.view.list_serving(sources.clock.now()))
    return metrics_module.list_by(
        'state',
        {'serving': serving, 'other': len(sources.view.peers) - serving},
    )


def _read_version(sources: Sources) -> int:
    configuration = sources.beliefs.configuration
    return 0 if configuration is None else configuration.version


def _read_proof_age(sources: Sources) -> list[metrics_module.Reading]:
    age = sources.beliefs.proof.compute_age(sources.clock.now())
    return [] if age is None else [metrics_module.Reading(age / _MS_PER_S)]


def _count_engines(sources: Sources) -> list[metrics_module.Reading]:
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    servers = sources.beliefs.servers.values()
    for one in servers:
        counts[(one.failure_domain, _name_state(one, sources))] += 1
    return [
        metrics_module.Reading(
            counts[(domain, state)], {'domain': domain, 'state': state}
        )
        for domain in sorted({one.failure_domain for one in servers})
        for state in _STATES
    ]


def _name_state(server: fleet.Server, sources: Sources) -> str:
    if server.id in sources.beliefs.suspects:
        return 'suspected'
    if server.draining:
        return 'draining'
    if server.layers is None and _find_model(server, sources) is not None:
        return 'empty'
    return 'ready'


def _find_model(server: fleet.Server, sources: Sources) -> fleet.Model | None:
    return sources.beliefs.find_model(server.service)


def _group_engines(
    sources: Sources,
) -> dict[tuple[str, str], list[fleet.Server]]:
    """Group the engines of models by service and failure domain."""
    groups: dict[tuple[str, str], list[fleet.Server]] = {}
    for one in sources.beliefs.servers.values():
        if _find_model(one, sources) is not None:
            key = (one.service, one.failure_domain)
            groups.setdefault(key, []).append(one)
    return groups


def _read_groups(
    sources: Sources,
    read: Callable[[fleet.Model, Iterable[fleet.Server]], float],
) -> list[metrics_module.Reading]:
    """Read a value of each service in each failure domain."""
    readings = []
    for (service, domain), engines in _group_engines(sources).items():
        model = sources.beliefs.find_model(service)
        assert model is not None
        labels = {'service': service, 'domain': domain}
        readings.append(metrics_module.Reading(read(model, engines), labels))
    return readings


def _count_missing(sources: Sources) -> list[metrics_module.Reading]:
    def count(model: fleet.Model, engines: Iterable[fleet.Server]) -> float:
        held = [one.layers for one in engines if one.layers is not None]
        holes = orders_module.find_holes(held, model.layers)
        return sum(one.count for one in holes)

    return _read_groups(sources, count)


def _measure_taken(sources: Sources) -> list[metrics_module.Reading]:
    def measure(model: fleet.Model, engines: Iterable[fleet.Server]) -> float:
        holding = [one for one in engines if one.layers is not None]
        room = sum(
            model.compute_room(one.kind, one.layers.count)
            for one in holding
            if one.layers is not None
        )
        taken = sum(sources.taken.compute_taken(one.id) for one in holding)
        return taken / room if room > 0 else 0.0

    return _read_groups(sources, measure)
