"""Ledger pages and their records as the platform stores them."""

from __future__ import annotations

import enum

import attrs
import msgspec

from thornspool import decoding
from thornspool.domain.actions import exceptions

MAX_OUTCOME_BYTES = 2_048
_RECORD_OVERHEAD_BYTES = 320
"""Upper estimate of a record's size without its body and its names."""


class RecordState(enum.Enum):
    """State of an attempt in the ledger."""

    GRANTED = 'granted'
    DONE = 'done'
    VOIDED = 'voided'


@attrs.frozen
class Outcome:
    """How a dispatched attempt ended.

    Attributes
    ----------
    status : int
        HTTP status of the target's answer; 0 when the answer was lost, so
        that the action may or may not have run.
    content_type : str
        Media type of the body.
    body : bytes
        The complete body, or empty.
    whole : bool
        False when the body was too long to be stored.
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
    """Remove a body that is longer than ``MAX_OUTCOME_BYTES``."""
    if len(outcome.body) <= MAX_OUTCOME_BYTES:
        return outcome
    return attrs.evolve(outcome, body=b'', whole=False)


@attrs.frozen
class Record:
    """The ledger's record of one key.

    Attributes
    ----------
    state : RecordState
        State of the attempt.
    attempt : str
        Identifier of the attempt that holds or held the key.
    runner : str
        Incarnation of the entry that may dispatch the attempt.
    runner_address : str
        Peer address of that entry.
    digest : str
        Digest of the request.
    fencing_token : int
        Increases with each grant of the page.
    deadline : int
        Milliseconds since the Unix epoch after which the runner abandons
        the grant; informational, no decision depends on it.
    uncertain : bool
        Whether an earlier attempt with this key may have run. True only for
        keys of operations that deduplicate.
    outcome : Outcome or None
        How the attempt ended, None before its end.
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
    """One value in the platform: the records of one bucket and slot.

    Attributes
    ----------
    slot : int
        Slot of the records; -1 when the page was never written.
    fencing_token : int
        Last fencing token issued by this page.
    records : dict of str to Record
        Records by the name of their key; never modified in place.
    """

    slot: int = -1
    fencing_token: int = 0
    records: dict[str, Record] = attrs.field(factory=dict)


EMPTY_PAGE = Page()


def estimate_size(name: str, record: Record) -> int:
    """Return an upper estimate of a record's encoded size.

    The estimate of a granted record includes the longest possible outcome,
    so that an outcome always fits into the page that accepted its grant.

    Returns
    -------
    int
        Bytes.
    """
    size = _RECORD_OVERHEAD_BYTES + len(name) + len(record.runner_address)
    size += len(record.attempt) + len(record.runner) + len(record.digest)
    if record.state is RecordState.GRANTED:
        return size + MAX_OUTCOME_BYTES
    if record.outcome is None:
        return size
    return size + len(record.outcome.body)


def encode_page(page: Page) -> bytes:
    """Encode a page as the platform stores it."""
    return msgspec.msgpack.encode(page)


def decode_page(value: bytes) -> Page:
    """Decode a page.

    Raises
    ------
    PageMalformed
        When the value is not an encoded page.
    """
    if not value:
        return EMPTY_PAGE
    try:
        return decoding.decode_msgpack(value, Page)
    except decoding.DecodeError as error:
        raise exceptions.PageMalformed(
            f'A ledger page can not be decoded: {error}.',
            'Check that all entries run releases that share a page format.',
        ) from error
