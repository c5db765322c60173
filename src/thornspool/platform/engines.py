"""HTTP client for engines and plain servers, in the platform's format."""

from __future__ import annotations

import math
import typing

import msgspec
import structlog

from thornspool import decoding
from thornspool.adapters import exceptions as transfer_errors
from thornspool.adapters import transfers
from thornspool.application.routing import ports

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import search

CONNECT_TIMEOUT_MS = 400
"""Longest time to connect to a server.

The network latency between hosts is 0.25 ms. TCP retransmits a lost SYN only
after 1 s; another server responds earlier than that.
"""

ORDER_TIMEOUT_MS = 1_000
"""Longest time for the response to an order."""

REPATH_TIMEOUT_MS = 150
"""Longest time for the response to a change of path.

The stream is stalled meanwhile, and a new run can resume it.
"""

DEADLINE_MARGIN_MS = 150
"""Time reserved to forward a response that a server sends at its deadline."""

MAX_REPORT_BYTES = 65_536
"""Largest body in bytes of a report or of the response to an order.

A report names the requests that wait for other engines in some 80 bytes each,
of at most 96 that run.
"""

RELAY_REFUSED_HEADER = 'Relay-Refused'
"""Header of a peer that does not serve a request that is passed on to it."""

RELAY_SENDS_HEADER = 'Relay-Sends'
"""How often this peer has sent the request to servers."""

_HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)

# The router sets these itself and drops the values that callers send.
_ROUTER_REQUEST_HEADERS = frozenset(
    {
        'accept-encoding',
        'authorization',
        'content-length',
        'deadline-ms',
        'expect',
        'expect-instance',
        'expect-version',
        'hop-count',
        'host',
        'last-event-id',
        'request-priority',
        'tenant',
    }
)

_SERVER_RESPONSE_HEADERS = frozenset(
    {
        'content-length',
        'engine-load',
        'at-server',
        'date',
        'server',
        RELAY_REFUSED_HEADER.lower(),
        RELAY_SENDS_HEADER.lower(),
    }
)

_UNAVAILABLE = 503
_MS_PER_S = 1000.0

_JSON = (('Content-Type', 'application/json'),)

_ENDINGS = {
    transfers.TransferResult.COMPLETE: ports.Completion.COMPLETE,
    transfers.TransferResult.NOT_SENT: ports.Completion.NOT_SENT,
    transfers.TransferResult.REFUSED: ports.Completion.NOT_SENT,
    transfers.TransferResult.BROKEN: ports.Completion.BROKEN,
    transfers.TransferResult.TIMED_OUT: ports.Completion.BROKEN,
    transfers.TransferResult.MALFORMED: ports.Completion.BROKEN,
    transfers.TransferResult.TOO_LARGE: ports.Completion.BROKEN,
}

logger = structlog.get_logger(__name__)


class _StalledRequest(msgspec.Struct):
    id: str = ''
    address: str = ''


class _Report(msgspec.Struct):
    # Number of orders started. The field of this name in the server list
    # has another meaning.
    sequence: int = 0
    busy: bool = False
    # Slowdown factor: above 1 for a slow engine.
    pace: float = 1.0
    born: int | None = None
    stalled: list[_StalledRequest] = []


