"""The command that drains an entry."""

from __future__ import annotations

import typing

from thornspool.console import base
from thornspool.console import client
from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    client.expect_ok(client.send(options, 'POST', '/v1/drain', {}))
    console.write_result(
        {'draining': options.url},
        [
            f'{options.url} accepts no new requests, completes those in '
            'flight and exits.'
        ],
    )
    return exceptions.ExitCode.OK


COMMAND = base.Command(
    'drain',
    'Start the drain of an entry, which then exits.',
    'thornspool drain --url http://127.0.0.1:7070',
    client.add_options,
    _run,
)
