"""Idempotency keys and the ledger page that each of them belongs to."""

from __future__ import annotations

import uuid

import attrs
import xxhash

from thornspool import identifiers
from thornspool.domain.actions import exceptions

MAX_AHEAD_MS = 60_000
_BOUND_MARK = '@'
_MINT_HINT = 'Send a UUID version 7 made when the action was first wanted.'


@attrs.frozen
class Layout:
    """Shape of the ring of ledger pages; the same on every entry.

    Attributes
    ----------
    buckets : int
        Pages that share the keys of one slot.
    slots : int
        Slots of the ring before it starts again.
    slot_ms : int
        Length of a slot in milliseconds.
    """

    buckets: int = 4
    slots: int = 34_560
    slot_ms: int = 2_500


@attrs.frozen
class ActionKey:
    """An accepted key.

    Attributes
    ----------
    workspace : str
        Workspace that the key belongs to.
    text : str
        The UUID in its canonical form, with what it is bound to.
    time : int
        Milliseconds since the Unix epoch, read from the key.
    incarnation : str
        Only process that may run the key; empty for an ordinary key.
    """

    workspace: str
    text: str
    time: int
    incarnation: str = ''

    @property
    def name(self) -> str:
        """Name of the key's record within its page."""
        return f'{self.workspace}/{self.text}'


@attrs.frozen
class PageAddress:
    """Where a key's record is kept.

    Attributes
    ----------
    bucket : int
        Which of the pages of a slot.
    slot : int
        Key time divided by the length of a slot; never reused.
    """

    bucket: int
    slot: int


def format_bound_key(identifier: uuid.UUID, incarnation: str) -> str:
    """Return the text of a key that only one process may run."""
    return f'{identifier}{_BOUND_MARK}{incarnation}'


def split_bound_key(text: str) -> tuple[str, str]:
    """Split a key into its UUID and the incarnation it is bound to.

    Returns
    -------
    tuple of str
        The second part is empty for an ordinary key.
    """
    identifier, _, incarnation = text.partition(_BOUND_MARK)
    return identifier, incarnation


def parse_key(workspace: str, text: str, wall: int) -> ActionKey:
    """Check a caller's key.

    Parameters
    ----------
    workspace : str
        Workspace of the caller.
    text : str
        Value of the caller's ``Idempotency-Key``.
    wall : int
        Milliseconds since the Unix epoch, now.

    Returns
    -------
    ActionKey
        The key in its canonical form.

    Raises
    ------
    KeyRefused
        When it is no UUID version 7 or lies too far in the future.
    """
    plain, incarnation = split_bound_key(text)
    try:
        identifier = uuid.UUID(plain)
    except ValueError:
        raise exceptions.KeyRefused(
            'The idempotency key is not a UUID.', _MINT_HINT
        ) from None
    time = identifiers.read_uuid7_time(identifier)
    if time is None:
        raise exceptions.KeyRefused(
            'The idempotency key is not a UUID version 7.', _MINT_HINT
        )
    # A key from the future would recycle a ledger page early, and records
    # of other keys would be dropped before their day has passed.
    if time > wall + MAX_AHEAD_MS:
        raise exceptions.KeyRefused(
            'The idempotency key lies more than 60 s in the future.',
            "Check the clock of the caller's host.",
        )
    if not incarnation:
        return ActionKey(workspace, str(identifier), time)
    bound = format_bound_key(identifier, incarnation)
    return ActionKey(workspace, bound, time, incarnation)


def locate_page(key: ActionKey, layout: Layout) -> PageAddress:
    """Return the page that a key's record belongs to."""
    digest = xxhash.xxh64_intdigest(key.name.encode())
    return PageAddress(digest % layout.buckets, key.time // layout.slot_ms)


def format_page_key(address: PageAddress, layout: Layout) -> str:
    """Return the platform's key of a page."""
    return f'ledger/{address.bucket}/{address.slot % layout.slots}'
