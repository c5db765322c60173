"""Client of the platform's key-value service over HTTP (RFC 9110).

A key's version is its entity tag. A write names the version it expects in
``If-Match``, or ``If-None-Match: *`` for a key that does not exist, and 412
is a conflict. A watch is a read with ``after`` and ``wait_ms`` that is
answered when the version is past ``after``, or with 304 when time is up.
"""

from __future__ import annotations

import asyncio
import collections
import typing
import urllib.parse

import attrs
import msgspec

from thornspool.adapters.platform import exceptions as platform_exceptions
from thornspool.adapters.platform import gate
from thornspool.adapters.platform import transport
from thornspool.application import exceptions
from thornspool.application import ports

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from tornado import httpclient

    from thornspool import clock as clock_module

_LARGEST_ANSWER = 4_000_000
_WATCH_MARGIN_MS = 1000
_MS_PER_S = 1000.0
_PROBE_KEY = 'probe'
"""Does not exist, so that its answer is short."""
_TRY_LATER = 'Try again later; status shows the platform as down.'


@attrs.frozen
class PlatformSettings:
    """How the platform is called.

    Attributes
    ----------
    url : str
        ``http://ip:port`` of the service.
    timeout_ms : int
        Longest time for an answer, in milliseconds.
    max_calls : int
        Most calls at once.
    max_watches : int
        Most watches at once, on connections of their own.
    gate : GateSettings
        Budget and backoff.
    """

    url: str
    timeout_ms: int = 1000
    max_calls: int = 16
    max_watches: int = 8
    gate: gate.GateSettings = attrs.field(factory=gate.GateSettings)


