"""Requests to run actions, and the limits of running them."""

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
    """A caller's request to run an action.

    Attributes
    ----------
    workspace : str
        Workspace of the caller.
    service, operation : str
        Names of the service and the operation to call.
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
        Maximum time in milliseconds for the target's complete answer.
    is_resent : bool
        Whether the caller declared that it sent the key before.
    fingerprint : str
        Identifies the content of the request regardless of its key; empty
        when it is not known.
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
    is_resent: bool = False
    fingerprint: str = ''


@attrs.frozen
class ActionSettings:
    """Limits of the action service.

    Attributes
    ----------
    layout : keys.Layout
        Dimensions of the ledger; equal on all entries.
    write_limits : writer.WriteLimits
        Limits on the writes of a ledger page.
    attempts : runner.RunnerSettings
        Limits of attempts in memory.
    router : ledger_router.RouterSettings
        Time limits of proposals to other entries.
    join_timeout_ms : int
        Maximum time that one query waits for another entry's attempt.
    max_new_key_age_ms : int
        Age of a key above which a call is treated as resent.
    settle_timeout_ms : int
        Maximum time for the ledger to record an outcome or a release.
    initial_settle_backoff_ms, max_settle_backoff_ms : int
        Initial and maximum delay before that is retried.
    """

    layout: keys.Layout = attrs.field(factory=keys.Layout)
    write_limits: writer.WriteLimits = attrs.field(factory=writer.WriteLimits)
    attempts: runner.RunnerSettings = attrs.field(
        factory=runner.RunnerSettings
    )
    router: ledger_router.RouterSettings = attrs.field(
        factory=ledger_router.RouterSettings
    )
    join_timeout_ms: int = 2_000
    max_new_key_age_ms: int = 500
    settle_timeout_ms: int = 5_000
    initial_settle_backoff_ms: int = 200
    max_settle_backoff_ms: int = 5_000


def digest_request(request: ActionRequest) -> str:
    """Return a digest of the service, the operation and the body."""
    parts = (request.service, request.operation)
    head = '\0'.join(parts).encode() + b'\0'
    return hashlib.blake2b(head + request.body, digest_size=16).hexdigest()
