"""Measures the time of a verdict on a suspect and on other requests.

``python -m tools.bench_quarantine`` prints one line for each number of
records, once with all of them of one target and once spread over many.
"""

from __future__ import annotations

import time

from thornspool.domain.quarantine import fingerprints
from thornspool.domain.quarantine import records

SIZES = (64, 512, 4096)
TARGETS = (1, 64)
ROUNDS = 300
BODY = b'{"slot": 7, "note": "%s"}' % (b'n' * 200)
_NS_PER_US = 1000


def build_records(size: int, targets: int) -> records.QuarantineRecords:
    """Build suspects of targets that died, one of which runs again."""
    known = records.QuarantineRecords('entry')
    for target in range(targets):
        names = frozenset(f'r{one}' for one in range(target, size, targets))
        known.record_death(f't{target}', names, frozenset(), 0)
    tried = frozenset({'r0'})
    known.record_death('u', tried, tried, 1)
    return known


def measure(known: records.QuarantineRecords, fingerprint: str) -> float:
    """Return the microseconds of one verdict."""
    started = time.perf_counter_ns()
    for _ in range(ROUNDS):
        known.check(fingerprint, records.VERDICT_DELAY_MS // 2)
    return (time.perf_counter_ns() - started) / ROUNDS / _NS_PER_US


def main() -> None:
    """Measure and print."""
    started = time.perf_counter_ns()
    for _ in range(ROUNDS):
        fingerprints.compute_fingerprint('w', 's/o', BODY)
    spent = (time.perf_counter_ns() - started) / ROUNDS / _NS_PER_US
    print(f'fingerprint_us={spent:.1f}')
    for size in SIZES:
        for targets in TARGETS:
            known = build_records(size, targets)
            print(
                f'records={size} targets={targets}',
                f'suspect_us={measure(known, "r1"):.1f}',
                f'tried_us={measure(known, "r0"):.1f}',
                f'clear_us={measure(known, "other"):.1f}',
            )


if __name__ == '__main__':
    main()
