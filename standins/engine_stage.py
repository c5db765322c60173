"""One stage of the stand-in engine: its batch, neighbours and faults."""

from __future__ import annotations

import asyncio
import hashlib
import os
import time

import attrs
import msgspec
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from standins import engine_batch
from standins import engine_faults
from standins import engine_messages

CONFLICT = 409
CRASH_MARKER = '<crash>'
"""A prompt that holds it ends each engine that computes a token of it."""

_OK = 200
_FORWARD_TIMEOUT_S = 30.0
_PEERS = 64


def compute_token(prompt: str, index: int) -> str:
    """Return the token that any engine gives for a prompt and a position."""
    digest = hashlib.blake2s(f'{prompt}\0{index}'.encode(), digest_size=3)
    return f'{digest.hexdigest()} '


def _read_ms() -> float:
    return time.monotonic() * 1000


class Engine:
    """One engine: its batch, its neighbours, its faults."""

    def __init__(self, settings: engine_batch.Settings) -> None:
        self.settings = settings
        self.batch = engine_batch.Batch(settings)
        self.link_ms: dict[str, float] = {}
        self.faults = engine_faults.FrameFaults()
        self.load = self.batch.read_load()
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=_PEERS
        )

    async def report(self) -> None:
        """Renew the published load now and then, so that it lags."""
        while True:
            self.load = self.batch.read_load()
            await asyncio.sleep(self.settings.load_lag_ms / 1000)

    def obey(self, order: engine_messages.Control) -> None:
        """Take the orders of a test."""
        batch = self.batch
        if order.die_after is not None:
            batch.die_after, batch.die_when = order.die_after, order.die_when
        if order.leave is not None:
            batch.leaving = order.leave
        if order.fencing is not None:
            batch.honours = order.fencing == 'honour'
        if order.slow is not None:
            batch.slow = order.slow
        if order.link_ms is not None:
            self.link_ms = dict(order.link_ms)
        if order.corrupt is not None:
            self.faults.order(order.corrupt, order.corrupt_index)

    async def pass_on(
        self, work: engine_messages.Forward
    ) -> engine_messages.Forwarded:
        """Run tokens through this stage and those behind it."""
        begun = _read_ms()
        self.batch.admit(work.request, work.attempt, work.known)
        if not work.known:
            await self.batch.warm(work.prompt)
        await self.batch.compute(
            work.request, work.attempt, work.index, work.count, work.priority
        )
        if CRASH_MARKER in work.prompt:
            os._exit(1)
        own = (
            self.settings.first_layer,
            self.settings.end_layer,
            self.settings.name,
        )
        load = self.batch.read_load()
        if len(work.route) == 1:
            taken = _read_ms() - begun
            return engine_messages.Forwarded([own], [load], taken, [])
        sent = _read_ms()
        behind = await self._send(attrs.evolve(work, route=work.route[1:]))
        answered = _read_ms()
        hop = answered - sent - behind.taken_ms
        return engine_messages.Forwarded(
            [own, *behind.receipts],
            [load, *behind.loads],
            answered - begun,
            [hop, *behind.hops],
        )

    async def _send(
        self, work: engine_messages.Forward
    ) -> engine_messages.Forwarded:
        stage = work.route[0]
        await asyncio.sleep(self.link_ms.get(stage.target, 0.0) / 1000)
        try:
            response = await self._client.fetch(
                stage.url + '/v1/forward',
                method='POST',
                body=msgspec.json.encode(work),
                request_timeout=_FORWARD_TIMEOUT_S,
                raise_error=False,
            )
        except httpclient.HTTPError as error:
            state = _name_failure(work, error)
            raise engine_batch.Refused(state, stage.target) from error
        if response.code == CONFLICT:
            refusal = msgspec.json.decode(
                response.body, type=engine_messages.Refusal
            )
            raise engine_batch.Refused(refusal.state, refusal.target)
        if response.code != _OK:
            raise engine_batch.Refused('lost', stage.target)
        return msgspec.json.decode(
            response.body, type=engine_messages.Forwarded
        )

    async def cancel_behind(self, order: engine_messages.Generate) -> None:
        """Stop an attempt here and at every stage behind."""
        self.batch.cancel(order.request, order.attempt)
        body = msgspec.json.encode(
            engine_messages.Cancel(order.request, order.attempt)
        )
        for stage in order.route[1:]:
            await self._client.fetch(
                stage.url + '/v1/cancel',
                method='POST',
                body=body,
                raise_error=False,
            )


def _name_failure(
    work: engine_messages.Forward, error: httpclient.HTTPError
) -> str:
    """Tell a stage that was gone before the work from one that died of it.

    Were both told as a death, an innocent request sent to a stage that died
    earlier would be blamed for a death of its own.
    """
    errno = getattr(error, 'errno', None)
    if not work.known and errno == pycurl.E_COULDNT_CONNECT:
        return 'not reached'
    return 'lost'
