"""Calls to plain services over HTTP."""

from __future__ import annotations

import http
import typing
import urllib.parse

import attrs
import msgspec

from thornspool.adapters.platform import exceptions as platform_exceptions
from thornspool.adapters.platform import transport
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.targets import messages

if typing.TYPE_CHECKING:
    from tornado import httpclient

DEFAULT_MAX_CALLS = 256
_LARGEST_ANSWER = 8_000_000
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
        self._client = transport.Client(max_calls, _LARGEST_ANSWER)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

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
        request = transport.Call(
            _build_url(call),
            'POST',
            call.timeout_ms,
            # Only a call without a key may be sent twice by libcurl.
            repeatable=not (call.key or call.alone),
            headers=_build_headers(call),
            body=call.body,
        )
        try:
            response = await self._client.fetch(request, call.timeout_ms)
        except platform_exceptions.NotSent as error:
            raise exceptions.TargetNotReached(
                f'The target at {call.url} was not reached: {error}.',
                'Nothing was run; send the request again.',
            ) from error
        except platform_exceptions.AnswerLost as error:
            lost = exceptions.TargetAnswerLost
            if isinstance(error, platform_exceptions.ConnectionBroken):
                lost = exceptions.TargetConnectionBroken
            raise lost(
                f'The target at {call.url} gave no whole answer: {error}.',
                'It may have run; ask for the outcome of its key.',
            ) from error
        if not _is_whole(response):
            raise exceptions.TargetAnswerLost(
                f'The answer of {call.url} does not say where it ends.',
                'It may have run; ask for the outcome of its key.',
            )
        if _is_leaving(response):
            raise exceptions.TargetLeaving(
                f'The target at {call.url} is leaving.',
                'Nothing was run; send the request again.',
            )
        return ports.ServiceAnswer(
            response.code,
            response.headers.get('Content-Type', ''),
            response.body,
        )


def _build_url(call: ports.ServiceCall) -> str:
    operation = urllib.parse.quote(call.operation, safe='')
    return f'{call.url}/v1/operations/{operation}'


def _build_headers(call: ports.ServiceCall) -> dict[str, str]:
    headers = {
        'Content-Type': 'application/json',
        'Workspace': call.workspace,
    }
    if call.key:
        headers['Idempotency-Key'] = call.key
    if call.fencing_token:
        headers['Fencing-Token'] = str(call.fencing_token)
    return headers


def _is_leaving(response: httpclient.HTTPResponse) -> bool:
    """Tell whether a target refused a call, before running it, to leave."""
    if response.code != http.HTTPStatus.CONFLICT:
        return False
    try:
        refusal = msgspec.json.decode(response.body, type=_Refusal)
    except msgspec.DecodeError:
        return False
    return refusal.state == messages.Readiness.LEAVING.value


def _is_whole(response: httpclient.HTTPResponse) -> bool:
    """Tell whether an answer is known to be whole.

    libcurl reports a body shorter than its Content-Length and a chunked
    body without its last chunk as errors. A body that ends with the
    connection looks whole wherever the connection broke, so it is not
    trusted.
    """
    if response.code in _STATUSES_WITHOUT_BODY:
        return True
    if 'chunked' in response.headers.get('Transfer-Encoding', '').lower():
        return True
    length = response.headers.get('Content-Length', '')
    return length.isdecimal() and int(length) == len(response.body)
