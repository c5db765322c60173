"""Events and commands of the runner of attempts."""

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
    """How far an attempt in memory is."""

    ASKING = 'asking'
    JOINING = 'joining'
    DISPATCHED = 'dispatched'
    DONE = 'done'


@attrs.frozen
class ActionRequested:
    """A caller wants an action.

    Attributes
    ----------
    attempt : str
        Fresh identifier of the attempt.
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
        Whether the operation runs a key at most once by itself.
    resent : bool
        Whether the caller says that it sent the key before.
    bound_time : int
        Time inside a key that is bound to this process, in milliseconds
        since the Unix epoch; 0 for a key that the ledger decides on.
    """

    attempt: str
    address: keys.PageAddress
    name: str
    digest: str
    deadline: int
    targets: int = 1
    deduplicates: bool = False
    resent: bool = False
    bound_time: int = 0


@attrs.frozen
class LedgerAnswered:
    """The ledger's verdict on a grant."""

    attempt: str
    verdict: messages.Verdict


@attrs.frozen
class LedgerSilent:
    """No writer answered in time; a grant may yet be written."""

    attempt: str


@attrs.frozen
class HolderAnswered:
    """The word of the runner that holds the key."""

    attempt: str
    report: messages.AttemptReport


@attrs.frozen
class TargetAnswered:
    """A target answered whole."""

    attempt: str
    outcome: records.Outcome


@attrs.frozen
class TargetUnreached:
    """Not one byte was written to the target."""

    attempt: str


@attrs.frozen
class TargetLost:
    """The call was sent, in part or whole, and no whole answer came."""

    attempt: str


@attrs.frozen
class DeadlinePassed:
    """A caller's time is up."""

    attempt: str


@attrs.frozen
class RecordConfirmed:
    """The ledger has settled an outcome or a release."""

    attempt: str


RunnerEvent = (
    LedgerAnswered
    | LedgerSilent
    | HolderAnswered
    | TargetAnswered
    | TargetUnreached
    | TargetLost
    | DeadlinePassed
    | RecordConfirmed
)


@attrs.frozen
class RequestGrant:
    """Ask the ledger for the key."""

    attempt: str
    displaces: str = ''
    uncertain: bool = False


@attrs.frozen
class AskHolder:
    """Ask the runner of another attempt how far that is.

    The first question does not wait for the attempt's end, so that a runner
    that is gone is noticed long before the caller's deadline.
    """

    attempt: str
    holder: str
    runner: str
    runner_address: str
    wait: bool = False


@attrs.frozen
class Dispatch:
    """Call a target, now."""

    attempt: str
    target: int
    fencing_token: int


@attrs.frozen
class Settle:
    """Propose an outcome or a release until the ledger has settled it."""

    attempt: str
    proposal: messages.OutcomeRecord | messages.GrantRelease


@attrs.frozen
class Answer:
    """Tell every caller of an attempt its result."""

    attempt: str
    result: results.ActionResult


@attrs.frozen
class Join:
    """Have a caller wait for an attempt that is under way."""

    attempt: str
    running: str


RunnerCommand = RequestGrant | AskHolder | Dispatch | Settle | Answer | Join
