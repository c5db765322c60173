"""Stand-in of a model engine that holds a range of layers.

It takes the place of a real engine in tests and measurements: it batches
continuously, passes work along the route, streams numbered tokens that a
test can foretell, and fails in the ways that it is told to.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import os
import sys
import time
import typing

import attrs
import msgspec
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from standins import engine_batch
from standins import engine_faults
from standins import engine_messages

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

_CONFLICT = 409
_FORWARD_TIMEOUT_S = 30.0
_FAST_BURST = 64
_PEERS = 64
_HOPS_EVERY = 16
_ENCODER = msgspec.json.Encoder()


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
            raise engine_batch.Refused('lost', stage.target) from error
        if response.code == _CONFLICT:
            refusal = msgspec.json.decode(
                response.body, type=engine_messages.Refusal
            )
            raise engine_batch.Refused(refusal.state, refusal.target)
        if response.code != 200:
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


class _Handler(web.RequestHandler):
    """Base of the handlers: typed bodies and answers."""

    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    def answer(self, message: typing.Any, status: int = 200) -> None:
        """Answer with a message."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def refuse(self, refused: engine_batch.Refused) -> None:
        """Answer that the work is not done."""
        message = engine_messages.Refusal(refused.state, refused.target)
        self.answer(message, _CONFLICT)


class GenerateHandler(_Handler):
    """``POST /v1/generate``: run an attempt and stream its tokens."""

    order: engine_messages.Generate | None = None
    over = False

    async def post(self) -> None:
        """Run an attempt."""
        order = msgspec.json.decode(
            self.request.body, type=engine_messages.Generate
        )
        try:
            self.engine.batch.admit(order.request, order.attempt, False)
        except engine_batch.Refused as refused:
            self.refuse(refused)
            return
        self.order = order
        self.set_header('Content-Type', 'application/x-ndjson')
        await self.flush()
        try:
            await self._stream(order)
        except engine_batch.Refused as refused:
            await self._fail(order, refused)
        except iostream.StreamClosedError:
            pass
        self.over = True

    def on_connection_close(self) -> None:
        """Stop the attempt when whoever wanted it has gone."""
        if self.order is None or self.over:
            return
        self.over = True
        task = asyncio.ensure_future(self.engine.cancel_behind(self.order))
        self.cancelling = task

    async def _stream(self, order: engine_messages.Generate) -> None:
        index = len(order.resume)
        loads: list[engine_messages.Load] = []
        known = False
        while index < order.max_tokens:
            count = min(self.engine.settings.burst, order.max_tokens - index)
            work = engine_messages.Forward(
                order.request,
                order.attempt,
                index,
                count,
                known,
                order.route,
                order.prompt,
                order.priority,
            )
            passed = await self.engine.pass_on(work)
            known, loads = True, passed.loads
            frames = [
                engine_messages.Frame(
                    order.request,
                    order.attempt,
                    position,
                    compute_token(order.prompt, position),
                    passed.receipts,
                )
                for position in range(index, index + count)
            ]
            if index % _HOPS_EVERY == 0:
                frames[-1] = attrs.evolve(frames[-1], hops=passed.hops)
            await self._write(self.engine.faults.spoil(frames))
            index += count
        end = engine_messages.End(order.request, order.attempt, index, loads)
        await self._write([end])

    async def _fail(
        self,
        order: engine_messages.Generate,
        refused: engine_batch.Refused,
    ) -> None:
        failure = engine_messages.Failure(
            order.request,
            order.attempt,
            refused.state,
            refused.target,
            [self.engine.batch.read_load()],
        )
        if not self.over:
            await self._write([failure])

    async def _write(self, frames: Sequence[typing.Any]) -> None:
        self.write(_ENCODER.encode_lines(frames))
        await self.flush()


