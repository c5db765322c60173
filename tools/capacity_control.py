"""Measure the cost of limits, quarantine and engine reports for an entry.

Parts of one entry of 350 run in this process. The messages of the other
entries are encoded and decoded as on the wire, but nothing is sent.
"""

from __future__ import annotations

import asyncio
import time
import typing
import uuid

import msgspec

from standins import engine_messages
from thornspool import clock as clock_module
from thornspool.adapters.peers import frames
from thornspool.adapters.peers import packing
from thornspool.adapters.peers import registry
from thornspool.application import admission
from thornspool.application import ports
from thornspool.domain.configuration import documents
from thornspool.domain.limits import limiter
from thornspool.domain.limits import messages
from thornspool.domain.limits import shares
from thornspool.domain.quarantine import records

MEMBERS = 350
WORKSPACE_SIZES = (100, 400, 1_600)
RECORD_SIZES = (100, 400, 1_600)
LINE_SIZES = (1, 8, 24)
BODY_SIZES = (50, 200, 1_000)
STAGE_SIZES = (2, 4, 8)
ROUNDS = 200
ROUND_MS = 10_000
LIMITS = documents.Limits(1_000.0, 1_000_000.0, 1_000)
FAR_DEADLINE_MS = 10**12

Measured = tuple[str, tuple[tuple[int, ...], tuple[float, ...]]]
"""Unit, with the sizes and the values."""


