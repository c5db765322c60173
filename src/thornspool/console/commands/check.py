"""The command that validates service files and settings."""

from __future__ import annotations

import pathlib
import typing
import uuid

from thornspool import settings
from thornspool.console import base
from thornspool.console import client
from thornspool.console import exceptions
from thornspool.console import service_files
from thornspool.domain.configuration import contents
from thornspool.domain.configuration import files
from thornspool.domain.configuration import publications

if typing.TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable
    from collections.abc import Sequence

    from thornspool.domain.configuration import problems


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'paths',
        nargs='*',
        type=pathlib.Path,
        help='service files, or directories that contain them',
    )
    parser.add_argument(
        '--settings',
        action='append',
        default=[],
        type=pathlib.Path,
        metavar='FILE',
        help='settings file of an entry to check; may be repeated',
    )
    client.add_options(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    """Check files, with the documents of an entry if one is specified."""
    found = _check_settings(options.settings)
    if options.settings and not options.paths:
        return _report_settings(console, options.settings, found)
    collection = service_files.read_documents(options.paths)
    found.extend(collection.problems)
    if found:
        service_files.write_problems(console, found)
        return exceptions.ExitCode.PROBLEM
    check = _check_at_entry if options.url else _check_locally
    return check(options, console, collection)


def _check_settings(
    paths: Iterable[pathlib.Path],
) -> list[problems.Problem]:
    found: list[problems.Problem] = []
    for path in paths:
        try:
            settings.read_settings(path)
        except settings.SettingsError as error:
            found.extend(error.problems)
    return found


def _report_settings(
    console: base.Console,
    paths: Sequence[pathlib.Path],
    found: Sequence[problems.Problem],
) -> exceptions.ExitCode:
    if found:
        service_files.write_problems(console, found)
        return exceptions.ExitCode.PROBLEM
    console.write_result(
        {'settings': len(paths), 'problems': []},
        [f'{len(paths)} settings file(s) are valid.'],
    )
    return exceptions.ExitCode.OK


def _check_locally(
    _options: argparse.Namespace,
    console: base.Console,
    collection: files.CollectedDocuments,
) -> exceptions.ExitCode:
    publication = publications.Publication(
        'check', '', 0, collection.documents
    )
    planned = publications.plan_publication(
        contents.Contents(), publication, 0
    )
    if isinstance(planned, publications.Invalid):
        service_files.report_problems(console, collection, planned.problems)
        return exceptions.ExitCode.PROBLEM
    _write_result(console, collection, 'on their own')
    return exceptions.ExitCode.OK


def _check_at_entry(
    options: argparse.Namespace,
    console: base.Console,
    collection: files.CollectedDocuments,
) -> exceptions.ExitCode:
    version = client.expect_ok(
        client.send(options, 'GET', '/v1/configuration')
    )['version']
    body = {
        'id': str(uuid.uuid4()),
        'base_version': version,
        'documents': list(collection.raw),
        'dry_run': True,
    }
    reply = client.send(options, 'POST', '/v1/publications', body)
    if reply.status == 422:
        found = service_files.load_problems(reply.value['problems'])
        service_files.report_problems(console, collection, found)
        return exceptions.ExitCode.PROBLEM
    if reply.status == 409:
        console.write_error(client.read_detail(reply))
        return exceptions.ExitCode.CONFLICT
    client.expect_ok(reply)
    _write_result(console, collection, f'on version {version}')
    return exceptions.ExitCode.OK


def _write_result(
    console: base.Console, collection: files.CollectedDocuments, context: str
) -> None:
    count = len(collection.documents)
    result: dict[str, typing.Any] = {'documents': count, 'problems': []}
    console.write_result(result, [f'{count} document(s) are valid {context}.'])


COMMAND = base.Command(
    'check',
    'Check service files and settings and report every problem; with --url, '
    'files are checked together with the documents in force.',
    'thornspool check examples/swan-coast/services',
    _add_options,
    _run,
)
