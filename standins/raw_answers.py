"""Answers of servers in trouble, written byte by byte."""

from __future__ import annotations

import typing

import attrs

_CHUNK_BYTES = 16


@attrs.frozen
class RawAnswer:
    """An answer whose head a test words itself.

    Attributes
    ----------
    lines : str
        Lines that follow the status line, as they are; ``{length}`` stands
        for the length of the body in bytes.
    body : str
        ``whole``, ``half`` of it, or ``chunks`` for the chunked coding.
    status_line : str
        The first line.
    stays_open : bool
        Whether the connection stays open after the answer.
    missing : int
        Bytes that are missing at the end of the head; no body follows then.
    """

    lines: str
    body: str = 'whole'
    status_line: str = 'HTTP/1.1 200 OK'
    stays_open: bool = False
    missing: int = 0

    def encode(
        self, headers: typing.Iterable[tuple[str, str]], content: bytes
    ) -> bytes:
        """Encode the answer with further headers and the sound body."""
        lines = [
            self.status_line,
            self.lines.replace('{length}', str(len(content))),
            *(f'{name}: {value}' for name, value in headers),
        ]
        head = '\r\n'.join(one for one in lines if one) + '\r\n\r\n'
        encoded = head.encode('latin-1')
        if self.missing:
            return encoded[: -self.missing]
        return encoded + self._encode_body(content)

    def _encode_body(self, content: bytes) -> bytes:
        if self.body == 'half':
            return content[: len(content) // 2]
        if self.body == 'whole':
            return content
        chunks = [
            content[first : first + _CHUNK_BYTES]
            for first in range(0, len(content), _CHUNK_BYTES)
        ]
        return b''.join(
            b'%x\r\n%b\r\n' % (len(one), one) for one in [*chunks, b'']
        )
