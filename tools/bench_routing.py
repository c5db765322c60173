"""Measure the decisions of an entry on the platform, without a network.

``python -m tools.bench_routing`` prints one line a measurement: placement
of all engines, the search of a path, and the size of news between entries.
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
    """Build empty engines of mixed kinds in some failure domains."""
    return [
        builders.build_engine(
            f'{chr(97 + number % domains)}-{number}',
            KINDS[number // domains % len(KINDS)],
        )
        for number in range(engines)
    ]


def measure(work: Callable[[], object]) -> float:
    """Return the median milliseconds of a piece of work."""
    times = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        work()
        times.append((time.perf_counter() - began) * 1000)
    return statistics.median(times)


def measure_fleet(engines: int, domains: int) -> None:
    """Print the measurements of one fleet."""
    model = builders.build_model()
    empty = build_fleet(engines, domains)
    holdings = [orders_module.Holding(one) for one in empty]
    orders = planning.plan_orders(holdings, model)
    placed = [
        builders.build_engine(
            order.server.id,
            order.server.kind,
            order.layers.first,
            order.layers.end,
        )
        for order in orders
    ]
    settled = [orders_module.Holding(one) for one in placed]
    taken = reservations.Reservations()
    fleet_snapshot = choice.FleetSnapshot(
        model,
        tuple(placed),
        frozenset(),
        taken,
        {},
        'a',
        lambda: 0.5,
        bounds=bounds.compute_bounds(model, placed),
    )
    request_size = choice.RequestSize(760, 170)
    found = choice.choose_path(fleet_snapshot, request_size)
    hops = 0 if isinstance(found, choice.NoPathReason) else len(found.hops)
    update = messages.StateUpdate(
        'edge-host-12',
        'edge-host-12-0123456789ab',
        messages.State.SERVING,
        10**9,
        10**9,
        10**6,
        900,
        {
            server_hashes.compute_server_hash(one.id): 90_000.0
            for one in placed[:hops]
        },
        (),
    )
    rest = attrs.evolve(
        update,
        scope=messages.Scope.REST,
        reserved={
            server_hashes.compute_server_hash(one.id): 90_000.0
            for one in placed
        },
    )
    told = peers.encode_state_update(rest)
    tell = measure(
        lambda: peers.encode_state_update(
            attrs.evolve(
                rest, reserved=totals.subtract(rest.reserved, update.reserved)
            )
        )
    )
    hear = measure(
        lambda: peers.decode_datagram(peers.encode_state_update(update))
    )
    first = measure(lambda: planning.plan_orders(holdings, model))
    again = measure(lambda: planning.plan_orders(settled, model))
    path = measure(lambda: choice.choose_path(fleet_snapshot, request_size))
    print(
        f'engines={engines} domains={domains} '
        f'first_plan_ms={first:.1f} plan_ms={again:.1f} '
        f'path_ms={path:.2f} hops={hops} '
        f'news_bytes={len(peers.encode_state_update(update))} '
        f'collector_news_bytes={len(told)} tell_ms={tell:.3f} '
        f'hear_ms={hear:.3f}'
    )


def measure_looks(streams: int, hops: int) -> None:
    """Print the time of one look at the streams of an entry."""
    names = [f'a-{number}' for number in range(hops)]
    moving = [(names, 1.0)] * streams
    silent = [(names, 3.0)] * streams
    calm = measure(lambda: stalls.find_suspects(moving))
    lost = measure(lambda: stalls.find_suspects(silent))
    print(
        f'streams={streams} hops={hops} look_ms={calm:.4f} '
        f'look_when_silent_ms={lost:.3f}'
    )


def main() -> None:
    """Run the measurements."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    for streams in (10, 40, 200):
        measure_looks(streams, 12)
    for engines, domains in ((39, 3), (98, 4), (345, 7), (690, 7)):
        measure_fleet(engines, domains)


if __name__ == '__main__':
    main()
