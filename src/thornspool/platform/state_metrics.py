"""Metrics of an entry on the platform, collected at each scrape."""

from __future__ import annotations

import collections
import typing

import attrs

from thornspool import metrics as metrics_module
from thornspool import state_metrics as common_metrics
from thornspool.adapters import transfers
from thornspool.domain.admission import headroom
from thornspool.domain.entries import messages
from thornspool.domain.paths import reservations
from thornspool.domain.placement import orders as orders_module
from thornspool.platform import store

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool import clock as clock_module
    from thornspool import tasks as tasks_module
    from thornspool.adapters import connections as connections_module
    from thornspool.application import quarantine as quarantine_module
    from thornspool.application.routing import admission_control
    from thornspool.application.routing import (
        crash_detection as crash_detection_module,
    )
    from thornspool.application.routing import intake as intake_module
    from thornspool.application.routing import membership as membership_module
    from thornspool.application.routing import path_finding
    from thornspool.application.routing import placement as placement_module
    from thornspool.application.routing import relays as relays_module
    from thornspool.application.routing import retry_pools
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.application.routing import (
        server_evidence as server_evidence_module,
    )
    from thornspool.application.routing import (
        server_limits as server_limits_module,
    )
    from thornspool.application.routing import workspace_demand
    from thornspool.domain.entries import leadership
    from thornspool.domain.entries import view as view_module
    from thornspool.domain.fleet import messages as fleet
    from thornspool.platform import follower as follower_module
    from thornspool.platform import loop_delays

_MS_PER_S = 1000.0
_STATES = ('ready', 'empty', 'draining', 'suspected')


@attrs.frozen
class MetricSources:
    """Objects of an entry from which the metrics are collected."""

    clock: clock_module.Clock
    session: transfers.Session
    store: store.Store
    follower: follower_module.Follower
    routing_state: routing_state_module.RoutingState
    view: view_module.View
    leader: leadership.Leadership
    reserved: reservations.Reservations
    retry_budget: retry_pools.RetryPools
    membership: membership_module.MembershipService
    placement: placement_module.PlacementService
    intake: intake_module.Intake
    server_limits: server_limits_module.ServerLimits
    crashes: crash_detection_module.CrashDetector
    evidence: server_evidence_module.ServerEvidence
    relays: relays_module.RelayService
    paths: path_finding.PathFinder
    quarantine: quarantine_module.QuarantineService
    loop_delay: loop_delays.LoopDelay
    tasks: tasks_module.BackgroundTasks
    connections: connections_module.ConnectionManager


def add_entry_metrics(
    metrics: metrics_module.Metrics, sources: MetricSources
) -> None:
    """Register the metrics of an entry's state."""
    _add_entry(metrics, sources)
    _add_store(metrics, sources)
    _add_engines(metrics, sources)
    add_admission(metrics, sources.paths)
    _add_sharing(metrics, sources)
    common_metrics.add_client_metrics(metrics, sources.connections)
    common_metrics.add_quarantine_metrics(metrics, sources.quarantine)
    metrics.add_gauge(
        'thornspool_quarantine_proven_parts',
        'Parts of prompts that ran well at servers of this entry.',
        metrics_module.make_sample_reader(
            lambda: len(sources.crashes.proven_parts)
        ),
    )


