"""Run the same simulated days with and without one mechanism.

Each variant is a scratch copy of the sources: unchanged, at another revision,
or with one mechanism disabled. The command line names the simulation program,
the deployment file, the days and the seeds. The output is a table that
compares the variants.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile
import typing

import attrs

from tools import mechanisms

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = pathlib.Path(__file__).parents[1]

COPIED_PATHS = ('deploy', 'src', 'pyproject.toml')
"""Files and folders that a run needs from the working tree."""

LIBRARY_FOLDER = 'target'
"""Folder with the libraries that are installed for this checkout."""

RUN_TIMEOUT_S = 1_500
"""Timeout of the run of one day, in seconds."""

UNCHANGED = 'unchanged'

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class AblationError(Exception):
    """A variant can't be created or run."""


@attrs.frozen
class DayResult:
    """Result of one simulated day with one variant.

    Attributes
    ----------
    variant, day : str
        Names of the variant and of the day.
    seed : int
        Seed of the random events of the day.
    worth, served, refused, failed : float
        Shares; the prices are deducted from ``worth``.
    broken : tuple of str
        Names of the violated rules.
    """

    variant: str
    day: str
    seed: int
    worth: float
    served: float
    refused: float
    failed: float
    broken: tuple[str, ...]


@attrs.frozen
class Simulation:
    """The simulation program and its common arguments.

    Attributes
    ----------
    program, site : pathlib.Path
        The program and the deployment file.
    reason : str
        Reason for the runs, for the journal.
    """

    program: pathlib.Path
    site: pathlib.Path
    reason: str


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m tools.ablation', description=__doc__
    )
    parser.add_argument('--bench', type=pathlib.Path, required=True)
    parser.add_argument('--site', type=pathlib.Path, required=True)
    parser.add_argument('--days', nargs='+', required=True)
    parser.add_argument('--seeds', nargs='+', type=int, default=[1, 2, 3])
    parser.add_argument(
        '--without',
        nargs='*',
        default=[],
        metavar='MECHANISM',
        help='mechanisms to disable, or "all" '
        f'({", ".join(sorted(mechanisms.MECHANISMS))})',
    )
    parser.add_argument(
        '--revisions',
        nargs='*',
        default=[],
        metavar='REVISION',
        help='revisions to run in addition to the working tree',
    )
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--why', default='ablation')
    parser.add_argument(
        '--scratch', type=pathlib.Path, default=ROOT.parent / 'ablation'
    )
    parser.add_argument(
        '--plays',
        type=pathlib.Path,
        help='file to which results are appended; its earlier results of '
        'the same days and seeds are included in the table',
    )
    parser.add_argument(
        '--name', default=UNCHANGED, help='name of the unchanged variant'
    )
    parser.add_argument(
        '--skip-unchanged',
        action='store_true',
        help='run only the variants; the table has no differences',
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run all variants and print the table.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        0, or 1 when a run failed, or 2 for invalid arguments.
    """
    options = build_parser().parse_args(arguments)
    names = options.without
    if 'all' in names:
        names = sorted(mechanisms.MECHANISMS)
    unknown = [name for name in names if name not in mechanisms.MECHANISMS]
    if unknown:
        print(f'unknown mechanisms: {", ".join(unknown)}', file=sys.stderr)
        return EXIT_USAGE
    options.scratch.mkdir(parents=True, exist_ok=True)
    folder = pathlib.Path(tempfile.mkdtemp(dir=options.scratch))
    simulation = Simulation(
        options.bench.resolve(), options.site.resolve(), options.why
    )
    try:
        variants = _create_variants(options, names, folder)
        results = _run_all(simulation, variants, options)
    except AblationError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    finally:
        _copy_journals(folder)
        shutil.rmtree(folder)
    if options.plays is not None:
        results = _append_results(options.plays, results)
    print(render_table(results))
    return EXIT_OK


def _create_variants(
    options: argparse.Namespace, names: Sequence[str], folder: pathlib.Path
) -> dict[str, pathlib.Path]:
    variants: dict[str, pathlib.Path] = {}
    if not options.skip_unchanged:
        variants[options.name] = _copy_tree(folder / UNCHANGED)
    for name in names:
        copy = _copy_tree(folder / name)
        apply_edits(copy, mechanisms.MECHANISMS[name])
        variants[f'without {name}'] = copy
    for revision in options.revisions:
        variants[revision] = _copy_revision(revision, folder / revision)
    return variants


def _copy_tree(copy: pathlib.Path) -> pathlib.Path:
    """Clone the repository and copy the working tree's sources into it."""
    _copy_revision('HEAD', copy)
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.rmtree(copy / name)
            shutil.copytree(
                source,
                copy / name,
                ignore=shutil.ignore_patterns('__pycache__'),
            )
        else:
            shutil.copy2(source, copy / name)
    return copy


def _copy_revision(revision: str, copy: pathlib.Path) -> pathlib.Path:
    _run_git(ROOT, 'clone', '--quiet', '--shared', str(ROOT), str(copy))
    _run_git(copy, 'checkout', '--quiet', '--detach', revision)
    if (ROOT / LIBRARY_FOLDER).is_dir():
        shutil.copytree(ROOT / LIBRARY_FOLDER, copy / LIBRARY_FOLDER)
    return copy


def _run_git(folder: pathlib.Path, *arguments: str) -> None:
    process = subprocess.run(
        ['git', '-C', str(folder), *arguments],
        check=False,
        capture_output=True,
        text=True,
    )
    if process.returncode != 0:
        raise AblationError(f'git {arguments[0]}: {process.stderr.strip()}')


def apply_edits(copy: pathlib.Path, edits: Sequence[mechanisms.Edit]) -> None:
    """Apply the edits that disable a mechanism.

    Parameters
    ----------
    copy : pathlib.Path
        Root of the copy of the sources.
    edits : sequence of mechanisms.Edit
        Edits of the mechanism.

    Raises
    ------
    AblationError
        When a text does not occur exactly once, for example because the
        source line has changed.
    """
    for edit in edits:
        path = copy / edit.path
        text = path.read_text()
        if text.count(edit.old) != 1:
            raise AblationError(
                f'{edit.path}: text must occur exactly once: {edit.old!r}'
            )
        path.write_text(text.replace(edit.old, edit.new))


def _run_all(
    simulation: Simulation,
    variants: dict[str, pathlib.Path],
    options: argparse.Namespace,
) -> list[DayResult]:
    runs = [
        (name, folder, day, seed)
        for day in options.days
        for seed in options.seeds
        for name, folder in variants.items()
    ]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        return list(pool.map(lambda run: _run_day(simulation, *run), runs))


def _run_day(
    simulation: Simulation,
    name: str,
    folder: pathlib.Path,
    day: str,
    seed: int,
) -> DayResult:
    report = folder / 'target' / f'{day}-{seed}.json'
    command = [
        str(simulation.program),
        'run',
        str(simulation.site),
        day,
        '--seed',
        str(seed),
        '--report',
        str(report),
        '--jobs',
        '1',
        '--why',
        f'{simulation.reason}: {name}',
    ]
    try:
        process = subprocess.run(
            command,
            check=False,
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired as error:
        raise AblationError(
            f'{name}, {day}: timed out after {RUN_TIMEOUT_S} s'
        ) from error
    if not report.exists():
        raise AblationError(f'{name}, {day}: {process.stdout[-400:]}')
    return parse_report(name, day, seed, json.loads(report.read_text()))


def parse_report(
    variant: str, day: str, seed: int, report: dict[str, typing.Any]
) -> DayResult:
    """Convert the report of the simulation program to a result."""
    return DayResult(
        variant,
        day,
        seed,
        float(report['G']),
        float(report['served']),
        float(report['refused']),
        float(report['failed']),
        tuple(sorted(report['breaks'] or ())),
    )


def _append_results(
    path: pathlib.Path, results: Sequence[DayResult]
) -> list[DayResult]:
    """Append results to a file of JSON lines.

    Returns
    -------
    list of DayResult
        Earlier results of the same days and seeds, then the given ones.
    """
    keys = {(result.day, result.seed) for result in results}
    earlier = []
    if path.exists():
        for line in path.read_text().splitlines():
            row = json.loads(line)
            earlier.append(
                DayResult(**{**row, 'broken': tuple(row['broken'])})
            )
    with path.open('a') as stream:
        for result in results:
            stream.write(f'{json.dumps(attrs.asdict(result))}\n')
    return [row for row in earlier if (row.day, row.seed) in keys] + list(
        results
    )


def _copy_journals(folder: pathlib.Path) -> None:
    """Copy the journal entries of the runs to the repository."""
    for entry in folder.glob('*/journal/*.json'):
        destination = ROOT / 'journal' / entry.name
        if not destination.exists():
            shutil.copy2(entry, destination)
    for entry in folder.glob('*/journal/blobs/*'):
        destination = ROOT / 'journal' / 'blobs' / entry.name
        if not destination.exists():
            shutil.copy2(entry, destination)


def render_table(results: Sequence[DayResult]) -> str:
    """Render a row for each variant and day, and for the mean of all days."""
    days = list(dict.fromkeys(result.day for result in results))
    names = list(dict.fromkeys(result.variant for result in results))
    lines = [
        '| variant | day | worth | spread | served | refused | failed |'
        ' paired difference | broken |',
        '| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
    ]
    for name in names:
        lines += [_render_row(results, name, (day,)) for day in days]
        if len(days) > 1:
            lines.append(_render_row(results, name, tuple(days)))
    return '\n'.join(lines)


def _render_row(
    results: Sequence[DayResult], name: str, days: tuple[str, ...]
) -> str:
    selected = [
        result
        for result in results
        if result.variant == name and result.day in days
    ]
    worth = [result.worth for result in selected]
    unchanged = {
        (result.day, result.seed): result.worth
        for result in results
        if result.variant == UNCHANGED
    }
    differences = [
        result.worth - unchanged[result.day, result.seed]
        for result in selected
        if (result.day, result.seed) in unchanged
    ]
    difference = ''
    if differences and name != UNCHANGED:
        difference = f'{statistics.mean(differences):+.3f}'
        if len(differences) > 1:
            difference += f' (sd {statistics.stdev(differences):.3f})'
    broken = ', '.join(
        sorted({rule for result in selected for rule in result.broken})
    )
    return (
        f'| {name} | {days[0] if len(days) == 1 else "all"}'
        f' | {statistics.mean(worth):.3f}'
        f' | {min(worth):.3f} to {max(worth):.3f}'
        f' | {statistics.mean(result.served for result in selected):.3f}'
        f' | {statistics.mean(result.refused for result in selected):.4f}'
        f' | {statistics.mean(result.failed for result in selected):.4f}'
        f' | {difference} | {broken} |'
    )


if __name__ == '__main__':
    sys.exit(main())
