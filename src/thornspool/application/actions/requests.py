"""What callers ask of actions, and the bounds of running them."""

from __future__ import annotations

import hashlib
import typing

import attrs

from thornspool.application.ledger import router as ledger_router
from thornspool.domain.actions import keys
from thornspool.domain.actions import runner
from thornspool.domain.actions import writer

if typing.TYPE_CHECKING:
    from thornspool.domain.configuration import documents


@attrs.frozen
class ActionRequest:
    """A caller's wish to run an action.

    Attributes
    ----------
    workspace : str
        Workspace of the caller.
    service, operation : str
        What to call.
    key : str
        The caller's ``Idempotency-Key``.
    body : bytes
        Request body, JSON.
    deadline : int
        Monotonic milliseconds after which nothing is sent.
    targets : tuple of documents.Target
        Targets to try, in order.
    deduplicates : bool
        Whether the service itself runs a key at most once.
    timeout_ms : int
        Longest time for the target's whole answer.
    resent : bool
        Whether the caller says that it sent the key before.
    fingerprint : str
        Names what is asked, whatever the key; empty when it is not known.
    """

    workspace: str
    service: str
    operation: str
    key: str
    body: bytes
    deadline: int
    targets: tuple[documents.Target, ...]
    deduplicates: bool = False
    timeout_ms: int = 2_000
    resent: bool = False
    fingerprint: str = ''


@attrs.frozen
class ActionSettings:
    """Bounds of the service.

    Attributes
    ----------
    layout : keys.Layout
        Shape of the ledger; the same on every entry.
    pace : writer.Pace
        How fast a ledger page may be written.
    attempts : runner.RunnerSettings
        Bounds of attempts in memory.
    router : ledger_router.RouterSettings
        Bounds of asking other entries to write.
    join_ms : int
        Longest wait for another entry's attempt in one question.
    fresh_ms : int
        Age of a key past which a call is taken for a resend.
    settle_ms : int
        Longest wait for the ledger to take an outcome or a release.
    settle_backoff_ms, max_settle_backoff_ms : int
        First and longest pause before it is tried again.
    """

    layout: keys.Layout = attrs.field(factory=keys.Layout)
    pace: writer.Pace = attrs.field(factory=writer.Pace)
    attempts: runner.RunnerSettings = attrs.field(
        factory=runner.RunnerSettings
    )
    router: ledger_router.RouterSettings = attrs.field(
        factory=ledger_router.RouterSettings
    )
    join_ms: int = 2_000
    fresh_ms: int = 500
    settle_ms: int = 5_000
    settle_backoff_ms: int = 200
    max_settle_backoff_ms: int = 5_000


def digest_request(request: ActionRequest) -> str:
    """Return a digest of what the key stands for."""
    parts = (request.service, request.operation)
    head = '\0'.join(parts).encode() + b'\0'
    return hashlib.blake2b(head + request.body, digest_size=16).hexdigest()
