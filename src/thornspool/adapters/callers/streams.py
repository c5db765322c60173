"""Handler of generated text: server-sent events or one JSON answer."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import msgspec
import structlog
from tornado import iostream

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
        """Generate text and answer in the form that the caller accepts."""
        request = self._read_request(workspace, model)
        self._task = asyncio.current_task()
        accepted = self.request.headers.get('Accept', EVENT_STREAM)
        # The deadline counts while tokens are waited for, not while they are
        # written: a caller that hangs without reading would hold its place
        # and its engines for ever, and an entry that drains would never
        # exit.
        limit_s = (request.timeout_ms + READ_GRACE_MS) / 1000
        try:
            async with asyncio.timeout(limit_s):
                if handlers.JSON in accepted:
                    await self._answer_whole(request)
                else:
                    await self._answer_stream(request)
        except TimeoutError:
            logger.info('caller_does_not_read', request=request.request_id)
            connection: typing.Any = self.request.connection
            connection.close()
        except (iostream.StreamClosedError, asyncio.CancelledError):
            # The caller left; leaving the scope of the iterator has told
            # every stage to stop, so that no accelerator works for nobody.
            return

    def on_connection_close(self) -> None:
        """Stop the work of a caller that left."""
        if self._task is not None:
            self._task.cancel()

    def _read_request(
        self, workspace: str, model: str
    ) -> requests.ModelRequest:
        """Check the body."""
        content = self.request.body
        try:
            body = generate_bodies.decode_body(content)
        except msgspec.DecodeError as error:
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

    async def _answer_stream(self, request: requests.ModelRequest) -> None:
        """Send each chunk of tokens as one server-sent event."""
        self.set_header('X-Request-Id', request.request_id)
        events = self.context.requests.stream(request)
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            with handlers.translate_errors():
                async for event in events:
                    if not self._headers_written:
                        self._refuse_early(event)
                        self.set_header('Content-Type', EVENT_STREAM)
                        self.set_header('Cache-Control', 'no-store')
                    self.write(_format_event(event))
                    await self.flush()
        await self.finish()

    async def _answer_whole(self, request: requests.ModelRequest) -> None:
        """Collect the answer and send it as one JSON object."""
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

    def _refuse_early(self, event: typing.Any) -> None:
        """Answer with a status of its own while none has been sent."""
        if isinstance(event, generation.Failed):
            raise problems.ProblemError(_describe_failure(event))


def _describe_failure(event: generation.Failed) -> problems.Problem:
    """Return the problem that stands for a failed generation."""
    return problems.Problem(
        503,
        event.reason.value,
        problems.Outcome(event.outcome.value),
        event.retry_after_ms,
    )


def _format_event(event: typing.Any) -> bytes:
    """Return the server-sent event of a generation event."""
    if isinstance(event, generation.Tokens):
        data = {'first_index': event.first_index, 'texts': event.texts}
        return b'event: tokens\ndata: ' + _encode(data)
    if isinstance(event, generation.Finished):
        return b'event: end\ndata: ' + _encode({'count': event.count})
    problem = problems.describe_problem(_describe_failure(event))
    problem['delivered'] = event.delivered
    return b'event: error\ndata: ' + _encode(problem)


def _encode(value: typing.Any) -> bytes:
    """Return a value as the data line of an event."""
    return msgspec.json.encode(value) + b'\n\n'
