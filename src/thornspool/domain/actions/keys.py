"""Idempotency keys and the addresses of their ledger pages."""

from __future__ import annotations

import uuid

import attrs
import xxhash

from thornspool import identifiers
from thornspool.domain.actions import exceptions

MAX_AHEAD_MS = 60_000
_BOUND_SEPARATOR = '@'
_NEW_KEY_HINT = (
    'Send a UUID version 7 created when the action was first requested.'
)


@attrs.frozen
class Layout:
    """Dimensions of the ring of ledger pages; equal on all entries.

    Attributes
    ----------
    buckets : int
        Number of pages among which the keys of one slot are distributed.
    slots : int
        Number of slots after which the ring reuses its pages.
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
        The UUID in its canonical form, with the incarnation it is bound to.
    time : int
        Timestamp in the key, in milliseconds since the Unix epoch.
    incarnation : str
        The only process that may run the key; empty for an ordinary key.
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
    """Address of the ledger page with a key's record.

    Attributes
    ----------
    bucket : int
        Index of the page among those of its slot.
    slot : int
        Timestamp of the key divided by the length of a slot; never reused.
    """

    bucket: int
    slot: int


def format_bound_key(identifier: uuid.UUID, incarnation: str) -> str:
    """Return the text of a key that only one process may run."""
    return f'{identifier}{_BOUND_SEPARATOR}{incarnation}'


def split_bound_key(text: str) -> tuple[str, str]:
    """Split a key into its UUID and the incarnation it is bound to.

    Returns
    -------
    tuple of str
        The second part is empty for an ordinary key.
    """
    identifier, _, incarnation = text.partition(_BOUND_SEPARATOR)
    return identifier, incarnation


def parse_key(workspace: str, text: str, wall: int) -> ActionKey:
    """Validate a caller's key.

    Parameters
    ----------
    workspace : str
        Workspace of the caller.
    text : str
        Value of the caller's ``Idempotency-Key``.
    wall : int
        Current time in milliseconds since the Unix epoch.

    Returns
    -------
    ActionKey
        The key in its canonical form.

    Raises
    ------
    KeyRefused
        When the key is not a UUID version 7 or its timestamp is too far in
        the future.
    """
    plain, incarnation = split_bound_key(text)
    try:
        identifier = uuid.UUID(plain)
    except ValueError:
        raise exceptions.KeyRefused(
            'The idempotency key is not a UUID.', _NEW_KEY_HINT
        ) from None
    time = identifiers.read_uuid7_time(identifier)
    if time is None:
        raise exceptions.KeyRefused(
            'The idempotency key is not a UUID version 7.', _NEW_KEY_HINT
        )
    # A key with a future timestamp would recycle a ledger page early and
    # drop the records of other keys before their 24 h have passed.
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
    """Return the key under which the platform stores a page."""
    return f'ledger/{address.bucket}/{address.slot % layout.slots}'
