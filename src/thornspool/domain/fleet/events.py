"""Splits a stream into complete events, so that another engine can resume it.

An engine may fail in the middle of an event. Only complete events are
forwarded, so that a second run can resume after the last of them. Otherwise
the caller would receive a partial event, followed by the next one.

A faulty engine may also send bytes without end that complete no event. The
bytes of one event are therefore limited, and each of them is searched once.
"""

from __future__ import annotations

import re

import attrs

MAX_EVENT_BYTES = 65_536
"""Largest event in bytes.

An event holds 2 or 3 tokens in some hundred bytes, so that this is over a
hundred times the size that a healthy engine sends. A hundred streams whose
events have this size fill 6.5 MB of an entry's memory.
"""

# The literal at its start lets the search skip over other bytes quickly.
_EVENT_END = re.compile(rb'\n(?:(?<=[^\r\n]\n)|(?<=[^\r\n]\r\n))\r?\n')
_EVENT_ID = re.compile(rb'(?:^|\n)id: ?([^\r\n]*)')
_LONGEST_END_BYTES = 5
"""Bytes of the longest end of an event: its last character and two line
ends."""


@attrs.define
class EventBuffer:
    """Buffer for the incomplete last event of a stream.

    Line ends without any text before them end no event; otherwise a stream of
    line ends would seem to make progress. They are kept for the next event.

    Attributes
    ----------
    last_id : str
        Id of the last complete event; empty before the first.
    count : int
        Number of complete events.
    is_overlong : bool
        Whether an event exceeds ``MAX_EVENT_BYTES``; the stream can't be
        continued from this run then.
    """

    last_id: str = ''
    count: int = 0
    is_overlong: bool = False
    _partial: bytearray = attrs.field(factory=bytearray)

    @property
    def pending(self) -> bytes:
        """Bytes of the incomplete event; empty if only line ends follow."""
        return bytes(self._partial) if self._partial.strip(b'\r\n') else b''

    def take(self, chunk: bytes) -> bytes:
        """Append a chunk of the stream and return the complete events.

        Parameters
        ----------
        chunk : bytes
            The next bytes of the stream.

        Returns
        -------
        bytes
            The complete events before the first one that is too long.
        """
        if self.is_overlong:
            return b''
        partial = self._partial
        start = max(0, len(partial) - _LONGEST_END_BYTES + 1)
        partial += chunk
        end = 0
        for match in _EVENT_END.finditer(partial, start):
            if match.end() - end > MAX_EVENT_BYTES:
                self.is_overlong = True
                break
            end = match.end()
            self.count += 1
        complete = bytes(partial[:end])
        del partial[:end]
        if len(partial) > MAX_EVENT_BYTES:
            self.is_overlong = True
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return complete

    def drop_pending(self) -> None:
        """Discard an incomplete event after its run has failed."""
        self._partial = bytearray()
        self.is_overlong = False
