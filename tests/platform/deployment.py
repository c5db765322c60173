"""Runs entries as processes against simulated platform services."""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import time
import typing
import urllib.request

import attrs

from standins import kv_fleet
from tools import processes

ROOT = pathlib.Path(__file__).parents[2]
START_TIMEOUT_S = 15.0


PORTS = range(15_000, 32_000)
"""Ports below the ephemeral range of the operating system.

A free port from the ephemeral range was allocated to another process before
the entry bound it.
"""

BLOCK_PORTS = 100
"""Ports that one reservation covers; each holds a file descriptor."""

_reservations: list[socket.socket] = []
_unused_ports: list[int] = []


def find_ports(count: int) -> list[int]:
    """Find free loopback ports that no run of the tests has allocated.

    A port stays allocated until this process ends, since a link that refuses
    connections leaves its port free for a while.
    """
    found: list[int] = []
    while len(found) < count:
        if not _unused_ports:
            _unused_ports.extend(_reserve_block())
        port = _unused_ports.pop()
        if _is_free(port):
            found.append(port)
    return found


def _reserve_block() -> list[int]:
    """Reserve ports that no other run uses; return them in random order."""
    source = random.Random()
    firsts = list(PORTS[::BLOCK_PORTS])
    source.shuffle(firsts)
    first = next(one for one in firsts if _reserve(one))
    block = list(range(first, min(first + BLOCK_PORTS, PORTS.stop)))
    source.shuffle(block)
    return block


def _reserve(first: int) -> bool:
    """Reserve a block of ports among all runs of the tests on this machine.

    The reservation is a name in the abstract namespace of Unix sockets, which
    ends with the process that holds it.
    """
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        reservation.bind(f'\0thornspool-test-ports-{first}')
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


