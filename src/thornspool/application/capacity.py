"""What the ready targets of a group report, added up."""

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

FRESH_MS = 500
STEP_WAIT = 0.5
"""Part of a step that a token waits for, on average, where it comes from
another stage: it arrives while a step runs."""

Capacity = limit_messages.Capacity
_LEAST_STEP_MS = 0.1


@attrs.frozen
class _Report:
    max_batch: float
    waiting: float
    step_ms: float


@attrs.frozen
class _Span:
    """Layers held by the same stages.

    Attributes
    ----------
    rate : float
        Tokens a millisecond that all of them compute.
    time_ms : float
        Time of one token in these layers.
    waiting : float
        Requests in their queues.
    """

    rate: float
    time_ms: float
    waiting: float


@attrs.frozen
class _Reading:
    capacity: Capacity
    read_at: int


class CapacityReader:
    """Adds up what targets say that they can run at once.

    Parameters
    ----------
    clock : clock.Clock
        Source of time; a sum is used for `FRESH_MS`.
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
        """Return what a group can run at once and what waits there.

        Parameters
        ----------
        group : str
            Name of a model or of a service.

        Returns
        -------
        limit_messages.Capacity
            For a model, what its pipelines can run, and the longest of the
            queues before any of its layers.
        """
        now = self._clock.now()
        known = self._readings.get(group)
        if known is None or now - known.read_at >= FRESH_MS:
            known = _Reading(self._compute(group), now)
            self._readings[group] = known
        return known.capacity

    def _compute(self, group: str) -> Capacity:
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

        An entry hears of the load of some targets only; the others of the
        group count like the mean of those.
        """
        ready = [
            name
            for name in dict.fromkeys(names)
            if self._targets.read_readiness(name) is messages.Readiness.READY
        ]
        loads = {name: self._targets.read_load(name) for name in ready}
        known = {
            name: _Report(
                float(one.max_batch), float(one.waiting), one.step_ms
            )
            for name, one in loads.items()
            if one is not None
        }
        if not known:
            return {}
        mean = _compute_mean(known.values())
        return {name: known.get(name, mean) for name in ready}


def _compute_pipelines(
    model: documents.Model, reports: dict[str, _Report]
) -> Capacity:
    """Add up what pipelines over all layers of a model can run.

    A stream is in one stage at a time. So many run at once as tokens can
    leave the slowest layers in the time that one token takes through all of
    them (Little's law).
    """
    cuts = {0, model.layers}
    for stage in model.stages:
        cuts |= {stage.first_layer, stage.end_layer}
    spans = [
        _compute_span(model, reports, first, end)
        for first, end in itertools.pairwise(sorted(cuts))
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
    """Sum up layers that are held by the same stages; None if by none."""
    found = [
        (stage, reports[stage.target])
        for stage in model.stages
        if stage.first_layer <= first
        and end <= stage.end_layer
        and stage.target in reports
    ]
    if not found:
        return None
    times = [
        _compute_time(model, stage, report.step_ms, end - first)
        for stage, report in found
    ]
    return _Span(
        rate=sum(
            one.max_batch / max(one.step_ms, _LEAST_STEP_MS)
            for _, one in found
        ),
        time_ms=sum(times) / len(times),
        # What waits for the next step of a batch is no queue.
        waiting=sum(max(0.0, one.waiting - one.max_batch) for _, one in found),
    )


def _compute_time(
    model: documents.Model, stage: documents.Stage, step_ms: float, layers: int
) -> float:
    """Compute the time of one token in some of a stage's layers."""
    held = stage.end_layer - stage.first_layer
    wait = 0.0 if held == model.layers else STEP_WAIT
    return step_ms * (1.0 + wait) * layers / held


def _compute_mean(reports: Iterable[_Report]) -> _Report:
    listed = list(reports)
    return _Report(
        sum(one.max_batch for one in listed) / len(listed),
        sum(one.waiting for one in listed) / len(listed),
        sum(one.step_ms for one in listed) / len(listed),
    )
