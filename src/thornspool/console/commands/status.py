"""The command that shows the entries and their versions."""

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
            one['host'],
            one['incarnation'],
            one['failure_domain'],
            one['state'],
            one['configuration_version'],
            'behind' if one['behind'] else '',
        )
        for one in status['members']
    ]
    lines = [f'Version {status["version"]} is in force.']
    if status['isolated']:
        lines.append('This entry is isolated and takes no new work.')
    console.write_result(status, [*lines, *base.format_table(_HEADING, rows)])
    if status['stragglers'] or status['isolated']:
        return exceptions.ExitCode.PROBLEM
    return exceptions.ExitCode.OK


COMMAND = base.Command(
    'status',
    'Show the entries and the version in force at each.',
    'thornspool status --url http://127.0.0.1:7070',
    client.add_options,
    _run,
)
