"""Loads and fleets to play, and what disturbs them."""

from __future__ import annotations

import random

import attrs

from tests.player import loops
from tests.player import world

SHORT = world.Mix(
    entries=4,
    kinds=(
        ('large', 'medium', 'medium', *['small'] * 6),
        ('large', *['medium'] * 3, *['small'] * 5),
    ),
    requests_per_s=24.0,
    prompt=300.0,
    answer=90.0,
    spread=0.6,
    first_ms=400,
    gap_ms=300,
)
"""Short answers on two even domains."""

LONG = world.Mix(
    entries=3,
    kinds=(
        (*['medium'] * 6, *['tiny'] * 8),
        ('large', 'large', *['small'] * 10),
        (*['medium'] * 4, *['small'] * 6),
    ),
    requests_per_s=14.0,
    prompt=1_100.0,
    answer=260.0,
    spread=0.8,
    first_ms=700,
    gap_ms=350,
)
"""Long prompts and answers on three uneven domains."""

WIDE = world.Mix(
    entries=10,
    kinds=(('large', *['small'] * 16), ('medium', 'large', *['small'] * 14)),
    requests_per_s=30.0,
    prompt=500.0,
    answer=120.0,
    spread=0.4,
    first_ms=500,
    gap_ms=300,
)
"""Many entries with about one stream each."""


def scale_times(mix, factor):
    """Let all times of a load and its engines be longer or shorter."""
    return attrs.evolve(
        mix,
        requests_per_s=mix.requests_per_s / factor,
        first_ms=round(mix.first_ms * factor),
        gap_ms=round(mix.gap_ms * factor),
        scale=mix.scale * factor,
    )


def lose_engines(at_ms, count, how='crashed'):
    """Return a trouble in which some engines of a fleet are lost."""

    async def lose(playing):
        await loops.pass_time(at_ms)
        names = sorted(
            one.server.id for one in playing.engines.by_address.values()
        )
        for name in random.Random(playing.seed).sample(names, count):
            playing.engines.crash(name, how)

    return lose
