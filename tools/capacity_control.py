"""Measures what limits, quarantine and questions to engines cost an entry.

Parts of one entry of 350 run in this process; others are replaced by their
messages, which are encoded and decoded as on the wire. Nothing is sent.
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
FAR_MS = 10**12

Measured = tuple[str, tuple[tuple[int, ...], tuple[float, ...]]]
"""Unit, then sizes and values."""


class SteppedClock(clock_module.Clock):
    """A clock that moves from round to round."""

    def __init__(self) -> None:
        self.at = 1_000_000

    def now(self) -> int:
        """Return monotonic milliseconds."""
        return self.at


class Members:
    """A view of the whole fleet that does not change."""

    def __init__(self) -> None:
        self._members = tuple(build_member(at) for at in range(MEMBERS))
        self._by_name = {one.incarnation: one for one in self._members}

    def list_members(self) -> tuple[ports.Member, ...]:
        """Return all members."""
        return self._members

    def find(self, incarnation: str) -> ports.Member | None:
        """Return a member."""
        return self._by_name.get(incarnation)


class Wire:
    """Takes reports of one entry and answers them as owners would.

    Attributes
    ----------
    handler : callable or None
        Answers reports of others.
    """

    def __init__(self, own: ports.Member) -> None:
        self.handler: typing.Any = None
        self._own = own
        self._registry = registry.Registry()
        for message_type in (messages.DemandReport, messages.GrantReply):
            self._registry.register(message_type)

    def handle(self, message_type: type, handler: typing.Any) -> None:
        """Keep the handler of reports."""
        self.handler = handler

    async def request(
        self, address: str, report: messages.DemandReport, timeout_ms: int
    ) -> messages.GrantReply:
        """Encode a report, and decode an answer that grants little."""
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
        recipient = packing.digest_incarnation(self._own.incarnation)
        kind, body = self._registry.encode(message)
        return frames.encode(
            frames.Frame(
                self._own.incarnation,
                self._own.peer_address,
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
    """Build a member whose incarnation is like a real one."""
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
    admission.AdmissionService, Wire, SteppedClock, list[str]
]:
    """Build the admission of one entry, for workspaces others look after."""
    clock, members = SteppedClock(), Members()
    own = build_member(0)
    wire = Wire(own)
    names = [f'workspace-{number:05}' for number in range(200)]
    snapshot = documents.Snapshot(
        1, {name: documents.Workspace(name, limits=LIMITS) for name in names}
    )
    service = admission.AdmissionService(
        lambda: snapshot,
        members,
        own.incarnation,
        typing.cast('ports.Peers', wire),
        clock,
        lambda: 0.5,
        lambda group: messages.Capacity(),
    )
    return service, wire, clock, names


def time_reporting(lines: int) -> float:
    """Return the milliseconds that one round of reports of lines takes."""
    service, _, clock, names = build_service()
    asked = messages.RequestEstimate('text', 'text', 0, FAR_MS)
    loop = asyncio.new_event_loop()
    seconds = 0.0
    for _ in range(ROUNDS):
        clock.at += ROUND_MS
        for name in names[:lines]:
            for _ in range(2):
                service.admit(name, asked, clock.at)
        started = time.process_time()
        loop.run_until_complete(service.exchange_shares(clock.at))
        seconds += time.process_time() - started
    loop.close()
    return seconds / ROUNDS * 1000


def time_answering(lines: int) -> float:
    """Return the milliseconds that an owner takes to answer one report."""
    _, wire, clock, names = build_service()
    loop = asyncio.new_event_loop()
    amounts = messages.Amounts(12.3456, 4567.891, 17.0)
    seconds = 0.0
    for number in range(ROUNDS):
        clock.at += ROUND_MS
        report = messages.pack_report(
            [
                messages.WorkspaceDemand(name, clock.at, amounts, amounts)
                for name in names[:lines]
            ]
        )
        sender = build_member(1 + number % (MEMBERS - 1)).incarnation
        data = wire.encode(report)
        started = time.process_time()
        reply = loop.run_until_complete(
            wire.handler(sender, wire.decode(data))
        )
        wire.encode(reply, True)
        seconds += time.process_time() - started
    loop.close()
    return seconds / ROUNDS * 1000


def count_report_bytes(lines: int) -> float:
    """Return the bytes of the frame of a report."""
    amounts = messages.Amounts(12.3456, 4567.891, 17.0)
    line = messages.WorkspaceDemand(
        'workspace-12345', 1_234_567_890, amounts, amounts
    )
    report = messages.pack_report([line] * lines)
    return float(len(Wire(build_member(100)).encode(report)))


def count_reply_bytes(lines: int) -> float:
    """Return the bytes of the frame of the answer to a report."""
    share = messages.Amounts(12.3456, 4567.891, 17.0)
    grant = messages.WorkspaceGrant(
        'workspace-12345', 1_234_567_890, share, shares.GRANT_TTL_MS
    )
    reply = messages.pack_reply(
        grant.sequence, shares.GRANT_TTL_MS, [grant] * lines
    )
    return float(len(Wire(build_member(100)).encode(reply, True)))


def count_frame_bytes(body: int) -> float:
    """Return the bytes of the frame of a question with a body."""
    own = build_member(100)
    frame = frames.Frame(
        own.incarnation,
        own.peer_address,
        'limits.DemandReport',
        1_000,
        frames.NO_RECIPIENT,
        bytes(body),
    )
    return float(len(frames.encode(frame)))


def build_limiter(workspaces: int) -> limiter.WorkspaceLimiter:
    """Build an entry's side of limits with active workspaces."""
    made = limiter.WorkspaceLimiter(MEMBERS)
    for number in range(workspaces):
        for _ in range(2):
            made.admit(f'workspace-{number:05}', LIMITS, 1_000)
    for report in made.collect_reports(2_000, workspaces):
        share = messages.Amounts(1.0, 1_000.0, 1.0)
        made.apply_grant(
            messages.WorkspaceGrant(
                report.workspace, report.sequence, share, shares.GRANT_TTL_MS
            ),
            2_000,
        )
    return made


