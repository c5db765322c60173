"""Engines and links of the throughput simulation, drawn from a seed."""

from __future__ import annotations

import itertools
import random

import attrs

from thornspool.domain.configuration import documents
from tools import maximum_flow

LAYERS = 24

_RANGES = ((0, 8), (8, 16), (16, 24), (0, 12), (12, 24))
_DOMAINS = ('near-a', 'near-b', 'far')
_FAST_MS, _SLOW_MS = 0.25, 25.0
_FAST_RATE, _SLOW_RATE = 40.0, 0.4
_KINDS = {'large': (8.0, 16), 'medium': (16.0, 16), 'small': (32.0, 8)}
"""Step time in milliseconds and maximum batch, by kind."""


@attrs.frozen
class World:
    """The simulated engines with their model.

    Attributes
    ----------
    snapshot : documents.Snapshot
        Model and targets.
    kinds : dict of str to (float, int)
        Step time in milliseconds and maximum batch of each target.
    """

    snapshot: documents.Snapshot
    kinds: dict[str, tuple[float, int]]

    @property
    def model(self) -> documents.Model:
        """The only model."""
        return self.snapshot.models['text']

    def get_domain(self, target: str) -> str:
        """Return the failure domain of a target."""
        return self.snapshot.targets[target].failure_domain

    def compute_bound(self) -> float:
        """Return the maximum flow in tokens a millisecond."""
        domains = {name: self.get_domain(name) for name in self.kinds}
        return maximum_flow.compute_bound(
            self.model,
            domains,
            lambda name: self.kinds[name][1] / self.kinds[name][0],
            read_link_rate,
        )


def _is_slow(first: str, second: str) -> bool:
    return first != second and 'far' in (first, second)


def read_link_rate(first: str, second: str) -> float:
    """Return the rate of a link in tokens a millisecond."""
    if first == second:
        return float('inf')
    return _SLOW_RATE if _is_slow(first, second) else _FAST_RATE


def read_link_ms(first: str, second: str) -> float:
    """Return the one-way latency of an idle link in milliseconds."""
    return _SLOW_MS if _is_slow(first, second) else _FAST_MS


def build_world(seed: int) -> World:
    """Draw the kinds of engines, two for each range in each domain."""
    random_source = random.Random(seed)
    kinds: dict[str, tuple[float, int]] = {}
    stages: list[documents.Stage] = []
    targets: dict[str, documents.Target] = {}
    for number, (layers, domain) in enumerate(
        itertools.product(_RANGES * 2, _DOMAINS)
    ):
        name = f'engine-{number}'
        kind = random_source.choice(sorted(_KINDS))
        kinds[name] = _KINDS[kind]
        stages.append(documents.Stage(name, *layers))
        targets[name] = documents.Target(
            name, documents.TargetKind.ENGINE, name, domain, '', kind
        )
    model = documents.Model('text', '1', LAYERS, tuple(stages))
    return World(
        documents.Snapshot(1, models={'text': model}, targets=targets), kinds
    )
