"""Metrics of an entry's state, which are read when metrics are scraped."""

from __future__ import annotations

import functools
import typing

from thornspool import metrics as metrics_module
from thornspool.adapters.store import client as store_client
from thornspool.application import ports
from thornspool.domain.clients import connections as clients
from thornspool.domain.targets import messages as target_messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from thornspool import clock as clock_module
    from thornspool import composition
    from thornspool.adapters import connections
    from thornspool.adapters.peers import traffic as traffic_module
    from thornspool.application import quarantine as quarantine_module

_MS_PER_S = 1000


def add_state_metrics(
    metrics: metrics_module.Metrics,
    clock: clock_module.Clock,
    services: composition.EntryServices,
    platform: ports.Platform,
    traffic: traffic_module.Traffic,
) -> None:
    """Add the gauges and counters of an entry's state to its metrics.

    Parameters
    ----------
    metrics : metrics_module.Metrics
        Metrics to add them to.
    clock : clock_module.Clock
        Source of time.
    services : composition.EntryServices
        Services whose state is exported.
    platform : ports.Platform
        Client of the platform; only that of the store counts its calls.
    traffic : traffic_module.Traffic
        Counts of the messages between entries.
    """
    _add_configuration(metrics, clock, services)
    _add_requests(metrics, services)
    _add_peer_traffic(metrics, traffic)
    if isinstance(platform, store_client.StorePlatform):
        _add_platform_calls(metrics, platform)


def _add_configuration(
    metrics: metrics_module.Metrics,
    clock: clock_module.Clock,
    services: composition.EntryServices,
) -> None:
    """Add the version in force and the state of entries and targets."""
    age = _ConfigurationAge(clock)
    services.configuration.subscribe(lambda snapshot: age.reset())
    metrics.add_gauge(
        'thornspool_configuration_version',
        'Version of the configuration in force here; 0 before the first.',
        metrics_module.make_sample_reader(services.configuration.version),
    )
    metrics.add_gauge(
        'thornspool_configuration_age_seconds',
        'Time since it was applied here, or since the start before any.',
        metrics_module.make_sample_reader(age.compute_age_s),
    )
    metrics.add_gauge(
        'thornspool_isolated',
        '1 while neither the platform nor any other entry answers.',
        metrics_module.make_sample_reader(services.is_isolated),
    )
    metrics.add_gauge(
        'thornspool_ready',
        '1 while this entry takes new work.',
        metrics_module.make_sample_reader(services.is_ready),
    )
    metrics.add_gauge(
        'thornspool_members',
        'Entries by what this one believes of them, itself included.',
        functools.partial(_count_members, services),
    )
    metrics.add_gauge(
        'thornspool_targets',
        'Targets in force by whether they may be given new work.',
        functools.partial(_count_targets, services),
    )


def _add_requests(
    metrics: metrics_module.Metrics, services: composition.EntryServices
) -> None:
    """Add the requests in flight and the state of the quarantine."""
    metrics.add_gauge(
        'thornspool_requests_in_flight',
        'Requests of callers that have not got their whole answer.',
        metrics_module.make_sample_reader(lambda: services.drain.in_flight),
    )
    metrics.add_gauge(
        'thornspool_group_in_flight_requests',
        'Requests in flight by the model or service that runs them.',
        lambda: metrics_module.list_samples_by_label(
            'group',
            {
                name: group.in_flight
                for name, group in services.admission.groups.items()
            },
        ),
    )
    metrics.add_gauge(
        'thornspool_group_bound_requests',
        'Requests in flight past which more are refused for overload.',
        lambda: metrics_module.list_samples_by_label(
            'group',
            {
                name: group.bound
                for name, group in services.admission.groups.items()
            },
        ),
    )
    metrics.add_gauge(
        'thornspool_attempts_open',
        'Attempts and records of actions that are not settled.',
        metrics_module.make_sample_reader(lambda: services.actions.open_count),
    )
    add_quarantine_metrics(metrics, services.quarantine)


def add_quarantine_metrics(
    metrics: metrics_module.Metrics,
    quarantine: quarantine_module.QuarantineService,
) -> None:
    """Add the verdicts and the records of the quarantine."""
    # The quarantine counts its verdicts as it returns them. Computing all
    # verdicts at each scrape would block the event loop, since each one
    # compares all records.
    metrics.add_counter(
        'thornspool_quarantine_verdicts_total',
        'Verdicts on whether requests may run.',
        lambda: metrics_module.list_samples_by_label(
            'verdict', quarantine.verdicts
        ),
    )
    metrics.add_gauge(
        'thornspool_quarantine_records',
        'Requests that were in flight on a target that died.',
        metrics_module.make_sample_reader(lambda: quarantine.record_count),
    )


