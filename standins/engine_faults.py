"""Faults of the frames that the stand-in engine streams."""

from __future__ import annotations

import typing

import attrs

from standins import engine_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

_CROSSED = 'crossed '
_LATE = 'late '

Frames = list[engine_messages.Frame]


class FrameFaults:
    """The fault that was ordered, done once."""

    def __init__(self) -> None:
        self._kind = ''
        self._index = 0
        self._held: Frames = []

    def order(self, kind: str, index: int) -> None:
        """Order a fault of the frame with an index."""
        self._kind, self._index = kind, index

    def spoil(self, frames: Frames) -> Frames:
        """Return the frames to send in place of some frames."""
        if self._held:
            frames, self._held = [*frames, *self._held], []
        spoilt = [
            frame for frame in frames if self._kind and self._hits(frame)
        ]
        if not spoilt:
            return frames
        position = frames.index(spoilt[0])
        changed = _FAULTS[self._kind](spoilt[0])
        if self._kind == 'reorder':
            self._held = changed
            changed = []
        self._kind = ''
        return frames[:position] + changed + frames[position + 1 :]

    def _hits(self, frame: engine_messages.Frame) -> bool:
        return frame.index == self._index


def _cross(frame: engine_messages.Frame) -> Frames:
    # With a text of its own: were it taken, the caller's text would be wrong.
    return [
        attrs.evolve(
            frame, request='request-of-another-caller', token=_CROSSED
        )
    ]


def _repeat_late(frame: engine_messages.Frame) -> Frames:
    late = attrs.evolve(frame, attempt=frame.attempt - 1, token=_LATE)
    return [late, frame]


def _forge(frame: engine_messages.Frame) -> Frames:
    first, end, target = frame.receipts[-1]
    receipts = [*frame.receipts[:-1], (first + 1, end, target)]
    return [attrs.evolve(frame, receipts=receipts)]


_FAULTS: dict[str, Callable[[engine_messages.Frame], Frames]] = {
    'drop': lambda frame: [],
    'double': lambda frame: [frame, frame],
    'cross': _cross,
    'late': _repeat_late,
    'reorder': lambda frame: [frame],
    'receipts': _forge,
}
