"""The command that shows the latest publications."""

from __future__ import annotations

import datetime
import typing

from thornspool.console import base
from thornspool.console import client
from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse

_HEADING = ('VERSION', 'TIME', 'AUTHOR', 'CHANGED', 'MESSAGE')
_DEFAULT_COUNT = 20


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--count',
        type=int,
        default=_DEFAULT_COUNT,
        help='number of publications to show; default: %(default)s',
    )
    client.add_options(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    value = client.expect_ok(client.send(options, 'GET', '/v1/configuration'))
    value['history'] = value['history'][-options.count :]
    rows = [_format_row(record) for record in reversed(value['history'])]
    lines = [f'Version {value["version"]} is in force.']
    console.write_result(value, [*lines, *base.format_table(_HEADING, rows)])
    return exceptions.ExitCode.OK


def _format_row(record: dict[str, typing.Any]) -> tuple[typing.Any, ...]:
    time = datetime.datetime.fromtimestamp(
        record['wall'] / 1000, tz=datetime.UTC
    )
    names = ', '.join(record['changed'])
    omitted_count = record['changed_count'] - len(record['changed'])
    return (
        record['version'],
        time.strftime('%Y-%m-%d %H:%M:%S'),
        record['author'],
        f'{names} and {omitted_count} more' if omitted_count else names,
        record['message'],
    )


COMMAND = base.Command(
    'history',
    'Show the latest publications, the newest first.',
    'thornspool history --count 5',
    _add_options,
    _run,
)