class ForwardHandler(_Handler):
    """``POST /v1/forward``: work that another stage passes on."""

    async def post(self) -> None:
        """Run tokens through this stage and those behind it."""
        work = msgspec.json.decode(
            self.request.body, type=engine_messages.Forward
        )
        try:
            self.answer(await self.engine.pass_on(work))
        except engine_batch.Refused as refused:
            self.refuse(refused)


class CancelHandler(_Handler):
    """``POST /v1/cancel``: stop an attempt."""

    def post(self) -> None:
        """Stop an attempt."""
        order = msgspec.json.decode(
            self.request.body, type=engine_messages.Cancel
        )
        self.engine.batch.cancel(order.request, order.attempt)
        self.answer(self.engine.load)


class LoadHandler(_Handler):
    """``GET /v1/load``: the load some time ago."""

    def get(self) -> None:
        """Return the load."""
        if self.engine.batch.leaving:
            load = attrs.evolve(self.engine.load, state='leaving')
            self.answer(load, _CONFLICT)
            return
        self.answer(self.engine.load)


class ControlHandler(_Handler):
    """``POST /control``: orders of a test."""

    def post(self) -> None:
        """Take an order."""
        self.engine.obey(
            msgspec.json.decode(
                self.request.body, type=engine_messages.Control
            )
        )
        self.answer(self.engine.batch.read_load())


class CountsHandler(_Handler):
    """``GET /control/counts``: what was computed, for oracles."""

    def get(self) -> None:
        """Return the counts."""
        self.answer(self.engine.batch.list_counts())


def build_application(engine: Engine) -> web.Application:
    """Build the HTTP application of an engine."""
    handlers = {
        '/v1/generate': GenerateHandler,
        '/v1/forward': ForwardHandler,
        '/v1/cancel': CancelHandler,
        '/v1/load': LoadHandler,
        '/control': ControlHandler,
        '/control/counts': CountsHandler,
    }
    return web.Application(
        [
            (path, handler, {'engine': engine})
            for path, handler in handlers.items()
        ],
        log_function=lambda _handler: None,
    )


def read_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog='engine', description=__doc__)
    parser.add_argument('--guarded', action='store_true')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default='engine-1')
    parser.add_argument('--kind', default='a')
    parser.add_argument('--first-layer', type=int, default=0)
    parser.add_argument('--end-layer', type=int, default=32)
    parser.add_argument('--step-ms', type=float, default=5.0)
    parser.add_argument('--max-batch', type=int, default=16)
    parser.add_argument('--burst', type=int, default=0)
    parser.add_argument('--load-lag-ms', type=int, default=200)
    parser.add_argument('--cache-size', type=int, default=64)
    return parser.parse_args(arguments)


def build_settings(options: argparse.Namespace) -> engine_batch.Settings:
    """Build settings; without a step time, steps make many tokens."""
    default = 1 if options.step_ms else _FAST_BURST
    return engine_batch.Settings(
        name=options.name,
        kind=options.kind,
        first_layer=options.first_layer,
        end_layer=options.end_layer,
        step_ms=options.step_ms,
        max_batch=options.max_batch,
        burst=options.burst or default,
        load_lag_ms=options.load_lag_ms,
        cache_size=options.cache_size,
    )


def _end_with_parent() -> None:
    """End when standard input closes, as it does when a test is killed."""

    def read() -> None:
        if not os.read(sys.stdin.fileno(), 1):
            os._exit(0)

    asyncio.get_running_loop().add_reader(sys.stdin.fileno(), read)


async def serve(options: argparse.Namespace) -> None:
    """Serve until the process is ended."""
    engine = Engine(build_settings(options))
    sockets = netutil.bind_sockets(options.port, '127.0.0.1')
    server = httpserver.HTTPServer(build_application(engine))
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    if options.guarded:
        _end_with_parent()
    print(json.dumps({'url': f'http://127.0.0.1:{port}'}), flush=True)
    await asyncio.gather(engine.batch.run(), engine.report())


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the stand-in."""
    asyncio.run(serve(read_arguments(arguments)))


if __name__ == '__main__':
    main()
