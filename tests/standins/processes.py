"""Stand-in engines as processes of a test."""

from __future__ import annotations

import json
import subprocess
import sys
import typing
import urllib.request

_TIMEOUT_S = 10


class EngineProcess:
    """One stand-in engine."""

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
        """Wait until it listens."""
        assert self._process.stdout is not None
        self.url = json.loads(self._process.stdout.readline())['url']

    def order(self, **orders: object) -> None:
        """Give the engine a control order."""
        self._call('/control', json.dumps(orders).encode())

    def read_counts(self) -> list[dict[str, typing.Any]]:
        """Return what the engine computed."""
        counts: list[dict[str, typing.Any]] = self._call('/control/counts')
        return counts

    def _call(self, path: str, body: bytes | None = None) -> typing.Any:
        with urllib.request.urlopen(
            self.url + path, body, timeout=_TIMEOUT_S
        ) as answer:
            return json.load(answer)

    def wait_end(self) -> None:
        """Wait until it has ended by itself."""
        self._process.wait(_TIMEOUT_S)

    def end(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait(_TIMEOUT_S)
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.close()
        self._process.stdout.close()