@attrs.define
class Response:
    """Response that a caller received.

    ``complete`` is False for a truncated body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@attrs.define(eq=False)
class Entry:
    """An entry that runs as a process."""

    popen: subprocess.Popen[bytes]
    log: pathlib.Path
    ports: list[int]
    settings: pathlib.Path
    launches: int = 1

    @property
    def callers(self) -> str:
        """``ip:port`` on which callers are served."""
        return f'127.0.0.1:{self.ports[0]}'

    def read_log(self) -> list[str]:
        """Return the log lines of the entry."""
        return self.log.read_text(errors='replace').splitlines()

    def find_lines(self, event: str, **fields: object) -> list[str]:
        """Return the log lines of an event that have all given fields."""
        wanted = [f'event={event}']
        wanted += [f'{name}={value}' for name, value in fields.items()]
        return [
            line
            for line in self.read_log()
            if all(one in line.split() for one in wanted)
        ]

    def has_started(self) -> bool:
        """Return whether the last launch has logged its start."""
        return len(self.find_lines('entry_started')) == self.launches

    def is_ready(self) -> bool:
        """Return the result of its readiness check."""
        try:
            url = f'http://127.0.0.1:{self.ports[1]}/v1/readiness'
            with urllib.request.urlopen(url, timeout=2):
                return True
        except OSError:
            return False

    def look_up(self, domain: str) -> list[str]:
        """Look up addresses as a caller does."""
        url = (
            f'http://127.0.0.1:{self.ports[2]}/v1/lookup'
            f'?name={kv_fleet.HOST}&region=r&zone={domain}'
        )
        with urllib.request.urlopen(url, timeout=2) as response:
            addresses: list[str] = json.load(response)['addresses']
        return addresses

    def read_metrics(self) -> dict[str, float]:
        """Return the metric values by name with labels."""
        url = f'http://127.0.0.1:{self.ports[4]}/metrics'
        with urllib.request.urlopen(url, timeout=2) as response:
            lines = response.read().decode().splitlines()
        pairs = [one.rsplit(' ', 1) for one in lines if one[:1] != '#']
        return {name: float(value) for name, value in pairs}

    def preview_route(self, path: str) -> dict[str, typing.Any]:
        """Return where a request would go now."""
        url = (
            f'http://127.0.0.1:{self.ports[4]}/v1/route?host={kv_fleet.HOST}'
            f'&path={path}&key={kv_fleet.KEY}'
        )
        with urllib.request.urlopen(url, timeout=2) as response:
            preview: dict[str, typing.Any] = json.load(response)
        return preview

    def call(
        self,
        method: str,
        path: str,
        number: int | str,
        key: str = kv_fleet.KEY,
        host: str = '',
        body: bytes = b'{}',
        **headers: str,
    ) -> Response:
        """Send a request and read its response to the end.

        ``host`` is the name by which servers attribute the request to this
        entry.
        """
        connection = http.client.HTTPConnection(
            '127.0.0.1', self.ports[0], timeout=15
        )
        sent = {
            'Host': kv_fleet.HOST,
            'Attempt-Id': f'{host}.{number}' if host else f'request-{number}',
            'Deadline-Ms': '10000',
            'Token-Usage': '500,200',
            'Authorization': f'Bearer {key}',
            **headers,
        }
        try:
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            try:
                body, complete = response.read(), True
            except http.client.IncompleteRead as error:
                body, complete = error.partial, False
            return Response(
                response.status, dict(response.getheaders()), body, complete
            )
        finally:
            connection.close()


class Deployment:
    """A simulated store, a small simulated fleet and entries."""

    def __init__(
        self, running: processes.Processes, options: tuple[str, ...] = ()
    ) -> None:
        self._running = running
        self.options = options
        self.store = running.start('store', 'standins.kv_store')
        self.store_url = self.store.ready['url']
        self.store_address = self.store_url.removeprefix('http://')
        self.fleet = running.start(
            'fleet', 'standins.kv_fleet', '--store', self.store_address
        )
        self.entries: list[Entry] = []

    def start_entry(
        self,
        domain: str = 'a',
        store_address: str | None = None,
        retry_slack: int = 100,
        limits: dict[str, float] | None = None,
    ) -> Entry:
        """Start an entry without waiting until it is ready.

        ``limits`` are those of its host, as the settings name them.
        """
        ports = find_ports(5)
        name = f'entry-{len(self.entries)}'
        settings = {
            'node': name,
            'ip': '127.0.0.1',
            'zone': domain,
            'region': 'r',
            'listen': {
                'front': f'127.0.0.1:{ports[0]}',
                'ready': f'127.0.0.1:{ports[1]}',
                'directory': f'127.0.0.1:{ports[2]}',
            },
            'port_range': [ports[3], ports[4]],
            'platform': {'address': store_address or self.store_address},
            'bounds': {'grace_s': 8, 'budget_slack': retry_slack},
            'limits': limits or {},
        }
        path = self._running.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        log = self._running.folder / f'{name}.out'
        entry = Entry(self._launch(name, path, log), log, ports, path)
        self.entries.append(entry)
        return entry

    def restart(self, entry: Entry) -> None:
        """Restart an entry that has exited, with the same addresses."""
        entry.launches += 1
        entry.popen = self._launch('restarted', entry.settings, entry.log)

    def _launch(
        self, name: str, settings: pathlib.Path, log: pathlib.Path
    ) -> subprocess.Popen[bytes]:
        with log.open('ab') as output:
            popen = subprocess.Popen(
                [
                    sys.executable,
                    str(ROOT / 'deploy' / 'thornspoold.py'),
                    *self.options,
                ],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, 'THORNSPOOL_NODE_FILE': str(settings)},
            )
        self._running.running.append(processes.Process(name, popen, {}, log))
        return popen

    def control(self, **orders: object) -> typing.Any:
        """Send a command to the simulated fleet."""
        return _post(f'{self.fleet.ready["url"]}/control', orders)

    def control_store(self, **orders: object) -> typing.Any:
        """Send a command to the simulated store."""
        return _post(f'{self.store_url}/control', orders)

    def read_fleet(self, log: bool = False) -> dict[str, typing.Any]:
        """Return the executed runs and the layers of the fleet.

        Parameters
        ----------
        log : bool, optional
            Whether to return what servers got and answered as well.
        """
        url = f'{self.fleet.ready["url"]}/control{"?log=1" if log else ""}'
        with urllib.request.urlopen(url, timeout=5) as response:
            read: dict[str, typing.Any] = json.load(response)
        return read


def _post(url: str, document: object) -> typing.Any:
    request = urllib.request.Request(url, json.dumps(document).encode())
    with urllib.request.urlopen(request, timeout=5) as response:
        return json.load(response)


def wait_until(
    check: typing.Callable[[], typing.Any], timeout_s: float = START_TIMEOUT_S
) -> typing.Any:
    """Wait until a check returns a true value; returns that value."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        result = check()
        if result:
            return result
        time.sleep(0.05)
    raise AssertionError(f'{check} did not hold within {timeout_s} s')