def filter_request_headers(
    headers: typing.Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the request headers that are forwarded to a server."""
    listed = list(headers)
    dropped = _HOP_BY_HOP_HEADERS | _ROUTER_REQUEST_HEADERS
    dropped |= _list_connection_options(listed)
    return tuple(
        (name, value) for name, value in listed if name.lower() not in dropped
    )


def _list_connection_options(
    headers: typing.Iterable[tuple[str, str]],
) -> frozenset[str]:
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for option in value.split(',')
    )


class ServerClient:
    """Engines and plain servers over HTTP.

    Each request uses a new connection. This isolates requests from surplus
    bytes after a response, from connections that the server has closed, and
    from libcurl's automatic resending on reused connections.

    Parameters
    ----------
    session : transfers.Session
        Executes the transfers.
    on_notice : callable, optional
        Called for every response with what its server states about itself.
    """

    def __init__(
        self,
        session: transfers.Session,
        on_notice: Callable[
            [fleet.Server, ports.ServerNotice], None
        ] = lambda server, notice: None,
    ) -> None:
        self._session = session
        self._on_notice = on_notice

    def send(
        self, run: ports.Run, listener: ports.ResponseListener
    ) -> Callable[[], None]:
        """Send a request to a server.

        Parameters
        ----------
        run : ports.Run
            The request and its path.
        listener : ports.ResponseListener
            Receives the response.

        Returns
        -------
        callable
            Cancels the request.
        """
        caller_request = run.request

        def handle_head(status: int, headers: transfers.Headers) -> None:
            head = decode_head(caller_request.id, status, headers)
            self._on_notice(
                run.server, _decode_notice(status, headers, head.is_authentic)
            )
            listener.handle_head(head)

        request = transfers.Request(
            f'http://{run.server.address}{caller_request.target}',
            caller_request.method,
            _build_headers(run),
            caller_request.body or None,
            CONNECT_TIMEOUT_MS,
            is_forwarded=True,
        )
        return self._session.start(
            request,
            handle_head,
            listener.handle_body,
            lambda ending: listener.handle_completion(_ENDINGS[ending]),
        ).cancel

    async def probe(
        self, server: fleet.Server, wait_ms: int = ports.REPORT_MS
    ) -> ports.EngineReport | None:
        """Probe an engine for its report.

        Parameters
        ----------
        server : fleet.Server
            The engine.
        wait_ms : int, optional
            Longest time for the response, in milliseconds.

        Returns
        -------
        ports.EngineReport or None
            None if no valid report arrives in time.
        """
        request = transfers.Request(
            f'http://{server.address}/v1/report',
            connect_timeout_ms=wait_ms,
            timeout_ms=wait_ms,
            max_body_bytes=MAX_REPORT_BYTES,
        )
        try:
            response = await self._fetch(server, request)
            if response.status != 200:
                return None
            report = decoding.decode_json(response.body, _Report)
        except (
            transfer_errors.TransportError,
            decoding.DecodeError,
        ) as error:
            logger.warning(
                'report_failed', server=server.id, reason=str(error)
            )
            return None
        return ports.EngineReport(
            report.sequence,
            report.busy,
            report.pace,
            report.born,
            tuple(
                ports.StalledRequest(row.id, row.address)
                for row in report.stalled
            ),
        )

    async def check(
        self, server: fleet.Server, wait_ms: int = ports.CHECK_MS
    ) -> ports.ProcessCheck:
        """Check whether a process listens at the address of a server."""
        request = transfers.Request(
            f'http://{server.address}/v1/report',
            connect_timeout_ms=wait_ms,
            timeout_ms=wait_ms,
            max_body_bytes=MAX_REPORT_BYTES,
        )
        try:
            response = await self._fetch(server, request)
        except transfer_errors.ConnectionRefused:
            return ports.ProcessCheck(is_listening=False)
        except transfer_errors.TransportError:
            return ports.ProcessCheck(is_listening=None)
        try:
            report = decoding.decode_json(response.body, _Report)
        except decoding.DecodeError:
            return ports.ProcessCheck(is_listening=True)
        return ports.ProcessCheck(True, report.born)

    async def _fetch(
        self, server: fleet.Server, request: transfers.Request
    ) -> transfers.Response:
        response = await self._session.fetch(request)
        self._on_notice(
            server,
            _decode_notice(
                response.status, response.headers, is_authentic=False
            ),
        )
        return response

    async def assign_layers(
        self, server: fleet.Server, layers: fleet.LayerRange, order_count: int
    ) -> ports.OrderResult:
        """Order an engine to load a range of layers.

        ``order_count`` is the number of orders that the engine has started;
        the engine rejects the order if its count differs.
        """
        return await self._order(
            server,
            {
                'operation': 'place',
                'from': layers.first,
                'to': layers.end,
                'mode': 'queue',
                'expected': order_count,
            },
        )

    async def reroute(
        self, request: str, hops: tuple[search.Hop, ...]
    ) -> ports.OrderResult:
        """Order the first engine of an in-flight request to use a new path."""
        return await self._order(
            hops[0].server,
            {
                'operation': 'repath',
                'id': request,
                'path': format_path(hops),
            },
            REPATH_TIMEOUT_MS,
        )

    async def _order(
        self,
        server: fleet.Server,
        body: dict[str, object],
        wait_ms: int = ORDER_TIMEOUT_MS,
    ) -> ports.OrderResult:
        request = transfers.Request(
            f'http://{server.address}/v1/order',
            'POST',
            (*_JSON, ('Expect-Instance', server.id)),
            msgspec.json.encode(body),
            min(CONNECT_TIMEOUT_MS, wait_ms),
            wait_ms,
            max_body_bytes=MAX_REPORT_BYTES,
        )
        try:
            response = await self._fetch(server, request)
        except transfer_errors.TransportError as error:
            logger.warning('order_failed', server=server.id, reason=str(error))
            return ports.OrderResult.UNKNOWN
        results = {
            200: ports.OrderResult.DONE,
            202: ports.OrderResult.BEGUN,
            409: ports.OrderResult.CONFLICT,
        }
        result = results.get(response.status, ports.OrderResult.REFUSED)
        if response.status not in results:
            logger.warning(
                'order_refused', server=server.id, status=response.status
            )
        return result


def format_path(hops: typing.Iterable[search.Hop]) -> str:
    """Format a path for the header and the order that engines parse."""
    return ','.join(
        f'{hop.server.address}={hop.first}-{hop.end}' for hop in hops
    )


def _build_headers(run: ports.Run) -> tuple[tuple[str, str], ...]:
    caller_request = run.request
    headers = [('Host', caller_request.host), *caller_request.headers]
    remaining_ms = max(1, run.remaining_ms - DEADLINE_MARGIN_MS)
    headers.append(('Deadline-Ms', str(remaining_ms)))
    headers.append(('Expect-Instance', run.server.id))
    if run.workspace:
        headers.append(('Tenant', run.workspace))
    if run.resume_after:
        headers.append(('Last-Event-Id', run.resume_after))
    if run.hops:
        headers.append(('Hop-Count', format_path(run.hops)))
        headers.append(('Request-Priority', str(run.priority)))
    return tuple(headers)


def decode_head(
    request_id: str, status: int, headers: transfers.Headers
) -> ports.ResponseHead:
    """Decode the head of a response to a request."""
    values = {name.lower(): value for name, value in headers}
    dropped = _HOP_BY_HOP_HEADERS | _SERVER_RESPONSE_HEADERS
    dropped |= _list_connection_options(headers)
    return ports.ResponseHead(
        status=status,
        headers=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
        ),
        executed='not-executed' not in values and status != 421,
        fault_address=values.get('at-server', ''),
        load=_decode_load(values.get('engine-load')),
        # Requests ask for no encoding; an encoded body is not the server's.
        is_authentic='response-seal' in values
        and 'content-encoding' not in values
        and values.get('attempt-id', request_id) == request_id,
        is_relay_refused=RELAY_REFUSED_HEADER.lower() in values
        and 'response-seal' not in values,
        relayed_sends=_decode_count(
            values.get(RELAY_SENDS_HEADER.lower(), '')
        ),
        has_length='content-length' in values,
        is_event_stream=_get_media_type(values) == 'text/event-stream',
    )


def _get_media_type(values: dict[str, str]) -> str:
    """Return the media type of a body without its parameters."""
    return values.get('content-type', '').partition(';')[0].strip().lower()


def _decode_notice(
    status: int, headers: transfers.Headers, is_authentic: bool
) -> ports.ServerNotice:
    """Decode what a server states about itself in the headers of a response.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    headers : transfers.Headers
        Headers of the response.
    is_authentic : bool
        Whether it is a signed response to a request.
    """
    values = {name.lower(): value for name, value in headers}
    rest_s = None
    if status == _UNAVAILABLE:
        rest_s = _decode_amount(values, 'retry-after')
    return ports.ServerNotice(
        is_authentic,
        limit_per_s=_decode_amount(values, 'server-limit'),
        rest_ms=math.ceil((rest_s or 0.0) * _MS_PER_S),
        is_leaving=values.get('server-leaving', '').strip() == '1',
    )


def _decode_count(text: str) -> int | None:
    is_count = text.isascii() and text.isdecimal() and len(text) < 10
    return int(text) if is_count else None


def _decode_amount(values: dict[str, str], name: str) -> float | None:
    """Decode a header with a decimal number that is not negative.

    Parameters
    ----------
    values : dict of str to str
        Headers by name in lower case.
    name : str
        Name of the header.

    Returns
    -------
    float or None
        None if the header is missing or malformed.
    """
    text = values.get(name)
    if text is None:
        return None
    try:
        amount = float(text)
    except ValueError:
        amount = math.nan
    if math.isfinite(amount) and amount >= 0:
        return amount
    logger.warning('notice_malformed', header=name, text=text)
    return None


def _decode_load(text: str | None) -> ports.Load | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in text.split(','))
    except ValueError:
        logger.warning('load_malformed', text=text)
        return None
    return ports.Load(running, waiting, slots)
