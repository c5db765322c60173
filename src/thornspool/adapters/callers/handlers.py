"""Handlers of the caller API: entries, operations, actions and health."""

from __future__ import annotations

import contextlib
import http
import typing

import attrs
import msgspec

from thornspool import decoding
from thornspool.adapters import problems
from thornspool.application import exceptions
from thornspool.application import requests
from thornspool.domain.actions import results as actions

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from tornado import web

    from thornspool.adapters.callers import context

JSON = 'application/json'
RESENT_HEADER = 'Idempotency-Resent'
REPLAYED_HEADER = 'Idempotency-Replayed'
BODY_KEPT_HEADER = 'Idempotency-Body-Kept'
_BODY_NOT_KEPT = (
    'The action was executed once and the service returned status {status}; '
    'its body was too large to be stored. Request it from the service.'
)


@attrs.frozen
class MintedKey:
    """An idempotency key that only this process may run."""

    key: str


class CallerHandler(problems.ProblemHandler):
    """Base class for handlers of the caller API.

    Parameters
    ----------
    context : context.CallerContext
        Dependencies of the handlers.
    """

    def initialize(self, context: context.CallerContext) -> None:
        """Set the dependencies."""
        self.context = context

    def write_json(self, value: typing.Any, status: int = 200) -> None:
        """Respond with a JSON value."""
        self.set_status(status)
        self.set_header('Content-Type', JSON)
        self.finish(msgspec.json.encode(value))

    def read_body(self) -> bytes:
        """Return the request body.

        Raises
        ------
        problems.ProblemError
            If it is not JSON.
        """
        try:
            decoding.decode_json(self.request.body, msgspec.Raw)
            decoding.decode_json(self.request.body, object)
        except decoding.DecodeError as error:
            detail = f'The body is not JSON: {error}. Send one JSON value.'
            raise problems.ProblemError(
                problems.Problem(400, detail)
            ) from error
        return self.request.body


class EntriesHandler(CallerHandler):
    """``GET /v1/entries``: the entries and how long to cache them."""

    def get(self) -> None:
        """Respond with the list of entries."""
        entries = self.context.list_entries()
        seconds = entries.keep_ms // 1000
        self.set_header('Cache-Control', f'max-age={seconds}')
        self.write_json(entries)


class HealthHandler(CallerHandler):
    """``GET /v1/health`` and ``/v1/ready``."""

    def get(self, probe: str) -> None:
        """Respond with 200, or with 503 if the entry is not ready."""
        if probe == 'health' or self.context.is_ready():
            self.write_json({'status': 'ok'})
            return
        self.write_json({'status': 'not ready'}, 503)


class OperationHandler(CallerHandler):
    """``POST .../services/{service}/{operation}``."""

    async def post(self, workspace: str, service: str, operation: str) -> None:
        """Run an operation and respond with its result."""
        request = requests.OperationRequest(
            workspace=workspace,
            service=service,
            operation=operation,
            key=self.request.headers.get('Idempotency-Key', ''),
            body=self.read_body(),
            is_resent=self.request.headers.get(RESENT_HEADER) == 'true',
        )
        # A refusal at this point does not consult the ledger, so an earlier
        # request with the same key may have been executed.
        key_checked = False if request.key else None
        with translate_errors(key_checked):
            result = await self.context.requests.run_operation(request)
        write_result(self, result)


class KeysHandler(CallerHandler):
    """``POST .../keys``: a key bound to this entry, for outages."""

    def post(self, workspace: str) -> None:
        """Respond with a new key."""
        with translate_errors():
            key = self.context.requests.mint_key(workspace)
        self.write_json(MintedKey(key), http.HTTPStatus.CREATED)


class ActionHandler(CallerHandler):
    """``GET .../actions/{key}``: the outcome of an action."""

    async def get(self, workspace: str, key: str) -> None:
        """Respond with the recorded result."""
        with translate_errors():
            result = await self.context.requests.look_up(workspace, key)
        write_result(self, result)


@contextlib.contextmanager
def translate_errors(key_checked: bool | None = None) -> Iterator[None]:
    """Convert errors of use cases to problems.

    Parameters
    ----------
    key_checked : bool, optional
        Value of ``key_checked`` in the problem of a refusal.

    Raises
    ------
    problems.ProblemError
        For each error that a caller can handle.
    """
    try:
        yield
    except exceptions.ApplicationError as error:
        problem = find_problem(error)
        if problem is None:
            raise
        if isinstance(error, requests.RequestRefused):
            problem = attrs.evolve(problem, key_checked=key_checked)
        raise problems.ProblemError(problem) from error


def find_problem(
    error: exceptions.ApplicationError,
) -> problems.Problem | None:
    """Return the problem that describes an error to a caller.

    Parameters
    ----------
    error : exceptions.ApplicationError
        An error of the application layer.

    Returns
    -------
    problems.Problem or None
        None for unexpected errors.
    """
    if isinstance(error, requests.RequestRefused):
        return problems.Problem(
            503,
            str(error),
            retry_after_ms=error.retry_after_ms,
            instead=error.alternatives,
        )
    if isinstance(error, exceptions.UnknownName):
        return problems.Problem(404, str(error))
    if isinstance(error, exceptions.MalformedRequest):
        return problems.Problem(400, str(error))
    return None


def write_result(handler: web.RequestHandler, result: typing.Any) -> None:
    """Respond with the result of an action or a call.

    Parameters
    ----------
    handler : tornado.web.RequestHandler
        Handler of the request.
    result : actions.ActionResult
        The result.
    """
    if isinstance(result, actions.ActionDone):
        handler.set_status(result.status)
        handler.set_header('Content-Type', result.content_type)
        handler.set_header(REPLAYED_HEADER, str(result.replayed).lower())
        if result.whole:
            handler.finish(result.body)
        else:
            _write_without_body(handler, result.status)
        return
    problems.write_problem(handler, _describe_result(result))


def _write_without_body(handler: web.RequestHandler, status: int) -> None:
    """Respond to a replay whose body was not stored.

    An empty body with the media type of the service could be mistaken for
    the complete response, so a problem with outcome "done" is sent instead.
    """
    handler.set_header(BODY_KEPT_HEADER, 'false')
    detail = _BODY_NOT_KEPT.format(status=status)
    problems.write_problem(
        handler, problems.Problem(status, detail, problems.Outcome.DONE)
    )


def _describe_result(result: typing.Any) -> problems.Problem:
    """Return the problem for a result without a response."""
    match result:
        case actions.ActionNotRun():
            return problems.Problem(
                503,
                result.reason,
                retry_after_ms=result.retry_after_ms,
                key_checked=result.key_checked,
            )
        case actions.ActionUnknown():
            return problems.Problem(
                504,
                result.reason,
                problems.Outcome.UNKNOWN,
                result.retry_after_ms,
                key_checked=False,
            )
        case _:
            return problems.Problem(422, result.reason, key_checked=False)
