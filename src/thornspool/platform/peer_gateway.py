"""HTTP between entries, for requests that one passes on to another."""

from __future__ import annotations

import typing

import attrs

from thornspool.adapters import transfers
from thornspool.application.routing import ports
from thornspool.platform import callers
from thornspool.platform import engines

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from tornado import httputil

    from thornspool.domain.entries import messages as entries

CONNECT_TIMEOUT_MS = 300
"""Longest time to connect to a peer; another one answers earlier."""

HOST_HEADER = 'Relay-Host'
INCARNATION_HEADER = 'Relay-Incarnation'
RECEIVER_HEADER = 'Relay-Receiver'
RUNS_HEADER = 'Relay-Runs'
COUNTED_HEADER = 'Relay-Counted'
VERSION_HEADER = 'Relay-Configuration'
AVOIDED_HEADER = 'Relay-Avoided'

_RELAY_HEADERS = frozenset(
    name.lower()
    for name in (
        HOST_HEADER,
        INCARNATION_HEADER,
        RECEIVER_HEADER,
        RUNS_HEADER,
        COUNTED_HEADER,
        VERSION_HEADER,
        AVOIDED_HEADER,
    )
)

_ENDINGS = {
    transfers.TransferResult.COMPLETE: ports.Completion.COMPLETE,
    transfers.TransferResult.NOT_SENT: ports.Completion.NOT_SENT,
    transfers.TransferResult.REFUSED: ports.Completion.NOT_SENT,
}


class PeerGateway:
    """Passes requests on to peers; each request uses a new connection.

    Parameters
    ----------
    session : transfers.Session
        Executes the transfers.
    """

    def __init__(self, session: transfers.Session) -> None:
        self._session = session

    def send(
        self,
        peer: entries.Record,
        relayed: ports.RelayedRequest,
        listener: ports.ResponseListener,
    ) -> Callable[[], None]:
        """Send a request to a peer.

        Parameters
        ----------
        peer : entries.Record
            The peer.
        relayed : ports.RelayedRequest
            The request.
        listener : ports.ResponseListener
            Receives the response.

        Returns
        -------
        callable
            Cancels the request.
        """
        caller_request = relayed.request

        def handle_head(status: int, headers: transfers.Headers) -> None:
            listener.handle_head(
                engines.decode_head(caller_request.id, status, headers)
            )

        return self._session.start(
            transfers.Request(
                f'http://{peer.peers}{caller_request.target}',
                caller_request.method,
                _build_headers(relayed),
                caller_request.body or None,
                CONNECT_TIMEOUT_MS,
                is_forwarded=True,
            ),
            handle_head,
            listener.handle_body,
            lambda ending: listener.handle_completion(
                _ENDINGS.get(ending, ports.Completion.BROKEN)
            ),
        ).cancel


def _build_headers(
    relayed: ports.RelayedRequest,
) -> tuple[tuple[str, str], ...]:
    caller_request, relay = relayed.request, relayed.relay
    headers = [
        ('Host', caller_request.host),
        *(
            (name, value)
            for name, value in caller_request.headers
            if name.lower() not in _RELAY_HEADERS
        ),
        ('Deadline-Ms', str(relayed.remaining_ms)),
        (HOST_HEADER, relay.host),
        (INCARNATION_HEADER, relay.incarnation),
        (RECEIVER_HEADER, relay.receiver),
        (RUNS_HEADER, str(relay.prior_runs)),
        (COUNTED_HEADER, str(int(relay.is_counted))),
        (VERSION_HEADER, str(relay.configuration_version)),
        (AVOIDED_HEADER, ','.join(relay.avoided)),
    ]
    if caller_request.key is not None:
        headers.append(('Authorization', f'Bearer {caller_request.key}'))
    if relayed.resume_after:
        headers.append(('Last-Event-Id', relayed.resume_after))
    return tuple(headers)


def decode_relayed_request(
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
    now: int,
) -> ports.Request:
    """Decode a request that a peer has passed on.

    Parameters
    ----------
    start_line : httputil.RequestStartLine
        Method and target.
    headers : httputil.HTTPHeaders
        All headers, as sent.
    body : bytes
        The complete body.
    now : int
        Time of arrival, in milliseconds of the clock.
    """
    request = callers.decode_request(start_line, headers, body, now)
    return attrs.evolve(
        request,
        headers=tuple(
            (name, value)
            for name, value in request.headers
            if name.lower() not in _RELAY_HEADERS
        ),
        relay=ports.Relay(
            headers.get(HOST_HEADER, ''),
            headers.get(INCARNATION_HEADER, ''),
            headers.get(RECEIVER_HEADER, ''),
            _parse_count(headers.get(RUNS_HEADER, '')),
            headers.get(COUNTED_HEADER, '') == '1',
            _parse_count(headers.get(VERSION_HEADER, '')),
            tuple(filter(None, headers.get(AVOIDED_HEADER, '').split(','))),
        ),
    )


def _parse_count(text: str) -> int:
    return int(text) if text.isdecimal() else 0
