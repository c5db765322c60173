"""The command that shows the recorded outcome of an action."""

from __future__ import annotations

import base64
import typing
import urllib.parse

from thornspool.console import base
from thornspool.console import client
from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('workspace', help='workspace of the action')
    parser.add_argument('key', help='idempotency key of the action')
    client.add_options(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    """Show the recorded response, or the reason why there is none."""
    workspace = urllib.parse.quote(options.workspace, safe='')
    key = urllib.parse.quote(options.key, safe='')
    path = f'/v1/workspaces/{workspace}/actions/{key}'
    value = client.expect_ok(client.send(options, 'GET', path))
    rows = [(name, _format_member(name, value[name])) for name in value]
    console.write_result(value, base.format_table(('FIELD', 'VALUE'), rows))
    if 'status' in value:
        return exceptions.ExitCode.OK
    return exceptions.ExitCode.PROBLEM


def _format_member(name: str, value: typing.Any) -> typing.Any:
    """Decode a recorded body from Base64 if it is text in UTF-8."""
    if name != 'body':
        return value
    try:
        return base64.b64decode(value, validate=True).decode()
    except (TypeError, ValueError):
        return value


COMMAND = base.Command(
    'action',
    'Show the outcome of an action; exit code 1 if none is recorded.',
    'thornspool action booking 019a3c1e-7d4e-7cc1-9f5e-2b8f3a6d1c10',
    _add_options,
    _run,
)
