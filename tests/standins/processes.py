"""Stand-in engines that a test runs as processes."""

from __future__ import annotations

import json
import subprocess
import sys
import typing
import urllib.request

_TIMEOUT_S = 10


class EngineProcess:
    """A stand-in engine in a process.

    Parameters
    ----------
    name : str
        Name of the target.
    *options : object
        Further command-line arguments of the engine.
    """

    def __init__(self, name: str, *options: object) -> None:
        self.name = name
        command = [sys.executable, '-m', 'standins.engine']
        self._process = subprocess.Popen(
            [*command, '--name', name, '--guarded', *map(str, options)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.url = ''

    def wait(self) -> None:
        """Wait until the engine listens."""
        assert self._process.stdout is not None
        self.url = json.loads(self._process.stdout.readline())['url']

    def order(self, **settings: object) -> None:
        """Send a control request with these fields."""
        self._send('/control', json.dumps(settings).encode())

    def read_counts(self) -> list[dict[str, typing.Any]]:
        """Return the tokens that the engine computed."""
        counts: list[dict[str, typing.Any]] = self._send('/control/counts')
        return counts

    def _send(self, path: str, body: bytes | None = None) -> typing.Any:
        with urllib.request.urlopen(
            self.url + path, body, timeout=_TIMEOUT_S
        ) as response:
            return json.load(response)

    def wait_end(self) -> None:
        """Wait until the process exits on its own."""
        self._process.wait(_TIMEOUT_S)

    def end(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait(_TIMEOUT_S)
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.close()
        self._process.stdout.close()
