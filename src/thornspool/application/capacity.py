"""What the ready targets of a group report, added up."""

from __future__ import annotations

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
Capacity = limit_messages.Capacity
_UNKNOWN = Capacity()


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
            For a model, the layer with the fewest slots and the one with
            the longest queue, since each request needs all of them.
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
            return _add_up(self._read_targets(service.targets).values())
        model = snapshot.models.get(group)
        return _UNKNOWN if model is None else self._compute_model(model)

    def _compute_model(self, model: documents.Model) -> Capacity:
        targets = self._read_targets(stage.target for stage in model.stages)
        ends = {stage.end_layer for stage in model.stages}
        borders = {stage.first_layer for stage in model.stages} | ends
        layers = [
            _add_up(
                targets.get(stage.target, _UNKNOWN)
                for stage in model.stages
                if stage.first_layer <= layer < stage.end_layer
            )
            for layer in borders
            if layer < model.layers
        ]
        return Capacity(
            min((one.slots for one in layers), default=0.0),
            max((one.waiting for one in layers), default=0.0),
        )

    def _read_targets(self, names: Iterable[str]) -> dict[str, Capacity]:
        """Return the report of each ready target.

        An entry hears of the load of some targets only; the others of the
        group count like the mean of those.
        """
        ready = [
            name
            for name in dict.fromkeys(names)
            if self._targets.read_readiness(name) is messages.Readiness.READY
        ]
        reports = {name: self._targets.read_load(name) for name in ready}
        known = {
            name: Capacity(float(report.max_batch), float(report.waiting))
            for name, report in reports.items()
            if report is not None
        }
        mean = _compute_mean(known.values())
        return {name: known.get(name, mean) for name in ready}


def _add_up(parts: Iterable[Capacity]) -> Capacity:
    listed = list(parts)
    return Capacity(
        sum(one.slots for one in listed), sum(one.waiting for one in listed)
    )


def _compute_mean(parts: Iterable[Capacity]) -> Capacity:
    listed = list(parts)
    if not listed:
        return _UNKNOWN
    total = _add_up(listed)
    return Capacity(total.slots / len(listed), total.waiting / len(listed))
