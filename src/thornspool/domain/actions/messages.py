"""Messages about actions, between entries and within one entry.

All message classes have fields that msgspec encodes natively;
``MESSAGE_TYPES`` lists the classes for the codec's registry.
"""

from __future__ import annotations

import enum

import attrs

# msgspec evaluates the annotations at run time to build a codec.
from thornspool.domain.actions import records  # noqa: TC001


@attrs.frozen
class GrantRequest:
    """Requests that the ledger grant a key to an attempt.

    Attributes
    ----------
    bucket, slot : int
        Address of the key's page.
    name : str
        Name of the key's record.
    attempt : str
        Identifier of the attempt; repeating the request has no effect.
    runner : str
        Incarnation of the entry that dispatches the attempt.
    runner_address : str
        Peer address of that entry.
    digest : str
        Digest of the request.
    deadline : int
        Milliseconds since the Unix epoch, see ``records.Record``.
    displaces : str
        Attempt whose record may be replaced, empty for none.
    uncertain : bool
        Whether the displaced attempt may have run.
    """

    bucket: int
    slot: int
    name: str
    attempt: str
    runner: str
    runner_address: str
    digest: str
    deadline: int = 0
    displaces: str = ''
    uncertain: bool = False


@attrs.frozen
class OutcomeRecord:
    """Requests that the outcome of a granted attempt be recorded."""

    bucket: int
    slot: int
    name: str
    attempt: str
    outcome: records.Outcome


@attrs.frozen
class GrantRelease:
    """Requests that the key of a voided attempt be released."""

    bucket: int
    slot: int
    name: str
    attempt: str


Proposal = GrantRequest | OutcomeRecord | GrantRelease


@attrs.frozen
class GrantGiven:
    """The key is granted to the attempt.

    Attributes
    ----------
    attempt : str
        The attempt.
    fencing_token : int
        Token that is sent with the call to the target.
    uncertain : bool
        Whether an earlier attempt with this key may have run.
    """

    attempt: str
    fencing_token: int
    uncertain: bool


@attrs.frozen
class RecordFound:
    """Another attempt holds the key, or has run with it."""

    attempt: str
    record: records.Record


@attrs.frozen
class KeyReused:
    """The key is recorded with the digest of another request."""

    attempt: str


@attrs.frozen
class RecordDropped:
    """The slot of the key was recycled, so it is unknown whether it ran."""

    attempt: str


@attrs.frozen
class PageFull:
    """The page has no capacity for another grant."""

    attempt: str


@attrs.frozen
class ChangeRecorded:
    """An outcome or a release is settled; the sender stops retrying."""

    attempt: str


@attrs.frozen
class LedgerUnavailable:
    """The page can currently be neither read nor written.

    Attributes
    ----------
    attempt : str
        The attempt.
    retry_after_ms : int
        Milliseconds after which to retry.
    maybe_written : bool
        Whether a write with this proposal may have taken effect, or still
        may.
    """

    attempt: str
    retry_after_ms: int
    maybe_written: bool


Verdict = (
    GrantGiven
    | RecordFound
    | KeyReused
    | RecordDropped
    | PageFull
    | ChangeRecorded
    | LedgerUnavailable
)


@attrs.frozen
class AttemptQuery:
    """Queries the state of an attempt from its runner.

    Attributes
    ----------
    attempt : str
        The attempt.
    runner : str
        Incarnation in the ledger's record; a later process at the same
        address must not answer for it.
    wait_ms : int
        Maximum time in milliseconds that the reply waits for the attempt's
        end.
    """

    attempt: str
    runner: str
    wait_ms: int


@attrs.frozen
class ProposalQuery:
    """Queries whether a writer has an open proposal of an attempt."""

    attempt: str


@attrs.frozen
class ProposalReport:
    """The state of a proposal at a writer.

    Attributes
    ----------
    attempt : str
        The attempt.
    is_open : bool
        Whether the proposal awaits its verdict there. False when it was not
        received or is already decided.
    """

    attempt: str
    is_open: bool


class AttemptState(enum.Enum):
    """State of an attempt as its runner reports it."""

    RUNNING = 'running'
    DONE = 'done'
    VOID = 'void'
    GONE = 'gone'


@attrs.frozen
class AttemptReport:
    """The state of an attempt at its runner.

    Attributes
    ----------
    attempt : str
        The attempt.
    state : AttemptState
        VOID: the attempt never ran and never will. GONE: the process of the
        runner can not be reached or has ended.
    outcome : records.Outcome or None
        How the attempt ended, if DONE.
    """

    attempt: str
    state: AttemptState
    outcome: records.Outcome | None = None


MESSAGE_TYPES: tuple[type, ...] = (
    GrantRequest,
    OutcomeRecord,
    GrantRelease,
    GrantGiven,
    RecordFound,
    KeyReused,
    RecordDropped,
    PageFull,
    ChangeRecorded,
    LedgerUnavailable,
    AttemptQuery,
    AttemptReport,
    ProposalQuery,
    ProposalReport,
)
