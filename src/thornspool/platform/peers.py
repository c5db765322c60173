"""Datagrams between entries: state updates and changes of store keys.

A state update is outdated after half a second. A connection to a suspended
or unreachable host would buffer it for later delivery. Datagrams avoid this,
and the next one makes up for a lost one.
"""

from __future__ import annotations

import asyncio
import math
import typing
import zlib

import msgspec
import structlog

from thornspool import decoding
from thornspool.domain.entries import messages
from thornspool.domain.fleet import named_limits
from thornspool.domain.limits import messages as limit_messages
from thornspool.domain.retries import histories
from thornspool.platform import follower
from thornspool.platform import peer_calls
from thornspool.platform import store

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram that is sent; the limit of UDP over IPv4 is 65,507."""

RESERVED_UNIT_TOKEN_LAYERS = 1000.0
"""Token-layers per unit in a state update; a usual request reserves about
8,000."""

SLOWDOWN_UNITS = 10
"""Units per 1.0 of a slowdown factor; finer differences change no path."""

LIMIT_UNITS = 1000
"""Units per request per second of a limit."""

RETRY_AGE_UNIT_MS = 10
"""Unit of the ages of retries, which take two bytes then."""

ENDED_LIMIT = -1
"""Value that stands for the end of a limit."""

MAX_CHANGED_BYTES = store.MAX_BODY_BYTES
"""Largest size of the changes in a datagram after decompression.

They come from one response of the store. A datagram of 60 kB could otherwise
fill 60 MB of memory.
"""

COMPRESSION_LEVEL = 1
"""Fastest level of zlib.

