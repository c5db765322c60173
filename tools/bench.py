"""Run every measurement; the last line printed is one JSON object.

Measurements run one after the other, so that none takes processor time
from another. docs/measurements.md tells what each figure means.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
import typing

from tools import bench_actions
from tools import bench_control
from tools import bench_goodput
from tools import bench_latency
from tools import bench_load
from tools import bench_membership
from tools import bench_pace
from tools import bench_recovery
from tools import bench_relay
from tools import bench_throughput

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

RECOVERIES = (
    'stage',
    'stage_silent',
    'start_silent',
    'entry',
    'page_owner',
    'page_owner_silent',
    'platform',
)
RELAY_VARIANT = 'bursts'

Figures = dict[str, typing.Any]


def run_latency() -> Figures:
    """Run the measurement of added latency."""
    return {'added_latency_ms': bench_latency.measure_latency()}


def run_relay() -> Figures:
    """Run the measurement of the token relay."""
    whole = bench_relay.measure_relay()
    return {
        'relay_tokens_per_s': whole[RELAY_VARIANT]['tokens_per_s'],
        'relay': {'variant': RELAY_VARIANT, **whole},
    }


def run_pace() -> Figures:
    """Run the measurement of one entry at the pace of the design size."""
    whole = bench_pace.measure_pace()
    return {
        'entry_cpu_percent_pace': whole['entry_cpu_percent'],
        'pace': whole,
    }


def run_throughput() -> Figures:
    """Run the measurement of throughput against the bound."""
    whole = bench_throughput.measure_throughput()
    return {
        'throughput_to_bound': whole['throughput_to_bound'],
        'throughput': whole,
    }


def run_actions() -> Figures:
    """Run the measurement of grants and calls to the platform."""
    whole = bench_actions.measure_actions()
    rates = {str(rate): whole[f'{rate}_per_s'] for rate in bench_actions.RATES}
    busiest = rates[str(max(bench_actions.RATES))]
    return {
        'grant_ms': {
            'p50': busiest['grant_p50_ms'],
            'p99': busiest['grant_p99_ms'],
        },
        'platform_calls_per_s': {
            rate: figures['platform_calls_per_s']
            for rate, figures in rates.items()
        },
        'actions': whole,
    }


def run_load() -> Figures:
    """Run the measurement of goodput under load."""
    whole = bench_load.measure_load()
    return {'goodput_at_load': whole['goodput_at_load'], 'load': whole}


def run_goodput() -> Figures:
    """Run the measurement of model requests under load."""
    return {'model_load': bench_goodput.measure_goodput()}


def run_recovery() -> Figures:
    """Run the measurement of recovery from kills and outages."""
    return {'recovery_ms': bench_recovery.measure_recovery(RECOVERIES)}


def run_configuration() -> Figures:
    """Run the measurement of publications."""
    name = 'config_in_force'
    whole = bench_recovery.measure_recovery((name,))
    return {'config_in_force_ms': whole[name]}


def run_control() -> Figures:
    """Run the measurement of what control costs a node."""
    whole = bench_control.measure_control()
    real = whole['real']
    return {
        'control_bytes_per_s_node': real['sent_max'],
        'control_cpu_percent_node': real['cpu_percent_max'],
        'control': whole,
    }


RUNS: dict[str, Callable[[], Figures]] = {
    'latency': run_latency,
    'relay': run_relay,
    'pace': run_pace,
    'throughput': run_throughput,
    'actions': run_actions,
    'load': run_load,
    'goodput': run_goodput,
    'recovery': run_recovery,
    'configuration': run_configuration,
    'control': run_control,
}


def list_seeds() -> dict[str, list[int]]:
    """Return the seeds of measurements that draw random numbers."""
    return {
        'throughput': list(bench_throughput.SEEDS),
        'load': list(bench_load.SEEDS),
        'actions': list(bench_actions.RATES),
        'goodput': [bench_goodput.SEED],
        'recovery': [bench_recovery.SEED],
        'membership': [bench_membership.SEED + bench_control.FLEET],
    }


def main(arguments: Sequence[str] | None = None) -> int:
    """Run all measurements, or one.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        0 when every measurement ended, 1 when one raised an error, which
        then stands in the object under ``errors``.
    """
    parser = argparse.ArgumentParser(prog='bench', description=__doc__)
    parser.add_argument('--only', choices=tuple(RUNS))
    only = parser.parse_args(arguments).only
    figures: Figures = {}
    errors: dict[str, str] = {}
    seconds: dict[str, float] = {}
    for name in (only,) if only else tuple(RUNS):
        print(f'{name} ...', flush=True)
        started = time.monotonic()
        try:
            figures |= RUNS[name]()
        except Exception as error:
            # The figures of the other measurements are still worth having.
            errors[name] = f'{type(error).__name__}: {error}'
        seconds[name] = round(time.monotonic() - started, 1)
    figures |= {'seeds': list_seeds(), 'seconds': seconds, 'errors': errors}
    print(json.dumps(figures))
    return 1 if errors else 0


if __name__ == '__main__':
    sys.exit(main())
