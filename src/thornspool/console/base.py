"""What every command is made of."""

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
    """One command of the tool.

    Attributes
    ----------
    name : str
        What is typed.
    help : str
        What it does, in one sentence.
    example : str
        A whole command line.
    add_options : callable
        Declares its options on a parser.
    run : callable
        Does it; takes options and console, returns the exit code.
    """

    name: str
    help: str
    example: str
    add_options: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace, Console], exceptions.ExitCode]


@attrs.frozen
class Console:
    """Where a command writes to.

    Attributes
    ----------
    out : text stream
        Results.
    err : text stream
        Errors.
    as_json : bool
        Whether results are written as JSON instead of text.
    """

    out: typing.TextIO = attrs.field(factory=lambda: sys.stdout)
    err: typing.TextIO = attrs.field(factory=lambda: sys.stderr)
    as_json: bool = False

    def write_result(self, value: typing.Any, lines: Iterable[str]) -> None:
        """Write a result as JSON or as text, whichever was asked for."""
        if self.as_json:
            json.dump(value, self.out, indent=2)
            self.out.write('\n')
            return
        for line in lines:
            self.out.write(f'{line}\n')

    def write_error(self, text: str) -> None:
        """Write an error."""
        self.err.write(f'thornspool: {text}\n')


def format_table(
    heading: Sequence[str], rows: Iterable[Sequence[typing.Any]]
) -> list[str]:
    """Return lines in which the columns stand below each other."""
    texts = [[str(cell) for cell in row] for row in (heading, *rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]
