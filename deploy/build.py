"""Install the dependencies in pyproject.toml into target/deps."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parents[1]
PROJECT = ROOT / 'pyproject.toml'
TARGET = ROOT / 'target' / 'deps'
INSTALLED_MARKER = ROOT / 'target' / 'deps.installed'


def main() -> int:
    """Install the dependencies unless the installed ones are up to date."""
    requirements = '\n'.join(
        tomllib.loads(PROJECT.read_text())['project']['dependencies']
    )
    if (
        INSTALLED_MARKER.exists()
        and INSTALLED_MARKER.read_text() == requirements
    ):
        return 0
    command = [sys.executable, '-m', 'pip', 'install', '--quiet', '--upgrade']
    command += ['--target', str(TARGET), *requirements.splitlines()]
    result = subprocess.run(command, check=False, cwd=ROOT)
    if result.returncode == 0:
        INSTALLED_MARKER.write_text(requirements)
    return result.returncode


if __name__ == '__main__':
    sys.exit(main())
