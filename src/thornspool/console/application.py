"""Entry point of the ``thornspool`` tool."""

from __future__ import annotations

import argparse
import contextlib
import os
import typing

from thornspool.console import base
from thornspool.console import exceptions
from thornspool.console.commands import action
from thornspool.console.commands import check
from thornspool.console.commands import drain
from thornspool.console.commands import entries
from thornspool.console.commands import explain
from thornspool.console.commands import history
from thornspool.console.commands import losses
from thornspool.console.commands import publish
from thornspool.console.commands import report
from thornspool.console.commands import schema
from thornspool.console.commands import status

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

COMMANDS = (
    check.COMMAND,
    publish.COMMAND,
    status.COMMAND,
    entries.COMMAND,
    drain.COMMAND,
    action.COMMAND,
    history.COMMAND,
    explain.COMMAND,
    losses.COMMAND,
    report.COMMAND,
    schema.COMMAND,
)
_EXIT_CODES = (
    'exit codes: 0 done; 1 a problem was found; 2 options, files or token '
    'cannot be used; 3 conflict with another publication; 4 no answer, or '
    'the outcome is not known'
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog='thornspool',
        description='Publishes configuration and shows what entries do.',
        epilog=_EXIT_CODES,
    )
    parsers = parser.add_subparsers(dest='command', required=True)
    for command in COMMANDS:
        one = parsers.add_parser(
            command.name,
            help=command.help,
            description=command.help,
            epilog=f'example: {command.example}',
        )
        one.add_argument(
            '--json', action='store_true', help='write results as JSON'
        )
        command.add_options(one)
        one.set_defaults(run=command.run)
    return parser


def main(
    arguments: Sequence[str] | None = None,
    console: base.Console | None = None,
) -> int:
    """Run the tool.

    Parameters
    ----------
    arguments : sequence of str, optional
        The command line without the program; from the process if left out.
    console : Console, optional
        Where to write to.

    Returns
    -------
    int
        Exit code, see ``ExitCode``.
    """
    options = build_parser().parse_args(arguments)
    if console is None:
        console = base.Console(as_json=options.json)
    try:
        code: exceptions.ExitCode = options.run(options, console)
        console.out.flush()
    except BrokenPipeError:
        # Whoever reads the output has seen enough.
        _close_output(console)
        return int(exceptions.ExitCode.OK)
    except exceptions.ConsoleError as error:
        console.write_error(str(error))
        return int(error.exit_code)
    return int(code)


def _close_output(console: base.Console) -> None:
    """Lose the rest of the output, which the interpreter would still write."""
    with contextlib.suppress(OSError, ValueError):
        nowhere = os.open(os.devnull, os.O_WRONLY)
        os.dup2(nowhere, console.out.fileno())
        os.close(nowhere)
