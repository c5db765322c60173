"""Typed requests and results between callers' interface and use cases."""

from __future__ import annotations

import typing

import attrs

from thornspool.application import exceptions

if typing.TYPE_CHECKING:
    from thornspool.application.generation import (
        attachments as generation_attachments,
    )


@attrs.frozen
class OperationRequest:
    """A call of a service's operation.

    Attributes
    ----------
    workspace, service, operation : str
        What is called.
    key : str
        Idempotency key, empty when the caller gave none.
    body : bytes
        JSON text.
    resent : bool
        Whether the caller says that it sent the key before.
    """

    workspace: str
    service: str
    operation: str
    key: str
    body: bytes
    resent: bool = False


@attrs.frozen
class ModelRequest:
    """A request for generated text.

    Attributes
    ----------
    request_id : str
        Chosen by the entry.
    workspace, model : str
        What is asked.
    prompt : str
        Text that the model continues.
    max_tokens : int
        Bound on the number of tokens.
    priority : int
        Higher ones go first.
    timeout_ms : int
        Bound on the whole answer, in milliseconds.
    attachments : tuple of generation_attachments.Attachment
        Files that the model sees along with the prompt.
    """

    request_id: str
    workspace: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    timeout_ms: int
    attachments: tuple[generation_attachments.Attachment, ...] = ()


class RequestRefused(exceptions.ApplicationError):
    """The request was given up before anything ran.

    Parameters
    ----------
    reason : str
        Why, in one sentence.
    retry_after_ms : int
        When to come back, in milliseconds.
    instead : tuple of str
        Addresses of entries to use instead of this one.
    by_limit : bool
        Whether a limit of the workspace stood against it.
    """

    def __init__(
        self,
        reason: str,
        retry_after_ms: int,
        instead: tuple[str, ...] = (),
        by_limit: bool = False,
    ) -> None:
        super().__init__(reason, f'Come back in {retry_after_ms} ms.')
        self.retry_after_ms = retry_after_ms
        self.instead = instead
        self.by_limit = by_limit
