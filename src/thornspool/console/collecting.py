"""Collecting of service files for the commands that need them."""

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


def collect(paths: Iterable[pathlib.Path]) -> files.Collection:
    """Read service files.

    Parameters
    ----------
    paths : iterable of Path
        Files, or directories of which every ``*.json`` below is read.

    Raises
    ------
    BadUsage
        If a path cannot be read or there is no file at all.
    """
    found = [_read(path) for path in _list_files(paths)]
    if not found:
        raise exceptions.BadUsage(
            'No service file was found.',
            'Name files, or directories that hold *.json.',
        )
    return files.collect_documents(found)


def load_problems(value: Iterable[dict[str, str]]) -> list[problems.Problem]:
    """Return the problems that an entry answered with."""
    return [problems.Problem(**one) for one in value]


def report_problems(
    console: base.Console,
    collection: files.Collection,
    found: Iterable[problems.Problem],
) -> None:
    """Write every problem with file, place, rule and remedy."""
    write_problems(
        console,
        [files.locate_problem(one, collection.origins) for one in found],
    )


def write_problems(
    console: base.Console, found: Sequence[problems.Problem]
) -> None:
    """Write problems whose files are known."""
    if console.as_json:
        value = [attrs.asdict(one) for one in found]
        console.write_result({'problems': value}, ())
        return
    for one in found:
        console.write_error(str(one))
    console.write_error(f'{len(found)} problem(s); nothing was published.')


def _list_files(paths: Iterable[pathlib.Path]) -> Iterator[pathlib.Path]:
    for path in paths:
        if path.is_dir():
            yield from sorted(path.rglob('*.json'))
        else:
            yield path


def _read(path: pathlib.Path) -> files.SourceFile:
    try:
        return files.SourceFile(str(path), path.read_text('utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.BadUsage(
            f'{path} cannot be read: {error}.',
            'Name a JSON file in UTF-8 that may be read.',
        ) from error
