"""Play the same days with and without one mechanism, and compare them.

Each variant is a scratch copy of the sources: unchanged, at another revision,
or with one named mechanism switched off. The program that plays a day, the
deployment, the days and the seeds are named on the command line.
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

COPIED = ('deploy', 'src', 'pyproject.toml')
"""What a run needs of the sources."""

BUILT = 'target'
"""Libraries that were installed for this checkout already."""

PLAY_S = 1_500
"""Longest time of one play, in seconds."""

UNCHANGED = 'unchanged'

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class AblationError(Exception):
    """A variant can't be made or played."""


@attrs.frozen
class Play:
    """One day played by one variant.

    Attributes
    ----------
    variant, day : str
        What was played.
    seed : int
        Seed of the day's luck.
    worth, served, refused, failed : float
        Shares; ``worth`` is after prices.
    broken : tuple of str
        Rules that were broken.
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
class Bench:
    """The program that plays days, and what it is asked to play.

    Attributes
    ----------
    program, site : pathlib.Path
        The program and the file of the deployment.
    why : str
        Reason of the runs, for the journal.
    """

    program: pathlib.Path
    site: pathlib.Path
    why: str


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the command line."""
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
        help='mechanisms to switch off, or "all" '
        f'({", ".join(sorted(mechanisms.MECHANISMS))})',
    )
    parser.add_argument(
        '--revisions',
        nargs='*',
        default=[],
        metavar='REVISION',
        help='revisions to play beside the working tree',
    )
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--why', default='ablation')
    parser.add_argument(
        '--scratch', type=pathlib.Path, default=ROOT.parent / 'ablation'
    )
    parser.add_argument(
        '--plays',
        type=pathlib.Path,
        help='file to which plays are added, and whose earlier plays of the '
        'same days and seeds count',
    )
    parser.add_argument(
        '--name', default=UNCHANGED, help='name of the unchanged variant'
    )
    parser.add_argument(
        '--skip-unchanged',
        action='store_true',
        help='play only the variants; their table has no differences',
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Play all variants and print the table.

    Returns
    -------
    int
        0, or 1 when a play failed, or 2 for wrong arguments.
    """
    options = make_parser().parse_args(arguments)
    names = options.without
    if 'all' in names:
        names = sorted(mechanisms.MECHANISMS)
    unknown = [one for one in names if one not in mechanisms.MECHANISMS]
    if unknown:
        print(f'unknown mechanisms: {", ".join(unknown)}', file=sys.stderr)
        return EXIT_USAGE
    options.scratch.mkdir(parents=True, exist_ok=True)
    folder = pathlib.Path(tempfile.mkdtemp(dir=options.scratch))
    bench = Bench(options.bench.resolve(), options.site.resolve(), options.why)
    try:
        variants = _make_variants(options, names, folder)
        plays = _play_all(bench, variants, options)
    except AblationError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    finally:
        _keep_journals(folder)
        shutil.rmtree(folder)
    if options.plays is not None:
        plays = _add_plays(options.plays, plays)
    print(render_table(plays))
    return EXIT_OK


def _make_variants(
    options: argparse.Namespace, names: Sequence[str], folder: pathlib.Path
) -> dict[str, pathlib.Path]:
    variants: dict[str, pathlib.Path] = {}
    if not options.skip_unchanged:
        variants[options.name] = _copy_tree(folder / UNCHANGED)
    for name in names:
        copy = _copy_tree(folder / name)
        switch_off(copy, mechanisms.MECHANISMS[name])
        variants[f'without {name}'] = copy
    for revision in options.revisions:
        variants[revision] = _copy_revision(revision, folder / revision)
    return variants


def _copy_tree(copy: pathlib.Path) -> pathlib.Path:
    """Clone the repository, with the working tree's sources in it."""
    _copy_revision('HEAD', copy)
    for name in COPIED:
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
    if (ROOT / BUILT).is_dir():
        shutil.copytree(ROOT / BUILT, copy / BUILT)
    return copy


def _run_git(folder: pathlib.Path, *arguments: str) -> None:
    done = subprocess.run(
        ['git', '-C', str(folder), *arguments],
        check=False,
        capture_output=True,
        text=True,
    )
    if done.returncode != 0:
        raise AblationError(f'git {arguments[0]}: {done.stderr.strip()}')


def switch_off(copy: pathlib.Path, edits: Sequence[mechanisms.Edit]) -> None:
    """Apply the edits that switch a mechanism off.

    Raises
    ------
    AblationError
        When a text is not found exactly once, as after a change of the code.
    """
    for edit in edits:
        path = copy / edit.path
        text = path.read_text()
        if text.count(edit.old) != 1:
            raise AblationError(f'{edit.path}: not found once: {edit.old!r}')
        path.write_text(text.replace(edit.old, edit.new))


def _play_all(
    bench: Bench,
    variants: dict[str, pathlib.Path],
    options: argparse.Namespace,
) -> list[Play]:
    wanted = [
        (name, folder, day, seed)
        for day in options.days
        for seed in options.seeds
        for name, folder in variants.items()
    ]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        return list(pool.map(lambda one: _play(bench, *one), wanted))


def _play(
    bench: Bench, name: str, folder: pathlib.Path, day: str, seed: int
) -> Play:
    report = folder / 'target' / f'{day}-{seed}.json'
    command = [
        str(bench.program),
        'run',
        str(bench.site),
        day,
        '--seed',
        str(seed),
        '--report',
        str(report),
        '--jobs',
        '1',
        '--why',
        f'{bench.why}: {name}',
    ]
    try:
        done = subprocess.run(
            command,
            check=False,
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=PLAY_S,
        )
    except subprocess.TimeoutExpired as error:
        raise AblationError(f'{name}, {day}: no end in {PLAY_S} s') from error
    if not report.exists():
        raise AblationError(f'{name}, {day}: {done.stdout[-400:]}')
    return read_play(name, day, seed, json.loads(report.read_text()))


def read_play(
    variant: str, day: str, seed: int, read: dict[str, typing.Any]
) -> Play:
    """Read what the report of a play says."""
    return Play(
        variant,
        day,
        seed,
        float(read['G']),
        float(read['served']),
        float(read['refused']),
        float(read['failed']),
        tuple(sorted(read['breaks'] or ())),
    )


def _add_plays(path: pathlib.Path, plays: Sequence[Play]) -> list[Play]:
    """Add plays to a file of JSON lines; returns all of the same days."""
    keys = {(one.day, one.seed) for one in plays}
    kept = []
    if path.exists():
        for line in path.read_text().splitlines():
            read = json.loads(line)
            kept.append(Play(**{**read, 'broken': tuple(read['broken'])}))
    with path.open('a') as stream:
        for play in plays:
            stream.write(f'{json.dumps(attrs.asdict(play))}\n')
    return [one for one in kept if (one.day, one.seed) in keys] + list(plays)


def _keep_journals(folder: pathlib.Path) -> None:
    """Keep the entries that the plays left."""
    for entry in folder.glob('*/journal/*.json'):
        kept = ROOT / 'journal' / entry.name
        if not kept.exists():
            shutil.copy2(entry, kept)
    for entry in folder.glob('*/journal/blobs/*'):
        kept = ROOT / 'journal' / 'blobs' / entry.name
        if not kept.exists():
            shutil.copy2(entry, kept)


def render_table(plays: Sequence[Play]) -> str:
    """Write a row for each variant and day, and for the mean of all days."""
    days = list(dict.fromkeys(one.day for one in plays))
    names = list(dict.fromkeys(one.variant for one in plays))
    lines = [
        '| variant | day | worth | spread | served | refused | failed |'
        ' paired difference | broken |',
        '| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
    ]
    for name in names:
        lines += [_render_row(plays, name, (day,)) for day in days]
        if len(days) > 1:
            lines.append(_render_row(plays, name, tuple(days)))
    return '\n'.join(lines)


def _render_row(
    plays: Sequence[Play], name: str, days: tuple[str, ...]
) -> str:
    own = [one for one in plays if one.variant == name and one.day in days]
    worth = [one.worth for one in own]
    unchanged = {
        (one.day, one.seed): one.worth
        for one in plays
        if one.variant == UNCHANGED
    }
    paired = [
        one.worth - unchanged[one.day, one.seed]
        for one in own
        if (one.day, one.seed) in unchanged
    ]
    difference = ''
    if paired and name != UNCHANGED:
        difference = f'{statistics.mean(paired):+.3f}'
        if len(paired) > 1:
            difference += f' (sd {statistics.stdev(paired):.3f})'
    broken = ', '.join(sorted({rule for one in own for rule in one.broken}))
    return (
        f'| {name} | {days[0] if len(days) == 1 else "all"}'
        f' | {statistics.mean(worth):.3f}'
        f' | {min(worth):.3f} to {max(worth):.3f}'
        f' | {statistics.mean(one.served for one in own):.3f}'
        f' | {statistics.mean(one.refused for one in own):.4f}'
        f' | {statistics.mean(one.failed for one in own):.4f}'
        f' | {difference} | {broken} |'
    )


if __name__ == '__main__':
    sys.exit(main())
