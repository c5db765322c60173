"""HTTP errors as problem details (RFC 9457)."""

from __future__ import annotations

import enum
import http.client
import math
import typing

import attrs
import msgspec
import structlog
from tornado import web

CONTENT_TYPE = 'application/problem+json'

logger = structlog.get_logger()


class Outcome(enum.Enum):
    """Outcome of a request that a caller may rely on."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    DONE = 'done'


@attrs.frozen
class Problem:
    """Problem details of one response.

    Attributes
    ----------
    status : int
        HTTP status code.
    detail : str
        Description of the error and of the next step for the caller.
    outcome : Outcome
        Whether the request was executed.
    retry_after_ms : int or None
        Delay before a retry in milliseconds; None when a retry does not
        help.
    instead : tuple of str
        URLs of entries to use instead of this one.
    key_checked : bool or None
        Whether the outcome also applies to the idempotency key; None when
        the request has no key.
    """

    status: int
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: int | None = None
    instead: tuple[str, ...] = ()
    key_checked: bool | None = None


class ProblemError(Exception):
    """Raised by a handler to respond with a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def describe_problem(problem: Problem) -> dict[str, typing.Any]:
    """Build the JSON object of a problem."""
    members: dict[str, typing.Any] = {
        'type': 'about:blank',
        'title': http.client.responses.get(problem.status, 'Unknown'),
        'status': problem.status,
        'detail': problem.detail,
        'outcome': problem.outcome.value,
    }
    if problem.retry_after_ms is not None:
        members['retry_after_ms'] = problem.retry_after_ms
    if problem.instead:
        members['instead'] = problem.instead
    if problem.key_checked is not None:
        members['key_checked'] = problem.key_checked
    return members


def write_problem(handler: web.RequestHandler, problem: Problem) -> None:
    """Send a problem as the response of a request.

    ``Retry-After`` is rounded up to whole seconds (RFC 9110);
    ``retry_after_ms`` in the body is exact.
    """
    handler.set_status(problem.status)
    handler.set_header('Content-Type', CONTENT_TYPE)
    if problem.retry_after_ms is not None:
        seconds = math.ceil(problem.retry_after_ms / 1000)
        handler.set_header('Retry-After', str(seconds))
    handler.finish(msgspec.json.encode(describe_problem(problem)))


def format_refusal(
    status: int, reason: str, retry_after_ms: int | None
) -> tuple[tuple[tuple[str, str], ...], bytes]:
    """Format the refusal of a request whose connection exceeds a limit.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Short name of the reason.
    retry_after_ms : int or None
        Time after which a retry may succeed, in milliseconds; None if it
        would not.

    Returns
    -------
    tuple of headers and bytes
        Headers without those on the connection, and the body.
    """
    problem = Problem(
        status,
        f'The request was refused before it was read ({reason}); see'
        ' docs/settings.md for the limits.',
        retry_after_ms=retry_after_ms,
    )
    headers = [('Content-Type', CONTENT_TYPE)]
    if retry_after_ms is not None:
        seconds = math.ceil(retry_after_ms / 1000)
        headers.append(('Retry-After', str(seconds)))
    return tuple(headers), msgspec.json.encode(describe_problem(problem))


class ProblemHandler(web.RequestHandler):
    """Base class for handlers that report errors as problem details."""

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Respond to an unhandled error with a problem.

        Parameters
        ----------
        status_code : int
            Status code that tornado selected.
        **kwargs : object
            ``exc_info`` of the error, if any.
        """
        error = kwargs.get('exc_info', (None, None, None))[1]
        if isinstance(error, ProblemError):
            write_problem(self, error.problem)
            return
        if status_code >= 500:
            detail = (
                'Internal error of the entry; retry through another entry.'
            )
            problem = Problem(status_code, detail, Outcome.UNKNOWN)
        else:
            detail = getattr(error, 'log_message', None) or self._reason
            problem = Problem(status_code, detail)
        write_problem(self, problem)

    def log_exception(
        self, typ: typing.Any, value: typing.Any, tb: typing.Any
    ) -> None:
        """Log unexpected errors only."""
        if isinstance(value, (ProblemError, web.HTTPError)):
            return
        logger.error(
            'handler_failed', path=self.request.path, exc_info=(typ, value, tb)
        )


class NotFoundHandler(ProblemHandler):
    """Responds to paths that have no route."""

    def prepare(self) -> None:
        """Respond with a 404 problem."""
        detail = f'No route for {self.request.path}; see docs/api.md.'
        raise ProblemError(Problem(404, detail))