def _add_entry(
    metrics: metrics_module.Metrics, sources: MetricSources
) -> None:
    """Add metrics of this entry and its view of the other entries."""
    metrics.add_gauge(
        'thornspool_serving',
        '1 while callers are led to this entry.',
        metrics_module.make_sample_reader(
            lambda: sources.membership.state is messages.State.SERVING
        ),
    )
    metrics.add_gauge(
        'thornspool_leads',
        '1 while this entry gives orders to engines.',
        metrics_module.make_sample_reader(
            lambda: sources.leader.may_act(sources.clock.now())
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
        metrics_module.make_sample_reader(lambda: sources.intake.in_flight),
    )
    metrics.add_gauge(
        'thornspool_links_lost',
        '1 while this entry reaches no server.',
        metrics_module.make_sample_reader(
            lambda: sources.evidence.links.are_lost
        ),
    )
    metrics.add_counter(
        'thornspool_requests_relayed_total',
        'Requests that this entry passed on to peers.',
        metrics_module.make_sample_reader(
            lambda: sources.relays.relayed_count
        ),
    )
    metrics.add_counter(
        'thornspool_overlong_responses_total',
        'Responses of servers, peers and the store that exceeded a limit in '
        'bytes and were broken off, by the part that did.',
        lambda: metrics_module.list_samples_by_label(
            'part',
            {
                part.value: sources.session.overlong_counts[part]
                for part in transfers.Part
            },
        ),
    )
    metrics.add_counter(
        'thornspool_malformed_heads_total',
        'Responses of servers and peers whose head is no HTTP.',
        metrics_module.make_sample_reader(
            lambda: sources.session.malformed_count
        ),
    )
    metrics.add_counter(
        'thornspool_repeats_refused_total',
        'Repeats that were due and for which the budget had no room.',
        metrics_module.make_sample_reader(
            lambda: sources.retry_budget.refused_count
        ),
    )
    metrics.add_gauge(
        'thornspool_retry_budget_retries',
        'Retries of the last window that count against the budget, by service '
        'and by whether this entry or another one sent them.',
        lambda: _read_retries(sources),
    )
    metrics.add_gauge(
        'thornspool_retry_budget_allowed_retries',
        'Retries of a window that the budget allows the entries whose reports '
        'are known here, by service.',
        lambda: metrics_module.list_samples_by_label(
            'service',
            {
                service: usage.allowed
                for service, usage in sources.retry_budget.measure().items()
            },
        ),
    )
    metrics.add_gauge(
        'thornspool_retry_budget_entries',
        'Entries that share the retry budget, and those whose retries are '
        'known here, by service.',
        lambda: _count_sharing_entries(sources),
    )
    metrics.add_counter(
        'thornspool_server_ends_total',
        'Servers that ended while they ran requests of this entry.',
        metrics_module.make_sample_reader(lambda: sources.crashes.ended_count),
    )
    metrics.add_counter(
        'thornspool_task_failures_total',
        'Errors of background tasks, by the function that failed.',
        lambda: metrics_module.list_samples_by_label(
            'work', dict(sources.tasks.failures)
        ),
    )
    metrics.add_counter(
        'thornspool_orders_total',
        'Orders to engines that this entry gave.',
        metrics_module.make_sample_reader(
            lambda: sources.placement.order_count
        ),
    )


def _add_store(
    metrics: metrics_module.Metrics, sources: MetricSources
) -> None:
    """Add metrics of the local copy's freshness and of the store calls."""
    metrics.add_gauge(
        'thornspool_configuration_version',
        'Version of the configuration in force here; 0 before the first.',
        metrics_module.make_sample_reader(
            lambda: sources.routing_state.configuration_version
        ),
    )
    metrics.add_gauge(
        'thornspool_newest_peer_configuration_version',
        'Newest version of the configuration that a peer has announced.',
        metrics_module.make_sample_reader(lambda: sources.view.newest_version),
    )
    metrics.add_gauge(
        'thornspool_loop_delay_seconds',
        'Longest delay of a periodic task in the last second.',
        metrics_module.make_sample_reader(
            lambda: sources.loop_delay.read(sources.clock.now()) / _MS_PER_S
        ),
    )
    metrics.add_counter(
        'thornspool_changes_unapplied_total',
        'Values of the store that were skipped because of an error.',
        metrics_module.make_sample_reader(
            lambda: sources.follower.unapplied_count
        ),
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
        lambda: metrics_module.list_samples_by_label(
            'kind',
            {kind: sources.store.calls[kind] for kind in store.CALL_KINDS},
        ),
    )
    metrics.add_counter(
        'thornspool_store_failures_total',
        'Calls to the store without a whole answer.',
        metrics_module.make_sample_reader(lambda: sources.store.failures),
    )


def _add_engines(
    metrics: metrics_module.Metrics, sources: MetricSources
) -> None:
    """Add metrics of the engines by failure domain."""
    metrics.add_gauge(
        'thornspool_engines',
        'Servers of the list by failure domain and what is believed.',
        lambda: _count_engines(sources),
    )
    metrics.add_gauge(
        'thornspool_layers_missing',
        'Layers of models that no engine of a failure domain holds.',
        lambda: _count_uncovered_layers(sources),
    )
    metrics.add_gauge(
        'thornspool_engine_memory_taken_ratio',
        'Share of the memory for tokens that requests hold, by failure '
        'domain.',
        lambda: _measure_reserved_ratio(sources),
    )
    metrics.add_gauge(
        'thornspool_domain_export_ratio',
        'Share of the requests that leave the failure domain of this entry, '
        'by service.',
        lambda: metrics_module.list_samples_by_label(
            'service', sources.paths.spillover.list_exports()
        ),
    )
    metrics.add_gauge(
        'thornspool_server_limit_requests_per_second',
        'Requests per second that a server accepts from all entries together, '
        'as it names them; absent for a server without a limit.',
        lambda: metrics_module.list_samples_by_label(
            'server',
            sources.routing_state.named_limits.select(
                sources.routing_state.servers
            ),
        ),
    )
    metrics.add_gauge(
        'thornspool_server_rest_seconds',
        'Time for which a server wants no requests of this entry; absent for '
        'a server that has not asked for rest.',
        lambda: metrics_module.list_samples_by_label(
            'server', _read_rests(sources)
        ),
    )
    metrics.add_gauge(
        'thornspool_server_limit_share_requests_per_second',
        'Part of the limit of a server that this entry may use.',
        lambda: metrics_module.list_samples_by_label(
            'server',
            {
                name: sources.server_limits.get_share(name)
                for name in sources.routing_state.named_limits.select(
                    sources.routing_state.servers
                )
            },
        ),
    )


def add_admission(
    metrics: metrics_module.Metrics, paths: path_finding.PathFinder
) -> None:
    """Add metrics of the demand for engine memory by service and rank.

    The number of samples is bounded by ``admission_control.MAX_SERVICES`` and
    ``admission_control.RANKS``.
    """
    metrics.add_gauge(
        'thornspool_admission_queued_tokens',
        'Tokens of the requests that wait for memory at all entries, by '
        'service and rank.',
        lambda: _read_ranks(paths, lambda state: state.queued_tokens),
    )
    metrics.add_gauge(
        'thornspool_admission_kept_ratio',
        'Share of the memory of the engines that is kept for requests that '
        'are more urgent than a rank.',
        lambda: _read_ranks(
            paths, lambda state: _measure_kept_ratio(paths, state)
        ),
    )
    metrics.add_counter(
        'thornspool_admission_released_tokens_total',
        'Tokens that requests of this entry released, by service and rank.',
        lambda: _read_ranks(paths, lambda state: state.released_tokens),
    )


def _read_ranks(
    paths: path_finding.PathFinder,
    read: Callable[[admission_control.RankState], float],
) -> list[metrics_module.Sample]:
    return [
        metrics_module.Sample(
            read(state), {'service': state.service, 'rank': str(state.rank)}
        )
        for state in paths.control.describe()
    ]


def _measure_kept_ratio(
    paths: path_finding.PathFinder, state: admission_control.RankState
) -> float:
    limit = headroom.compute_reserved_limit(
        state.kept_tokens,
        paths.measure_memory(state.service).capacity_tokens,
    )
    return reservations.MAX_RESERVED_SHARE - limit


def _add_sharing(
    metrics: metrics_module.Metrics, sources: MetricSources
) -> None:
    """Add metrics of the sharing of scarce memory between workspaces."""

    def read(
        measure: Callable[[workspace_demand.Sharing], float],
    ) -> metrics_module.SampleReader:
        # The registry would keep the last value of an absent sample.
        return lambda: metrics_module.list_samples_by_label(
            'service',
            {
                service: 0 if sharing is None else measure(sharing)
                for service, sharing in (
                    sources.paths.control.list_sharings().items()
                )
            },
        )

    metrics.add_gauge(
        'thornspool_workspaces_sharing',
        'Workspaces that share scarce memory; 0 while it is not scarce.',
        read(lambda sharing: len(sharing.demands)),
    )
    metrics.add_gauge(
        'thornspool_workspace_share_tokens_per_second',
        'Tokens per second up to which a workspace is within its share; 0 '
        'while memory is not scarce.',
        read(lambda sharing: sharing.level),
    )


def _read_retries(sources: MetricSources) -> list[metrics_module.Sample]:
    return [
        metrics_module.Sample(count, {'service': service, 'sender': sender})
        for service, usage in sources.retry_budget.measure().items()
        for sender, count in (
            ('local', usage.local),
            ('others', usage.others),
        )
    ]


def _count_sharing_entries(
    sources: MetricSources,
) -> list[metrics_module.Sample]:
    return [
        metrics_module.Sample(count, {'service': service, 'state': state})
        for service, usage in sources.retry_budget.measure().items()
        for state, count in (
            ('registered', usage.entries),
            ('reporting', usage.members),
        )
    ]


def _count_entries(sources: MetricSources) -> list[metrics_module.Sample]:
    serving = len(sources.view.list_serving(sources.clock.now()))
    return metrics_module.list_samples_by_label(
        'state',
        {'serving': serving, 'other': len(sources.view.peers) - serving},
    )


def _read_proof_age(sources: MetricSources) -> list[metrics_module.Sample]:
    age = sources.routing_state.freshness.compute_age(sources.clock.now())
    return [] if age is None else [metrics_module.Sample(age / _MS_PER_S)]


def _count_engines(sources: MetricSources) -> list[metrics_module.Sample]:
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    servers = sources.routing_state.servers.values()
    for server in servers:
        counts[(server.failure_domain, _name_state(server, sources))] += 1
    return [
        metrics_module.Sample(
            counts[(domain, state)], {'domain': domain, 'state': state}
        )
        for domain in sorted({server.failure_domain for server in servers})
        for state in _STATES
    ]


def _name_state(server: fleet.Server, sources: MetricSources) -> str:
    if server.id in sources.routing_state.suspicions:
        return 'suspected'
    departures = sources.routing_state.departures
    if server.draining or departures.get_since(server) is not None:
        return 'draining'
    if server.layers is None and _find_model(server, sources) is not None:
        return 'empty'
    return 'ready'


def _find_model(
    server: fleet.Server, sources: MetricSources
) -> fleet.Model | None:
    return sources.routing_state.find_model(server.service)


def _group_engines(
    sources: MetricSources,
) -> dict[tuple[str, str], list[fleet.Server]]:
    """Group the engines that serve models by service and failure domain."""
    groups: dict[tuple[str, str], list[fleet.Server]] = {}
    for server in sources.routing_state.servers.values():
        if _find_model(server, sources) is not None:
            key = (server.service, server.failure_domain)
            groups.setdefault(key, []).append(server)
    return groups


def _read_groups(
    sources: MetricSources,
    compute: Callable[[fleet.Model, Iterable[fleet.Server]], float],
) -> list[metrics_module.Sample]:
    """Compute a value for each service in each failure domain."""
    samples = []
    for (service, domain), engines in _group_engines(sources).items():
        model = sources.routing_state.find_model(service)
        assert model is not None
        labels = {'service': service, 'domain': domain}
        samples.append(metrics_module.Sample(compute(model, engines), labels))
    return samples


def _count_uncovered_layers(
    sources: MetricSources,
) -> list[metrics_module.Sample]:
    def count(model: fleet.Model, engines: Iterable[fleet.Server]) -> float:
        held = [
            server.layers for server in engines if server.layers is not None
        ]
        gaps = orders_module.find_coverage_gaps(held, model.layers)
        return sum(gap.count for gap in gaps)

    return _read_groups(sources, count)


def _read_rests(sources: MetricSources) -> dict[str, float]:
    rests = sources.routing_state.rests.select(
        sources.routing_state.servers, sources.clock.now()
    )
    return {name: rest_ms / _MS_PER_S for name, rest_ms in rests.items()}


def _measure_reserved_ratio(
    sources: MetricSources,
) -> list[metrics_module.Sample]:
    def measure(model: fleet.Model, engines: Iterable[fleet.Server]) -> float:
        placed = [server for server in engines if server.layers is not None]
        capacity = sum(
            model.compute_free_capacity(server.kind, server.layers.count)
            for server in placed
            if server.layers is not None
        )
        reserved = sum(
            sources.reserved.compute_reserved(server.id) for server in placed
        )
        return reserved / capacity if capacity > 0 else 0.0

    return _read_groups(sources, measure)
