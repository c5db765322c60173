"""Fault injection into the frames that the stand-in engine streams."""

from __future__ import annotations

import typing

import attrs

from standins import engine_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

_OTHER_REQUEST_TEXT = 'crossed '
_OLD_ATTEMPT_TEXT = 'late '

Frames = list[engine_messages.Frame]


class FrameFaults:
    """A fault that is injected once into a stream of frames."""

    def __init__(self) -> None:
        self._kind = ''
        self._index = 0
        self._delayed: Frames = []

    def schedule(self, kind: str, index: int) -> None:
        """Set the fault to inject.

        Parameters
        ----------
        kind : str
            Key of the table of faults, such as ``drop`` or ``reorder``.
        index : int
            Token index of the affected frame.
        """
        self._kind, self._index = kind, index

    def apply(self, frames: Frames) -> Frames:
        """Return the frames to send instead of the given frames."""
        if self._delayed:
            frames, self._delayed = [*frames, *self._delayed], []
        affected = [
            frame for frame in frames if self._kind and self._matches(frame)
        ]
        if not affected:
            return frames
        position = frames.index(affected[0])
        replacement = _FAULTS[self._kind](affected[0])
        if self._kind == 'reorder':
            self._delayed = replacement
            replacement = []
        self._kind = ''
        return frames[:position] + replacement + frames[position + 1 :]

    def _matches(self, frame: engine_messages.Frame) -> bool:
        return frame.index == self._index


def _change_request(frame: engine_messages.Frame) -> Frames:
    # A distinct text makes an accepted frame visible in the caller's text.
    return [
        attrs.evolve(
            frame,
            request='request-of-another-caller',
            token=_OTHER_REQUEST_TEXT,
        )
    ]


def _prepend_old_attempt(frame: engine_messages.Frame) -> Frames:
    old_frame = attrs.evolve(
        frame, attempt=frame.attempt - 1, token=_OLD_ATTEMPT_TEXT
    )
    return [old_frame, frame]


def _corrupt_receipt(frame: engine_messages.Frame) -> Frames:
    first, end, target = frame.receipts[-1]
    receipts = [*frame.receipts[:-1], (first + 1, end, target)]
    return [attrs.evolve(frame, receipts=receipts)]


_FAULTS: dict[str, Callable[[engine_messages.Frame], Frames]] = {
    'drop': lambda frame: [],
    'double': lambda frame: [frame, frame],
    'cross': _change_request,
    'late': _prepend_old_attempt,
    'reorder': lambda frame: [frame],
    'receipts': _corrupt_receipt,
}
