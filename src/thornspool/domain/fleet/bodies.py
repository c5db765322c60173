"""Bodies of responses that are collected before they are used.

A faulty server may send a body without an end; the size is limited.
"""

from __future__ import annotations

import attrs

MAX_BODY_BYTES = 1_048_576
"""Largest body in bytes that is passed on to a caller whole.

A call's body has 800 bytes to some kB. This is over a hundred times as much,
and still below a hundredth of the memory of the smallest host (152 MB).
"""

MAX_FAILURE_BYTES = 65_536
"""Largest body in bytes of a response to a model request that is no stream.

It states an error in some hundred bytes.
"""


@attrs.define
class BodyBuffer:
    """Body of a response up to a limit.

    Attributes
    ----------
    max_bytes : int
        Limit in bytes.
    is_overlong : bool
        Whether the body exceeds the limit; what exceeds it is not kept.
    """

    max_bytes: int = MAX_BODY_BYTES
    is_overlong: bool = False
    _content: bytearray = attrs.field(factory=bytearray)

    def __bytes__(self) -> bytes:
        """Return what has arrived."""
        return bytes(self._content)

    def append(self, chunk: bytes) -> bool:
        """Append a chunk.

        Parameters
        ----------
        chunk : bytes
            The next bytes of the body.

        Returns
        -------
        bool
            False if the body exceeds the limit.
        """
        if len(self._content) + len(chunk) > self.max_bytes:
            self.is_overlong = True
        if not self.is_overlong:
            self._content += chunk
        return not self.is_overlong

    def clear(self) -> None:
        """Discard the body, for the response of another server."""
        self._content.clear()
        self.is_overlong = False
