"""Ledger pages and their records, as they are kept in the platform."""

from __future__ import annotations

import enum

import attrs
import msgspec

from thornspool.domain.actions import exceptions

MAX_OUTCOME_BYTES = 2_048
_RECORD_BYTES = 320
"""Upper estimate of a record without its outcome's body and its names."""


class RecordState(enum.Enum):
    """How far an attempt is, as far as the ledger knows."""

    GRANTED = 'granted'
    DONE = 'done'
    VOIDED = 'voided'


@attrs.frozen
class Outcome:
    """How a dispatched attempt ended.

    Attributes
    ----------
    status : int
        HTTP status of the target's answer; 0 when the answer was lost and
        nobody can tell whether the action ran.
    content_type : str
        Media type of the body.
    body : bytes
        The body, whole or empty.
    whole : bool
        False when the body was too long to be kept.
    """

    status: int
    content_type: str = ''
    body: bytes = b''
    whole: bool = True

    @property
    def known(self) -> bool:
        """Whether the target's answer is known."""
        return self.status != 0


LOST = Outcome(0)


def trim_outcome(outcome: Outcome) -> Outcome:
    """Leave out a body that is too long for a ledger page."""
    if len(outcome.body) <= MAX_OUTCOME_BYTES:
        return outcome
    return attrs.evolve(outcome, body=b'', whole=False)


@attrs.frozen
class Record:
    """What the ledger knows of one key.

    Attributes
    ----------
    state : RecordState
        How far the attempt is.
    attempt : str
        Identifier of the attempt that holds or held the key.
    runner : str
        Incarnation of the entry that may dispatch the attempt.
    runner_address : str
        Peer address of that entry.
    digest : str
        Digest of the request.
    fencing_token : int
        Grows with each grant of a page.
    deadline : int
        Milliseconds since the Unix epoch after which the runner gives the
        grant up; a hint for readers, nothing is decided by it.
    uncertain : bool
        Whether an earlier attempt with this key may have run. Only a key
        of an operation that deduplicates can come to this.
    outcome : Outcome or None
        How the attempt ended, once it is done.
    """

    state: RecordState
    attempt: str
    runner: str = ''
    runner_address: str = ''
    digest: str = ''
    fencing_token: int = 0
    deadline: int = 0
    uncertain: bool = False
    outcome: Outcome | None = None


@attrs.frozen
class Page:
    """One value of the platform: the records of one bucket and slot.

    Attributes
    ----------
    slot : int
        Slot that the page holds; -1 when it was never written.
    fencing_token : int
        Last fencing token given out by this page.
    records : dict of str to Record
        Records by name of key; never changed in place.
    """

    slot: int = -1
    fencing_token: int = 0
    records: dict[str, Record] = attrs.field(factory=dict)


EMPTY_PAGE = Page()


def estimate_size(name: str, record: Record) -> int:
    """Return an upper estimate of a record's encoded size.

    A granted record counts with the longest outcome, so that an outcome
    always fits into the page that accepted the grant.

    Returns
    -------
    int
        Bytes.
    """
    size = _RECORD_BYTES + len(name) + len(record.runner_address)
    size += len(record.attempt) + len(record.runner) + len(record.digest)
    if record.state is RecordState.GRANTED:
        return size + MAX_OUTCOME_BYTES
    if record.outcome is None:
        return size
    return size + len(record.outcome.body)


def encode_page(page: Page) -> bytes:
    """Encode a page as the platform keeps it."""
    return msgspec.msgpack.encode(page)


def decode_page(value: bytes) -> Page:
    """Decode a page.

    Raises
    ------
    PageMalformed
        When the value is no page.
    """
    if not value:
        return EMPTY_PAGE
    try:
        return msgspec.msgpack.decode(value, type=Page)
    except msgspec.MsgspecError as error:
        raise exceptions.PageMalformed(
            f'A ledger page can not be decoded: {error}.',
            'Check that all entries run releases that share a page format.',
        ) from error
