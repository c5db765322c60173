"""Measure the time of a quarantine check by the kind of request.

``python -m tools.bench_quarantine`` prints one line for each number of
records, with all records of one target and with records of many targets.
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
    """Build records of crashed targets, with one request on trial."""
    quarantine = records.QuarantineRecords('entry')
    for target in range(targets):
        names = frozenset(
            f'r{number}' for number in range(target, size, targets)
        )
        quarantine.record_death(f't{target}', names, frozenset(), 0)
    trial_requests = frozenset({'r0'})
    quarantine.record_death('u', trial_requests, trial_requests, 1)
    return quarantine


def measure(quarantine: records.QuarantineRecords, fingerprint: str) -> float:
    """Return the microseconds of one check."""
    started = time.perf_counter_ns()
    for _ in range(ROUNDS):
        quarantine.check(fingerprint, records.VERDICT_DELAY_MS // 2)
    return (time.perf_counter_ns() - started) / ROUNDS / _NS_PER_US


def main() -> None:
    """Measure all sizes and print the times."""
    started = time.perf_counter_ns()
    for _ in range(ROUNDS):
        fingerprints.compute_fingerprint('w', 's/o', BODY)
    spent = (time.perf_counter_ns() - started) / ROUNDS / _NS_PER_US
    print(f'fingerprint_us={spent:.1f}')
    for size in SIZES:
        for targets in TARGETS:
            quarantine = build_records(size, targets)
            print(
                f'records={size} targets={targets}',
                f'suspect_us={measure(quarantine, "r1"):.1f}',
                f'tried_us={measure(quarantine, "r0"):.1f}',
                f'clear_us={measure(quarantine, "other"):.1f}',
            )


if __name__ == '__main__':
    main()