class SteppedClock(clock_module.Clock):
    """A clock that advances only between rounds."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000

    def now(self) -> int:
        """Return the simulated monotonic time in milliseconds."""
        return self.now_ms


class Members:
    """A constant membership view of the whole fleet."""

    def __init__(self) -> None:
        self._members = tuple(
            build_member(number) for number in range(MEMBERS)
        )
        self._by_name = {
            member.incarnation: member for member in self._members
        }

    def list_members(self) -> tuple[ports.Member, ...]:
        """Return all members."""
        return self._members

    def find(self, incarnation: str) -> ports.Member | None:
        """Return the member with an incarnation, or None."""
        return self._by_name.get(incarnation)


class ReplyingPeers:
    """Replies to the reports of one entry like the owners of workspaces.

    Parameters
    ----------
    local_member : ports.Member
        The entry that sends the reports.

    Attributes
    ----------
    handler : callable or None
        Handler for the reports of other entries.
    """

    def __init__(self, local_member: ports.Member) -> None:
        self.handler: typing.Any = None
        self._local_member = local_member
        self._registry = registry.Registry()
        for message_type in (messages.DemandReport, messages.GrantReply):
            self._registry.register(message_type)

    def handle(self, message_type: type, handler: typing.Any) -> None:
        """Register the handler of reports."""
        self.handler = handler

    async def request(
        self, address: str, report: messages.DemandReport, timeout_ms: int
    ) -> messages.GrantReply:
        """Encode a report and return a decoded reply with small grants."""
        self.encode(report)
        grants = [
            messages.WorkspaceGrant(
                line.workspace,
                report.sequence,
                messages.Amounts(1.0, 1_000.0, 1.0),
                shares.GRANT_TTL_MS,
            )
            for line in messages.unpack_report(report)
        ]
        reply = messages.pack_reply(
            report.sequence, shares.GRANT_TTL_MS, grants
        )
        return typing.cast(
            'messages.GrantReply', self.decode(self.encode(reply, True))
        )

    def encode(self, message: object, is_reply: bool = False) -> bytes:
        """Encode a message in its frame."""
        recipient = packing.digest_incarnation(self._local_member.incarnation)
        kind, body = self._registry.encode(message)
        return frames.encode(
            frames.Frame(
                self._local_member.incarnation,
                self._local_member.peer_address,
                kind,
                1_000,
                recipient if is_reply else frames.NO_RECIPIENT,
                body,
            )
        )

    def decode(self, data: bytes) -> typing.Any:
        """Decode a frame and its message."""
        frame = frames.decode(data)
        return self._registry.decode(frame.kind, frame.body)


def build_member(number: int) -> ports.Member:
    """Build a member with an incarnation of realistic length."""
    address = f'10.1.{number // 250}.{number % 250 + 1}'
    identifier = uuid.UUID(int=number << 64 | 0x7 << 76, version=4)
    return ports.Member(
        f'entry-{number:03}-{identifier}',
        f'entry-{number:03}',
        f'perth-{number % 7}',
        'perth',
        f'tcp://{address}:7400',
        f'http://{address}:8400',
    )


def build_service() -> tuple[
    admission.AdmissionService, ReplyingPeers, SteppedClock, list[str]
]:
    """Build the admission of one entry for workspaces of other owners."""
    clock, members = SteppedClock(), Members()
    local_member = build_member(0)
    peers = ReplyingPeers(local_member)
    names = [f'workspace-{number:05}' for number in range(200)]
    snapshot = documents.Snapshot(
        1, {name: documents.Workspace(name, limits=LIMITS) for name in names}
    )
    service = admission.AdmissionService(
        lambda: snapshot,
        members,
        local_member.incarnation,
        typing.cast('ports.Peers', peers),
        clock,
        lambda: 0.5,
        lambda group: messages.Capacity(),
    )
    return service, peers, clock, names


def time_reports(lines: int) -> float:
    """Return the milliseconds of one round of reports."""
    service, _, clock, names = build_service()
    request = messages.RequestEstimate('text', 'text', 0, FAR_DEADLINE_MS)
    loop = asyncio.new_event_loop()
    seconds = 0.0
    for _ in range(ROUNDS):
        clock.now_ms += ROUND_MS
        for name in names[:lines]:
            for _ in range(2):
                service.admit(name, request, clock.now_ms)
        started = time.process_time()
        loop.run_until_complete(service.exchange_shares(clock.now_ms))
        seconds += time.process_time() - started
    loop.close()
    return seconds / ROUNDS * 1000


def time_replies(lines: int) -> float:
    """Return the milliseconds in which an owner replies to one report."""
    _, peers, clock, names = build_service()
    loop = asyncio.new_event_loop()
    amounts = messages.Amounts(12.3456, 4567.891, 17.0)
    seconds = 0.0
    for number in range(ROUNDS):
        clock.now_ms += ROUND_MS
        report = messages.pack_report(
            [
                messages.WorkspaceDemand(name, clock.now_ms, amounts, amounts)
                for name in names[:lines]
            ]
        )
        sender = build_member(1 + number % (MEMBERS - 1)).incarnation
        data = peers.encode(report)
        started = time.process_time()
        reply = loop.run_until_complete(
            peers.handler(sender, peers.decode(data))
        )
        peers.encode(reply, True)
        seconds += time.process_time() - started
    loop.close()
    return seconds / ROUNDS * 1000


def count_report_bytes(lines: int) -> float:
    """Return the size of the frame of a report in bytes."""
    amounts = messages.Amounts(12.3456, 4567.891, 17.0)
    line = messages.WorkspaceDemand(
        'workspace-12345', 1_234_567_890, amounts, amounts
    )
    report = messages.pack_report([line] * lines)
    return float(len(ReplyingPeers(build_member(100)).encode(report)))


def count_reply_bytes(lines: int) -> float:
    """Return the size of the frame of the reply to a report in bytes."""
    share = messages.Amounts(12.3456, 4567.891, 17.0)
    grant = messages.WorkspaceGrant(
        'workspace-12345', 1_234_567_890, share, shares.GRANT_TTL_MS
    )
    reply = messages.pack_reply(
        grant.sequence, shares.GRANT_TTL_MS, [grant] * lines
    )
    return float(len(ReplyingPeers(build_member(100)).encode(reply, True)))


def count_frame_bytes(body: int) -> float:
    """Return the size of the frame of a request with a body in bytes."""
    local_member = build_member(100)
    frame = frames.Frame(
        local_member.incarnation,
        local_member.peer_address,
        'limits.DemandReport',
        1_000,
        frames.NO_RECIPIENT,
        bytes(body),
    )
    return float(len(frames.encode(frame)))


def build_limiter(workspaces: int) -> limiter.WorkspaceLimiter:
    """Build the limiter of an entry with active workspaces."""
    state = limiter.WorkspaceLimiter(MEMBERS)
    for number in range(workspaces):
        for _ in range(2):
            state.admit(f'workspace-{number:05}', LIMITS, 1_000)
    for report in state.collect_reports(2_000, workspaces):
        share = messages.Amounts(1.0, 1_000.0, 1.0)
        state.apply_grant(
            messages.WorkspaceGrant(
                report.workspace, report.sequence, share, shares.GRANT_TTL_MS
            ),
            2_000,
        )
    return state


def build_holdings(workspaces: int) -> shares.ShareLedger:
    """Build the share ledger of an owner with one holder a workspace."""
    state = shares.ShareLedger()
    for number in range(workspaces):
        amounts = messages.Amounts(1.5 + number, 100.5 + number, 1.0)
        line = messages.WorkspaceDemand(
            f'workspace-{number:05}', 1_000 + number, amounts, amounts
        )
        holder = build_member(number % MEMBERS).incarnation
        state.grant(holder, line, LIMITS, MEMBERS, True, 1_000)
    return state


def build_quarantine(size: int, crashes: int = 1) -> records.QuarantineRecords:
    """Build records of requests that were in flight at crashes.

    Parameters
    ----------
    size : int
        Number of requests.
    crashes : int, optional
        Number of crashes of each request.
    """
    state = records.QuarantineRecords(build_member(0).incarnation)
    for number in range(size):
        fingerprint = frozenset([f'{number:032x}'])
        for crash in range(crashes):
            now = 1_000 + 2 * records.SAME_DEATH_MS * crash
            state.record_death(
                f'engine-{number % 690}', fingerprint, frozenset(), now
            )
    return state


def build_often_crashed(size: int) -> records.QuarantineRecords:
    """Build records with the maximum number of retained crashes."""
    return build_quarantine(size, records.MAX_DEATHS)


def count_loads_bytes(stages: int) -> float:
    """Return the bytes that load reports add to the end of a response."""
    load = engine_messages.Load('engine-123', 'ready', 14, 3, 16, 12.5)
    end = engine_messages.End('r', 0, 350, [load] * stages)
    return _count_json_bytes(end) - _count_json_bytes(
        engine_messages.End('r', 0, 350)
    )


def count_hops_bytes(stages: int) -> float:
    """Return the bytes that link times add to a token."""
    hops = [0.27 + 12.5 * (number % 2) for number in range(stages - 1)]
    token = engine_messages.Frame('r', 0, 1, ' the', [])
    with_hops = engine_messages.Frame('r', 0, 1, ' the', [], hops)
    return _count_json_bytes(with_hops) - _count_json_bytes(token)


def _count_json_bytes(message: object) -> float:
    return float(len(msgspec.json.encode(message)))


def _measure(
    unit: str, count: typing.Callable[[int], float], sizes: tuple[int, ...]
) -> Measured:
    return unit, (sizes, tuple(count(size) for size in sizes))


def measure_control() -> dict[str, Measured]:
    """Measure processor time and bytes.

    Returns
    -------
    dict of str to Measured
        Quantities by name.
    """
    # Warm-up: types are registered and decoders built on the first use.
    time_reports(1)
    time_replies(1)
    return {
        'limits_report_cpu_by_line': _measure('ms', time_reports, LINE_SIZES),
        'limits_answer_cpu_by_line': _measure('ms', time_replies, LINE_SIZES),
        'limits_report_bytes_by_line': _measure(
            'bytes', count_report_bytes, LINE_SIZES
        ),
        'limits_answer_bytes_by_line': _measure(
            'bytes', count_reply_bytes, LINE_SIZES
        ),
        'frame_bytes_by_byte_of_body': _measure(
            'bytes', count_frame_bytes, BODY_SIZES
        ),
        'loads_bytes_by_stage': _measure(
            'bytes', count_loads_bytes, STAGE_SIZES
        ),
        'hops_bytes_by_stage': _measure(
            'bytes', count_hops_bytes, STAGE_SIZES
        ),
    }
