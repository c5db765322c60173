"""HTTP client for the operator interface of an entry."""

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

from thornspool.adapters import head_checks
from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse

URL_VARIABLE = 'THORNSPOOL_URL'
TOKEN_VARIABLE = 'THORNSPOOL_TOKEN'  # noqa: S105
AUTHORITY_VARIABLE = 'THORNSPOOL_CA_FILE'
DEFAULT_TIMEOUT_S = 20.0
_CONNECT_TIMEOUT_S = 5.0
_CONNECTION_CLOSED_ERRORS = (
    pycurl.E_GOT_NOTHING,
    pycurl.E_RECV_ERROR,
    pycurl.E_SEND_ERROR,
)
_TLS_ERRORS = (
    *_CONNECTION_CLOSED_ERRORS,
    pycurl.E_SSL_CONNECT_ERROR,
    pycurl.E_SSL_CERTPROBLEM,
    pycurl.E_PEER_FAILED_VERIFICATION,
    pycurl.E_SSL_CACERT_BADFILE,
)
"""Errors of libcurl that can mean a failed TLS handshake.

A TLS 1.3 server rejects the client certificate after the client has completed
its part of the handshake, so the client gets the error when it reads the
response or while it still sends the request.
"""


@attrs.frozen
class Reply:
    """Response of an entry.

    Attributes
    ----------
    status : int
        HTTP status.
    value : JSON value
        Decoded body; None if the body is empty.
    """

    status: int
    value: typing.Any


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of requests to the operator interface."""
    parser.add_argument(
        '--url',
        default=os.environ.get(URL_VARIABLE, ''),
        help='operator address of an entry, for instance '
        f'http://127.0.0.1:7070; default: ${URL_VARIABLE}',
    )
    parser.add_argument(
        '--token-file',
        type=pathlib.Path,
        help='file that contains the operator token; default: the value of '
        f'${TOKEN_VARIABLE}',
    )
    add_connection_options(parser)


def add_connection_options(parser: argparse.ArgumentParser) -> None:
    """Add the connection options that apply to every interface."""
    parser.add_argument(
        '--timeout',
        type=float,
        default=DEFAULT_TIMEOUT_S,
        help='seconds to wait for a response; default: %(default)s',
    )
    parser.add_argument(
        '--ca-file',
        default=os.environ.get(AUTHORITY_VARIABLE, ''),
        metavar='FILE',
        help='PEM file of the certificate authority of the entries; '
        f'default: ${AUTHORITY_VARIABLE}, else the authorities that the '
        'system trusts',
    )
    parser.add_argument(
        '--client-certificate',
        default='',
        metavar='FILE',
        help='PEM file of the certificate for entries that require one',
    )
    parser.add_argument(
        '--client-key',
        default='',
        metavar='FILE',
        help='PEM file of the private key of --client-certificate',
    )


def send(
    options: argparse.Namespace,
    method: str,
    path: str,
    body: typing.Any = None,
) -> Reply:
    """Send a request to the operator interface of an entry.

    Parameters
    ----------
    options : argparse.Namespace
        Options that ``add_options`` declares.
    method : str
        HTTP method.
    path : str
        Path of the resource.
    body : JSON value, optional
        Body to send as JSON; no body by default.

    Returns
    -------
    Reply
        The response; statuses other than 400, 401 and 403 are handled by the
        caller.

    Raises
    ------
    BadUsage
        If the address or the token is missing, or the entry responds with
        status 400, 401 or 403.
    Unreachable
        If no response arrives in time.
    """
    if not options.url:
        raise exceptions.BadUsage(
            'No entry is specified.', f'Use --url or set {URL_VARIABLE}.'
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
        Options that ``add_connection_options`` declares.
    url : str
        Complete URL.
    method : str, optional
        HTTP method.
    headers : dict of str to str, optional
        Headers in addition to Content-Type.
    body : JSON value, optional
        Body to send as JSON; no body by default.

    Returns
    -------
    Reply
        The response, with any status.

    Raises
    ------
    BadUsage
        If a PEM file can't be read.
    Unreachable
        If no complete response arrives in time, or its body is not JSON.
    """
    encoded_body = None if body is None else json.dumps(body)
    request = httpclient.HTTPRequest(
        url,
        method=method,
        headers={**(headers or {}), 'Content-Type': 'application/json'},
        body=encoded_body,
        allow_nonstandard_methods=True,
        connect_timeout=_CONNECT_TIMEOUT_S,
        request_timeout=options.timeout,
        ca_certs=_check_readable(options.ca_file, '--ca-file'),
        client_cert=_check_readable(
            options.client_certificate, '--client-certificate'
        ),
        client_key=_check_readable(options.client_key, '--client-key'),
    )
    try:
        response = asyncio.run(_fetch(request))
    except (OSError, httpclient.HTTPError) as error:
        raise exceptions.Unreachable(
            f'No response from {url}: {error}.', _build_hint(url, error)
        ) from error
    return Reply(response.code, _decode(url, response.body))


def read_detail(reply: Reply) -> str:
    """Return the problem detail of a response, or its status as text."""
    if isinstance(reply.value, dict) and 'detail' in reply.value:
        return str(reply.value['detail'])
    return f'The entry responded with status {reply.status}.'


def expect_ok(reply: Reply) -> typing.Any:
    """Return the value of a successful response.

    Parameters
    ----------
    reply : Reply
        Response of an entry.

    Returns
    -------
    JSON value
        Decoded body.

    Raises
    ------
    Unreachable
        If the status is 500 or above.
    ConsoleError
        If the status is from 300 to 499.
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
        return await head_checks.fetch(client, request)
    finally:
        client.close()


def _build_hint(url: str, error: Exception) -> str:
    """Return the remedy for a failed connection.

    Errors that point at TLS do not suggest another entry, since other entries
    have certificates of the same kind.
    """
    error_number = getattr(error, 'errno', None)
    if url.startswith('http:') and error_number in _CONNECTION_CLOSED_ERRORS:
        return 'Write https:// if the entry uses TLS.'
    if url.startswith('https:') and error_number in _TLS_ERRORS:
        return (
            'Specify the authority of its certificate with --ca-file; if the '
            'entry requires a client certificate, use --client-certificate '
            'and --client-key.'
        )
    return 'Try another entry; "thornspool entries" lists them.'


def _check_readable(path: str, option: str) -> str | None:
    """Return the path if the file is readable; None if no path is given."""
    if not path:
        return None
    try:
        pathlib.Path(path).read_bytes()
    except OSError as error:
        raise exceptions.BadUsage(
            f'The PEM file cannot be read: {error}.',
            f'Specify a readable file with {option}.',
        ) from error
    return path


def _decode(url: str, body: bytes) -> typing.Any:
    if not body:
        return None
    try:
        return json.loads(body)
    except ValueError as error:
        raise exceptions.Unreachable(
            f'{url} did not respond with JSON.',
            'Check that it is the operator address of an entry.',
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
                'Specify a readable file with --token-file.',
            ) from error
    if not token:
        raise exceptions.BadUsage(
            'No token is specified.',
            f'Use --token-file or set {TOKEN_VARIABLE}.',
        )
    return token
