"""Whole events of a stream, so that a stream can go on at another engine.

An engine may stop in the middle of an event. Only whole events are passed
on, so that a second run that begins behind the last of them joins without a
seam: a caller would otherwise read the half of one event and then another.
"""

from __future__ import annotations

import re

import attrs

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?:^|\n)id: ?([^\r\n]*)')


@attrs.define
class EventBuffer:
    """Bytes of a stream that are not a whole event yet.

    Attributes
    ----------
    last_id : str
        Id of the last whole event; empty before the first.
    count : int
        Whole events so far.
    pending : bytes
        Begin of the next event.
    """

    last_id: str = ''
    count: int = 0
    pending: bytes = b''

    def take(self, chunk: bytes) -> bytes:
        """Take a piece of the stream and return what is whole."""
        joined = self.pending + chunk
        end = 0
        for found in _END.finditer(joined):
            end = found.end()
            self.count += 1
        whole, self.pending = joined[:end], joined[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return whole

    def drop_pending(self) -> None:
        """Forget an event whose rest will not come."""
        self.pending = b''
