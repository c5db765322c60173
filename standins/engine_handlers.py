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
    """Base class of the handlers with JSON responses."""

    def initialize(self, engine: engine_stage.Engine) -> None:
        self.engine = engine

    def respond(self, body: typing.Any, status: int = 200) -> None:
        """Send a message as a JSON response."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(body))

    def send_refusal(self, error: engine_batch.RefusedError) -> None:
        """Send status 409 for work that was refused."""
        body = engine_messages.Refusal(error.state, error.target)
        self.respond(body, engine_stage.CONFLICT)


class GenerateHandler(_Handler):
    """``POST /v1/generate``: run an attempt and stream its tokens."""

    generate_request: engine_messages.Generate | None = None
    is_complete = False

    async def post(self) -> None:
        """Run an attempt."""
        generate_request = msgspec.json.decode(
            self.request.body, type=engine_messages.Generate
        )
        try:
            self.engine.batch.admit(
                generate_request.request, generate_request.attempt, False
            )
        except engine_batch.RefusedError as error:
            self.send_refusal(error)
            return
        self.generate_request = generate_request
        self.set_header('Content-Type', 'application/x-ndjson')
        await self.flush()
        try:
            await self._stream(generate_request)
        except engine_batch.RefusedError as error:
            await self._fail(generate_request, error)
        except iostream.StreamClosedError:
            pass
        self.is_complete = True

    def on_connection_close(self) -> None:
        """Cancel the attempt when the client disconnects."""
        if self.generate_request is None or self.is_complete:
            return
        self.is_complete = True
        task = asyncio.ensure_future(
            self.engine.cancel_route(self.generate_request)
        )
        self.cancellation = task

    async def _stream(
        self, generate_request: engine_messages.Generate
    ) -> None:
        index = len(generate_request.resume)
        loads: list[engine_messages.Load] = []
        is_admitted = False
        # The first token is skipped: it may include the time to connect.
        hops_index = (
            index + 1
            if 'hops' in generate_request.tell
            else generate_request.max_tokens
        )
        while index < generate_request.max_tokens:
            count = min(
                self.engine.settings.burst, generate_request.max_tokens - index
            )
            work = engine_messages.Forward(
                generate_request.request,
                generate_request.attempt,
                index,
                count,
                is_admitted,
                generate_request.route,
                generate_request.prompt,
                generate_request.priority,
            )
            forwarded = await self.engine.forward(work)
            is_admitted, loads = True, forwarded.loads
            frames = [
                engine_messages.Frame(
                    generate_request.request,
                    generate_request.attempt,
                    position,
                    engine_stage.compute_token(
                        generate_request.prompt, position
                    ),
                    forwarded.receipts,
                )
                for position in range(index, index + count)
            ]
            if index >= hops_index:
                hops_index = generate_request.max_tokens
                hops = [round(hop, _HOPS_DIGITS) for hop in forwarded.hops]
                frames[-1] = attrs.evolve(frames[-1], hops=hops)
            await self._write(self.engine.faults.apply(frames))
            index += count
        end = engine_messages.End(
            generate_request.request,
            generate_request.attempt,
            index,
            loads if 'loads' in generate_request.tell else msgspec.UNSET,
        )
        await self._write([end])

    async def _fail(
        self,
        generate_request: engine_messages.Generate,
        error: engine_batch.RefusedError,
    ) -> None:
        failure = engine_messages.Failure(
            generate_request.request,
            generate_request.attempt,
            error.state,
            error.target,
            [self.engine.batch.read_load()],
        )
        if not self.is_complete:
            await self._write([failure])

    async def _write(self, frames: Sequence[typing.Any]) -> None:
        self.write(_ENCODER.encode_lines(frames))
        await self.flush()


class ForwardHandler(_Handler):
    """``POST /v1/forward``: work that the previous stage forwards."""

    async def post(self) -> None:
        """Run tokens through this stage and the stages after it."""
        work = msgspec.json.decode(
            self.request.body, type=engine_messages.Forward
        )
        try:
            self.respond(await self.engine.forward(work))
        except engine_batch.RefusedError as error:
            self.send_refusal(error)


class CancelHandler(_Handler):
    """``POST /v1/cancel``: cancel an attempt."""

    def post(self) -> None:
        """Cancel an attempt."""
        cancel = msgspec.json.decode(
            self.request.body, type=engine_messages.Cancel
        )
        self.engine.batch.cancel(cancel.request, cancel.attempt)
        self.respond(self.engine.published_load)


class LoadHandler(_Handler):
    """``GET /v1/load``: the last published load, which lags."""

    def get(self) -> None:
        """Return the load; status 409 while the engine is leaving."""
        if self.engine.batch.is_leaving:
            load = attrs.evolve(self.engine.published_load, state='leaving')
            self.respond(load, engine_stage.CONFLICT)
            return
        self.respond(self.engine.published_load)


class ControlHandler(_Handler):
    """``POST /control``: fault injection by tests."""

    def post(self) -> None:
        """Apply the requested faults."""
        self.engine.apply_control(
            msgspec.json.decode(
                self.request.body, type=engine_messages.Control
            )
        )
        self.respond(self.engine.batch.read_load())


class CountsHandler(_Handler):
    """``GET /control/counts``: computed tokens, for test oracles."""

    def get(self) -> None:
        """Return the counts."""
        self.respond(self.engine.batch.list_counts())


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
