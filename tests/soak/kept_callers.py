"""Callers that keep their connections until the process has gone."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
import typing

from standins import kv_fleet
from tests.soak import callers as callers_module

if typing.TYPE_CHECKING:
    from tests.soak import world as world_module

KINDS = ('brief', 'read', 'hold')
REOPEN_S = 0.1
_ERRORS = (OSError, asyncio.IncompleteReadError, ValueError)


class KeptCallers:
    """One connection to each entry, with one request after the other.

    Parameters
    ----------
    name : str
        Prefix of the request ids.
    world : world_module.World
        Entries to send to.
    sent_requests : list of callers_module.SentRequest
        Extended by each request.
    """

    def __init__(
        self,
        name: str,
        world: world_module.World,
        sent_requests: list[callers_module.SentRequest],
    ) -> None:
        self._name = name
        self._world = world
        self._sent = sent_requests
        self._is_stopping = False

    async def run(self) -> None:
        """Send until told to stop."""
        await asyncio.gather(
            *(self._send_to(entry) for entry in self._world.entries)
        )

    def stop(self) -> None:
        """Stop after the requests in progress."""
        self._is_stopping = True

    async def _send_to(self, entry: str) -> None:
        numbers = itertools.count()
        while not self._is_stopping:
            address = self._world.entries[entry].callers
            try:
                reader, writer = await asyncio.open_connection(
                    *address.split(':')
                )
            except OSError:
                await asyncio.sleep(REOPEN_S)
                continue
            await self._use_connection(entry, numbers, reader, writer)
            writer.close()

    async def _use_connection(
        self,
        entry: str,
        numbers: typing.Iterator[int],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send requests until the connection is closed."""
        is_open = True
        for position in itertools.count():
            if self._is_stopping or not is_open:
                return
            number = next(numbers)
            request = callers_module.SentRequest(
                f'{entry}.{self._name}-kept-{number}',
                KINDS[number % len(KINDS)],
                kv_fleet.KEY,
                entry,
                time.monotonic(),
                is_on_kept_connection=position > 0,
            )
            self._sent.append(request)
            is_open = False
            with contextlib.suppress(*_ERRORS):
                writer.write(_encode(request))
                await writer.drain()
                is_open = await _read_response(reader, request)
                request.complete = True
            request.ended_at = time.monotonic()


def _encode(request: callers_module.SentRequest) -> bytes:
    is_read = request.kind == 'read'
    body = b'' if is_read else request.sent_body
    lines = [
        f'{"GET" if is_read else "POST"} /{request.kind}/kept HTTP/1.1',
        f'Host: {kv_fleet.HOST}',
        f'Attempt-Id: {request.id}',
        f'Deadline-Ms: {callers_module.DEADLINE_MS}',
        'Token-Usage: 500,200',
        f'Authorization: Bearer {request.key}',
        f'Content-Length: {len(body)}',
        '\r\n',
    ]
    return '\r\n'.join(lines).encode() + body


async def _read_response(
    reader: asyncio.StreamReader, request: callers_module.SentRequest
) -> bool:
    """Read a response; return whether the connection stays open."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    request.status = int(first.split()[1])
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines)
    }
    request.signed = 'response-seal' in headers
    if headers.get('transfer-encoding') == 'chunked':
        while size := int(await reader.readuntil(b'\r\n'), 16):
            request.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        length = int(headers.get('content-length', 0))
        request.body = await reader.readexactly(length)
    return headers.get('connection', '').lower() != 'close'
