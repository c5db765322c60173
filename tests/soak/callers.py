"""Callers of the soak: they ask, keep connections, and note what they got."""

from __future__ import annotations

import asyncio
import time
import typing

import attrs

from standins import kv_fleet
from thornspool.adapters import transfers

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

SOUTH_KEY = 'key-south'
PATIENCE_MS = 6_000
KINDS = ('brief', 'brief', 'hold', 'read')


@attrs.define
class Sending:
    """One request as its caller saw it.

    Attributes
    ----------
    id, kind, key, entry : str
        What was asked, and of whom.
    sent_at : float
        Seconds of the steady clock.
    status : int
        0 when no head came.
    """

    id: str
    kind: str
    key: str
    entry: str
    sent_at: float
    status: int = 0
    body: bytes = b''
    whole: bool = False
    signed: bool = False
    retry_after: str = ''


class Callers:
    """All callers of a run.

    Parameters
    ----------
    name : str
        Begins the ids of their requests.
    source : random.Random
        Source of every random choice.
    list_entries : callable
        Lists the entries' addresses for callers, by name.
    """

    def __init__(
        self,
        name: str,
        source: random.Random,
        list_entries: Callable[[], dict[str, str]],
    ) -> None:
        self._name = name
        self._random = source
        self._list_entries = list_entries
        self._session = transfers.Session()
        self._tasks: set[asyncio.Task[None]] = set()
        self.sendings: list[Sending] = []

    async def ask_forever(self, mean_s: float) -> None:
        """Ask at random times until cancelled."""
        while True:
            await asyncio.sleep(self._random.expovariate(1.0 / mean_s))
            kind = self._random.choice(KINDS)
            key = self._random.choice((kv_fleet.KEY, SOUTH_KEY))
            entry = self._random.choice(sorted(self._list_entries()))
            task = asyncio.create_task(self._ask(kind, key, entry))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def ask(self, kind: str, entry: str) -> Sending:
        """Ask one entry and wait for the end."""
        return await self._send(kind, kv_fleet.KEY, entry)

    async def finish(self) -> None:
        """Wait for what is still under way."""
        await asyncio.gather(*self._tasks)

    def close(self) -> None:
        """Close all connections."""
        self._session.close()

    async def _ask(self, kind: str, key: str, entry: str) -> None:
        await self._send(kind, key, entry)

    async def _send(self, kind: str, key: str, entry: str) -> Sending:
        number = len(self.sendings)
        sending = Sending(
            f'{self._name}-{number}', kind, key, entry, time.monotonic()
        )
        self.sendings.append(sending)
        done = asyncio.Event()

        def take_head(status: int, headers: transfers.Headers) -> None:
            sending.status = status
            fields = {name.lower(): value for name, value in headers}
            sending.signed = 'response-seal' in fields
            sending.retry_after = fields.get('retry-after', '')

        def take_body(chunk: bytes) -> None:
            sending.body += chunk

        def take_end(ending: transfers.TransferResult) -> None:
            sending.whole = ending is transfers.TransferResult.COMPLETE
            done.set()

        transfer = self._session.start(
            self._build(sending), take_head, take_body, take_end
        )
        leaves = self._random.random() < 0.05
        try:
            patience = 0.2 if leaves else PATIENCE_MS / 1000 + 2
            await asyncio.wait_for(done.wait(), patience)
        except TimeoutError:
            transfer.cancel()
        return sending

    def _build(self, sending: Sending) -> transfers.Request:
        address = self._list_entries().get(sending.entry, '127.0.0.1:9')
        return transfers.Request(
            f'http://{address}/{sending.kind}/{sending.id}',
            'GET' if sending.kind == 'read' else 'POST',
            (
                ('Host', kv_fleet.HOST),
                ('Attempt-Id', sending.id),
                ('Deadline-Ms', str(PATIENCE_MS)),
                ('Token-Usage', '500,200'),
                ('Authorization', f'Bearer {sending.key}'),
            ),
            None if sending.kind == 'read' else b'{}',
            connect_timeout_ms=1_000,
            # libcurl sends a request again on a kept connection that broke,
            # which would count as a second run of one action.
            dedicated_connection=sending.kind == 'hold',
        )
