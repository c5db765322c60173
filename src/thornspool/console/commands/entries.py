"""The command that lists the addresses of entries for callers."""

from __future__ import annotations

import os
import typing

from thornspool.console import base
from thornspool.console import client
from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse

CALLERS_URL_VARIABLE = 'THORNSPOOL_CALLERS_URL'


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--callers-url',
        default=os.environ.get(CALLERS_URL_VARIABLE, ''),
        help='address of the caller interface of an entry, for instance '
        f'http://127.0.0.1:8080; default: ${CALLERS_URL_VARIABLE}',
    )
    client.add_connection_options(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    if not options.callers_url:
        raise exceptions.BadUsage(
            'No entry is specified.',
            f'Use --callers-url or set {CALLERS_URL_VARIABLE}.',
        )
    url = f'{options.callers_url.rstrip("/")}/v1/entries'
    value = client.expect_ok(client.fetch(options, url))
    console.write_result(value, _format(value))
    return exceptions.ExitCode.OK


def _format(value: dict[str, typing.Any]) -> list[str]:
    """Format the entries as a table with a column per member."""
    entries = value.get('entries', [])
    names = list(dict.fromkeys(name for entry in entries for name in entry))
    return base.format_table(
        [name.upper() for name in names],
        [[entry.get(name, '') for name in names] for entry in entries],
    )


COMMAND = base.Command(
    'entries',
    'List the addresses of entries for callers.',
    'thornspool entries --callers-url http://127.0.0.1:8080',
    _add_options,
    _run,
)
