"""Events that the runner of attempts handles and commands it returns."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.actions import keys
    from thornspool.domain.actions import messages
    from thornspool.domain.actions import records
    from thornspool.domain.actions import results


class Phase(enum.Enum):
    """Progress of an attempt in memory.

    REQUESTING
        A grant was requested from the ledger.
    JOINING
        Another attempt holds the key; its runner is queried.
    DISPATCHED
        A target was called.
    DONE
        The outcome is not yet recorded in the ledger.
    """

    REQUESTING = 'asking'
    JOINING = 'joining'
    DISPATCHED = 'dispatched'
    DONE = 'done'


@attrs.frozen
class ActionRequested:
    """A caller requested an action.

    Attributes
    ----------
    attempt : str
        New identifier for the attempt.
    address : keys.PageAddress
        Page of the key's record.
    name : str
        Name of the key's record.
    digest : str
        Digest of the request.
    deadline : int
        Monotonic milliseconds after which nothing is dispatched.
    targets : int
        Number of targets that may be tried, in order.
    deduplicates : bool
        Whether the service itself runs a key at most once.
    is_resent : bool
        Whether the key may have been sent before.
    bound_time : int
        Timestamp of a key that is bound to this process, in milliseconds
        since the Unix epoch; 0 for a key that the ledger grants.
    """

    attempt: str
    address: keys.PageAddress
    name: str
    digest: str
    deadline: int
    targets: int = 1
    deduplicates: bool = False
    is_resent: bool = False
    bound_time: int = 0


@attrs.frozen
class VerdictReceived:
    """The ledger returned its verdict on a grant request."""

    attempt: str
    verdict: messages.Verdict


@attrs.frozen
class LedgerTimedOut:
    """No writer answered in time; the grant may still be written."""

    attempt: str


@attrs.frozen
class HolderReported:
    """The runner of the attempt that holds the key reported its state."""

    attempt: str
    report: messages.AttemptReport


@attrs.frozen
class TargetAnswered:
    """A target returned a complete answer."""

    attempt: str
    outcome: records.Outcome


@attrs.frozen
class TargetUnreachable:
    """No byte of the call was sent to the target."""

    attempt: str


@attrs.frozen
class TargetResponseLost:
    """The call was sent at least in part; its answer is incomplete."""

    attempt: str


@attrs.frozen
class DeadlinePassed:
    """The deadline of a caller passed."""

    attempt: str


@attrs.frozen
class RecordConfirmed:
    """The ledger confirmed an outcome or a release."""

    attempt: str


RunnerEvent = (
    VerdictReceived
    | LedgerTimedOut
    | HolderReported
    | TargetAnswered
    | TargetUnreachable
    | TargetResponseLost
    | DeadlinePassed
    | RecordConfirmed
)


@attrs.frozen
class RequestGrant:
    """Request a grant of the key from the ledger.

    Attributes
    ----------
    attempt : str
        The attempt.
    displaces : str
        Attempt whose record may be replaced, empty for none.
    uncertain : bool
        Whether the displaced attempt may have run.
    """

    attempt: str
    displaces: str = ''
    uncertain: bool = False


@attrs.frozen
class QueryHolder:
    """Query the state of the attempt that holds the key from its runner.

    The first query does not wait for the end of that attempt, so that a
    missing runner is detected long before the caller's deadline.

    Attributes
    ----------
    attempt : str
        Attempt that waits for the key.
    holder : str
        Attempt that holds the key.
    runner : str
        Incarnation of the entry that runs the holder.
    runner_address : str
        Peer address of that entry.
    wait : bool
        Whether the runner replies only when the holder has ended or the
        wait has timed out.
    """

    attempt: str
    holder: str
    runner: str
    runner_address: str
    wait: bool = False


@attrs.frozen
class Dispatch:
    """Call a target immediately."""

    attempt: str
    target: int
    fencing_token: int


@attrs.frozen
class Settle:
    """Propose an outcome or a release until the ledger confirms it."""

    attempt: str
    proposal: messages.OutcomeRecord | messages.GrantRelease


@attrs.frozen
class Answer:
    """Return the result of an attempt to all of its callers."""

    attempt: str
    result: results.ActionResult


@attrs.frozen
class Join:
    """Let a caller wait for the result of a running attempt."""

    attempt: str
    running: str


RunnerCommand = RequestGrant | QueryHolder | Dispatch | Settle | Answer | Join
