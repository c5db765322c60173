"""Typed messages about actions, between entries and within one.

Every class that may cross the network has fields that msgspec encodes
natively; ``MESSAGE_TYPES`` lists them for the codec's registry.
"""

from __future__ import annotations

import enum

import attrs

# msgspec reads the annotations when it builds a codec.
from thornspool.domain.actions import records  # noqa: TC001


@attrs.frozen
class GrantRequest:
    """Asks that an attempt be the one that holds a key.

    Attributes
    ----------
    bucket, slot : int
        Address of the key's page.
    name : str
        Name of the key's record.
    attempt : str
        Identifier of the attempt; asking twice is the same as once.
    runner : str
        Incarnation of the entry that will dispatch the attempt.
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
    """Asks that the outcome of a granted attempt be recorded."""

    bucket: int
    slot: int
    name: str
    attempt: str
    outcome: records.Outcome


@attrs.frozen
class GrantRelease:
    """Asks that a voided attempt no longer holds its key."""

    bucket: int
    slot: int
    name: str
    attempt: str


Proposal = GrantRequest | OutcomeRecord | GrantRelease


@attrs.frozen
class GrantGiven:
    """The attempt holds its key.

    Attributes
    ----------
    attempt : str
        The attempt.
    fencing_token : int
        Token to send with the call.
    uncertain : bool
        Whether an earlier attempt with this key may have run.
    """

    attempt: str
    fencing_token: int
    uncertain: bool


@attrs.frozen
class RecordFound:
    """Another attempt holds the key, or one has run."""

    attempt: str
    record: records.Record


@attrs.frozen
class KeyReused:
    """The key is on record with another request digest."""

    attempt: str


@attrs.frozen
class RecordDropped:
    """The key's slot was recycled; nobody can tell whether it ran."""

    attempt: str


@attrs.frozen
class PageFull:
    """The page takes no further grant."""

    attempt: str


@attrs.frozen
class ChangeRecorded:
    """An outcome or a release is settled and need not be sent again."""

    attempt: str


@attrs.frozen
class LedgerUnavailable:
    """The page can be neither read nor written now.

    Attributes
    ----------
    attempt : str
        The attempt.
    retry_after_ms : int
        When it makes sense to ask again.
    maybe_written : bool
        Whether a write with this proposal may have or may yet take effect.
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
    """Asks a runner about one of its attempts.

    Attributes
    ----------
    attempt : str
        The attempt.
    runner : str
        Incarnation that the ledger names; another process at the same
        address must not answer for it.
    wait_ms : int
        How long the reply may wait for the attempt to end.
    """

    attempt: str
    runner: str
    wait_ms: int


@attrs.frozen
class ProposalQuery:
    """Asks a writer whether it works on a proposal of an attempt."""

    attempt: str


@attrs.frozen
class ProposalReport:
    """A writer's word on a proposal.

    Attributes
    ----------
    attempt : str
        The attempt.
    is_open : bool
        Whether the proposal waits there for its verdict. False when it never
        came, or was decided.
    """

    attempt: str
    is_open: bool


class AttemptState(enum.Enum):
    """What a runner says of an attempt."""

    RUNNING = 'running'
    DONE = 'done'
    VOID = 'void'
    GONE = 'gone'


@attrs.frozen
class AttemptReport:
    """A runner's word on an attempt.

    Attributes
    ----------
    attempt : str
        The attempt.
    state : AttemptState
        VOID: no byte was written and none will be. GONE: the process that
        could tell is not there.
    outcome : records.Outcome or None
        How it ended, when DONE.
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
