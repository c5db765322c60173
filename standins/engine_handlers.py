"""HTTP handlers of the stand-in engine."""

from __future__ import annotations

import asyncio
import typing

import attrs
import msgspec
from tornado import iostream
from tornado import web

from standins import engine_batch
from standins import engine_messages
from standins import engine_stage

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

_HOPS_DIGITS = 2
_ENCODER = msgspec.json.Encoder()


class _Handler(web.RequestHandler):
    """Base of the handlers: typed bodies and answers."""

    def initialize(self, engine: engine_stage.Engine) -> None:
        self.engine = engine

    def answer(self, message: typing.Any, status: int = 200) -> None:
        """Answer with a message."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def refuse(self, refused: engine_batch.Refused) -> None:
        """Answer that the work is not done."""
        message = engine_messages.Refusal(refused.state, refused.target)
        self.answer(message, engine_stage.CONFLICT)


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
        # The first token may wait for connections to be opened.
        hops_at = index + 1 if 'hops' in order.tell else order.max_tokens
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
                    engine_stage.compute_token(order.prompt, position),
                    passed.receipts,
                )
                for position in range(index, index + count)
            ]
            if index >= hops_at:
                hops_at = order.max_tokens
                hops = [round(hop, _HOPS_DIGITS) for hop in passed.hops]
                frames[-1] = attrs.evolve(frames[-1], hops=hops)
            await self._write(self.engine.faults.spoil(frames))
            index += count
        end = engine_messages.End(
            order.request,
            order.attempt,
            index,
            loads if 'loads' in order.tell else msgspec.UNSET,
        )
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
            self.answer(load, engine_stage.CONFLICT)
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


def build_application(engine: engine_stage.Engine) -> web.Application:
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
