"""Measure the slopes in docs/CAPACITY.md and print them as JSON.

Each slope is fitted to three or more sizes. This process measures memory with
``tracemalloc`` and processor time with ``time.process_time``;
``tools.capacity_control`` measures limits, quarantine and the reports that
engines add to responses, ``tools.capacity_processes`` a real entry process,
and ``tools.bench_membership`` simulated gossip.
"""

from __future__ import annotations

import gc
import json
import random
import sys
import time
import tracemalloc
import typing

import attrs

from thornspool.domain.actions import records
from thornspool.domain.configuration import contents as contents_module
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications
from thornspool.domain.objectives import counts as objective_counts
from thornspool.domain.pipelines import planner
from thornspool.domain.targets import messages as target_messages
from tools import bench_membership
from tools import capacity_control
from tools import capacity_processes

SEED = 20261202
WORKSPACE_SIZES = (1_000, 4_000, 14_000)
TARGET_SIZES = (43, 200, 690)
RECORD_SIZES = (100, 400, 1_200)
SUBJECT_SIZES = (100, 400, 1_600)
OUTCOME = b'{"confirmed":true,"slot":"PSLV-C62-07","reference":"ab12cd34"}'
LAYERS = 48
PLANS = 200
EDITS = 10
MS_PER_PERCENT = 10.0

Build = typing.Callable[[int], typing.Any]


@attrs.frozen
class Measured:
    """One quantity at several sizes.

    Attributes
    ----------
    unit : str
        Unit of the values.
    sizes : tuple of int
        Numbers of items.
    values : tuple of float
        The quantity at each size.
    slope : float
        Least-squares slope in units for each additional item; 0 for a
        single size.
    """

    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float


def fit_slope(
    unit: str, sizes: tuple[int, ...], values: tuple[float, ...]
) -> Measured:
    """Fit a line to the values of a quantity by least squares."""
    if len(sizes) == 1:
        return Measured(unit, sizes, values, 0.0)
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    covariance = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    variance = sum((size - mean_size) ** 2 for size in sizes)
    rounded = tuple(round(value, 4) for value in values)
    return Measured(unit, sizes, rounded, round(covariance / variance, 6))