def build_holdings(workspaces: int) -> shares.ShareLedger:
    """Build an owner's side with one holder of each workspace."""
    made = shares.ShareLedger()
    for number in range(workspaces):
        amounts = messages.Amounts(1.5 + number, 100.5 + number, 1.0)
        line = messages.WorkspaceDemand(
            f'workspace-{number:05}', 1_000 + number, amounts, amounts
        )
        holder = build_member(number % MEMBERS).incarnation
        made.grant(holder, line, LIMITS, MEMBERS, True, 1_000)
    return made


def build_quarantine(size: int, deaths: int = 1) -> records.QuarantineRecords:
    """Build records of requests that each were in flight at deaths."""
    made = records.QuarantineRecords(build_member(0).incarnation)
    for number in range(size):
        fingerprint = frozenset([f'{number:032x}'])
        for death in range(deaths):
            now = 1_000 + 2 * records.SAME_DEATH_MS * death
            made.record_death(
                f'engine-{number % 690}', fingerprint, frozenset(), now
            )
    return made


def build_often_dead(size: int) -> records.QuarantineRecords:
    """Build records that hold the most deaths that are kept."""
    return build_quarantine(size, records.MAX_DEATHS)


def count_loads_bytes(stages: int) -> float:
    """Return the bytes that loads add to the end of an answer."""
    load = engine_messages.Load('engine-123', 'ready', 14, 3, 16, 12.5)
    told = engine_messages.End('r', 0, 350, [load] * stages)
    return _count_json(told) - _count_json(engine_messages.End('r', 0, 350))


def count_hops_bytes(stages: int) -> float:
    """Return the bytes that times of links add to a token."""
    hops = [0.27 + 12.5 * (at % 2) for at in range(stages - 1)]
    token = engine_messages.Frame('r', 0, 1, ' the', [])
    told = engine_messages.Frame('r', 0, 1, ' the', [], hops)
    return _count_json(told) - _count_json(token)


def _count_json(message: object) -> float:
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
        By name.
    """
    # Types are registered and decoders built on the first use.
    time_reporting(1)
    time_answering(1)
    return {
        'limits_report_cpu_by_line': _measure(
            'ms', time_reporting, LINE_SIZES
        ),
        'limits_answer_cpu_by_line': _measure(
            'ms', time_answering, LINE_SIZES
        ),
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
