"""Trials of one crowd of clients beside ordinary callers.

``python -m tests.clients.trials`` plays kinds at doors and prints a line for
each: how the ordinary callers fared, and how much memory the entry used.
"""

from __future__ import annotations

import argparse
import http.client
import json
import pathlib
import resource
import statistics
import subprocess
import sys
import threading
import time
import typing

import attrs

from standins import kv_fleet
from tests.clients import builders
from tests.clients import crowd
from tests.platform import deployment
from tools import processes

CALLERS = 9
DEADLINE_S = 3.0
"""Time within which a caller wants its answer, with its retries."""

PAUSE_S = 0.15
RETRY_S = 0.1
SAMPLE_S = 0.02
CHECK_TIMEOUT_S = 1.0
SETTLE_S = 4.0
"""Time after a crowd has left, after which memory is read once more."""

_CLOSED_EARLY = (http.client.HTTPException, OSError)


@attrs.define
class Machine:
    """Limits of the machine of an entry."""

    memory_mb: int = 300
    descriptors: int = 4_100


SMALLEST = Machine(112, 2_870)
"""The smallest machine of the deployments."""


@attrs.define
class Outcome:
    """How ordinary calls fared over a time.

    Attributes
    ----------
    calls, served : int
        Calls, and those that were served within their deadline.
    times_s : list of float
        Time of each call that was served.
    failures : list of str
        What happened to the others.
    checks, passed : int
        Readiness checks, and those that passed.
    missed_in_row : int
        Most checks in a row that did not pass.
    """

    calls: int = 0
    served: int = 0
    times_s: list[float] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)
    checks: int = 0
    passed: int = 0
    missed_in_row: int = 0

    @property
    def slowest_s(self) -> float:
        """Longest time of a call that was served."""
        return max(self.times_s, default=0.0)

    @property
    def median_s(self) -> float:
        """Median time of the calls that were served."""
        return statistics.median(self.times_s) if self.times_s else 0.0

    def describe(self) -> str:
        """Describe the outcome in a few words."""
        return (
            f'{self.served} of {self.calls} served, p50 {self.median_s:.2f} s'
            f', slowest {self.slowest_s:.2f} s'
            f', ready {self.passed} of {self.checks}'
        )


