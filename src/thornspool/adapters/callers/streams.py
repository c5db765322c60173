"""Handler of text generation: server-sent events or one JSON response."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import msgspec
import structlog
from tornado import iostream

from thornspool import decoding
from thornspool.adapters import problems
from thornspool.adapters.callers import generate_bodies
from thornspool.adapters.callers import handlers
from thornspool.application import requests
from thornspool.application.generation import messages as generation

EVENT_STREAM = 'text/event-stream'
READ_GRACE_MS = 5_000

logger = structlog.get_logger(__name__)


class GenerateHandler(handlers.CallerHandler):
    """``POST .../models/{model}/generate``."""

    _task: asyncio.Task[typing.Any] | None = None

    async def post(self, workspace: str, model: str) -> None:
        """Generate text and respond in the format that the caller accepts."""
        request = self._read_request(workspace, model)
        self._task = asyncio.current_task()
        accepted = self.request.headers.get('Accept', EVENT_STREAM)
        # The deadline of the request applies while waiting for tokens, not
        # while writing them. Without this limit, a caller that does not read
        # would hold its slot and engines forever, and a draining entry would
        # never exit.
        limit_s = (request.timeout_ms + READ_GRACE_MS) / 1000
        try:
            async with asyncio.timeout(limit_s):
                if handlers.JSON in accepted:
                    await self._send_json(request)
                else:
                    await self._send_events(request)
        except TimeoutError:
            logger.info('caller_does_not_read', request=request.request_id)
            connection: typing.Any = self.request.connection
            connection.close()
        except (iostream.StreamClosedError, asyncio.CancelledError):
            # The caller disconnected. Closing the iterator has cancelled
            # every stage, so that no accelerator continues the request.
            return

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        if self._task is not None:
            self._task.cancel()

    def _read_request(
        self, workspace: str, model: str
    ) -> requests.ModelRequest:
        """Decode and validate the request."""
        content = self.request.body
        try:
            body = generate_bodies.decode_body(content)
        except decoding.DecodeError as error:
            detail = f'The body is not a request for text: {error}.'
            raise problems.ProblemError(
                problems.Problem(400, detail)
            ) from error
        problem = generate_bodies.find_problem(content, body, workspace, model)
        if problem:
            raise problems.ProblemError(problems.Problem(400, problem))
        return requests.ModelRequest(
            request_id=self.context.make_request_id(),
            workspace=workspace,
            model=model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            priority=body.priority,
            timeout_ms=body.timeout_ms,
            attachments=body.attachments,
        )

    async def _send_events(self, request: requests.ModelRequest) -> None:
        """Send each chunk of tokens as a server-sent event."""
        self.set_header('X-Request-Id', request.request_id)
        events = self.context.requests.stream(request)
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            with handlers.translate_errors():
                async for event in events:
                    if not self._headers_written:
                        self._raise_failure(event)
                        self.set_header('Content-Type', EVENT_STREAM)
                        self.set_header('Cache-Control', 'no-store')
                    self.write(_format_event(event))
                    await self.flush()
        await self.finish()

    async def _send_json(self, request: requests.ModelRequest) -> None:
        """Collect the tokens and send them as one JSON object."""
        self.set_header('X-Request-Id', request.request_id)
        events = self.context.requests.stream(request)
        texts: list[str] = []
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            with handlers.translate_errors():
                async for event in events:
                    if isinstance(event, generation.Failed):
                        raise problems.ProblemError(_describe_failure(event))
                    if isinstance(event, generation.Tokens):
                        texts.extend(event.texts)
        self.write_json({'texts': texts, 'count': len(texts)})

    def _raise_failure(self, event: typing.Any) -> None:
        """Raise a problem for a failure before the status is sent."""
        if isinstance(event, generation.Failed):
            raise problems.ProblemError(_describe_failure(event))


def _describe_failure(event: generation.Failed) -> problems.Problem:
    """Return the problem for a failed generation."""
    return problems.Problem(
        503,
        event.reason.value,
        problems.Outcome(event.outcome.value),
        event.retry_after_ms,
    )


def _format_event(event: typing.Any) -> bytes:
    """Encode a generation event as a server-sent event."""
    if isinstance(event, generation.Tokens):
        data = {'first_index': event.first_index, 'texts': event.texts}
        return b'event: tokens\ndata: ' + _encode(data)
    if isinstance(event, generation.Finished):
        return b'event: end\ndata: ' + _encode({'count': event.count})
    problem = problems.describe_problem(_describe_failure(event))
    problem['delivered'] = event.delivered
    return b'event: error\ndata: ' + _encode(problem)


def _encode(value: typing.Any) -> bytes:
    """Encode a value as the data line of an event."""
    return msgspec.json.encode(value) + b'\n\n'
