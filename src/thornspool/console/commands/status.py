"""The command that shows the entries and their configuration versions."""

from __future__ import annotations

import typing

from thornspool.console import base
from thornspool.console import client
from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse

_HEADING = ('HOST', 'INCARNATION', 'DOMAIN', 'STATE', 'VERSION', '')


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    status = client.expect_ok(client.send(options, 'GET', '/v1/status'))
    rows = [
        (
            member['host'],
            member['incarnation'],
            member['failure_domain'],
            member['state'],
            member['configuration_version'],
            'behind' if member['behind'] else '',
        )
        for member in status['members']
    ]
    lines = [f'Version {status["version"]} is in force.']
    if status['isolated']:
        lines.append('This entry is isolated and accepts no new requests.')
    console.write_result(status, [*lines, *base.format_table(_HEADING, rows)])
    if status['stragglers'] or status['isolated']:
        return exceptions.ExitCode.PROBLEM
    return exceptions.ExitCode.OK


COMMAND = base.Command(
    'status',
    'Show the entries and the configuration version in force at each.',
    'thornspool status --url http://127.0.0.1:7070',
    client.add_options,
    _run,
)
