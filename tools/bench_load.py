"""Measure decisions under load in a discrete-event simulation.

It drives admission's adaptive limit and the retry budget as the daemon does,
in simulated time and without sockets. The output has the seeds.
"""

from __future__ import annotations

import functools
import heapq
import json
import random
import time
import typing

import attrs

from thornspool.adapters.peers import frames
from thornspool.adapters.peers import packing
from thornspool.adapters.peers import registry
from thornspool.domain.configuration import documents
from thornspool.domain.limits import concurrency
from thornspool.domain.limits import limiter
from thornspool.domain.limits import messages as limit_messages
from thornspool.domain.retries import budget as budgets
from thornspool.domain.retries import decisions
from thornspool.domain.retries import messages as retry_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

LOADS = (0.5, 1.0, 1.5, 2.0, 3.0)
UNIFORM_KINDS = (1.0,)
MIXED_KINDS = (0.25, 0.5, 1.25, 2.0)
"""Service times of one group's operations as multiples of `SERVICE_MS`.

Their mean is 1.
"""

SEEDS = (1, 2, 3)

ENTRIES = 6
SERVERS = 40
SERVICE_MS = 200
DEADLINE_MS = 1000
DURATION_MS = 60_000
REPORT_MS = 1500
WARM_UP_MS = 10_000

ADMISSIONS = 200_000
RETRY_RATE_PER_S = 200
RETRY_HEALTHY_MS = 10_000
RETRY_DOWN_MS = 10_000

_MS_PER_S = 1000.0
_INCARNATION = 'entry-100-019adf00-0000-7000-8000-000000000000'


@attrs.frozen
class _Job:
    """A request with its entry, its operation and its service time."""

    entry: int
    kind: str
    service_ms: float
    started: int


