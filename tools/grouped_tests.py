"""Runs the tests in groups beside each other, and adds up their outcomes.

Simulations take most of the time and one core each. Tests that start
processes stay in one group, since they depend on times of the machine.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys
import tempfile
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

TESTS = pathlib.Path('tests')
SIMULATION_GROUPS = 2
"""Groups of the modules of the simulation."""

_PROCESS_PACKAGES = frozenset(
    {'clients', 'platform', 'processes', 'soak', 'standins'}
)
_SIMULATION = 'simulation'
_SUMMARY = re.compile(r'^(\d+) passed, (\d+) failed(?:, (\d+) skipped)?$')


def list_groups(folder: pathlib.Path = TESTS) -> list[list[str]]:
    """List the names of all test packages and modules, by group.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the tests.
    """
    packages = sorted(
        path.parent.name for path in folder.glob('*/__init__.py')
    )
    simulations = [
        f'{folder.name}.{_SIMULATION}.{path.stem}'
        for path in sorted((folder / _SIMULATION).glob('test_*.py'))
    ]
    modules = [path.stem for path in sorted(folder.glob('test_*.py'))]
    slow = [one for one in packages if one in _PROCESS_PACKAGES]
    others = [
        one
        for one in packages
        if one not in _PROCESS_PACKAGES and one != _SIMULATION
    ]
    return [
        [f'{folder.name}.{one}' for one in slow],
        *(
            simulations[number::SIMULATION_GROUPS]
            for number in range(SIMULATION_GROUPS)
        ),
        [f'{folder.name}.{one}' for one in (*others, *modules)],
    ]


def add_outcomes(outputs: Iterable[str]) -> list[int] | None:
    """Add up the summary lines of several runs.

    Parameters
    ----------
    outputs : iterable of str
        Output of each run.

    Returns
    -------
    list of int or None
        Passed, failed and skipped tests; None if a run has no summary.
    """
    totals = [0, 0, 0]
    for output in outputs:
        found = [_SUMMARY.match(line) for line in output.splitlines()]
        summaries = [one for one in found if one is not None]
        if not summaries:
            return None
        for number, count in enumerate(summaries[-1].groups()):
            totals[number] += int(count or 0)
    return totals


def main() -> int:
    """Run all groups and print their outputs one after the other."""
    runs = []
    for names in list_groups():
        output = tempfile.TemporaryFile('w+')  # noqa: SIM115
        command = [sys.executable, '-m', 'nose2', '-s', 'tests', '-t', '.']
        runs.append(
            (
                subprocess.Popen(
                    [*command, *names],
                    stdout=output,
                    stderr=subprocess.STDOUT,
                ),
                output,
            )
        )
    codes = []
    texts = []
    for process, output in runs:
        codes.append(process.wait())
        output.seek(0)
        texts.append(output.read())
        print(texts[-1], flush=True)
    totals = add_outcomes(texts)
    if totals is None:
        print('A run of the tests ended without a summary.')
        return 1
    print('{} passed, {} failed, {} skipped'.format(*totals))
    return max(abs(code) for code in codes)


if __name__ == '__main__':
    sys.exit(main())
