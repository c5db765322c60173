"""Heads of HTTP/1 responses: their syntax, and the length of the body.

libcurl ignores a field that it does not recognize, and then takes the body to
last until the connection ends. A head from which the length of the body
cannot be told for certain is therefore rejected here, as RFC 9112 has it.
"""

from __future__ import annotations

import re
import typing

import attrs
from tornado import httputil

from thornspool.adapters import exceptions

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

Headers = tuple[tuple[str, str], ...]

_WHITESPACE = ' \t'
_CONTENT_LENGTH = 'content-length'
_TRANSFER_ENCODING = 'transfer-encoding'
_CHUNKED = 'chunked'
_MAX_LENGTH_DIGITS = 18
"""Digits of a length, without leading zeros, that fit the 64 bits of libcurl.

It ignores a longer one.
"""

_FIRST_FINAL_STATUS = 200
_STATUSES = range(100, 600)
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
_STATUSES_WITHOUT_BODY = frozenset({_NO_CONTENT, 304})

_STATUS_LINE = re.compile(r'HTTP/(1\.[01]) ([0-9]{3})(?: .*)?', re.DOTALL)
"""A status line; no reader uses the reason phrase."""
_HIDDEN_FRAMING = re.compile(
    r'(?:^|[^!-~])(?:c?ontent-length|t?ransfer-encoding)[^!-~]*:',
    re.IGNORECASE,
)
"""A framing field that libcurl does not recognize.

A blank or control byte follows its name, begins its line or replaces its first
letter. A line that begins with a blank arrives as a part of the line before.
"""


@attrs.frozen
class Head:
    """The head of a response.

    Attributes
    ----------
    status : int
        HTTP status, 100 to 599.
    headers : Headers
        Names and values of the fields, in order.
    body_length : int or None
        Length of the body in bytes; None if the body is chunked or ends with
        the connection.
    """

    status: int
    headers: Headers
    body_length: int | None

    @property
    def is_final(self) -> bool:
        """Whether no other head follows."""
        return self.status >= _FIRST_FINAL_STATUS


def parse_head(lines: Sequence[str], is_strict: bool) -> Head:
    """Parse the head of a response.

    Parameters
    ----------
    lines : sequence of str
        The status line and the lines of fields, decoded from Latin-1,
        without line ends.
    is_strict : bool
        Whether each field has to conform to RFC 9110. If not, names may
        contain any byte, as long as they do not concern the framing.

    Returns
    -------
    Head
        The head.

    Raises
    ------
    exceptions.MalformedHead
        If a line is malformed or the length of the body is ambiguous.
    """
    status_line = _STATUS_LINE.fullmatch(lines[0]) if lines else None
    if status_line is None:
        raise exceptions.MalformedHead('Malformed status line.')
    version, digits = status_line.groups()
    status = int(digits)
    if status not in _STATUSES or status == _SWITCHING_PROTOCOLS:
        raise exceptions.MalformedHead(f'Invalid status {digits}.')
    fields = [_split_field(line) for line in lines[1:]]
    if is_strict:
        _check_syntax(fields)
    return Head(
        status,
        tuple((name.strip(_WHITESPACE), value) for name, value in fields),
        _determine_length(version, status, *_read_framing(lines[1:], fields)),
    )


def begins_response(data: bytes) -> bool:
    """Return whether bytes may be the beginning of a response."""
    return bool(data) and data[:5] == b'HTTP/'[: len(data)]


def _split_field(line: str) -> tuple[str, str]:
    """Split a line into the name as it is, and the value."""
    name, _, value = line.partition(':')
    return name, value.strip(_WHITESPACE)


def _check_syntax(fields: Sequence[tuple[str, str]]) -> None:
    """Check what libcurl accepts, but no server may send.

    tornado's server would refuse to pass such fields on.
    """
    checked = httputil.HTTPHeaders()
    for name, value in fields:
        try:
            checked.add(name, value)
        except httputil.HTTPInputError as error:
            raise exceptions.MalformedHead(f'{error}.') from error


def _determine_length(
    version: str, status: int, lengths: set[int], codings: list[str]
) -> int | None:
    """Determine the length of the body by section 6.3 of RFC 9112."""
    if status < _FIRST_FINAL_STATUS:
        return None
    if codings and (codings != [_CHUNKED] or version == '1.0'):
        raise exceptions.MalformedHead('Unsupported transfer coding.')
    if status == _NO_CONTENT and (codings or lengths - {0}):
        raise exceptions.MalformedHead('A body with status 204.')
    if status in _STATUSES_WITHOUT_BODY:
        return 0
    return None if codings or not lengths else lengths.pop()


def _read_framing(
    lines: Sequence[str], fields: Sequence[tuple[str, str]]
) -> tuple[set[int], list[str]]:
    """Read the lengths and the transfer codings that a head states."""
    lengths = set()
    codings = []
    for line, (name, value) in zip(lines, fields, strict=True):
        lower_name = name.lower()
        if lower_name == _CONTENT_LENGTH:
            lengths.add(_parse_length(value))
        elif lower_name == _TRANSFER_ENCODING:
            codings.append(value.lower())
        elif _HIDDEN_FRAMING.search(line):
            raise exceptions.MalformedHead('Malformed framing field.')
    if len(lengths) > 1:
        raise exceptions.MalformedHead('Lengths that differ.')
    return lengths, codings


def _parse_length(value: str) -> int:
    digits = value.lstrip('0')
    if (
        not (value.isascii() and value.isdecimal())
        or len(digits) > _MAX_LENGTH_DIGITS
    ):
        raise exceptions.MalformedHead(f'Invalid length {value[:40]!r}.')
    return int(digits or '0')
