"""The command that publishes service files."""

from __future__ import annotations

import getpass
import pathlib
import typing
import uuid

from thornspool.console import base
from thornspool.console import client
from thornspool.console import exceptions
from thornspool.console import service_files
from thornspool.domain.configuration import files

if typing.TYPE_CHECKING:
    import argparse


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'paths',
        nargs='*',
        type=pathlib.Path,
        help='service files, or directories that contain them',
    )
    parser.add_argument(
        '--remove',
        action='append',
        default=[],
        metavar='KIND/NAME',
        help='document to remove, for instance target/engine-7; may be '
        'repeated',
    )
    parser.add_argument(
        '--message', default='', help='message for the history'
    )
    parser.add_argument(
        '--author',
        default='',
        help='author for the history; default: the user name',
    )
    parser.add_argument(
        '--base',
        type=int,
        help='version that the files are based on; default: the version '
        'currently in force',
    )
    parser.add_argument(
        '--id',
        default='',
        help='id of an earlier attempt whose outcome is unknown',
    )
    client.add_options(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    collection = _collect(options)
    if collection.problems:
        service_files.report_problems(console, collection, collection.problems)
        return exceptions.ExitCode.PROBLEM
    body = _build_body(options, collection)
    try:
        reply = client.send(options, 'POST', '/v1/publications', body)
    except exceptions.Unreachable as error:
        raise exceptions.Unreachable(
            f'{error.message} The outcome is unknown.', _build_hint(body)
        ) from error
    return _report(console, collection, body, reply)


def _collect(options: argparse.Namespace) -> files.CollectedDocuments:
    if options.paths:
        return service_files.read_documents(options.paths)
    if options.remove:
        return files.collect_documents(())
    raise exceptions.BadUsage(
        'There is nothing to publish.', 'Specify service files or --remove.'
    )


def _build_body(
    options: argparse.Namespace, collection: files.CollectedDocuments
) -> dict[str, typing.Any]:
    base_version = options.base
    if base_version is None:
        reply = client.send(options, 'GET', '/v1/configuration')
        base_version = client.expect_ok(reply)['version']
    return {
        'id': options.id or str(uuid.uuid4()),
        'base_version': base_version,
        'documents': list(collection.raw),
        'removals': [_parse_removal(text) for text in options.remove],
        'author': options.author or _read_user_name(),
        'message': options.message,
    }


def _parse_removal(text: str) -> dict[str, str]:
    kind, slash, name = text.partition('/')
    if not (kind and slash and name):
        raise exceptions.BadUsage(
            f'"{text}" does not identify a document.',
            'Write kind/name, for instance target/engine-7.',
        )
    return {'kind': kind, 'name': name}


def _read_user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''


def _report(
    console: base.Console,
    collection: files.CollectedDocuments,
    body: dict[str, typing.Any],
    reply: client.Reply,
) -> exceptions.ExitCode:
    if reply.status == 422:
        found = service_files.load_problems(reply.value['problems'])
        service_files.report_problems(console, collection, found)
        return exceptions.ExitCode.PROBLEM
    if reply.status == 409:
        console.write_error(client.read_detail(reply))
        return exceptions.ExitCode.CONFLICT
    if reply.status >= 500:
        raise exceptions.Unreachable(
            client.read_detail(reply), _build_hint(body)
        )
    accepted = client.expect_ok(reply)
    return _report_accepted(console, accepted)


def _report_accepted(
    console: base.Console, accepted: dict[str, typing.Any]
) -> exceptions.ExitCode:
    """Report at which entries an accepted version is in force.

    Entries at which it is not in force yet make the command fail, although
    the version is accepted.
    """
    stragglers = accepted['stragglers']
    console.write_result(
        accepted,
        [
            f'Version {accepted["version"]} is in force at '
            f'{len(accepted["in_force"])} entries.'
        ],
    )
    for entry in stragglers:
        console.write_error(
            f'not in force yet at {entry["host"]} ({entry["incarnation"]}), '
            f'which reports version {entry["version"]}; '
            '"thornspool status" shows the current versions.'
        )
    return (
        exceptions.ExitCode.PROBLEM if stragglers else exceptions.ExitCode.OK
    )


def _build_hint(body: dict[str, typing.Any]) -> str:
    return (
        'Run the command again with '
        f'--id {body["id"]} --base {body["base_version"]}.'
    )


COMMAND = base.Command(
    'publish',
    'Publish service files atomically and wait until they are in force.',
    'thornspool publish examples/swan-coast/services --message "New slots"',
    _add_options,
    _run,
)
