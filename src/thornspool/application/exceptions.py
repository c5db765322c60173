"""Errors of the application layer; adapters turn their own into these."""

from __future__ import annotations

from thornspool import exceptions


class ApplicationError(exceptions.ThornspoolError):
    """Base of the errors of the use cases."""


class PlatformError(ApplicationError):
    """The platform gave no answer within the time allowed."""


class PlatformHeldBack(PlatformError):
    """Nothing was sent: the platform failed lately and is being spared.

    Attributes
    ----------
    retry_after_ms : int
        When a call may be let through, in milliseconds.
    """

    def __init__(self, retry_after_ms: int) -> None:
        super().__init__(
            'The platform fails; calls to it are held back.',
            f'Try again in {retry_after_ms} ms.',
        )
        self.retry_after_ms = retry_after_ms


class LedgerMalformed(PlatformError):
    """A key of the ledger holds something that is no ledger page."""


class PeerUnreachable(ApplicationError):
    """A peer gave no reply in time; it may still handle the message."""


class TargetError(ApplicationError):
    """Base of the errors of calls to targets."""


class TargetNotReached(TargetError):
    """Not one byte of the call was written to the target."""


class TargetAnswerLost(TargetError):
    """The call was sent, in part or whole, and no whole answer came back."""


class TargetConnectionBroken(TargetAnswerLost):
    """The connection ended under the call; the target may have died."""


class TargetHeldBack(TargetNotReached):
    """The call is suspected of crashing targets and was not sent."""


class TargetLeaving(TargetNotReached):
    """The target refused the call because it leaves; it ran nothing."""


class UnknownName(ApplicationError):
    """The configuration in force has no such document for the caller.

    Parameters
    ----------
    kind : str
        Kind of the document, for instance ``workspace``.
    name : str
        The name that was asked for.
    """

    def __init__(self, kind: str, name: str) -> None:
        hint = f'Publish it, or name a {kind} that is in force.'
        super().__init__(f'There is no {kind} {name!r} for this caller.', hint)
        self.kind = kind
        self.name = name


class MalformedRequest(ApplicationError):
    """The caller's request can't be understood; nothing was run."""
