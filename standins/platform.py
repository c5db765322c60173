"""Stand-in of the platform: key-value service, leases, watches, hosts.

``python -m standins.platform --port 0`` prints its address as one line of
JSON when it listens.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import typing

import attrs
import msgspec
from tornado import web

from standins import common
from thornspool import clock as clock_module
from thornspool.adapters.platform import memory
from thornspool.application import exceptions
from thornspool.application import ports

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable

_NO_TIMEOUT_MS = 3_600_000
_MS_PER_S = 1000


@attrs.frozen
class Lease:
    """A lease as its holder sees it.

    Attributes
    ----------
    holder : str
        Who holds it.
    fencing_token : int
        Grows with each change of holder.
    expires_at : int
        Monotonic milliseconds of the stand-in.
    """

    holder: str
    fencing_token: int
    expires_at: int


class State:
    """What the handlers share.

    Parameters
    ----------
    lag_s : float
        Seconds by which the list of hosts lags.
    clock : thornspool.clock.Clock, optional
        Time of leases and of the lag.
    """

    def __init__(
        self, lag_s: float = 0.0, clock: clock_module.Clock | None = None
    ) -> None:
        self.clock = clock or clock_module.Clock()
        self.store = memory.MemoryPlatform(
            self.clock,
            host_lag_ms=int(lag_s * _MS_PER_S),
            timeout_ms=_NO_TIMEOUT_MS,
        )
        self.counts: collections.Counter[str] = collections.Counter()
        self.leases: dict[str, Lease] = {}

    def take_lease(self, name: str, holder: str, ttl_ms: int) -> Lease | None:
        """Take or extend a lease; None when another holds it."""
        now = self.clock.now()
        lease = self.leases.get(name)
        if lease and lease.holder != holder and lease.expires_at > now:
            return None
        token = lease.fencing_token if lease else 0
        if lease is None or lease.holder != holder or lease.expires_at <= now:
            token += 1
        self.leases[name] = Lease(holder, token, now + ttl_ms)
        return self.leases[name]


class _Handler(web.RequestHandler):
    def initialize(self, state: State) -> None:
        self.state = state

    async def attempt(
        self, kind: str, call: Awaitable[typing.Any]
    ) -> typing.Any:
        """Count a call and carry it out; drop the connection if it fails."""
        self.state.counts[kind] += 1
        try:
            result = await call
        except exceptions.PlatformError:
            result = ports.WriteUnknown()
        if isinstance(result, ports.WriteUnknown):
            common.drop_connection(self)
            raise web.Finish
        return result


class _KeyHandler(_Handler):
    async def get(self, key: str) -> None:
        after = self.get_query_argument('after', None)
        if after is None:
            found = await self.attempt('get', self.state.store.get(key))
        else:
            wait_ms = int(self.get_query_argument('wait_ms', '0'))
            found = await self.attempt(
                'watch', self.state.store.watch(key, int(after), wait_ms)
            )
        if found is None:
            self.set_status(304)
            return
        if found.version == 0:
            self.set_status(404)
            return
        self.set_header('ETag', f'"{found.version}"')
        self.set_header('Content-Type', 'application/octet-stream')
        self.write(found.value)

    async def put(self, key: str) -> None:
        value = self.request.body
        if len(value) > memory.LARGEST_VALUE:
            self.set_status(413)
            return
        expected = self._read_expected()
        if expected is None:
            self.set_status(428)
            return
        result = await self.attempt(
            'put', self.state.store.put(key, value, expected)
        )
        if isinstance(result, ports.WriteConflict):
            self.set_status(412)
            return
        self.set_status(204)
        self.set_header('ETag', f'"{result.version}"')

    def _read_expected(self) -> int | None:
        if self.request.headers.get('If-None-Match') == '*':
            return 0
        tag = self.request.headers.get('If-Match', '').strip('"')
        return int(tag) if tag.isdecimal() else None

    def check_etag_header(self) -> bool:
        """Leave entity tags alone: they carry versions here."""
        return False


class _LeaseHandler(_Handler):
    async def put(self, name: str) -> None:
        self.state.counts['lease'] += 1
        if self.state.store.faults.down:
            common.drop_connection(self)
            return
        holder = self.get_query_argument('holder')
        ttl_ms = int(self.get_query_argument('ttl_ms'))
        lease = self.state.take_lease(name, holder, ttl_ms)
        if lease is None:
            self.set_status(409)
            return
        self.write(msgspec.json.encode(lease))


class _HostsHandler(_Handler):
    async def get(self) -> None:
        hosts = await self.attempt('hosts', self.state.store.list_hosts())
        self.write(msgspec.json.encode(hosts))


class _FaultsHandler(_Handler):
    def get(self) -> None:
        self.write(msgspec.json.encode(self.state.store.faults))

    def post(self) -> None:
        faults = msgspec.json.decode(self.request.body, type=memory.Faults)
        self.state.store.set_faults(faults)


class _HostsControlHandler(_Handler):
    def post(self) -> None:
        lag_s = self.get_query_argument('lag_s', None)
        if lag_s is not None:
            self.state.store.host_lag_ms = int(float(lag_s) * _MS_PER_S)
        hosts = msgspec.json.decode(
            self.request.body, type=tuple[ports.Host, ...]
        )
        self.state.store.set_hosts(hosts)


class _CountsHandler(_Handler):
    def get(self) -> None:
        self.write(dict(self.state.counts))


def make_application(state: State) -> web.Application:
    """Make the web application of a platform."""
    shared = {'state': state}
    return web.Application(
        [
            (r'/v1/kv/(.+)', _KeyHandler, shared),
            (r'/v1/leases/(.+)', _LeaseHandler, shared),
            (r'/v1/hosts', _HostsHandler, shared),
            (r'/control/faults', _FaultsHandler, shared),
            (r'/control/hosts', _HostsControlHandler, shared),
            (r'/control/counts', _CountsHandler, shared),
        ],
        log_function=lambda _: None,
    )


def main() -> None:
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description='Stand-in of the platform.')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--host-lag', type=float, default=0.0, metavar='S')
    options = parser.parse_args()
    state = State(options.host_lag)
    asyncio.run(common.run(make_application(state), options.port))


if __name__ == '__main__':
    main()
