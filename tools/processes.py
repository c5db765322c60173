"""Start the daemon and the stand-ins as processes and end them by id.

Every process prints one line of JSON on standard output when it listens;
its standard error is written to a log file for the analysis of failures.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import select
import signal
import subprocess
import sys
import tempfile
import time
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


class StartError(Exception):
    """A process exited or timed out before it listened."""


@attrs.define
class Process:
    """A process with its log file.

    Attributes
    ----------
    name : str
        Name in error messages.
    popen : subprocess.Popen
        The process.
    ready : dict
        Addresses that the process printed when it listened.
    log : pathlib.Path
        File with its standard error.
    """

    name: str
    popen: subprocess.Popen[bytes]
    ready: dict[str, str]
    log: pathlib.Path

    def send_signal(self, number: int) -> None:
        """Send a signal to this process only."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process, like a crash of its host, and wait for it."""
        self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and return the exit code."""
        self.popen.terminate()
        return self.popen.wait(timeout_s)

    def read_log(self) -> str:
        """Return what the process wrote to standard error."""
        return self.log.read_text(errors='replace')


@attrs.define
class Processes:
    """All processes of one run.

    Attributes
    ----------
    folder : pathlib.Path
        Folder for logs and settings files.
    running : list of Process
        All processes that were started, also those that exited since.
    """

    folder: pathlib.Path
    running: list[Process] = attrs.field(factory=list)

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start a Python module as a process and wait until it listens.

        Parameters
        ----------
        name : str
            Name in error messages and of the log file.
        module : str
            Module to run.
        *arguments : str
            Command-line arguments.

        Raises
        ------
        StartError
            When the process exits or prints nothing before the timeout.
        """
        log = self.folder / f'{name}-{len(self.running)}.log'
        with log.open('wb') as errors:
            popen = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=subprocess.PIPE,
                stderr=errors,
                cwd=pathlib.Path(__file__).parent.parent,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        process = Process(name, popen, {}, log)
        self.running.append(process)
        process.ready = _read_ready(process)
        return process

    def start_entry(self, name: str, **settings: typing.Any) -> Process:
        """Start an entry on free loopback ports.

        Parameters
        ----------
        name : str
            Name of the host.
        **settings : object
            Top-level settings that replace the defaults.
        """
        values: dict[str, typing.Any] = {
            'host': name,
            'failure_domain': 'perth-a',
            'callers': {'listen': '127.0.0.1:0'},
            'operators': {
                'listen': '127.0.0.1:0',
                'tokens': [{'name': 'local', 'token': OPERATOR_TOKEN}],
            },
            'peers': {'listen': '127.0.0.1:0'},
            'platform': {'kind': 'memory'},
        }
        values.update(settings)
        path = self.folder / f'{name}-{len(self.running)}.json'
        path.write_text(json.dumps(values))
        return self.start(name, 'thornspool.daemon', '--settings', str(path))

    def end_all(self) -> None:
        """Kill every process that still runs, by its id."""
        for process in self.running:
            if process.popen.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process.popen.stdout is not None:
                process.popen.stdout.close()


OPERATOR_TOKEN = 'local-operator-token'


@contextlib.contextmanager
def open_processes() -> Iterator[Processes]:
    """Open a scope that kills its processes on exit."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(pathlib.Path(folder))
        try:
            yield processes
        finally:
            processes.end_all()


def _read_ready(process: Process) -> dict[str, str]:
    """Read the line of JSON that a process prints when it listens."""
    stdout = process.popen.stdout
    if stdout is None:
        raise StartError(f'{process.name} has no standard output.')
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        readable, _, _ = select.select([stdout], [], [], 0.1)
        if readable:
            line = stdout.readline()
            if line:
                ready: dict[str, str] = json.loads(line)
                return ready
        if process.popen.poll() is not None:
            break
    raise StartError(f'{process.name} did not start:\n{process.read_log()}')