class HttpPlatform:
    """The platform's port over HTTP; build it inside a running loop.

    A ``put`` that raises ``PlatformError`` was not sent or was refused, and
    will not take effect; every other doubt is ``WriteUnknown``.

    Parameters
    ----------
    settings : PlatformSettings
        Address and bounds.
    clock : thornspool.clock.Clock
        Time of the budget and the backoff.
    draw : callable
        Returns random numbers from 0 to 1, for jitter.

    Attributes
    ----------
    calls : collections.Counter of str
        Calls sent, by kind: get, put, watch, hosts.
    errors : collections.Counter of str
        Calls by kind that had no answer or were held back.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        clock: clock_module.Clock,
        draw: Callable[[], float],
    ) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.errors: collections.Counter[str] = collections.Counter()
        self._settings = settings
        self._clock = clock
        self._gate = gate.Gate(settings.gate, draw)
        self._count_entries: Callable[[], int] = lambda: 0
        self._note_failing: Callable[[], None] = lambda: None
        self._note_back: Callable[[], None] = lambda: None
        self._client = transport.Client(settings.max_calls, _LARGEST_ANSWER)
        self._watches = transport.Client(settings.max_watches, _LARGEST_ANSWER)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()
        self._watches.close()

    def follow_outages(
        self,
        count_entries: Callable[[], int],
        note_failing: Callable[[], None],
        note_back: Callable[[], None],
    ) -> None:
        """Name what counts the entries and what is told of an outage."""
        self._count_entries = count_entries
        self._note_failing = note_failing
        self._note_back = note_back

    def read_backoff(self) -> int | None:
        """Return the milliseconds until a call may leave, if any is held."""
        return self._gate.read_backoff(self._clock.now())

    def end_backoff(self) -> None:
        """Let the next call leave at once."""
        self._gate.end_backoff()

    async def probe(self) -> None:
        """Call the platform for its answer alone."""
        await self.get(_PROBE_KEY)

    async def get(self, key: str) -> ports.Versioned:
        """Read a key; version 0 and no bytes when it does not exist."""
        read = self._build_read(self._build_url(key))
        response = await self._read('get', read, self._client, (200, 404))
        return _read_versioned(response)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        """Write a key if its version still is the expected one."""
        call = transport.Call(
            self._build_url(key),
            'PUT',
            self._settings.timeout_ms,
            repeatable=False,
            headers=_build_precondition(expected_version),
            body=value,
        )
        try:
            response = await self._send('put', call, self._client)
        except platform_exceptions.NotSent as error:
            raise _build_error('put', str(error)) from error
        except platform_exceptions.AnswerLost:
            return ports.WriteUnknown()
        if response.code >= 500:
            return ports.WriteUnknown()
        if response.code == 412:
            return ports.WriteConflict()
        if response.code >= 300:
            raise _build_error('put', f'HTTP {response.code}')
        version = _read_version(response)
        if not version:
            # Done by its status, but at which version nobody said.
            return ports.WriteUnknown()
        return ports.WriteDone(version)

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> ports.Versioned | None:
        """Wait until a key is past a version; None when time is up."""
        # As a probe a watch would hold back every other call until it ends,
        # up to 20 s after the platform is back: actions would be refused
        # while it answers. Without a wait the probe tells at once.
        if self._gate.is_backing_off:
            timeout_ms = 0
        query = urllib.parse.urlencode(
            {'after': after_version, 'wait_ms': timeout_ms}
        )
        read = self._build_read(
            f'{self._build_url(key)}?{query}', timeout_ms + _WATCH_MARGIN_MS
        )
        response = await self._read('watch', read, self._watches, (200, 304))
        if response.code == 304:
            return None
        return _read_versioned(response)

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        """Read the list of live and leaving hosts."""
        read = self._build_read(f'{self._settings.url}/v1/hosts')
        response = await self._read('hosts', read, self._client, (200,))
        try:
            return msgspec.json.decode(
                response.body, type=tuple[ports.Host, ...]
            )
        except msgspec.DecodeError as error:
            raise exceptions.PlatformError(
                'The list of hosts cannot be read.', str(error)
            ) from error

    def _build_url(self, key: str) -> str:
        quoted = urllib.parse.quote(key, safe='')
        return f'{self._settings.url}/v1/kv/{quoted}'

    def _build_read(self, url: str, timeout_ms: int = 0) -> transport.Call:
        longest_ms = timeout_ms or self._settings.timeout_ms
        return transport.Call(url, 'GET', longest_ms, repeatable=True)

    async def _read(
        self,
        kind: str,
        call: transport.Call,
        client: transport.Client,
        expected: tuple[int, ...],
    ) -> httpclient.HTTPResponse:
        try:
            response = await self._send(kind, call, client)
        except platform_exceptions.TransportError as error:
            raise _build_error(kind, str(error)) from error
        if response.code not in expected:
            raise _build_error(kind, f'HTTP {response.code}')
        return response

    async def _send(
        self, kind: str, call: transport.Call, client: transport.Client
    ) -> httpclient.HTTPResponse:
        """Pass the gate, send, and tell the gate what came of it."""
        try:
            wait = self._gate.enter(self._clock.now())
        except exceptions.PlatformError:
            self.errors[kind] += 1
            raise
        try:
            if wait:
                await asyncio.sleep(wait / _MS_PER_S)
            self.calls[kind] += 1
            response = await client.fetch(call, self._settings.timeout_ms)
        except platform_exceptions.TransportError:
            self._record_failure(kind)
            raise
        except asyncio.CancelledError:
            self._gate.release()
            raise
        if response.code >= 500:
            self._record_failure(kind)
        else:
            self._record_success()
        return response

    def _record_success(self) -> None:
        was_backing_off = self._gate.is_backing_off
        self._gate.record_success(self._count_entries())
        if was_backing_off:
            self._note_back()

    def _record_failure(self, kind: str) -> None:
        self.errors[kind] += 1
        self._gate.record_failure(self._clock.now())
        if self._gate.is_backing_off:
            self._note_failing()


def _build_precondition(expected_version: int) -> dict[str, str]:
    if expected_version == 0:
        return {'If-None-Match': '*'}
    return {'If-Match': f'"{expected_version}"'}


def _read_version(response: httpclient.HTTPResponse) -> int:
    tag = response.headers.get('ETag', '').strip('"')
    return int(tag) if tag.isdecimal() else 0


def _read_versioned(response: httpclient.HTTPResponse) -> ports.Versioned:
    if response.code == 404:
        return ports.Versioned(b'', 0)
    version = _read_version(response)
    if not version:
        raise exceptions.PlatformError(
            'The platform sent a value without a version.',
            'Check that its address names the key-value service.',
        )
    return ports.Versioned(response.body, version)


def _build_error(kind: str, reason: str) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f'The platform did not answer a {kind}: {reason}.', _TRY_LATER
    )
