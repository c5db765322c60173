"""Requests to an entry's operator address."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import typing

import attrs
from tornado import curl_httpclient
from tornado import httpclient

from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse

URL_VARIABLE = 'THORNSPOOL_URL'
TOKEN_VARIABLE = 'THORNSPOOL_TOKEN'  # noqa: S105
DEFAULT_TIMEOUT_S = 20.0
_CONNECT_TIMEOUT_S = 5.0


@attrs.frozen
class Reply:
    """An answer of an entry.

    Attributes
    ----------
    status : int
        HTTP status.
    value : JSON value
        The decoded body, None if it has none.
    """

    status: int
    value: typing.Any


def add_options(parser: argparse.ArgumentParser) -> None:
    """Declare the options that every request needs."""
    parser.add_argument(
        '--url',
        default=os.environ.get(URL_VARIABLE, ''),
        help='operator address of an entry, for instance '
        f'http://127.0.0.1:7070; default: ${URL_VARIABLE}',
    )
    parser.add_argument(
        '--token-file',
        type=pathlib.Path,
        help=f'file that holds the token; default: ${TOKEN_VARIABLE}',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=DEFAULT_TIMEOUT_S,
        help='seconds to wait for an answer; default: %(default)s',
    )


def send(
    options: argparse.Namespace,
    method: str,
    path: str,
    body: typing.Any = None,
) -> Reply:
    """Send a request and return what is not an error of the request itself.

    Statuses 401, 403, 400 and 5xx without a problem that the caller knows
    are raised; the rest is left to the caller.

    Raises
    ------
    BadUsage
        If address or token are missing or refused.
    Unreachable
        If no answer came.
    """
    if not options.url:
        raise exceptions.BadUsage(
            'No entry is named.', f'Give --url or set {URL_VARIABLE}.'
        )
    headers = {'Authorization': f'Bearer {_read_token(options)}'}
    url = f'{options.url.rstrip("/")}{path}'
    reply = fetch(url, method, headers, body, options.timeout)
    if reply.status in (400, 401, 403):
        raise exceptions.BadUsage(read_detail(reply))
    return reply


def fetch(
    url: str,
    method: str,
    headers: dict[str, str],
    body: typing.Any,
    timeout_s: float,
) -> Reply:
    """Send one request.

    Raises
    ------
    Unreachable
        If no whole answer came in time.
    """
    content = None if body is None else json.dumps(body)
    request = httpclient.HTTPRequest(
        url,
        method=method,
        headers={**headers, 'Content-Type': 'application/json'},
        body=content,
        allow_nonstandard_methods=True,
        connect_timeout=_CONNECT_TIMEOUT_S,
        request_timeout=timeout_s,
    )
    try:
        response = asyncio.run(_fetch(request))
    except (OSError, httpclient.HTTPError) as error:
        raise exceptions.Unreachable(
            f'No answer from {url}: {error}.',
            'Try another entry; "thornspool entries" lists them.',
        ) from error
    return Reply(response.code, _decode(url, response.body))


def read_detail(reply: Reply) -> str:
    """Return what an answer says of its problem."""
    if isinstance(reply.value, dict) and 'detail' in reply.value:
        return str(reply.value['detail'])
    return f'The entry answered with status {reply.status}.'


def expect_ok(reply: Reply) -> typing.Any:
    """Return the value of a successful answer.

    Raises
    ------
    Unreachable
        If the entry could not answer.
    ConsoleError
        If there is nothing to show.
    """
    if reply.status >= 500:
        raise exceptions.Unreachable(read_detail(reply))
    if reply.status >= 300:
        raise exceptions.ConsoleError(read_detail(reply))
    return reply.value


async def _fetch(
    request: httpclient.HTTPRequest,
) -> httpclient.HTTPResponse:
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    try:
        return await client.fetch(request, raise_error=False)
    finally:
        client.close()


def _decode(url: str, body: bytes) -> typing.Any:
    if not body:
        return None
    try:
        return json.loads(body)
    except ValueError as error:
        raise exceptions.Unreachable(
            f'{url} did not answer with JSON.',
            'Is it the operator address of an entry?',
        ) from error


def _read_token(options: argparse.Namespace) -> str:
    if options.token_file is None:
        token = os.environ.get(TOKEN_VARIABLE, '')
    else:
        try:
            token = options.token_file.read_text().strip()
        except OSError as error:
            raise exceptions.BadUsage(
                f'The token file cannot be read: {error}.',
                'Name a file that may be read with --token-file.',
            ) from error
    if not token:
        raise exceptions.BadUsage(
            'No token is given.',
            f'Give --token-file or set {TOKEN_VARIABLE}.',
        )
    return token
