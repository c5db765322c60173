"""Capacity of the ready targets of a group, from their load reports."""

from __future__ import annotations

import itertools
import typing

import attrs

from thornspool.domain.limits import messages as limit_messages
from thornspool.domain.targets import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool import clock
    from thornspool.domain.configuration import documents

READING_TTL_MS = 500
MAX_QUEUE_AGE_MS = 5_000
"""Age up to which the queue length of a report is used. The batch size and
step time of older reports stay in use."""

MEAN_STEP_WAIT = 0.5
"""Mean wait of a token that arrives from another stage, as a fraction of a
step: it arrives while a step is running."""

Capacity = limit_messages.Capacity
_MIN_STEP_MS = 0.1


@attrs.frozen
class _Report:
    max_batch: float
    waiting: float
    step_ms: float


@attrs.frozen
class _Span:
    """Consecutive layers that the same stages hold.

    Attributes
    ----------
    rate : float
        Tokens per millisecond that all these stages compute.
    time_ms : float
        Time of one token in these layers, in milliseconds.
    waiting : float
        Number of requests in their queues.
    """

    rate: float
    time_ms: float
    waiting: float


@attrs.frozen
class _Reading:
    capacity: Capacity
    read_at: int


class CapacityReader:
    """Sums the concurrency and queues that targets report.

    Parameters
    ----------
    clock : clock.Clock
        Source of time; a result is cached for `READING_TTL_MS`.
    snapshot : callable
        Returns the configuration in force.
    targets : messages.TargetView
        Readiness and load reports of targets.
    """

    def __init__(
        self,
        clock: clock.Clock,
        snapshot: Callable[[], documents.Snapshot],
        targets: messages.TargetView,
    ) -> None:
        self._clock = clock
        self._snapshot = snapshot
        self._targets = targets
        self._readings: dict[str, _Reading] = {}

    def read(self, group: str) -> Capacity:
        """Return the concurrency and the queue length of a group.

        Parameters
        ----------
        group : str
            Name of a model or of a service.

        Returns
        -------
        limit_messages.Capacity
            For a model, the concurrency of its pipelines and the longest
            queue in front of any of its layers.
        """
        now = self._clock.now()
        reading = self._readings.get(group)
        if reading is None or now - reading.read_at >= READING_TTL_MS:
            reading = _Reading(self._compute_capacity(group), now)
            self._readings[group] = reading
        return reading.capacity

    def _compute_capacity(self, group: str) -> Capacity:
        snapshot = self._snapshot()
        service = snapshot.services.get(group)
        if service is not None:
            reports = self._read_reports(service.targets)
            return Capacity(
                sum(one.max_batch for one in reports.values()),
                sum(one.waiting for one in reports.values()),
            )
        model = snapshot.models.get(group)
        if model is None:
            return Capacity()
        return _compute_pipelines(
            model, self._read_reports(stage.target for stage in model.stages)
        )

    def _read_reports(self, names: Iterable[str]) -> dict[str, _Report]:
        """Return the report of each ready target.

        An entry receives load reports of only some targets. The others of
        the group are assumed to have the mean of these reports.
        """
        now = self._clock.now()
        ready = [
            name
            for name in dict.fromkeys(names)
            if self._targets.read_readiness(name) is messages.Readiness.READY
        ]
        loads = {name: self._targets.read_load(name) for name in ready}
        reported = {
            name: one for name, one in loads.items() if one is not None
        }
        if not reported:
            return {}
        # Responses seldom carry load reports. With a queue length that is
        # minutes old, the entry would refuse requests while targets idle.
        queues = {
            name: float(one.waiting)
            for name, one in reported.items()
            if now - one.received_at <= MAX_QUEUE_AGE_MS
        }
        mean_queue = sum(queues.values()) / max(1, len(queues))
        reports = {
            name: _Report(
                float(one.max_batch), queues.get(name, mean_queue), one.step_ms
            )
            for name, one in reported.items()
        }
        mean = _compute_mean(reports.values())
        return {name: reports.get(name, mean) for name in ready}


def _compute_pipelines(
    model: documents.Model, reports: dict[str, _Report]
) -> Capacity:
    """Compute the concurrency of the pipelines over all layers of a model.

    A stream occupies one stage at a time. By Little's law the concurrency
    is the token rate of the slowest layers times the time of one token
    through all layers.
    """
    boundaries = {0, model.layers}
    for stage in model.stages:
        boundaries |= {stage.first_layer, stage.end_layer}
    spans = [
        _compute_span(model, reports, first, end)
        for first, end in itertools.pairwise(sorted(boundaries))
    ]
    if not all(spans):
        return Capacity()
    time_ms = sum(one.time_ms for one in spans if one)
    slots = min(one.rate for one in spans if one) * time_ms
    return Capacity(slots, max(one.waiting for one in spans if one))


def _compute_span(
    model: documents.Model,
    reports: dict[str, _Report],
    first: int,
    end: int,
) -> _Span | None:
    """Sum up the stages that hold a range of layers; None if none does."""
    holders = [
        (stage, reports[stage.target])
        for stage in model.stages
        if stage.first_layer <= first
        and end <= stage.end_layer
        and stage.target in reports
    ]
    if not holders:
        return None
    times_ms = [
        _compute_time(model, stage, report.step_ms, end - first)
        for stage, report in holders
    ]
    return _Span(
        rate=sum(
            one.max_batch / max(one.step_ms, _MIN_STEP_MS)
            for _, one in holders
        ),
        time_ms=sum(times_ms) / len(times_ms),
        # Requests that fit into the next batch are not queued.
        waiting=sum(
            max(0.0, one.waiting - one.max_batch) for _, one in holders
        ),
    )


def _compute_time(
    model: documents.Model, stage: documents.Stage, step_ms: float, layers: int
) -> float:
    """Compute the time of one token in a number of layers of a stage.

    Returns milliseconds.
    """
    held_layers = stage.end_layer - stage.first_layer
    step_wait = 0.0 if held_layers == model.layers else MEAN_STEP_WAIT
    return step_ms * (1.0 + step_wait) * layers / held_layers


def _compute_mean(reports: Iterable[_Report]) -> _Report:
    values = list(reports)
    return _Report(
        sum(one.max_batch for one in values) / len(values),
        sum(one.waiting for one in values) / len(values),
        sum(one.step_ms for one in values) / len(values),
    )
