"""Parser of the logfmt lines that entries log."""

from __future__ import annotations

import pathlib
import sys
import typing

import attrs

if typing.TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable
    from collections.abc import Iterator

_OMITTED_FIELDS = frozenset({'timestamp', 'level', 'event', 'host', 'id'})


@attrs.frozen
class Line:
    """One parsed line of a log.

    Attributes
    ----------
    time : str
        Timestamp in ISO 8601 and UTC, whose text order is the order in time.
    fields : dict of str to str
        All fields of the line, with the timestamp.
    """

    time: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the logged event."""
        return self.fields.get('event', '')

    def format_text(self) -> str:
        """Format the line as text, without the level and the request id."""
        other_fields = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _OMITTED_FIELDS and value
        )
        host = self.fields.get('host', '?')
        return f'{self.time} {host} {self.event} {other_fields}'.rstrip()


def parse_line(text: str) -> Line | None:
    """Parse a log line of key=value pairs.

    Text before the timestamp, such as the prefix of a log collector, is
    ignored.

    Parameters
    ----------
    text : str
        The line.

    Returns
    -------
    Line or None
        The parsed line; None if the text is not a log line of an entry.
    """
    start = text.find('timestamp=')
    fields = dict(
        _split_pairs(text[start:].rstrip('\n') if start >= 0 else '')
    )
    if 'event' not in fields:
        return None
    return Line(fields.get('timestamp', ''), fields)


def _split_pairs(text: str) -> Iterator[tuple[str, str]]:
    position = 0
    while position < len(text):
        equals = text.find('=', position)
        if equals < 0:
            return
        name = text[position:equals]
        value, position = _read_value(text, equals + 1)
        yield name.strip(), value


def _read_value(text: str, position: int) -> tuple[str, int]:
    """Return the value at a position and the position after it."""
    if not text.startswith('"', position):
        end = text.find(' ', position)
        end = len(text) if end < 0 else end
        return text[position:end], end + 1
    value = []
    position += 1
    while position < len(text) and text[position] != '"':
        if text[position] == '\\' and position + 1 < len(text):
            position += 1
        value.append(text[position])
        position += 1
    return ''.join(value), position + 2


def add_log_files(parser: argparse.ArgumentParser) -> None:
    """Add the log files as arguments of a command."""
    parser.add_argument(
        'logs',
        nargs='*',
        type=pathlib.Path,
        metavar='LOG',
        help='log files of the hosts; default: standard input',
    )


def read_lines(paths: Iterable[pathlib.Path]) -> Iterator[str]:
    """Read the lines of files, or of standard input if no file is given."""
    paths = list(paths)
    if not paths:
        yield from sys.stdin
        return
    for path in paths:
        with path.open(errors='replace') as lines:
            yield from lines