def measure_memory(build: Build, sizes: tuple[int, ...]) -> Measured:
    """Measure the memory of a structure at several sizes."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        structure = build(size)
        gc.collect()
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del structure
    return fit_slope('bytes', sizes, tuple(values))


def measure_time(work: Build, sizes: tuple[int, ...]) -> Measured:
    """Measure the processor time of a function at several sizes.

    ``work`` returns the processor time in seconds and the repetitions.
    """
    values = []
    for size in sizes:
        seconds, repetitions = work(size)
        values.append(seconds * 1000 / repetitions)
    return fit_slope('ms', sizes, tuple(values))


def build_workspace(number: int) -> documents.Workspace:
    """Build a workspace document of typical length."""
    return documents.Workspace(
        name=f'workspace-{number:05}',
        models=('drafter', 'describer'),
        limits=documents.Limits(20.0, 4_000.0, 32),
        objective=documents.Objective(0.999, 840, 49, None, 0.95),
    )


def build_contents(size: int) -> contents_module.Contents:
    """Build a configuration of many workspaces and two models."""
    target = documents.Target(
        'engine-1',
        documents.TargetKind.ENGINE,
        'host-1',
        'perth-a',
        'http://127.0.0.1:1',
        'large',
    )
    stage = documents.Stage('engine-1', 0, LAYERS)
    models = tuple(
        documents.Model(name, '1', LAYERS, (stage,))
        for name in ('drafter', 'describer')
    )
    additions: tuple[documents.Document, ...] = (
        target,
        *models,
        *(build_workspace(number) for number in range(size)),
    )
    return apply_additions(contents_module.Contents(), additions)


def apply_additions(
    contents: contents_module.Contents,
    additions: tuple[documents.Document, ...],
) -> contents_module.Contents:
    """Publish documents and return the contents of the new version.

    Raises
    ------
    TypeError
        When the publication is not accepted.
    """
    publication = publications.Publication(
        f'publication-{contents.head.version}',
        'capacity',
        contents.head.version,
        additions,
    )
    plan = publications.plan_publication(contents, publication, 0)
    if not isinstance(plan, publications.Plan):
        raise TypeError(f'publication was not accepted: {plan}')
    return contents_module.advance_contents(contents, plan.head, plan.values)


def measure_configuration() -> dict[str, Measured]:
    """Measure the memory, bytes and time of a workspace document."""
    built = {size: build_contents(size) for size in WORKSPACE_SIZES}
    largest = tuple(
        float(max(len(value) for value in built[size].values.values()))
        for size in WORKSPACE_SIZES
    )
    head_bytes = tuple(
        float(len(heads.encode_head(built[size].head)))
        for size in WORKSPACE_SIZES
    )

    def edit(size: int) -> tuple[float, int]:
        contents = built[size]
        started = time.process_time()
        for number in range(EDITS):
            changed = attrs.evolve(
                build_workspace(number), limits=documents.Limits(1.0 + number)
            )
            contents = apply_additions(contents, (changed,))
        return time.process_time() - started, EDITS

    return {
        'configuration_memory_by_workspace': measure_memory(
            build_contents, WORKSPACE_SIZES
        ),
        'configuration_largest_bucket_by_workspace': fit_slope(
            'bytes', WORKSPACE_SIZES, largest
        ),
        'configuration_head_by_workspace': fit_slope(
            'bytes', WORKSPACE_SIZES, head_bytes
        ),
        'configuration_change_by_workspace': measure_time(
            edit, WORKSPACE_SIZES
        ),
    }


def build_page(size: int) -> records.Page:
    """Build a ledger page of settled records."""
    random_source = random.Random(SEED)
    outcome = records.Outcome(200, 'application/json', OUTCOME)
    records_by_key = {}
    for _ in range(size):
        attempt = f'{random_source.getrandbits(128):032x}'
        records_by_key[f'workspace-1/{attempt}'] = records.Record(
            records.RecordState.DONE,
            attempt,
            runner='perth-1-018f0000-0000-7000-8000-000000000000',
            runner_address='tcp://10.0.0.1:7000',
            digest=f'{random_source.getrandbits(128):032x}',
            fencing_token=1,
            deadline=1_790_000_000_000,
            outcome=outcome,
        )
    return records.Page(1, 1, records_by_key)


def measure_ledger() -> dict[str, Measured]:
    """Measure the bytes, memory and time of a ledger record."""
    encoded = tuple(
        float(len(records.encode_page(build_page(size))))
        for size in RECORD_SIZES
    )

    def write(size: int) -> tuple[float, int]:
        page = build_page(size)
        started = time.process_time()
        for _ in range(EDITS):
            records.decode_page(records.encode_page(page))
        return time.process_time() - started, EDITS

    return {
        'ledger_page_by_record': fit_slope('bytes', RECORD_SIZES, encoded),
        'ledger_page_memory_by_record': measure_memory(
            build_page, RECORD_SIZES
        ),
        'ledger_encode_decode_by_record': measure_time(write, RECORD_SIZES),
    }


def measure_planning() -> dict[str, Measured]:
    """Measure the time of one route plan by the engines of a model."""

    def plan(size: int) -> tuple[float, int]:
        ranges = ((0, 16), (16, 32), (32, LAYERS))
        stages = tuple(
            documents.Stage(f'engine-{number}', *ranges[number % len(ranges)])
            for number in range(size)
        )
        targets = {
            stage.target: documents.Target(
                stage.target,
                documents.TargetKind.ENGINE,
                f'host-{number}',
                f'domain-{number % 7}',
                'http://127.0.0.1:1',
            )
            for number, stage in enumerate(stages)
        }
        model = documents.Model('drafter', '1', LAYERS, stages)
        costs = planner.Costs(lambda stage: 1.0, lambda first, second: 1.0)
        random_source = random.Random(SEED)
        started = time.process_time()
        for _ in range(PLANS):
            planner.plan_route(model, stages, targets, costs, random_source)
        return time.process_time() - started, PLANS

    return {'plan_by_engine': measure_time(plan, TARGET_SIZES)}


def build_reports(size: int) -> dict[str, target_messages.LoadReport]:
    """Build the load reports of many targets."""
    return {
        f'engine-{number}': target_messages.LoadReport(
            f'engine-{number}', number, target_messages.Readiness.READY
        )
        for number in range(size)
    }


def build_counts(size: int) -> list[objective_counts.SlidingCounts]:
    """Build the counts of subjects with traffic in every time slot."""
    all_counts = []
    for _ in range(size):
        counts = objective_counts.SlidingCounts()
        for hour in range(objective_counts.HOUR_SLOTS):
            counts.add(hour * objective_counts.HOUR_MS, 1, 0)
        last = objective_counts.HOUR_SLOTS * objective_counts.HOUR_MS
        for minute in range(objective_counts.MINUTE_SLOTS):
            now = last + minute * objective_counts.MINUTE_MS
            counts.add(now, 1, 0)
        all_counts.append(counts)
    return all_counts


def measure_report_state() -> dict[str, Measured]:
    """Measure the memory for each target and each subject of objectives."""
    return {
        'load_report_memory_by_target': measure_memory(
            build_reports, TARGET_SIZES
        ),
        'burn_memory_by_subject': measure_memory(build_counts, SUBJECT_SIZES),
    }


def measure_control() -> dict[str, Measured]:
    """Measure the memory of limits and quarantine."""
    workspaces = capacity_control.WORKSPACE_SIZES
    fingerprints = capacity_control.RECORD_SIZES
    return {
        'limits_memory_by_active_workspace': measure_memory(
            capacity_control.build_limiter, workspaces
        ),
        'limits_memory_by_holding': measure_memory(
            capacity_control.build_holdings, workspaces
        ),
        'quarantine_memory_by_record': measure_memory(
            capacity_control.build_quarantine, fingerprints
        ),
        'quarantine_memory_by_record_of_8_deaths': measure_memory(
            capacity_control.build_often_crashed, fingerprints
        ),
    }


def fit_gossip(
    gossip: dict[str, dict[str, float]],
) -> dict[str, Measured]:
    """Fit the bytes and time of a node for each gossip round of 1 s."""
    # The mapping also has the figures of real sockets.
    by_size = [gossip[str(size)] for size in bench_membership.SIZES]
    sizes = bench_membership.SIZES
    sent = tuple(figures['sent_bytes_per_s'] for figures in by_size)
    cpu_ms = tuple(
        figures['cpu_percent'] * MS_PER_PERCENT for figures in by_size
    )
    return {
        'gossip_bytes_per_round_by_member': fit_slope('bytes', sizes, sent),
        'gossip_cpu_per_round_by_member': fit_slope('ms', sizes, cpu_ms),
    }


def measure_slopes() -> dict[str, typing.Any]:
    """Measure everything.

    Returns
    -------
    dict of str to Measured or figures
        Slopes by name, with their sizes and values.
    """
    slopes: dict[str, Measured] = {
        **measure_configuration(),
        **measure_ledger(),
        **measure_planning(),
        **measure_report_state(),
        **measure_control(),
    }
    measured = {
        **capacity_control.measure_control(),
        **capacity_processes.measure_processes(),
    }
    for name, (unit, (sizes, values)) in measured.items():
        slopes[name] = fit_slope(unit, sizes, values)
    gossip = bench_membership.measure_membership()
    slopes.update(fit_gossip(gossip))
    figures = {name: attrs.asdict(slope) for name, slope in slopes.items()}
    figures['gossip'] = gossip
    return figures


def main() -> int:
    """Print one JSON object, first indented, then on one line."""
    figures = measure_slopes()
    print(json.dumps(figures, indent=2))
    print(json.dumps(figures))
    return 0


if __name__ == '__main__':
    sys.exit(main())
