"""Calls to plain services over HTTP."""

from __future__ import annotations

import asyncio
import http
import urllib.parse

import attrs
import msgspec

from thornspool.adapters import exceptions as transfer_errors
from thornspool.adapters import transfers
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.targets import messages

DEFAULT_MAX_CALLS = 256
_LARGEST_ANSWER = 8_000_000
_MS_PER_S = 1000.0
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


@attrs.frozen
class _Refusal:
    """Body of a 409 by which a target says that it ran nothing."""

    state: str


class HttpServices:
    """The port of plain services; build it inside a running loop.

    Parameters
    ----------
    max_calls : int, optional
        Most calls at once.
    """

    def __init__(self, max_calls: int = DEFAULT_MAX_CALLS) -> None:
        self._session = transfers.Session()
        self._free = asyncio.Semaphore(max_calls)

    def close(self) -> None:
        """Close every connection."""
        self._session.close()

    async def call(self, call: ports.ServiceCall) -> ports.ServiceAnswer:
        """Call an operation once; never repeats it.

        Raises
        ------
        TargetNotReached
            When not one byte was written.
        TargetLeaving
            When the target refused the call to leave, before running it.
        TargetAnswerLost
            When a byte may have been written and no whole answer came;
            ``TargetConnectionBroken`` when the connection ended under it.
        """
        try:
            answer = await self._fetch(call)
        except transfer_errors.NotSent as error:
            raise exceptions.TargetNotReached(
                f'The target at {call.url} was not reached: {error}.',
                'Nothing was run; send the request again.',
            ) from error
        except transfer_errors.AnswerLost as error:
            lost = exceptions.TargetAnswerLost
            if isinstance(error, transfer_errors.ConnectionBroken):
                lost = exceptions.TargetConnectionBroken
            raise lost(
                f'The target at {call.url} gave no whole answer: {error}.',
                'It may have run; ask for the outcome of its key.',
            ) from error
        if not _is_whole(answer):
            raise exceptions.TargetAnswerLost(
                f'The answer of {call.url} does not say where it ends.',
                'It may have run; ask for the outcome of its key.',
            )
        if _is_leaving(answer):
            raise exceptions.TargetLeaving(
                f'The target at {call.url} is leaving.',
                'Nothing was run; send the request again.',
            )
        return ports.ServiceAnswer(
            answer.status, _find_header(answer, 'Content-Type'), answer.body
        )

    async def _fetch(self, call: ports.ServiceCall) -> transfers.Answer:
        """Send a call as soon as a connection is free."""
        try:
            async with asyncio.timeout(call.timeout_ms / _MS_PER_S):
                await self._free.acquire()
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
                    connect_ms=call.timeout_ms,
                    total_ms=call.timeout_ms,
                    # Only a call without a key may be sent twice by libcurl.
                    own_connection=bool(call.key or call.alone),
                    max_body=_LARGEST_ANSWER,
                )
            )
        finally:
            self._free.release()


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


def _find_header(answer: transfers.Answer, name: str) -> str:
    """Return the value of a header; empty when it is not there."""
    return next(
        (
            value
            for found, value in answer.headers
            if found.lower() == name.lower()
        ),
        '',
    )


def _is_leaving(answer: transfers.Answer) -> bool:
    """Tell whether a target refused a call, before running it, to leave."""
    if answer.status != http.HTTPStatus.CONFLICT:
        return False
    try:
        refusal = msgspec.json.decode(answer.body, type=_Refusal)
    except msgspec.DecodeError:
        return False
    return refusal.state == messages.Readiness.LEAVING.value


def _is_whole(answer: transfers.Answer) -> bool:
    """Tell whether an answer is known to be whole.

    libcurl reports a body shorter than its Content-Length and a chunked
    body without its last chunk as errors. A body that ends with the
    connection looks whole wherever the connection broke, so it is not
    trusted.
    """
    if answer.status in _STATUSES_WITHOUT_BODY:
        return True
    if 'chunked' in _find_header(answer, 'Transfer-Encoding').lower():
        return True
    length = _find_header(answer, 'Content-Length')
    return length.isdecimal() and int(length) == len(answer.body)
