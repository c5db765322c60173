"""Requests to an entry's operator address."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import typing

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse

URL_VARIABLE = 'THORNSPOOL_URL'
TOKEN_VARIABLE = 'THORNSPOOL_TOKEN'  # noqa: S105
AUTHORITY_VARIABLE = 'THORNSPOOL_CA_FILE'
DEFAULT_TIMEOUT_S = 20.0
_CONNECT_TIMEOUT_S = 5.0
_CLOSED = (pycurl.E_GOT_NOTHING, pycurl.E_RECV_ERROR)
_TLS = (
    *_CLOSED,
    pycurl.E_SSL_CONNECT_ERROR,
    pycurl.E_SSL_CERTPROBLEM,
    pycurl.E_PEER_FAILED_VERIFICATION,
    pycurl.E_SSL_CACERT_BADFILE,
)
"""TLS 1.3 servers refuse a client after the handshake, when it reads."""


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
    add_connection_options(parser)


def add_connection_options(parser: argparse.ArgumentParser) -> None:
    """Declare how an entry is reached, whichever address is asked."""
    parser.add_argument(
        '--timeout',
        type=float,
        default=DEFAULT_TIMEOUT_S,
        help='seconds to wait for an answer; default: %(default)s',
    )
    parser.add_argument(
        '--ca-file',
        default=os.environ.get(AUTHORITY_VARIABLE, ''),
        metavar='FILE',
        help='PEM file of the authority that signed the certificates of '
        f'entries; default: ${AUTHORITY_VARIABLE}, else those that the '
        'system trusts',
    )
    parser.add_argument(
        '--client-certificate',
        default='',
        metavar='FILE',
        help='PEM file to show to entries that ask for a certificate',
    )
    parser.add_argument(
        '--client-key',
        default='',
        metavar='FILE',
        help='PEM file of the key of --client-certificate',
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
    reply = fetch(options, url, method, headers, body)
    if reply.status in (400, 401, 403):
        raise exceptions.BadUsage(read_detail(reply))
    return reply


def fetch(
    options: argparse.Namespace,
    url: str,
    method: str = 'GET',
    headers: dict[str, str] | None = None,
    body: typing.Any = None,
) -> Reply:
    """Send one request.

    Parameters
    ----------
    options : argparse.Namespace
        What ``add_connection_options`` declares.
    url : str
        Whole address.
    method : str, optional
        HTTP method.
    headers : dict of str to str, optional
        Headers besides the type of the body.
    body : JSON value, optional
        Sent as JSON; nothing if left out.

    Raises
    ------
    BadUsage
        If a PEM file can't be read.
    Unreachable
        If no whole answer came in time.
    """
    content = None if body is None else json.dumps(body)
    request = httpclient.HTTPRequest(
        url,
        method=method,
        headers={**(headers or {}), 'Content-Type': 'application/json'},
        body=content,
        allow_nonstandard_methods=True,
        connect_timeout=_CONNECT_TIMEOUT_S,
        request_timeout=options.timeout,
        ca_certs=_check_file(options.ca_file, '--ca-file'),
        client_cert=_check_file(
            options.client_certificate, '--client-certificate'
        ),
        client_key=_check_file(options.client_key, '--client-key'),
    )
    try:
        response = asyncio.run(_fetch(request))
    except (OSError, httpclient.HTTPError) as error:
        raise exceptions.Unreachable(
            f'No answer from {url}: {error}.', _advise(url, error)
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


def _advise(url: str, error: Exception) -> str:
    """Say what to do; other entries have certificates of the same kind."""
    number = getattr(error, 'errno', None)
    if url.startswith('http:') and number in _CLOSED:
        return 'Write https:// if the entry has TLS.'
    if url.startswith('https:') and number in _TLS:
        return (
            'Name the authority of its certificate with --ca-file; if the '
            'entry asks for a certificate, give --client-certificate and '
            '--client-key.'
        )
    return 'Try another entry; "thornspool entries" lists them.'


def _check_file(path: str, option: str) -> str | None:
    """Return a path that may be read, None if none is given."""
    if not path:
        return None
    try:
        pathlib.Path(path).read_bytes()
    except OSError as error:
        raise exceptions.BadUsage(
            f'The PEM file cannot be read: {error}.',
            f'Name a file that may be read with {option}.',
        ) from error
    return path


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
