"""Heads of HTTP/1 responses."""

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
_FIRST_FINAL_STATUS = 200
_STATUSES = range(100, 600)
_SWITCHING_PROTOCOLS = 101

_STATUS_LINE = re.compile(r'HTTP/1\.[01] ([0-9]{3})(?: .*)?', re.DOTALL)


@attrs.frozen
class Head:
    """The head of a response.

    Attributes
    ----------
    status : int
        HTTP status, 100 to 599.
    headers : Headers
        Names and values of the fields, in order.
    """

    status: int
    headers: Headers

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
        Whether each field has to conform to RFC 9110.

    Returns
    -------
    Head
        The head.

    Raises
    ------
    exceptions.MalformedHead
        If the status line or a field is malformed.
    """
    status_line = _STATUS_LINE.fullmatch(lines[0]) if lines else None
    if status_line is None:
        raise exceptions.MalformedHead('Malformed status line.')
    status = int(status_line[1])
    if status not in _STATUSES or status == _SWITCHING_PROTOCOLS:
        raise exceptions.MalformedHead(f'Invalid status {status_line[1]}.')
    headers = tuple(_split_field(line) for line in lines[1:])
    if is_strict:
        _check_syntax(headers)
    return Head(status, headers)


def _split_field(line: str) -> tuple[str, str]:
    name, _, value = line.partition(':')
    return name.strip(_WHITESPACE), value.strip(_WHITESPACE)


def _check_syntax(headers: Headers) -> None:
    """Check what libcurl accepts, but no server may send.

    tornado's server would refuse to pass such fields on.
    """
    checked = httputil.HTTPHeaders()
    for name, value in headers:
        try:
            checked.add(name, value)
        except httputil.HTTPInputError as error:
            raise exceptions.MalformedHead(f'{error}.') from error
