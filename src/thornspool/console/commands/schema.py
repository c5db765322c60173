"""The command that prints the JSON Schemas of settings and service files."""

from __future__ import annotations

import json
import typing

from thornspool import schemas
from thornspool.console import base
from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse

_NAMES = ('settings', 'service-file')


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('name', choices=_NAMES, help='name of the schema')


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    schema = schemas.read_schema(options.name)
    console.write_result(schema, [json.dumps(schema, indent=2)])
    return exceptions.ExitCode.OK


COMMAND = base.Command(
    'schema',
    'Print the JSON Schema of a kind of file, for example for an editor.',
    'thornspool schema service-file',
    _add_options,
    _run,
)
