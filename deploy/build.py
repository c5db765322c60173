"""Install the libraries that pyproject.toml declares into target/deps."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parents[1]
PROJECT = ROOT / 'pyproject.toml'
TARGET = ROOT / 'target' / 'deps'
STAMP = ROOT / 'target' / 'deps.installed'


def main() -> int:
    """Install them unless that was done for this pyproject.toml."""
    needed = '\n'.join(
        tomllib.loads(PROJECT.read_text())['project']['dependencies']
    )
    if STAMP.exists() and STAMP.read_text() == needed:
        return 0
    command = [sys.executable, '-m', 'pip', 'install', '--quiet', '--upgrade']
    command += ['--target', str(TARGET), *needed.splitlines()]
    done = subprocess.run(command, check=False, cwd=ROOT)
    if done.returncode == 0:
        STAMP.write_text(needed)
    return done.returncode


if __name__ == '__main__':
    sys.exit(main())