class OrdinaryCallers:
    """Callers that behave, each with one request at a time.

    They send reads, actions and streams, and return after a refusal as the
    entry names.
    """

    def __init__(self, entry: deployment.Entry) -> None:
        self._entry = entry
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._outcome = Outcome()
        self._threads = [
            threading.Thread(target=self._call_repeatedly, args=(number,))
            for number in range(CALLERS)
        ]
        self._threads.append(threading.Thread(target=self._check_repeatedly))
        for thread in self._threads:
            thread.start()

    def take_outcome(self) -> Outcome:
        """Return the outcome since the last call."""
        with self._lock:
            taken, self._outcome = self._outcome, Outcome()
        return taken

    def stop(self) -> None:
        """Let all calls end."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _call_repeatedly(self, number: int) -> None:
        path = builders.ROUTES[number % len(builders.ROUTES)]
        count = 0
        while not self._ended.is_set():
            count += 1
            began_at = time.monotonic()
            failure = self._call(path, f'{number}-{count}', began_at)
            took_s = time.monotonic() - began_at
            with self._lock:
                self._outcome.calls += 1
                if failure:
                    self._outcome.failures.append(failure)
                else:
                    self._outcome.served += 1
                    self._outcome.times_s.append(took_s)
            self._ended.wait(PAUSE_S)

    def _call(self, path: str, name: str, began_at: float) -> str:
        """Call until served; return why it was not, or nothing."""
        failure = 'deadline'
        attempt = 0
        while (
            left_s := began_at + DEADLINE_S - time.monotonic()
        ) > 0 and not self._ended.is_set():
            attempt += 1
            try:
                status, wait_s = self._send(path, f'{name}-{attempt}', left_s)
            except _CLOSED_EARLY as error:
                failure, wait_s = type(error).__name__, RETRY_S
                if path == '/hold/' and not isinstance(
                    error, (http.client.RemoteDisconnected, ConnectionError)
                ):
                    return failure
            else:
                if status == 200:
                    return ''
                failure = str(status)
                if status not in {408, 429, 503}:
                    return failure
            time.sleep(min(wait_s, left_s / 3))
        return failure

    def _send(self, path: str, name: str, left_s: float) -> tuple[int, float]:
        """Send one attempt; return the status and the time to come back."""
        connection = http.client.HTTPConnection(
            '127.0.0.1', self._entry.ports[0], timeout=left_s
        )
        began_at = time.monotonic()
        try:
            connection.request(
                'POST' if path != '/read/' else 'GET',
                f'{path}x',
                b'{}' if path != '/read/' else None,
                {
                    'Host': kv_fleet.HOST,
                    'Attempt-Id': name,
                    'Deadline-Ms': f'{left_s * 1000:.0f}',
                    'Token-Usage': '500,200',
                    'Authorization': f'Bearer {kv_fleet.KEY}',
                },
            )
            response = connection.getresponse()
            while response.read1(65_536):
                if time.monotonic() - began_at > left_s:
                    raise TimeoutError
            return response.status, float(
                response.headers.get('Retry-After', RETRY_S)
            )
        finally:
            connection.close()

    def _check_repeatedly(self) -> None:
        missed = 0
        while not self._ended.wait(CHECK_TIMEOUT_S):
            passed = self._check()
            with self._lock:
                self._outcome.checks += 1
                self._outcome.passed += passed
                missed = 0 if passed else missed + 1
                self._outcome.missed_in_row = max(
                    missed, self._outcome.missed_in_row
                )

    def _check(self) -> bool:
        connection = http.client.HTTPConnection(
            '127.0.0.1', self._entry.ports[1], timeout=CHECK_TIMEOUT_S
        )
        try:
            connection.request('GET', '/v1/readiness')
            return connection.getresponse().status == 200
        except _CLOSED_EARLY:
            return False
        finally:
            connection.close()


class MemoryWatch:
    """Samples the memory of an entry, and stops it at a limit.

    What the kernel has received for the entry, which has not read it yet,
    counts too.
    """

    def __init__(
        self,
        popen: subprocess.Popen[bytes],
        ports: typing.Iterable[int],
        limit_mb: int,
    ) -> None:
        self._popen = popen
        self._ports = {f'{port:04X}' for port in ports}
        self._limit = limit_mb << 20
        self._ended = threading.Event()
        self.peak = self.kernel_peak = 0
        self.was_exceeded = False
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def read(self) -> int:
        """Return the resident memory, in bytes."""
        pages = pathlib.Path(f'/proc/{self._popen.pid}/statm').read_text()
        return int(pages.split()[1]) * resource.getpagesize()

    def read_kernel(self) -> int:
        """Return what has arrived and is not read, in bytes."""
        total = 0
        with open('/proc/net/tcp') as table:
            next(table)
            for line in table:
                fields = line.split(None, 5)
                if fields[1][-4:] in self._ports:
                    total += int(fields[4][9:], 16)
        return total

    def stop(self) -> None:
        """End the samples."""
        self._ended.set()
        self._thread.join()

    def _watch(self) -> None:
        count = kernel = 0
        while not self._ended.wait(SAMPLE_S):
            if self._popen.poll() is not None:
                return
            if count % 10 == 0:
                kernel = self.read_kernel()
                self.kernel_peak = max(self.kernel_peak, kernel)
            count += 1
            used = self.read()
            self.peak = max(self.peak, used + kernel)
            if used + kernel > self._limit:
                self.was_exceeded = True
                self._popen.kill()
                return


@attrs.define
class Result:
    """What one trial has shown.

    Attributes
    ----------
    name : str
        Kinds and doors.
    during, after : Outcome
        Ordinary calls beside the crowd, and once it has left.
    calm_mb, peak_mb, kernel_mb, after_mb : float
        Memory of the entry before, at its peak, in the kernel of that at
        most, and some seconds after.
    exit_code : int or None
        Exit code of the entry, or None while it runs.
    crowds : list of dict
        Connections and answers of each crowd.
    """

    name: str
    during: Outcome
    after: Outcome
    calm_mb: float
    peak_mb: float
    kernel_mb: float
    after_mb: float
    exit_code: int | None
    crowds: list[dict[str, typing.Any]]

    def describe(self) -> str:
        """Describe the trial on one line."""
        return (
            f'{self.name}: {self.during.describe()}; after:'
            f' {self.after.describe()}; memory {self.calm_mb:.0f},'
            f' {self.peak_mb:.0f} (kernel {self.kernel_mb:.0f}),'
            f' {self.after_mb:.0f} MB; exit {self.exit_code};'
            f' failed {sorted(set(self.during.failures))}'
            f' {sorted(set(self.after.failures))}; {self.crowds}'
        )


@attrs.frozen
class Part:
    """One crowd of a trial."""

    kind: str
    door: str = 'route'
    connections: int = 100

    def __str__(self) -> str:
        return f'{self.connections} {self.kind} at {self.door}'

    def start(
        self, entry: deployment.Entry, seconds: float
    ) -> subprocess.Popen[bytes]:
        """Start the process that plays the crowd."""
        port = entry.ports[builders.PORTS.get(self.door, 0)]
        return self.start_at(port, builders.PATHS[self.door], seconds)

    def start_at(
        self, port: int, path: str, seconds: float
    ) -> subprocess.Popen[bytes]:
        """Start the process against a port and a path."""
        return subprocess.Popen(
            [
                sys.executable,
                '-m',
                'tests.clients.crowd',
                self.kind,
                path,
                f'127.0.0.1:{port}',
                '--connections',
                str(self.connections),
                '--seconds',
                str(seconds),
            ],
            stdout=subprocess.PIPE,
            cwd=deployment.ROOT,
        )


def start_entry(
    deployed: deployment.Deployment, machine: Machine
) -> deployment.Entry:
    """Start an entry on a machine with limits, until it is ready."""
    builders.set_limits(deployed)
    entry = deployed.start_entry(
        limits={
            'memory_mb': machine.memory_mb,
            'max_fds': machine.descriptors,
        }
    )
    resource.prlimit(
        entry.popen.pid,
        resource.RLIMIT_NOFILE,
        (machine.descriptors, machine.descriptors),
    )
    deployment.wait_until(entry.is_ready)
    deployment.wait_until(
        lambda: entry.call('POST', '/brief/x', 'first').status == 200
    )
    return entry


def play(
    entry: deployment.Entry,
    parts: typing.Sequence[Part],
    seconds: float,
    machine: Machine,
    settle_s: float = SETTLE_S,
) -> Result:
    """Play crowds against an entry beside ordinary callers."""
    watch = MemoryWatch(entry.popen, entry.ports, machine.memory_mb)
    ordinary = OrdinaryCallers(entry)
    try:
        time.sleep(1.0)
        calm = watch.read()
        ordinary.take_outcome()
        started = [one.start(entry, seconds) for one in parts]
        outputs = [one.communicate()[0] for one in started]
        during = ordinary.take_outcome()
        time.sleep(settle_s)
        after = ordinary.take_outcome()
    finally:
        ordinary.stop()
        watch.stop()
    exit_code = entry.popen.poll()
    return Result(
        ', '.join(map(str, parts)),
        during,
        after,
        calm / 2**20,
        watch.peak / 2**20,
        watch.kernel_peak / 2**20,
        0.0 if exit_code is not None else watch.read() / 2**20,
        exit_code,
        [json.loads(one) for one in outputs],
    )


def run(
    parts: typing.Sequence[Part], seconds: float, machine: Machine
) -> tuple[Result, str]:
    """Run a trial on a deployment of its own; return the entry's log too."""
    with processes.open_processes() as running:
        deployed = deployment.Deployment(running)
        entry = start_entry(deployed, machine)
        deployment.wait_until(deployed.start_entry(domain='b').is_ready)
        result = play(entry, parts, seconds, machine)
        return result, '\n'.join(entry.read_log())


