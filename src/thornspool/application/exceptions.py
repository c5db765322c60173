"""Errors of the application layer; adapters convert theirs to these."""

from __future__ import annotations

from thornspool import exceptions


class ApplicationError(exceptions.ThornspoolError):
    """Base class of the errors of the use cases."""


class PlatformError(ApplicationError):
    """The platform did not respond within the timeout."""


class PlatformCallNotSent(PlatformError):
    """The call was not sent, because recent calls to the platform failed.

    Attributes
    ----------
    retry_after_ms : int
        Time until a call may be sent, in milliseconds.
    """

    def __init__(self, retry_after_ms: int) -> None:
        super().__init__(
            'The platform is failing; the call was not sent.',
            f'Try again in {retry_after_ms} ms.',
        )
        self.retry_after_ms = retry_after_ms


class LedgerMalformed(PlatformError):
    """The value of a ledger key is not a valid ledger page."""


class PeerUnreachable(ApplicationError):
    """A peer did not reply in time; it may still handle the message."""


class TargetError(ApplicationError):
    """Base class of the errors of calls to targets."""


class TargetUnreachable(TargetError):
    """No byte of the call was written to the target."""


class TargetResponseLost(TargetError):
    """The call was at least partly sent, without a complete response."""


class TargetConnectionBroken(TargetResponseLost):
    """The connection closed during the call; the target may have crashed."""


class TargetCallBlocked(TargetUnreachable):
    """The call is suspected of crashing targets and was not sent."""


class TargetLeaving(TargetUnreachable):
    """The target refused the call because it is leaving; nothing ran."""


class UnknownName(ApplicationError):
    """The configuration in force has no such document for the caller.

    Parameters
    ----------
    kind : str
        Kind of the document, for instance ``workspace``.
    name : str
        Requested name of the document.
    """

    def __init__(self, kind: str, name: str) -> None:
        hint = f'Publish it, or name a {kind} that is in force.'
        super().__init__(f'There is no {kind} {name!r} for this caller.', hint)
        self.kind = kind
        self.name = name


class MalformedRequest(ApplicationError):
    """The request of the caller is malformed; nothing ran."""
