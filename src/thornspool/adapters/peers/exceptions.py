"""Errors of messages between entries, before the layer above turns them."""

from __future__ import annotations

from thornspool import exceptions


class PeersError(exceptions.ThornspoolError):
    """Base of the errors of this package."""


class MalformedFrame(PeersError):
    """Bytes that are no frame, or a body that does not fit its type."""


class UnknownVersion(PeersError):
    """A frame of a format that this release does not read.

    Parameters
    ----------
    version : int
        Its version.
    """

    def __init__(self, version: int) -> None:
        super().__init__(
            f'A frame has version {version}, which this release cannot read.',
            'Roll out a release that reads it before one that sends it.',
        )
        self.version = version


class UnknownKind(PeersError):
    """A message of a type that nobody registered in this process."""


class KindConflict(PeersError):
    """Two types would share one kind name."""


class MessageTooLarge(PeersError):
    """A message over the size that peers accept."""


class SendBufferFull(PeersError):
    """The messages waiting for one peer have reached their bound."""