TRIALS: tuple[tuple[Part, ...], ...] = (
    *(
        (Part('send_whole_body', door, 150),)
        for door in ('route', 'action', 'stream', 'no route', 'peers')
    ),
    (Part('send_whole_body', 'route', 1_200),),
    (Part('send_pieces', 'route', 150),),
    (Part('stop_before_last_byte', 'route', 300),),
    (Part('stop_before_last_byte_of_chunk', 'route', 300),),
    (Part('send_chunks_without_end', 'route', 50),),
    (Part('send_chunk_line_without_end', 'route', 50),),
    (Part('send_small_chunks', 'action', 100),),
    (Part('send_fields_without_body', 'route', 3_000),),
    (Part('send_many_parts', 'stream', 300),),
    (Part('send_many_fields', 'route', 300),),
    (Part('send_many_fields', 'readiness', 300),),
    (Part('send_same_field', 'route', 300),),
    (Part('send_nothing', 'route', 4_500),),
    (Part('send_nothing', 'readiness', 4_500),),
    (Part('send_nothing', 'peers', 4_500),),
    (Part('send_head_slowly', 'route', 3_900),),
    (Part('send_body_slowly', 'route', 3_900),),
    (Part('send_head_without_end', 'route', 200),),
    (Part('pipeline_gets', 'metrics', 100),),
    (Part('pipeline_gets', 'no route', 100),),
    (Part('pipeline_posts', 'route', 100),),
    (Part('connect_and_leave', 'route', 400),),
    (Part('exceed_body_limit', 'route', 100),),
    (Part('expect_continue', 'route', 200),),
    (Part('reset_after_request', 'route', 100),),
    (Part('send_whole_body', 'readiness', 100),),
    (Part('send_whole_body', 'lookups', 100),),
    (Part('send_whole_body', 'metrics', 100),),
    (
        Part('send_whole_body', 'route', 100),
        Part('send_nothing', 'peers', 2_000),
    ),
    (
        Part('stop_before_last_byte', 'route', 100),
        Part('send_many_fields', 'route', 100),
    ),
    (
        Part('send_head_slowly', 'route', 2_000),
        Part('send_whole_body', 'no route', 50),
    ),
)
"""All kinds of clients, at the doors where each of them matters."""


