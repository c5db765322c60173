"""Reading of service files and reporting of their problems."""

from __future__ import annotations

import typing

import attrs

from thornspool.console import exceptions
from thornspool.domain.configuration import files
from thornspool.domain.configuration import problems

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence
    import pathlib

    from thornspool.console import base


def read_documents(paths: Iterable[pathlib.Path]) -> files.CollectedDocuments:
    """Read the documents of service files.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Files, or directories whose ``*.json`` files are read recursively.

    Returns
    -------
    files.CollectedDocuments
        Documents and problems of the files.

    Raises
    ------
    BadUsage
        If a file can't be read, or there is no file.
    """
    found = [_read_source(path) for path in _list_files(paths)]
    if not found:
        raise exceptions.BadUsage(
            'No service file was found.',
            'Specify files, or directories that contain *.json files.',
        )
    return files.collect_documents(found)


def load_problems(value: Iterable[dict[str, str]]) -> list[problems.Problem]:
    """Decode the problems in a response of an entry."""
    return [problems.Problem(**members) for members in value]


def report_problems(
    console: base.Console,
    collection: files.CollectedDocuments,
    found: Iterable[problems.Problem],
) -> None:
    """Write problems of documents, located in the files they were read from.

    Parameters
    ----------
    console : base.Console
        Output of the command.
    collection : files.CollectedDocuments
        Documents with the files that they were read from.
    found : iterable of problems.Problem
        Problems with the documents.
    """
    write_problems(
        console,
        [
            files.locate_problem(problem, collection.origins)
            for problem in found
        ],
    )


def write_problems(
    console: base.Console, found: Sequence[problems.Problem]
) -> None:
    """Write problems that are already located in files."""
    if console.as_json:
        value = [attrs.asdict(problem) for problem in found]
        console.write_result({'problems': value}, ())
        return
    for problem in found:
        console.write_error(str(problem))
    console.write_error(f'{len(found)} problem(s); nothing was published.')


def _list_files(paths: Iterable[pathlib.Path]) -> Iterator[pathlib.Path]:
    for path in paths:
        if path.is_dir():
            yield from sorted(path.rglob('*.json'))
        else:
            yield path


def _read_source(path: pathlib.Path) -> files.SourceFile:
    try:
        return files.SourceFile(str(path), path.read_text('utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.BadUsage(
            f'{path} cannot be read: {error}.',
            'Specify a readable JSON file in UTF-8.',
        ) from error
