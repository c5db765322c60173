"""Measure the decisions of an entry on the platform, without a network.

``python -m tools.bench_routing`` prints one line for each measurement: the
placement of all engines, the path search, the size and the coding time of
state updates between entries, and the detection of stalled streams.
"""

from __future__ import annotations

import argparse
import statistics
import time
import typing

import attrs

from tests.domain.fleet import builders
from thornspool.domain.entries import messages
from thornspool.domain.entries import totals
from thornspool.domain.fleet import server_hashes
from thornspool.domain.paths import bounds
from thornspool.domain.paths import choice
from thornspool.domain.paths import reservations
from thornspool.domain.paths import stalls
from thornspool.domain.placement import orders as orders_module
from thornspool.domain.placement import planning
from thornspool.platform import peers

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.fleet import messages as fleet

KINDS = ('large', 'medium', *['small'] * 6, *['tiny'] * 6)
REPEATS = 20


def build_fleet(engines: int, domains: int) -> list[fleet.Server]:
    """Build empty engines of several kinds in some failure domains."""
    return [
        builders.build_engine(
            f'{chr(97 + number % domains)}-{number}',
            KINDS[number // domains % len(KINDS)],
        )
        for number in range(engines)
    ]


def measure(function: Callable[[], object]) -> float:
    """Return the median run time of a function in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        function()
        times.append((time.perf_counter() - started) * 1000)
    return statistics.median(times)


def measure_fleet(engines: int, domains: int) -> None:
    """Print the measurements of one fleet."""
    model = builders.build_model()
    empty = build_fleet(engines, domains)
    empty_holdings = [orders_module.Holding(engine) for engine in empty]
    orders = planning.plan_orders(empty_holdings, model)
    placed = [
        builders.build_engine(
            order.server.id,
            order.server.kind,
            order.layers.first,
            order.layers.end,
        )
        for order in orders
    ]
    placed_holdings = [orders_module.Holding(engine) for engine in placed]
    reserved = reservations.Reservations()
    fleet_snapshot = choice.FleetSnapshot(
        model,
        tuple(placed),
        frozenset(),
        reserved,
        {},
        'a',
        lambda: 0.5,
        bounds=bounds.compute_bounds(model, placed),
    )
    request_size = choice.RequestSize(760, 170)
    path = choice.choose_path(fleet_snapshot, request_size)
    hops = 0 if isinstance(path, choice.NoPathReason) else len(path.hops)
    update = messages.StateUpdate(
        'edge-host-12',
        'edge-host-12-0123456789ab',
        messages.State.SERVING,
        10**9,
        10**9,
        10**6,
        900,
        {
            server_hashes.compute_server_hash(engine.id): 90_000.0
            for engine in placed[:hops]
        },
        (),
    )
    combined_update = attrs.evolve(
        update,
        scope=messages.Scope.REST,
        reserved={
            server_hashes.compute_server_hash(engine.id): 90_000.0
            for engine in placed
        },
    )
    encoded = peers.encode_state_update(combined_update)
    encode_ms = measure(
        lambda: peers.encode_state_update(
            attrs.evolve(
                combined_update,
                reserved=totals.subtract(
                    combined_update.reserved, update.reserved
                ),
            )
        )
    )
    decode_ms = measure(
        lambda: peers.decode_datagram(peers.encode_state_update(update))
    )
    first_plan_ms = measure(
        lambda: planning.plan_orders(empty_holdings, model)
    )
    plan_ms = measure(lambda: planning.plan_orders(placed_holdings, model))
    path_ms = measure(lambda: choice.choose_path(fleet_snapshot, request_size))
    print(
        f'engines={engines} domains={domains} '
        f'first_plan_ms={first_plan_ms:.1f} plan_ms={plan_ms:.1f} '
        f'path_ms={path_ms:.2f} hops={hops} '
        f'news_bytes={len(peers.encode_state_update(update))} '
        f'collector_news_bytes={len(encoded)} tell_ms={encode_ms:.3f} '
        f'hear_ms={decode_ms:.3f}'
    )


def measure_stall_checks(streams: int, hops: int) -> None:
    """Print the time of one check of all streams for stalls."""
    names = [f'a-{number}' for number in range(hops)]
    active = [(names, 1.0)] * streams
    stalled = [(names, 3.0)] * streams
    active_ms = measure(lambda: stalls.find_suspects(active))
    stalled_ms = measure(lambda: stalls.find_suspects(stalled))
    print(
        f'streams={streams} hops={hops} look_ms={active_ms:.4f} '
        f'look_when_silent_ms={stalled_ms:.3f}'
    )


def main() -> None:
    """Run the measurements."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    for streams in (10, 40, 200):
        measure_stall_checks(streams, 12)
    for engines, domains in ((39, 3), (98, 4), (345, 7), (690, 7)):
        measure_fleet(engines, domains)


if __name__ == '__main__':
    main()
