"""The mechanisms that can be switched off, each as edits of the sources."""

from __future__ import annotations

import attrs

_ROUTING = 'src/thornspool/application/routing'
_FLEET = 'src/thornspool/domain/fleet'
_PATHS = 'src/thornspool/domain/paths'
_PLACEMENT = 'src/thornspool/domain/placement'


@attrs.frozen
class Edit:
    """A text of one file, and what stands in its place.

    Attributes
    ----------
    path : str
        The file, from the root.
    old, new : str
        A text that occurs once, and what replaces it.
    """

    path: str
    old: str
    new: str


MECHANISMS: dict[str, tuple[Edit, ...]] = {
    'outlier-ejection': (
        Edit(
            f'{_ROUTING}/streams.py',
            'if flight.head is None:\n            self._beliefs.note_broken',
            'if False:\n            self._beliefs.note_broken',
        ),
    ),
    'shared-silence': (
        Edit(
            f'{_ROUTING}/detection.py',
            'if late > LATE_LOOK_MS:\n',
            'if late >= 0:\n',
        ),
    ),
    'reading-queue': (
        Edit(
            f'{_PATHS}/search.py',
            'entry = HOP_COST_MS + offer.wait_ms\n',
            'entry = HOP_COST_MS\n',
        ),
    ),
    'waiting-for-room': (
        Edit(
            f'{_ROUTING}/streams.py',
            'QUEUE_MS = 1_500\n',
            'QUEUE_MS = 0\n',
        ),
    ),
    'refusal-backoff': (
        Edit(f'{_FLEET}/refusals.py', 'FIRST_MS = 300\n', 'FIRST_MS = 0\n'),
    ),
    'paces': (Edit(f'{_FLEET}/paces.py', 'SLOW = 1.5\n', 'SLOW = 1e9\n'),),
    'noise-in-costs': (
        Edit(
            f'{_PATHS}/choice.py', 'NOISE_SHARE = 0.1\n', 'NOISE_SHARE = 0.0\n'
        ),
    ),
    'crossing-bound': (
        Edit(
            f'{_PATHS}/crossings.py',
            'USED_SHARE = 0.4\n',
            'USED_SHARE = 1e9\n',
        ),
    ),
    'leaving-cost': (
        Edit(
            f'{_PATHS}/choice.py',
            'LEAVING_LAYER_MS = 300.0\n',
            'LEAVING_LAYER_MS = 0.0\n',
        ),
    ),
    'steep-cost-of-memory': (
        Edit(
            f'{_PATHS}/search.py', 'STEEP_FROM = 0.45\n', 'STEEP_FROM = 9.0\n'
        ),
    ),
    'repeats-for-begun-streams-first': (
        Edit(
            f'{_ROUTING}/repeats.py',
            'COMMON_PART = 0.6\n',
            'COMMON_PART = 1.0\n',
        ),
    ),
    'balancing-moves': (
        Edit(
            f'{_PLACEMENT}/planning.py',
            '[plans[name] for name in sorted(whole) if name in steady]',
            '[]',
        ),
    ),
    'half-the-room': (
        Edit(
            f'{_PLACEMENT}/layout.py',
            'REQUESTS_AT_ONCE = 64\n',
            'REQUESTS_AT_ONCE = 32\n',
        ),
    ),
    'twice-the-room': (
        Edit(
            f'{_PLACEMENT}/layout.py',
            'REQUESTS_AT_ONCE = 64\n',
            'REQUESTS_AT_ONCE = 128\n',
        ),
    ),
}
