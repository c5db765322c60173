"""Errors of the application layer; adapters turn their own into these."""

from __future__ import annotations

from thornspool import exceptions


class ApplicationError(exceptions.ThornspoolError):
    """Base of the errors of the use cases."""


class PlatformError(ApplicationError):
    """The platform gave no answer within the time allowed."""


class PeerUnreachable(ApplicationError):
    """A peer gave no reply in time; it may still handle the message."""


class TargetError(ApplicationError):
    """Base of the errors of calls to targets."""


class TargetNotReached(TargetError):
    """Not one byte of the call was written to the target."""


class TargetAnswerLost(TargetError):
    """The call was sent, in part or whole, and no whole answer came back."""
