"""Command definition and output, shared by all commands."""

from __future__ import annotations

import json
import sys
import typing

import attrs

if typing.TYPE_CHECKING:
    import argparse
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from thornspool.console import exceptions


@attrs.frozen
class Command:
    """Definition of one command of the tool.

    Attributes
    ----------
    name : str
        Name of the command on the command line.
    help : str
        Description in one sentence.
    example : str
        Complete command line.
    add_options : callable
        Adds the options of the command to a parser.
    run : callable
        Runs the command with the parsed options and the console, and returns
        the exit code.
    """

    name: str
    help: str
    example: str
    add_options: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace, Console], exceptions.ExitCode]


@attrs.frozen
class Console:
    """Output streams and output format of a command.

    Attributes
    ----------
    out : text stream
        Stream for results.
    err : text stream
        Stream for errors.
    as_json : bool
        Whether to write results as JSON instead of text.
    """

    out: typing.TextIO = attrs.field(factory=lambda: sys.stdout)
    err: typing.TextIO = attrs.field(factory=lambda: sys.stderr)
    as_json: bool = False

    def write_result(self, value: typing.Any, lines: Iterable[str]) -> None:
        """Write a result in the format of the console.

        Parameters
        ----------
        value : JSON value
            Result to write as JSON.
        lines : iterable of str
            Lines to write as text.
        """
        if self.as_json:
            json.dump(value, self.out, indent=2)
            self.out.write('\n')
            return
        for line in lines:
            self.out.write(f'{line}\n')

    def write_error(self, text: str) -> None:
        """Write an error message, prefixed with the name of the tool."""
        self.err.write(f'thornspool: {text}\n')


def format_table(
    heading: Sequence[str], rows: Iterable[Sequence[typing.Any]]
) -> list[str]:
    """Return the lines of a table with aligned columns."""
    texts = [[str(cell) for cell in row] for row in (heading, *rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]
