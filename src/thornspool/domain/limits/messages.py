"""Typed messages about limits, some of which travel between entries."""

from __future__ import annotations

import enum

import attrs


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
class DemandReport:
    """Demand of an entry, sent to the entry that shares the limits out."""

    lines: tuple[WorkspaceDemand, ...]


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


@attrs.frozen
class GrantReply:
    """Answer to a report; lines of workspaces without limits are absent."""

    grants: tuple[WorkspaceGrant, ...]


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
class Ticket:
    """An admitted request, handed back when it ends.

    Attributes
    ----------
    workspace : str
        Workspace of the caller.
    subject : str
        Model or service.
    admitted_at : int
        Monotonic milliseconds.
    estimated_ms : int
        Expected time on an idle target, in milliseconds.
    """

    workspace: str
    subject: str
    admitted_at: int
    estimated_ms: int


@attrs.frozen
class Admitted:
    """The request may run."""

    ticket: Ticket