It compresses a configuration of 1,900 routes from 376 kB to less than a
tenth in about 4 ms.
"""

logger = structlog.get_logger(__name__)


_PackedReport = tuple[int, int, list[tuple[int, int]]]
"""Total, number in the window, and ages in ``RETRY_AGE_UNIT_MS`` with numbers.
"""


_PackedReports = dict[int, dict[int, _PackedReport]]
"""Reports of retries by service and process."""


class _StateUpdate(msgspec.Struct, array_like=True, tag=0):
    host: str
    incarnation: str
    state: str
    stamp: int
    echoed_stamp: int
    revision: int
    proof_age_ms: int
    # In RESERVED_UNIT_TOKEN_LAYERS, which takes two bytes instead of five.
    reserved: dict[int, int]
    suspects: list[str]
    scope: str
    absent_hosts: list[str]
    # In tenths, see SLOWDOWN_UNITS.
    slowdowns: dict[int, int]
    refusing: list[int]
    request_counts: dict[int, int]
    failing: list[int] = []
    # First layer and end of each retained range.
    retained_ranges: dict[int, tuple[int, int]] = {}
    rejection_ms: int = 0
    # Requests per second in thousandths, ENDED_LIMIT for an ended limit, and
    # age in milliseconds.
    limits: dict[int, tuple[int, int]] = {}
    departures: list[int] = []
    # Revisions by hash.
    removals: dict[int, int] = {}
    retracted: list[str] = []
    links_lost: bool = False
    configuration: int = 0
    # In tokens or requests.
    admission: dict[int, int] = {}
    # See _PackedReports. It is the same for many receivers, and packed once.
    retries: msgspec.Raw = msgspec.Raw(b'\x80')
    retries_known_ms: int = 0
    knows_retries: bool = False


class _ChangeSet(msgspec.Struct, array_like=True, tag=1):
    since: int
    until: int
    # Compressed, see _ChangedItems.
    items: bytes
    exact: bool = False


class _LimitReport(msgspec.Struct, array_like=True, tag=2):
    host: str
    incarnation: str
    sequence: int
    lines: list[limit_messages.PackedDemand]
    limits: dict[str, tuple[int, int]]


class _LimitReply(msgspec.Struct, array_like=True, tag=3):
    host: str
    incarnation: str
    sequence: int
    ttl_ms: int
    grants: list[limit_messages.PackedGrant]


class _Call(msgspec.Struct, array_like=True, tag=4):
    # Number of the kind of message, see peer_calls.
    kind: int
    sender: str
    # Matches replies with requests; 0 for a message without a reply.
    sequence: int
    is_reply: bool
    body: bytes


class _FailureNotice(msgspec.Struct, array_like=True, tag=5):
    host: str
    incarnation: str
    suspects: list[str]
    retracted: list[str]


_ChangedItems = list[tuple[str, int, bytes | None]]

_DECODER = msgspec.msgpack.Decoder(
    _StateUpdate
    | _ChangeSet
    | _LimitReport
    | _LimitReply
    | _Call
    | _FailureNotice
)

Message = (
    messages.StateUpdate
    | messages.FailureNotice
    | follower.ChangeSet
    | limit_messages.PeerReport
    | limit_messages.PeerReply
    | peer_calls.Call
)


def encode_state_update(
    state_update: messages.StateUpdate, packed_retries: bytes | None = None
) -> bytes:
    """Encode a state update as a datagram.

    Parameters
    ----------
    state_update : messages.StateUpdate
        The state update.
    packed_retries : bytes, optional
        Its retries as ``pack_retries`` has packed them.
    """
    if packed_retries is None:
        packed_retries = pack_retries(state_update.retries)
    return msgspec.msgpack.encode(
        _StateUpdate(
            state_update.host,
            state_update.incarnation,
            state_update.state.value,
            state_update.stamp,
            state_update.echoed_stamp,
            state_update.revision,
            state_update.proof_age_ms,
            {
                server_hash: math.ceil(reserved / RESERVED_UNIT_TOKEN_LAYERS)
                for server_hash, reserved in state_update.reserved.items()
            },
            list(state_update.suspects),
            state_update.scope.value,
            list(state_update.absent_hosts),
            {
                server_hash: round(slowdown * SLOWDOWN_UNITS)
                for server_hash, slowdown in state_update.slowdowns.items()
            },
            list(state_update.refusing),
            {
                server_hash: round(count)
                for server_hash, count in state_update.request_counts.items()
            },
            list(state_update.failing),
            state_update.retained_ranges,
            state_update.rejection_ms,
            {
                server_hash: (
                    ENDED_LIMIT
                    if limit.per_s is None
                    else round(limit.per_s * LIMIT_UNITS),
                    limit.age_ms,
                )
                for server_hash, limit in state_update.limits.items()
            },
            list(state_update.departures),
            state_update.removals,
            list(state_update.retracted),
            state_update.links_lost,
            state_update.configuration_version,
            {
                key: math.ceil(amount)
                for key, amount in state_update.admission.items()
            },
            msgspec.Raw(packed_retries),
            state_update.retries_known_ms,
            state_update.knows_retries,
        )
    )


def pack_retries(
    retries: Mapping[int, Mapping[int, histories.Report]],
) -> bytes:
    """Pack the reports of retries for a state update."""
    packed: _PackedReports = {
        service_hash: {
            process_id: (
                report.total,
                report.in_window,
                [
                    (age // RETRY_AGE_UNIT_MS, count)
                    for age, count in report.groups
                ],
            )
            for process_id, report in by_process.items()
        }
        for service_hash, by_process in retries.items()
    }
    return msgspec.msgpack.encode(packed)


def _unpack_retries(
    packed: msgspec.Raw,
) -> dict[int, dict[int, histories.Report]]:
    decoded = msgspec.msgpack.decode(packed, type=_PackedReports)
    return {
        service_hash: {
            process_id: histories.Report(
                total,
                in_window,
                tuple(
                    (units * RETRY_AGE_UNIT_MS, count)
                    for units, count in groups
                ),
            )
            for process_id, (total, in_window, groups) in by_process.items()
        }
        for service_hash, by_process in decoded.items()
    }


def encode_failure_notice(notice: messages.FailureNotice) -> bytes:
    """Encode suspicions and retractions as a datagram."""
    return msgspec.msgpack.encode(
        _FailureNotice(
            notice.host,
            notice.incarnation,
            list(notice.suspects),
            list(notice.retracted),
        )
    )


def encode_change_set(change_set: follower.ChangeSet) -> bytes:
    """Encode changes of store keys as a datagram."""
    items = [
        (item.key, item.revision, item.value) for item in change_set.items
    ]
    compressed = zlib.compress(
        msgspec.msgpack.encode(items), COMPRESSION_LEVEL
    )
    return msgspec.msgpack.encode(
        _ChangeSet(
            change_set.since, change_set.until, compressed, change_set.exact
        )
    )


def encode_limit_message(
    message: limit_messages.PeerReport | limit_messages.PeerReply,
) -> bytes:
    """Encode a report or a reply about the limits of servers."""
    if isinstance(message, limit_messages.PeerReport):
        return msgspec.msgpack.encode(
            _LimitReport(
                message.host,
                message.incarnation,
                message.report.sequence,
                list(message.report.lines),
                message.limits,
            )
        )
    return msgspec.msgpack.encode(
        _LimitReply(
            message.host,
            message.incarnation,
            message.reply.sequence,
            message.reply.ttl_ms,
            list(message.reply.grants),
        )
    )


def decode_datagram(raw: bytes) -> Message | None:
    """Decode a datagram; malformed ones are logged and give None."""
    try:
        with decoding.translate_errors():
            return _convert_message(_DECODER.decode(raw))
    except decoding.DecodeError as error:
        logger.warning('datagram_malformed', reason=str(error))
        return None


def _convert_message(
    message: _StateUpdate
    | _ChangeSet
    | _LimitReport
    | _LimitReply
    | _Call
    | _FailureNotice,
) -> Message:
    if isinstance(message, _ChangeSet):
        return _convert_change_set(message)
    if isinstance(message, _LimitReport):
        return limit_messages.PeerReport(
            message.host,
            message.incarnation,
            limit_messages.DemandReport(
                message.sequence, tuple(message.lines)
            ),
            message.limits,
        )
    if isinstance(message, _Call):
        return peer_calls.Call(
            message.kind,
            message.sender,
            message.sequence,
            message.is_reply,
            message.body,
        )
    if isinstance(message, _FailureNotice):
        return messages.FailureNotice(
            message.host,
            message.incarnation,
            tuple(message.suspects),
            tuple(message.retracted),
        )
    if isinstance(message, _LimitReply):
        return limit_messages.PeerReply(
            message.host,
            message.incarnation,
            limit_messages.GrantReply(
                message.sequence, message.ttl_ms, tuple(message.grants)
            ),
        )
    return _convert_state_update(message)


def _convert_change_set(message: _ChangeSet) -> follower.ChangeSet:
    inflater = zlib.decompressobj()
    packed = inflater.decompress(message.items, MAX_CHANGED_BYTES)
    if not inflater.eof:
        raise ValueError(f'more than {MAX_CHANGED_BYTES} bytes, or cut off')
    items = msgspec.msgpack.decode(packed, type=_ChangedItems)
    return follower.ChangeSet(
        message.since,
        message.until,
        tuple(store.Item(*item) for item in items),
        message.exact,
    )


def _convert_state_update(message: _StateUpdate) -> messages.StateUpdate:
    state = messages.State(message.state)
    return messages.StateUpdate(
        message.host,
        message.incarnation,
        state,
        message.stamp,
        message.echoed_stamp,
        message.revision,
        message.proof_age_ms,
        {
            server_hash: units * RESERVED_UNIT_TOKEN_LAYERS
            for server_hash, units in message.reserved.items()
        },
        tuple(message.suspects),
        messages.Scope(message.scope),
        tuple(message.absent_hosts),
        {
            server_hash: slowdown / SLOWDOWN_UNITS
            for server_hash, slowdown in message.slowdowns.items()
        },
        tuple(message.refusing),
        {
            server_hash: float(count)
            for server_hash, count in message.request_counts.items()
        },
        tuple(message.failing),
        message.retained_ranges,
        message.rejection_ms,
        {
            server_hash: named_limits.ReportedLimit(
                None if units == ENDED_LIMIT else units / LIMIT_UNITS, age_ms
            )
            for server_hash, (units, age_ms) in message.limits.items()
        },
        tuple(message.departures),
        message.removals,
        tuple(message.retracted),
        message.links_lost,
        message.configuration,
        {key: float(amount) for key, amount in message.admission.items()},
        _unpack_retries(message.retries),
        message.retries_known_ms,
        message.knows_retries,
    )


class PeerSocket(asyncio.DatagramProtocol):
    """UDP socket that exchanges state updates and changes with peers.

    Parameters
    ----------
    on_state_update : callable
        Called with each state update or failure notice that is received.
    on_change_set : callable
        Called with each change set that is received.
    on_limit_message : callable
        Called with each report or reply about the limits of servers.
    on_call : callable
        Called with each other message, and the ``ip:port`` of its sender.

    Attributes
    ----------
    passed_bytes : int
        Bytes of all datagrams sent and received.
    """

    def __init__(
        self,
        on_state_update: Callable[
            [messages.StateUpdate | messages.FailureNotice], None
        ],
        on_change_set: Callable[[follower.ChangeSet], None],
        on_limit_message: Callable[
            [limit_messages.PeerReport | limit_messages.PeerReply], None
        ],
        on_call: Callable[[peer_calls.Call, str], None],
    ) -> None:
        self._on_state_update = on_state_update
        self._on_change_set = on_change_set
        self._on_limit_message = on_limit_message
        self._on_call = on_call
        self.passed_bytes = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._last_retries: dict[int, dict[int, histories.Report]] = {}
        self._packed_retries = pack_retries(self._last_retries)

    async def open(self, ip: str, port: int) -> None:
        """Bind the socket to ``ip:port``."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the bound socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode one datagram and call its handler."""
        self.passed_bytes += len(data)
        message = decode_datagram(data)
        if isinstance(message, messages.StateUpdate | messages.FailureNotice):
            self._on_state_update(message)
        elif isinstance(message, follower.ChangeSet):
            self._on_change_set(message)
        elif isinstance(message, peer_calls.Call):
            self._on_call(message, f'{addr[0]}:{addr[1]}')
        elif message is not None:
            self._on_limit_message(message)

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        logger.debug('datagram_failed', reason=str(exc))

    def send(
        self,
        address: str,
        state_update: messages.StateUpdate | messages.FailureNotice,
    ) -> None:
        """Send a state update or a failure notice to ``ip:port``."""
        if isinstance(state_update, messages.FailureNotice):
            raw = encode_failure_notice(state_update)
        else:
            raw = encode_state_update(
                state_update, self._pack_retries(state_update.retries)
            )
        if len(raw) > MAX_DATAGRAM_BYTES:
            logger.warning('news_too_large', bytes=len(raw))
            return
        self._send_raw(address, raw)

    def _pack_retries(
        self, retries: dict[int, dict[int, histories.Report]]
    ) -> bytes:
        """Pack reports once for all receivers of the same object."""
        if retries is not self._last_retries:
            self._last_retries = retries
            self._packed_retries = pack_retries(retries)
        return self._packed_retries

    def send_limit_message(
        self,
        address: str,
        message: limit_messages.PeerReport | limit_messages.PeerReply,
    ) -> None:
        """Send a report or a reply about limits to ``ip:port``."""
        self._send_raw(address, encode_limit_message(message))

    def send_call(self, address: str, call: peer_calls.Call) -> None:
        """Send a request, a reply or another message to ``ip:port``."""
        raw = msgspec.msgpack.encode(
            _Call(
                call.kind, call.sender, call.sequence, call.is_reply, call.body
            )
        )
        if len(raw) > MAX_DATAGRAM_BYTES:
            logger.warning('news_too_large', bytes=len(raw))
            return
        self._send_raw(address, raw)

    def send_change_set(
        self, addresses: Iterable[str], change_set: follower.ChangeSet
    ) -> None:
        """Send changes to several peers.

        Changes that do not fit into a datagram are not sent; the peers read
        them from the store.
        """
        raw = encode_change_set(change_set)
        if len(raw) > MAX_DATAGRAM_BYTES:
            logger.info('update_too_large', bytes=len(raw))
            return
        for address in addresses:
            self._send_raw(address, raw)

    def _send_raw(self, address: str, raw: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self.passed_bytes += len(raw)
        ip, _, port = address.rpartition(':')
        self._transport.sendto(raw, (ip, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
