"""Errors of peer messaging; the node converts them for the application."""

from __future__ import annotations

from thornspool import exceptions


class PeersError(exceptions.ThornspoolError):
    """Base class for errors of this package."""


class MalformedFrame(PeersError):
    """Invalid bytes of a frame, or a body that does not match its type."""


class UnknownVersion(PeersError):
    """A frame in a format version that this release does not support.

    Parameters
    ----------
    version : int
        Format version of the frame.
    """

    def __init__(self, version: int) -> None:
        super().__init__(
            f'Frame version {version} is not supported by this release.',
            'Deploy a release that reads it before one that sends it.',
        )
        self.version = version


class UnknownKind(PeersError):
    """A message whose type is not registered in this process."""


class KindConflict(PeersError):
    """Two message types have the same kind name."""


class MessageTooLarge(PeersError):
    """A message that exceeds the maximum size of the peers."""


class SendBufferFull(PeersError):
    """The send buffer of a peer is full."""
