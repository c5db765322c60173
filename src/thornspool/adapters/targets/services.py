"""HTTP client of plain services."""

from __future__ import annotations

import asyncio
import http
import urllib.parse

import attrs

from thornspool import decoding
from thornspool.adapters import exceptions as transfer_errors
from thornspool.adapters import transfers
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.targets import messages

DEFAULT_MAX_CALLS = 256
_MAX_RESPONSE_BYTES = 8_000_000
_MS_PER_S = 1000.0
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


@attrs.frozen
class _ConflictBody:
    """Body of a 409 response of a target that did not execute the call."""

    state: str


class HttpServices:
    """Client of plain services; create it inside a running event loop.

    Each call uses a new connection. libcurl resends calls on a reused one,
    and the end of a body is checked only where nothing may follow it.

    Parameters
    ----------
    max_calls : int, optional
        Maximum number of concurrent calls.
    """

    def __init__(self, max_calls: int = DEFAULT_MAX_CALLS) -> None:
        self._session = transfers.Session()
        self._free_slots = asyncio.Semaphore(max_calls)

    def close(self) -> None:
        """Close every connection."""
        self._session.close()

    async def call(self, call: ports.ServiceCall) -> ports.ServiceResponse:
        """Call an operation without retries.

        Raises
        ------
        TargetUnreachable
            If no byte of the request was written.
        TargetLeaving
            If the target rejected the call before executing it, because it
            is leaving.
        TargetResponseLost
            If a byte may have been written and no complete response arrived;
            ``TargetConnectionBroken`` if the connection closed.
        """
        try:
            response = await self._fetch(call)
        except transfer_errors.NotSent as error:
            raise exceptions.TargetUnreachable(
                f'The target at {call.url} could not be reached: {error}.',
                'Nothing was executed; retry the request.',
            ) from error
        except transfer_errors.ResponseLost as error:
            error_type = exceptions.TargetResponseLost
            if isinstance(error, transfer_errors.ConnectionBroken):
                error_type = exceptions.TargetConnectionBroken
            raise error_type(
                f'No complete response from {call.url}: {error}.',
                'It may have been executed; query the outcome of its key.',
            ) from error
        if not _is_complete(response):
            raise exceptions.TargetResponseLost(
                f'The response of {call.url} has no length.',
                'It may have been executed; query the outcome of its key.',
            )
        if _is_leaving(response):
            raise exceptions.TargetLeaving(
                f'The target at {call.url} is leaving.',
                'Nothing was executed; retry the request.',
            )
        return ports.ServiceResponse(
            response.status,
            _find_header(response, 'Content-Type'),
            response.body,
        )

    async def _fetch(self, call: ports.ServiceCall) -> transfers.Response:
        """Send a call when the number of concurrent calls permits it."""
        try:
            async with asyncio.timeout(call.timeout_ms / _MS_PER_S):
                await self._free_slots.acquire()
        except TimeoutError as error:
            raise transfer_errors.NotSent(
                'Every connection is in use.'
            ) from error
        try:
            return await self._session.fetch(
                transfers.Request(
                    _build_url(call),
                    'POST',
                    _build_headers(call),
                    call.body,
                    connect_timeout_ms=call.timeout_ms,
                    timeout_ms=call.timeout_ms,
                    max_body_bytes=_MAX_RESPONSE_BYTES,
                    is_forwarded=True,
                )
            )
        finally:
            self._free_slots.release()


def _build_url(call: ports.ServiceCall) -> str:
    operation = urllib.parse.quote(call.operation, safe='')
    return f'{call.url}/v1/operations/{operation}'


def _build_headers(call: ports.ServiceCall) -> transfers.Headers:
    headers = [
        ('Content-Type', 'application/json'),
        ('Workspace', call.workspace),
    ]
    if call.key:
        headers.append(('Idempotency-Key', call.key))
    if call.fencing_token:
        headers.append(('Fencing-Token', str(call.fencing_token)))
    return tuple(headers)


def _find_header(response: transfers.Response, name: str) -> str:
    """Return the value of a header; empty if it is missing."""
    return next(
        (
            value
            for header, value in response.headers
            if header.lower() == name.lower()
        ),
        '',
    )


def _is_leaving(response: transfers.Response) -> bool:
    """Return whether a leaving target rejected a call before executing it."""
    if response.status != http.HTTPStatus.CONFLICT:
        return False
    try:
        conflict = decoding.decode_json(response.body, _ConflictBody)
    except decoding.DecodeError:
        return False
    return conflict.state == messages.Readiness.LEAVING.value


def _is_complete(response: transfers.Response) -> bool:
    """Return whether a response is known to be complete.

    A transfer fails if a body differs from its Content-Length or a chunked
    body has no last chunk. A body that is delimited by the end of
    the connection appears complete even if the connection broke, so it is
    not accepted.
    """
    if response.status in _STATUSES_WITHOUT_BODY:
        return True
    if 'chunked' in _find_header(response, 'Transfer-Encoding').lower():
        return True
    length = _find_header(response, 'Content-Length')
    return length.isdecimal() and int(length) == len(response.body)
