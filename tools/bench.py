"""Run the benchmarks; the last line printed is one JSON object.

Benchmarks run one after the other, so that they do not compete for processor
time. docs/measurements.md describes each figure.
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
    """Measure the latency that an entry adds."""
    return {'added_latency_ms': bench_latency.measure_latency()}


def run_relay() -> Figures:
    """Measure the token relay."""
    result = bench_relay.measure_relay()
    return {
        'relay_tokens_per_s': result[RELAY_VARIANT]['tokens_per_s'],
        'relay': {'variant': RELAY_VARIANT, **result},
    }


def run_pace() -> Figures:
    """Measure one entry at the token rate of the design size."""
    result = bench_pace.measure_pace()
    return {
        'entry_cpu_percent_pace': result['entry_cpu_percent'],
        'pace': result,
    }


def run_throughput() -> Figures:
    """Measure throughput relative to the maximum-flow bound."""
    result = bench_throughput.measure_throughput()
    return {
        'throughput_to_bound': result['throughput_to_bound'],
        'throughput': result,
    }


def run_actions() -> Figures:
    """Measure the latency of grants and the calls to the platform."""
    result = bench_actions.measure_actions()
    rates = {
        str(rate): result[f'{rate}_per_s'] for rate in bench_actions.RATES
    }
    highest_rate = rates[str(max(bench_actions.RATES))]
    return {
        'grant_ms': {
            'p50': highest_rate['grant_p50_ms'],
            'p99': highest_rate['grant_p99_ms'],
        },
        'platform_calls_per_s': {
            rate: figures['platform_calls_per_s']
            for rate, figures in rates.items()
        },
        'actions': result,
    }


def run_load() -> Figures:
    """Measure goodput under load in the simulation."""
    result = bench_load.measure_load()
    return {'goodput_at_load': result['goodput_at_load'], 'load': result}


def run_goodput() -> Figures:
    """Measure model requests under load with real processes."""
    return {'model_load': bench_goodput.measure_goodput()}


def run_recovery() -> Figures:
    """Measure the recovery from kills and outages."""
    return {'recovery_ms': bench_recovery.measure_recovery(RECOVERIES)}


def run_configuration() -> Figures:
    """Measure the time until a publication is in force."""
    name = 'config_in_force'
    result = bench_recovery.measure_recovery((name,))
    return {'config_in_force_ms': result[name]}


def run_control() -> Figures:
    """Measure the control traffic and processor time of an idle entry."""
    result = bench_control.measure_control()
    real = result['real']
    return {
        'control_bytes_per_s_node': real['sent_max'],
        'control_cpu_percent_node': real['cpu_percent_max'],
        'control': result,
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
    """Return the seeds of the benchmarks that use random numbers."""
    return {
        'throughput': list(bench_throughput.SEEDS),
        'load': list(bench_load.SEEDS),
        'actions': list(bench_actions.RATES),
        'goodput': [bench_goodput.SEED],
        'recovery': [bench_recovery.SEED],
        'membership': [bench_membership.SEED + bench_control.FLEET_SIZE],
    }


def main(arguments: Sequence[str] | None = None) -> int:
    """Run all benchmarks, or one.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        0 when every benchmark completed, 1 when one raised an error, which
        the object then has under ``errors``.
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
            # The figures of the other benchmarks remain valid.
            errors[name] = f'{type(error).__name__}: {error}'
        seconds[name] = round(time.monotonic() - started, 1)
    figures |= {'seeds': list_seeds(), 'seconds': seconds, 'errors': errors}
    print(json.dumps(figures))
    return 1 if errors else 0


if __name__ == '__main__':
    sys.exit(main())