CONNECTIONS = {
    'send_nothing': 4_500,
    'send_head_slowly': 3_900,
    'send_body_slowly': 3_900,
    'send_fields_without_body': 3_000,
    'connect_and_leave': 400,
    'stop_before_last_byte': 300,
    'stop_before_last_byte_of_chunk': 300,
    'send_many_fields': 300,
    'send_many_parts': 300,
    'send_same_field': 300,
}
"""Connections of a crowd at any door; 100 by default."""


def play_matrix(seconds: float, machine: Machine, only: str) -> None:
    """Play each kind at each door, one after the other on one entry."""
    with processes.open_processes() as running:
        deployed = deployment.Deployment(running)
        entry = start_entry(deployed, machine)
        for door in builders.PATHS:
            for kind in crowd.KINDS:
                part = Part(kind, door, CONNECTIONS.get(kind, 100))
                if only not in str(part):
                    continue
                if entry.popen.poll() is not None:
                    entry = start_entry(deployed, machine)
                result = play(entry, [part], seconds, machine, settle_s=1.5)
                print(result.describe(), flush=True)


def main() -> None:
    """Play trials and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', default='', help='part of a name')
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--memory', type=int, default=SMALLEST.memory_mb)
    parser.add_argument(
        '--descriptors', type=int, default=SMALLEST.descriptors
    )
    parser.add_argument(
        '--shard', default='0/1', help='every Nth trial from the Ith: I/N'
    )
    parser.add_argument(
        '--matrix',
        action='store_true',
        help='each kind at each door, one after the other on one entry',
    )
    parser.add_argument('--logs', type=pathlib.Path)
    options = parser.parse_args()
    machine = Machine(options.memory, options.descriptors)
    if options.matrix:
        play_matrix(options.seconds, machine, options.only)
        return
    first, step = map(int, options.shard.split('/'))
    for parts in TRIALS[first::step]:
        name = ', '.join(map(str, parts))
        if options.only not in name:
            continue
        result, log = run(parts, options.seconds, machine)
        print(result.describe(), flush=True)
        if options.logs:
            (options.logs / f'{name.replace(" ", "-")}.log').write_text(log)


if __name__ == '__main__':
    main()