def add_client_metrics(
    metrics: metrics_module.Metrics,
    manager: connections.ConnectionManager,
) -> None:
    """Add what the connections of clients hold, and what was refused."""
    metrics.add_gauge(
        'thornspool_client_connections',
        'Connections of clients by listener and phase.',
        lambda: _list_connections(manager),
    )
    metrics.add_gauge(
        'thornspool_client_connections_max',
        'Connections of clients that a listener may have open.',
        lambda: [
            metrics_module.Sample(
                pool.max_connections, {'listener': pool.name}
            )
            for pool in manager.pools
        ],
    )
    metrics.add_gauge(
        'thornspool_client_memory_bytes',
        'Memory that the requests and connections of clients hold.',
        metrics_module.make_sample_reader(lambda: manager.memory.held_bytes),
    )
    metrics.add_gauge(
        'thornspool_client_memory_max_bytes',
        'Memory that they may hold together.',
        metrics_module.make_sample_reader(lambda: manager.memory.budget_bytes),
    )
    metrics.add_counter(
        'thornspool_clients_refused_total',
        'Requests refused and connections closed, by listener and reason.',
        lambda: [
            metrics_module.Sample(
                count, {'listener': listener, 'reason': reason}
            )
            for (listener, reason), count in manager.refusals.items()
        ],
    )


def _list_connections(
    manager: connections.ConnectionManager,
) -> Iterator[metrics_module.Sample]:
    for pool in manager.pools:
        for phase in clients.Phase:
            yield metrics_module.Sample(
                pool.count(phase),
                {'listener': pool.name, 'phase': phase.value},
            )


def _add_peer_traffic(
    metrics: metrics_module.Metrics, traffic: traffic_module.Traffic
) -> None:
    """Add the counts of messages between entries."""
    metrics.add_counter(
        'thornspool_peer_bytes_total',
        'Bytes of messages between entries, without TCP and IP.',
        functools.partial(_list_traffic_samples, traffic, 'bytes'),
    )
    metrics.add_counter(
        'thornspool_peer_messages_total',
        'Messages between entries.',
        functools.partial(_list_traffic_samples, traffic, 'messages'),
    )
    metrics.add_counter(
        'thornspool_peer_dropped_total',
        'Messages between entries that were dropped.',
        lambda: metrics_module.list_samples_by_label(
            'reason', traffic.dropped
        ),
    )


def _add_platform_calls(
    metrics: metrics_module.Metrics, platform: store_client.StorePlatform
) -> None:
    """Add the counts of calls to the platform."""
    metrics.add_counter(
        'thornspool_platform_calls_total',
        'Calls that left for the platform.',
        lambda: metrics_module.list_samples_by_label('kind', platform.calls),
    )
    metrics.add_counter(
        'thornspool_platform_errors_total',
        'Calls that failed, or that did not leave since it fails.',
        lambda: metrics_module.list_samples_by_label('kind', platform.errors),
    )


class _ConfigurationAge:
    """Time since the version in force was applied, or since the start."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._applied_at = clock.now()

    def reset(self) -> None:
        self._applied_at = self._clock.now()

    def compute_age_s(self) -> float:
        return (self._clock.now() - self._applied_at) / _MS_PER_S


def _count_members(
    services: composition.EntryServices,
) -> list[metrics_module.Sample]:
    return metrics_module.count_by_label(
        'state',
        [state.value for state in ports.MemberState],
        [member.state.value for member in services.members.list_members()],
    )


def _count_targets(
    services: composition.EntryServices,
) -> list[metrics_module.Sample]:
    return metrics_module.count_by_label(
        'readiness',
        [readiness.value for readiness in target_messages.Readiness],
        [
            services.targets.read_readiness(name).value
            for name in services.configuration.snapshot().targets
        ],
    )


def _list_traffic_samples(
    traffic: traffic_module.Traffic, unit: str
) -> Iterator[metrics_module.Sample]:
    for direction in ('sent', 'received'):
        for kind, count in getattr(traffic, direction).items():
            labels = {'direction': direction, 'kind': kind}
            yield metrics_module.Sample(getattr(count, unit), labels)
