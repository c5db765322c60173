"""Lines of the logs that entries write."""

from __future__ import annotations

import pathlib
import sys
import typing

import attrs

if typing.TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable
    from collections.abc import Iterator

_HIDDEN = frozenset({'timestamp', 'level', 'event', 'host', 'id'})


@attrs.frozen
class Line:
    """One line of a log.

    Attributes
    ----------
    time : str
        When it was written, ISO 8601 in UTC; such texts sort by time.
    fields : dict of str to str
        All its fields.
    """

    time: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """What it tells of."""
        return self.fields.get('event', '')

    def describe(self) -> str:
        """Return it for a reader."""
        rest = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _HIDDEN and value
        )
        host = self.fields.get('host', '?')
        return f'{self.time} {host} {self.event} {rest}'.rstrip()


def parse_line(text: str) -> Line | None:
    """Parse a line of key=value pairs; None for other text.

    Text before the first pair, such as a collector's own prefix, is passed
    over.
    """
    start = text.find('timestamp=')
    fields = dict(
        _split_pairs(text[start:].rstrip('\n') if start >= 0 else '')
    )
    if 'event' not in fields:
        return None
    return Line(fields.get('timestamp', ''), fields)


def _split_pairs(text: str) -> Iterator[tuple[str, str]]:
    at = 0
    while at < len(text):
        equals = text.find('=', at)
        if equals < 0:
            return
        name = text[at:equals]
        value, at = _read_value(text, equals + 1)
        yield name.strip(), value


def _read_value(text: str, at: int) -> tuple[str, int]:
    """Read a value, quoted or not; returns it and where the next begins."""
    if not text.startswith('"', at):
        end = text.find(' ', at)
        end = len(text) if end < 0 else end
        return text[at:end], end + 1
    value = []
    at += 1
    while at < len(text) and text[at] != '"':
        if text[at] == '\\' and at + 1 < len(text):
            at += 1
        value.append(text[at])
        at += 1
    return ''.join(value), at + 2


def add_files(parser: argparse.ArgumentParser) -> None:
    """Declare the files with logs on the parser of a command."""
    parser.add_argument(
        'logs',
        nargs='*',
        type=pathlib.Path,
        metavar='LOG',
        help='files with the log lines of the hosts; default: standard input',
    )


def read_lines(paths: Iterable[pathlib.Path]) -> Iterator[str]:
    """Read the lines of files, or of standard input where there are none."""
    paths = list(paths)
    if not paths:
        yield from sys.stdin
        return
    for path in paths:
        with path.open(errors='replace') as lines:
            yield from lines
