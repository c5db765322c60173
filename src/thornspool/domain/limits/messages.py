"""Messages about limits, some of which are sent between entries."""

from __future__ import annotations

import enum
import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Amounts:
    """One value for each limit of a workspace.

    Attributes
    ----------
    requests_per_s, tokens_per_s : float
        Requests and generated tokens per second.
    concurrency : float
        Requests in flight.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: float = 0.0


@attrs.frozen
class WorkspaceDemand:
    """Demand of callers for one workspace at one entry.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    sequence : int
        Monotonic milliseconds of the sender; they increase with each
        report.
    demand : Amounts
        Demand, including refused requests.
    held : Amounts
        Share that the sender holds until its next grant.
    """

    workspace: str
    sequence: int
    demand: Amounts
    held: Amounts


@attrs.frozen
class WorkspaceGrant:
    """Share of a workspace's limits that is granted to one entry.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    sequence : int
        Sequence of the report that it answers. The receiver applies only
        the grant for its latest report.
    share : Amounts
        Amounts that the entry may admit.
    ttl_ms : int
        Lifetime in milliseconds, from the sending of the report.
    """

    workspace: str
    sequence: int
    share: Amounts
    ttl_ms: int


PackedAmounts = tuple[int, int, int]
"""Requests and tokens per second and concurrency, scaled by `WIRE_SCALE`."""

PackedDemand = tuple[str, int, int, int, int, int, int]
"""Workspace, packed demand and packed share that the sender holds."""

PackedGrant = tuple[str, int, int, int]
"""Workspace and its packed share."""


@attrs.frozen
class DemandReport:
    """Demand of an entry, sent to the entry that owns the workspaces.

    Lines are arrays of integers. Field names and 64-bit numbers took four
    fifths of each line, in a bandwidth that all control messages share.

    Attributes
    ----------
    sequence : int
        Sequence of all lines.
    lines : tuple of PackedDemand
        Lines as built by `pack_report`.
    """

    sequence: int
    lines: tuple[PackedDemand, ...]


@attrs.frozen
class GrantReply:
    """Reply to a report; it has no grants for workspaces without limits.

    Attributes
    ----------
    sequence, ttl_ms : int
        Sequence, and lifetime in milliseconds, of all grants.
    grants : tuple of PackedGrant
        Grants as built by `pack_reply`.
    """

    sequence: int
    ttl_ms: int
    grants: tuple[PackedGrant, ...]


@attrs.frozen
class PeerReport:
    """Report about servers from an entry on the platform.

    Attributes
    ----------
    host, incarnation : str
        Sender and its process.
    report : DemandReport
        Its demand for servers, which stand in place of workspaces.
    limits : dict of str to tuple of int
        What the sender knows of the limits, so that an owner that does not
        know them yet can reply: requests per second, scaled by `WIRE_SCALE`,
        and age in milliseconds.
    """

    host: str
    incarnation: str
    report: DemandReport
    limits: dict[str, tuple[int, int]]


@attrs.frozen
class PeerReply:
    """Reply to a `PeerReport`.

    Attributes
    ----------
    host, incarnation : str
        Sender and its process.
    reply : GrantReply
        The granted shares.
    """

    host: str
    incarnation: str
    reply: GrantReply


WIRE_SCALE = 1000
"""Factor by which amounts are multiplied to send them as integers."""


def round_share(share: Amounts) -> Amounts:
    """Round a share down to a value that is sent without loss.

    If it were rounded only when sent, the owner would count a different
    share from the one its holder uses, and the sum of the shares could
    exceed the limit.
    """
    return _unpack_amounts(
        (
            math.floor(share.requests_per_s * WIRE_SCALE),
            math.floor(share.tokens_per_s * WIRE_SCALE),
            math.floor(share.concurrency * WIRE_SCALE),
        )
    )


def pack_report(lines: Sequence[WorkspaceDemand]) -> DemandReport:
    """Build the report from lines that have the same sequence."""
    return DemandReport(
        lines[0].sequence if lines else 0,
        tuple(
            (
                line.workspace,
                *_pack_amounts(line.demand),
                *_pack_amounts(line.held),
            )
            for line in lines
        ),
    )


def unpack_report(report: DemandReport) -> tuple[WorkspaceDemand, ...]:
    """Return the lines of a report."""
    return tuple(
        WorkspaceDemand(
            workspace,
            report.sequence,
            _unpack_amounts((requests, tokens, concurrency)),
            _unpack_amounts(held),
        )
        for workspace, requests, tokens, concurrency, *held in report.lines
    )


def pack_reply(
    sequence: int, ttl_ms: int, grants: Sequence[WorkspaceGrant]
) -> GrantReply:
    """Build the reply to the report with a given sequence."""
    return GrantReply(
        sequence,
        ttl_ms,
        tuple(
            (grant.workspace, *_pack_amounts(grant.share)) for grant in grants
        ),
    )


def unpack_reply(reply: GrantReply) -> tuple[WorkspaceGrant, ...]:
    """Return the grants of a reply."""
    return tuple(
        WorkspaceGrant(
            workspace, reply.sequence, _unpack_amounts(share), reply.ttl_ms
        )
        for workspace, *share in reply.grants
    )


def _pack_amounts(amounts: Amounts) -> PackedAmounts:
    return (
        round(amounts.requests_per_s * WIRE_SCALE),
        round(amounts.tokens_per_s * WIRE_SCALE),
        round(amounts.concurrency * WIRE_SCALE),
    )


def _unpack_amounts(packed: Sequence[int]) -> Amounts:
    requests, tokens, concurrency = packed
    return Amounts(
        requests / WIRE_SCALE, tokens / WIRE_SCALE, concurrency / WIRE_SCALE
    )


class Reason(enum.Enum):
    """Reason for which a request was refused on admission."""

    REQUESTS = 'requests limit'
    TOKENS = 'tokens limit'
    CONCURRENCY = 'concurrency limit'
    OVERLOAD = 'overload'
    DEADLINE = 'deadline'


@attrs.frozen
class Rejection:
    """Result of the admission of a request that may not run.

    Attributes
    ----------
    reason : Reason
        Reason for the refusal.
    retry_after_ms : int
        Milliseconds after which a retry may succeed.
    """

    reason: Reason
    retry_after_ms: int


@attrs.frozen
class Capacity:
    """Capacity that the ready targets of a group report, as a sum.

    Attributes
    ----------
    concurrency : float
        Requests that they can run concurrently; 0 if none has reported.
    waiting : float
        Requests in their queues.
    """

    concurrency: float = 0.0
    waiting: float = 0.0


@attrs.frozen
class RequestEstimate:
    """Request that is to be admitted to a target group.

    Attributes
    ----------
    group : str
        Model or service whose targets will run it.
    kind : str
        Kind of work, whose requests have similar durations: the model, or
        the operation of its service.
    max_units : int
        Maximum number of tokens after the first; 0 for a call.
    deadline : int
        Monotonic milliseconds by which the caller expects the answer.
    """

    group: str
    kind: str
    max_units: int
    deadline: int


@attrs.frozen
class Ticket:
    """Admission of a request, to be returned when the request ends.

    Attributes
    ----------
    workspace : str
        Workspace of the caller.
    estimate : RequestEstimate
        The admitted request.
    admitted_at : int
        Monotonic milliseconds of the admission.
    """

    workspace: str
    estimate: RequestEstimate
    admitted_at: int


@attrs.frozen
class Admitted:
    """Result of the admission of a request that may run."""

    ticket: Ticket