@attrs.define
class _Simulation:
    """Servers with one queue and entries that admit independently."""

    random: random.Random
    rate: float
    limited: bool
    kinds: tuple[float, ...] = UNIFORM_KINDS
    reported: bool = True
    now: int = 0
    completed_in_time: float = 0.0
    waits: list[int] = attrs.field(factory=list)
    refused: int = 0
    offered: int = 0
    busy: int = 0
    event_number: int = 0
    queue: list[_Job] = attrs.field(factory=list)
    events: list[tuple[int, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    entries: list[concurrency.GroupLimit] = attrs.field(
        factory=lambda: [concurrency.GroupLimit() for _ in range(ENTRIES)]
    )

    def run(self) -> None:
        self.schedule(0, self.arrive)
        if self.reported:
            self.schedule(0, self.report)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            if self.now > DURATION_MS:
                return
            action()

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        self.event_number += 1
        event = (self.now + round(delay), self.event_number, action)
        heapq.heappush(self.events, event)

    def arrive(self) -> None:
        self.schedule(self.random.expovariate(self.rate), self.arrive)
        index = self.random.randrange(ENTRIES)
        is_measured = self.now >= WARM_UP_MS
        self.offered += is_measured
        kind = self.random.randrange(len(self.kinds))
        job = _Job(index, str(kind), self.kinds[kind] * SERVICE_MS, self.now)
        if self.limited and self.refuse(job):
            self.refused += is_measured
            return
        self.queue.append(job)
        self.serve()

    def report(self) -> None:
        self.schedule(REPORT_MS, self.report)
        capacity = limit_messages.Capacity(SERVERS, len(self.queue))
        for entry in self.entries:
            entry.apply_capacity(capacity, ENTRIES, self.now)

    def refuse(self, job: _Job) -> bool:
        request = limit_messages.RequestEstimate(
            'group', job.kind, 0, self.now + DEADLINE_MS
        )
        answer = self.entries[job.entry].admit(request, self.now)
        return isinstance(answer, limit_messages.Rejection)

    def serve(self) -> None:
        if self.busy >= SERVERS or not self.queue:
            return
        job = self.queue.pop(0)
        self.busy += 1
        self.schedule(
            self.random.uniform(0.5, 1.5) * job.service_ms,
            lambda: self.finish(job),
        )

    def finish(self, job: _Job) -> None:
        self.busy -= 1
        waited = self.now - job.started
        in_time = waited <= DEADLINE_MS
        is_measured = self.now >= WARM_UP_MS
        self.completed_in_time += (
            (in_time and is_measured) * job.service_ms / SERVICE_MS
        )
        if is_measured:
            self.waits.append(waited)
        if self.limited:
            entry = self.entries[job.entry]
            if in_time:
                entry.observe_answer(job.kind, waited, self.now)
            else:
                entry.record_timeout(job.started, self.now)
            entry.release()
        self.serve()


@attrs.frozen
class LoadResult:
    """Results of an offered load.

    Attributes
    ----------
    goodput : float
        Responses within the deadline as a share of the capacity.
    wait_p50_ms, wait_p95_ms : float
        Percentiles of the time of all responses, including late ones.
    """

    goodput: float
    wait_p50_ms: float
    wait_p95_ms: float


def measure_served(
    load: float,
    limited: bool,
    seed: int,
    kinds: tuple[float, ...] = UNIFORM_KINDS,
    reported: bool = True,
) -> LoadResult:
    """Measure the results of an offered load.

    Parameters
    ----------
    load : float
        Offered requests as a multiple of the capacity.
    limited : bool
        Whether admission limits the requests in flight.
    seed : int
        Seed of arrivals and service times.
    kinds : tuple of float, optional
        Service times of the operations as multiples of `SERVICE_MS`.
    reported : bool, optional
        Whether the servers report their load every `REPORT_MS`.
    """
    capacity = SERVERS / SERVICE_MS
    random_source = random.Random(seed)
    run = _Simulation(random_source, load * capacity, limited, kinds, reported)
    run.run()
    waits = sorted(run.waits)
    return LoadResult(
        run.completed_in_time / (capacity * (DURATION_MS - WARM_UP_MS)),
        waits[len(waits) // 2],
        waits[len(waits) * 95 // 100],
    )


def measure_goodput(load: float, limited: bool, seed: int) -> float:
    """Return the responses within the deadline as a share of capacity."""
    return measure_served(load, limited, seed).goodput


def measure_attempts(budgeted: bool, seed: int) -> float:
    """Measure attempts per request while a target group is down.

    The group first serves every request, then refuses every connection.

    Parameters
    ----------
    budgeted : bool
        Whether the retry budget is enforced.
    seed : int
        Seed of the backoff.
    """
    draw_random = random.Random(seed).random
    budget = budgets.build_budget(0)
    interval = round(_MS_PER_S / RETRY_RATE_PER_S)
    for now in range(0, RETRY_HEALTHY_MS, interval):
        budget.record_success(now)
    end = RETRY_HEALTHY_MS + RETRY_DOWN_MS
    waiting = [(now, 1) for now in range(RETRY_HEALTHY_MS, end, interval)]
    requests = len(waiting)
    attempts = 0
    while waiting:
        now, number = heapq.heappop(waiting)
        attempts += 1
        if not budgeted:
            budget.bucket.level = budget.bucket.burst
        failure = retry_messages.Failure(
            retry_messages.Fate.NOT_RUN, True, number, now + DURATION_MS
        )
        answer = decisions.decide(failure, budget, now, draw_random())
        if isinstance(answer, retry_messages.Retry):
            heapq.heappush(waiting, (now + answer.delay_ms, number + 1))
    return attempts / requests


def measure_report_bytes() -> dict[str, int]:
    """Measure the encoded size of reports and grants.

    The size of a line is the difference between messages of two lines and
    of one. The size of a message is that of its whole frame between two
    entries, without TCP and IP headers.
    """
    amounts = limit_messages.Amounts(12.3456, 4567.891, 17.0)
    line = limit_messages.WorkspaceDemand(
        'workspace-12345', 1_234_567_890, amounts, amounts
    )
    grant = limit_messages.WorkspaceGrant(
        'workspace-12345', 1_234_567_890, amounts, 5000
    )
    reports = [
        _encode_frame(limit_messages.pack_report([line] * count))
        for count in (1, 2)
    ]
    replies = [
        _encode_frame(
            limit_messages.pack_reply(line.sequence, 5000, [grant] * count),
            packing.digest_incarnation(_INCARNATION),
        )
        for count in (1, 2)
    ]
    return {
        'report_line': reports[1] - reports[0],
        'grant': replies[1] - replies[0],
        'report_message': reports[0],
        'grant_message': replies[0],
    }


def _encode_frame(message: object, recipient: bytes = b'') -> int:
    """Return the size of the frame of a message in bytes."""
    kind, body = registry.Registry().encode(message)
    frame = frames.Frame(
        _INCARNATION, 'tcp://10.1.1.200:7400', kind, 1_000, recipient, body
    )
    return len(frames.encode(frame))


def measure_admission_us() -> float:
    """Measure the processor time of one admission and its release, in us.

    The entry is one of 350 and has limits for each of 1,000 workspaces;
    reports are collected as often as in the daemon.
    """
    workspace_limiter = limiter.WorkspaceLimiter(350)
    limits = documents.Limits(1000.0, 10**6, 1000)
    started = time.process_time()
    for number in range(ADMISSIONS):
        now = number // 2
        name = f'w{number % 1000}'
        if workspace_limiter.admit(name, limits, now) is None:
            workspace_limiter.finish_request(name, 1, now)
        if number % 400 == 0:
            workspace_limiter.collect_reports(now, 6)
    used = time.process_time() - started
    return round(used / ADMISSIONS * 1e6, 2)


def _average(measure: Callable[[int], float]) -> float:
    values = [measure(seed) for seed in SEEDS]
    return round(sum(values) / len(values), 3)


def _measure_wait(load: float, seed: int) -> float:
    return measure_served(load, True, seed).wait_p95_ms


def _measure_loads(
    limited: bool = True,
    kinds: tuple[float, ...] = UNIFORM_KINDS,
    reported: bool = True,
) -> dict[str, float]:
    """Return the mean goodput over the seeds at each load."""

    def measure(load: float, seed: int) -> float:
        return measure_served(load, limited, seed, kinds, reported).goodput

    return {
        str(load): _average(functools.partial(measure, load)) for load in LOADS
    }


def measure_load() -> dict[str, typing.Any]:
    """Measure goodput under load, and attempts while a group is down.

    Returns
    -------
    dict
        ``seeds``; ``goodput_at_load``: share of capacity answered within
        the deadline by load, with admission; ``wait_p95_ms_at_load``: 95th
        percentile of the response time; ``goodput_unlimited_at_load``:
        without admission; ``goodput_mixed_at_load``: operations with
        different service times; ``goodput_unreported_at_load``: servers that
        report no load; ``attempts_per_request``: with and without the retry
        budget; ``message_bytes``; ``admission_us``.
    """
    return {
        'seeds': list(SEEDS),
        'goodput_at_load': _measure_loads(),
        'wait_p95_ms_at_load': {
            str(load): _average(functools.partial(_measure_wait, load))
            for load in LOADS
        },
        'goodput_unlimited_at_load': _measure_loads(limited=False),
        'goodput_mixed_at_load': _measure_loads(kinds=MIXED_KINDS),
        'goodput_unreported_at_load': _measure_loads(reported=False),
        'message_bytes': measure_report_bytes(),
        'admission_us': measure_admission_us(),
        'attempts_per_request': {
            'with_budget': _average(functools.partial(measure_attempts, True)),
            'without_budget': _average(
                functools.partial(measure_attempts, False)
            ),
        },
    }


if __name__ == '__main__':
    print(json.dumps(measure_load(), indent=2))
