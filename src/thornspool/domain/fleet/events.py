"""Splits a stream into complete events, so that another engine can resume it.

An engine may fail in the middle of an event. Only complete events are
forwarded, so that a second run can resume after the last of them. Otherwise
the caller would receive a partial event, followed by the next one.
"""

from __future__ import annotations

import re

import attrs

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'(?:^|\n)id: ?([^\r\n]*)')


@attrs.define
class EventBuffer:
    """Buffer for the incomplete last event of a stream.

    Attributes
    ----------
    last_id : str
        Id of the last complete event; empty before the first.
    count : int
        Number of complete events.
    pending : bytes
        Bytes of the incomplete event.
    """

    last_id: str = ''
    count: int = 0
    pending: bytes = b''

    def take(self, chunk: bytes) -> bytes:
        """Append a chunk of the stream and return the complete events."""
        joined = self.pending + chunk
        end = 0
        for match in _EVENT_END.finditer(joined):
            end = match.end()
            self.count += 1
        complete, self.pending = joined[:end], joined[end:]
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return complete

    def drop_pending(self) -> None:
        """Discard an incomplete event after its run has failed."""
        self.pending = b''
