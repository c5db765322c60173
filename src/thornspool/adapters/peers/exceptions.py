"""Errors of messages between entries, before the layer above turns them."""

from __future__ import annotations

from thornspool import exceptions


class PeersError(exceptions.ThornspoolError):
    """Base of the errors of this package."""


class MalformedFrame(PeersError):
    """Bytes that are no frame, or a body that does not fit its type."""


class UnknownKind(PeersError):
    """A message of a type that nobody registered in this process."""


class KindConflict(PeersError):
    """Two types would share one kind name."""


class MessageTooLarge(PeersError):
    """A message over the size that peers accept."""


class SendBufferFull(PeersError):
    """The messages waiting for one peer have reached their bound."""
