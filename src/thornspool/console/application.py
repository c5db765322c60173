"""Entry point and argument parser of the ``thornspool`` tool."""

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
from thornspool.console.commands import route
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
    route.COMMAND,
    schema.COMMAND,
)
_EXIT_CODES = (
    'exit codes: 0 success; 1 a problem was found; 2 invalid options, files '
    'or token; 3 conflict with another publication; 4 no response, or the '
    'outcome is unknown'
)


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog='thornspool',
        description='Publish configuration and show the state of entries.',
        epilog=_EXIT_CODES,
    )
    subparsers = parser.add_subparsers(dest='command', required=True)
    for command in COMMANDS:
        subparser = subparsers.add_parser(
            command.name,
            help=command.help,
            description=command.help,
            epilog=f'example: {command.example}',
        )
        subparser.add_argument(
            '--json', action='store_true', help='write results as JSON'
        )
        command.add_options(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def main(
    arguments: Sequence[str] | None = None,
    console: base.Console | None = None,
) -> int:
    """Run the tool.

    Parameters
    ----------
    arguments : sequence of str, optional
        Arguments without the program name; those of the process by default.
    console : base.Console, optional
        Output of the command; the standard streams by default.

    Returns
    -------
    int
        Exit code as defined by ``exceptions.ExitCode``.
    """
    options = build_parser().parse_args(arguments)
    if console is None:
        console = base.Console(as_json=options.json)
    try:
        code: exceptions.ExitCode = options.run(options, console)
        console.out.flush()
    except BrokenPipeError:
        # The reader closed the pipe, as head does; this is not an error.
        _discard_output(console)
        return int(exceptions.ExitCode.OK)
    except exceptions.ConsoleError as error:
        console.write_error(str(error))
        return int(error.exit_code)
    return int(code)


def _discard_output(console: base.Console) -> None:
    """Redirect the output to the null device.

    The interpreter flushes the buffered rest at exit, which would fail again
    and print a traceback.
    """
    with contextlib.suppress(OSError, ValueError):
        null_device = os.open(os.devnull, os.O_WRONLY)
        os.dup2(null_device, console.out.fileno())
        os.close(null_device)
