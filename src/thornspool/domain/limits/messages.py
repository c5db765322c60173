"""Typed messages about limits, some of which travel between entries."""

from __future__ import annotations

import enum
import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Amounts:
    """One number for each limit of a workspace.

    Attributes
    ----------
    requests_per_s, tokens_per_s : float
        Rates.
    concurrency : float
        Requests in flight.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: float = 0.0


@attrs.frozen
class WorkspaceDemand:
    """What callers ask of one entry for one workspace.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    sequence : int
        Monotonic milliseconds of the sender; a later report has a higher
        one.
    demand : Amounts
        Asked for, whether admitted or refused.
    held : Amounts
        Share that the sender holds until its next grant.
    """

    workspace: str
    sequence: int
    demand: Amounts
    held: Amounts


@attrs.frozen
class WorkspaceGrant:
    """A share of a workspace's limits.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    sequence : int
        That of the report which it answers; older ones are not applied.
    share : Amounts
        What the entry may admit.
    ttl_ms : int
        Milliseconds, counted from the sending of the report.
    """

    workspace: str
    sequence: int
    share: Amounts
    ttl_ms: int


PackedAmounts = tuple[int, int, int]
"""Requests and tokens a second and concurrency, in units of the wire."""

PackedDemand = tuple[str, int, int, int, int, int, int]
"""Workspace, then demand, then the share that is held."""

PackedGrant = tuple[str, int, int, int]
"""Workspace and its share."""


@attrs.frozen
class DemandReport:
    """Demand of an entry, sent to the entry that shares the limits out.

    Lines are arrays of integers: names of fields and 64-bit numbers took
    four fifths of each line, of a bandwidth that all control shares.

    Attributes
    ----------
    sequence : int
        That of every line.
    lines : tuple of PackedDemand
        From `pack_report`.
    """

    sequence: int
    lines: tuple[PackedDemand, ...]


@attrs.frozen
class GrantReply:
    """Answer to a report; lines of workspaces without limits are absent.

    Attributes
    ----------
    sequence, ttl_ms : int
        Those of every grant.
    grants : tuple of PackedGrant
        From `pack_reply`.
    """

    sequence: int
    ttl_ms: int
    grants: tuple[PackedGrant, ...]


UNITS = 1000
"""Units of the wire in one request, one token a second or one in flight."""


def round_share(share: Amounts) -> Amounts:
    """Round a share down to what the wire carries exactly.

    Were it rounded on the wire only, an owner would count another share
    than the one its holder uses, and shares could add up to more than the
    limit.
    """
    return _unpack_amounts(
        (
            math.floor(share.requests_per_s * UNITS),
            math.floor(share.tokens_per_s * UNITS),
            math.floor(share.concurrency * UNITS),
        )
    )


def pack_report(lines: Sequence[WorkspaceDemand]) -> DemandReport:
    """Make the report of lines that have the same sequence."""
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
    """Read the lines of a report."""
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
    """Make the answer to the report of a sequence."""
    return GrantReply(
        sequence,
        ttl_ms,
        tuple(
            (grant.workspace, *_pack_amounts(grant.share)) for grant in grants
        ),
    )


def unpack_reply(reply: GrantReply) -> tuple[WorkspaceGrant, ...]:
    """Read the grants of an answer."""
    return tuple(
        WorkspaceGrant(
            workspace, reply.sequence, _unpack_amounts(share), reply.ttl_ms
        )
        for workspace, *share in reply.grants
    )


def _pack_amounts(amounts: Amounts) -> PackedAmounts:
    return (
        round(amounts.requests_per_s * UNITS),
        round(amounts.tokens_per_s * UNITS),
        round(amounts.concurrency * UNITS),
    )


def _unpack_amounts(packed: Sequence[int]) -> Amounts:
    requests, tokens, concurrency = packed
    return Amounts(requests / UNITS, tokens / UNITS, concurrency / UNITS)


class Reason(enum.Enum):
    """Why a request was refused at once."""

    REQUESTS = 'requests limit'
    TOKENS = 'tokens limit'
    CONCURRENCY = 'concurrency limit'
    OVERLOAD = 'overload'
    DEADLINE = 'deadline'


@attrs.frozen
class Refused:
    """The request was not run.

    Attributes
    ----------
    reason : Reason
        What stood against it.
    retry_after_ms : int
        When sending it again may help, in milliseconds.
    """

    reason: Reason
    retry_after_ms: int


@attrs.frozen
class Capacity:
    """What the ready targets of a group say of themselves, added up.

    Attributes
    ----------
    slots : float
        Requests that they can run at once; 0 if none has said.
    waiting : float
        Requests in their queues.
    """

    slots: float = 0.0
    waiting: float = 0.0


@attrs.frozen
class Asked:
    """A request that waits to be admitted to a target group.

    Attributes
    ----------
    group : str
        Model or service, whose targets will run it.
    kind : str
        Names work that takes about as long: the model, or the operation
        within its service.
    units : int
        Most tokens after the first; 0 for a call.
    deadline : int
        Monotonic milliseconds by which the caller wants the answer.
    """

    group: str
    kind: str
    units: int
    deadline: int


@attrs.frozen
class Ticket:
    """An admitted request, handed back when it ends.

    Attributes
    ----------
    workspace : str
        Workspace of the caller.
    asked : Asked
        What was admitted.
    admitted_at : int
        Monotonic milliseconds.
    """

    workspace: str
    asked: Asked
    admitted_at: int


@attrs.frozen
class Admitted:
    """The request may run."""

    ticket: Ticket
