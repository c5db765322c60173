"""Calls to engines and plain servers, in the platform's words."""

from __future__ import annotations

import typing

import msgspec
import structlog

from thornspool.adapters import exceptions as transfer_errors
from thornspool.adapters import transfers
from thornspool.application.routing import ports

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import search

CONNECT_MS = 400
"""Longest wait for a connection to a server.

Hosts are 0.25 ms apart; a lost opening packet comes again after 1 s, which
is later than another server's answer.
"""

ORDER_MS = 1_000
"""Longest wait for the answer to an order."""

REPATH_MS = 150
"""Longest wait for the answer to a change of path; the stream stands still
meanwhile and can go on in a new run."""

DEADLINE_MARGIN_MS = 150
"""Time left to pass on an answer that a server makes at its deadline."""

_ONE_CONNECTION_ONLY = frozenset(
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

# Set by the router, whatever a caller sends.
_OWN_REQUEST_HEADERS = frozenset(
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

_OWN_ANSWER_HEADERS = frozenset(
    {'content-length', 'engine-load', 'at-server', 'date', 'server'}
)

_JSON = (('Content-Type', 'application/json'),)

_ENDINGS = {
    transfers.Ending.WHOLE: ports.Ending.WHOLE,
    transfers.Ending.NOT_SENT: ports.Ending.NOT_SENT,
    transfers.Ending.BROKEN: ports.Ending.BROKEN,
    transfers.Ending.TIMED_OUT: ports.Ending.BROKEN,
    transfers.Ending.MALFORMED: ports.Ending.BROKEN,
    transfers.Ending.TOO_LARGE: ports.Ending.BROKEN,
}

logger = structlog.get_logger(__name__)


class _StalledRow(msgspec.Struct):
    id: str = ''
    address: str = ''


class _Report(msgspec.Struct):
    # Number of orders begun, unlike the field of that name in the list.
    sequence: int = 0
    busy: bool = False
    # Slowness: over 1 for a slow engine.
    pace: float = 1.0
    born: int | None = None
    stalled: list[_StalledRow] = []


def choose_request_headers(
    headers: typing.Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request that pass on to a server."""
    listed = list(headers)
    dropped = _ONE_CONNECTION_ONLY | _OWN_REQUEST_HEADERS
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


class Servers:
    """Engines and plain servers over HTTP.

    Each request gets a connection of its own. What a server sends behind an
    answer, a connection that it closed silently, and a request that libcurl
    sends a second time then never touch another request.

    Parameters
    ----------
    session : transfers.Session
        Carries the calls.
    """

    def __init__(self, session: transfers.Session) -> None:
        self._session = session

    def send(
        self, run: ports.Run, listener: ports.Listener
    ) -> Callable[[], None]:
        """Send a request; returns what ends it."""
        inquiry = run.inquiry

        def take_head(status: int, headers: transfers.Headers) -> None:
            listener.take_head(_decode_head(inquiry.id, status, headers))

        request = transfers.Request(
            f'http://{run.server.address}{inquiry.target}',
            inquiry.method,
            _build_headers(run),
            inquiry.body or None,
            CONNECT_MS,
        )
        return self._session.start(
            request,
            take_head,
            listener.take_body,
            lambda ending: listener.take_end(_ENDINGS[ending]),
        ).cancel

    async def ask_report(
        self, server: fleet.Server, wait_ms: int = ports.REPORT_MS
    ) -> ports.Report | None:
        """Ask an engine for its state."""
        request = transfers.Request(
            f'http://{server.address}/v1/report',
            connect_ms=wait_ms,
            total_ms=wait_ms,
        )
        try:
            answer = await self._session.fetch(request)
            if answer.status != 200:
                return None
            read = msgspec.json.decode(answer.body, type=_Report)
        except (
            transfer_errors.TransportError,
            msgspec.DecodeError,
            UnicodeDecodeError,
        ) as error:
            logger.warning(
                'report_failed', server=server.id, reason=str(error)
            )
            return None
        return ports.Report(
            read.sequence,
            read.busy,
            read.pace,
            read.born,
            tuple(ports.Stalled(one.id, one.address) for one in read.stalled),
        )

    async def place(
        self, server: fleet.Server, layers: fleet.LayerRange, orders: int
    ) -> ports.OrderResult:
        """Order an engine to hold a range."""
        return await self._order(
            server,
            {
                'operation': 'place',
                'from': layers.first,
                'to': layers.end,
                'mode': 'queue',
                'expected': orders,
            },
        )

    async def repath(
        self, request: str, hops: tuple[search.Hop, ...]
    ) -> ports.OrderResult:
        """Order a running request's first engine to use another path."""
        return await self._order(
            hops[0].server,
            {
                'operation': 'repath',
                'id': request,
                'path': format_path(hops),
            },
            REPATH_MS,
        )

    async def _order(
        self,
        server: fleet.Server,
        body: dict[str, object],
        wait_ms: int = ORDER_MS,
    ) -> ports.OrderResult:
        request = transfers.Request(
            f'http://{server.address}/v1/order',
            'POST',
            (*_JSON, ('Expect-Instance', server.id)),
            msgspec.json.encode(body),
            min(CONNECT_MS, wait_ms),
            wait_ms,
        )
        try:
            answer = await self._session.fetch(request)
        except transfer_errors.TransportError as error:
            logger.warning('order_failed', server=server.id, reason=str(error))
            return ports.OrderResult.UNKNOWN
        results = {
            200: ports.OrderResult.DONE,
            202: ports.OrderResult.BEGUN,
            409: ports.OrderResult.CONFLICT,
        }
        result = results.get(answer.status, ports.OrderResult.REFUSED)
        if answer.status not in results:
            logger.warning(
                'order_refused', server=server.id, status=answer.status
            )
        return result


def format_path(hops: typing.Iterable[search.Hop]) -> str:
    """Write a path as the engines read it."""
    return ','.join(
        f'{hop.server.address}={hop.first}-{hop.end}' for hop in hops
    )


def _build_headers(run: ports.Run) -> tuple[tuple[str, str], ...]:
    inquiry = run.inquiry
    headers = [('Host', inquiry.host), *inquiry.headers]
    left_ms = max(1, run.left_ms - DEADLINE_MARGIN_MS)
    headers.append(('Deadline-Ms', str(left_ms)))
    headers.append(('Expect-Instance', run.server.id))
    if run.workspace:
        headers.append(('Tenant', run.workspace))
    if run.resume_after:
        headers.append(('Last-Event-Id', run.resume_after))
    if run.hops:
        headers.append(('Hop-Count', format_path(run.hops)))
        headers.append(('Request-Priority', str(run.priority)))
    return tuple(headers)


def _decode_head(
    request: str, status: int, headers: transfers.Headers
) -> ports.Head:
    values = {name.lower(): value for name, value in headers}
    dropped = _ONE_CONNECTION_ONLY | _OWN_ANSWER_HEADERS
    dropped |= _list_connection_options(headers)
    return ports.Head(
        status=status,
        headers=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
        ),
        ran='not-executed' not in values and status != 421,
        fault_address=values.get('at-server', ''),
        load=_decode_load(values.get('engine-load')),
        genuine='response-seal' in values
        and values.get('attempt-id', request) == request,
    )


def _decode_load(text: str | None) -> ports.Load | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(one) for one in text.split(','))
    except ValueError:
        logger.warning('load_malformed', text=text)
        return None
    return ports.Load(running, waiting, slots)
