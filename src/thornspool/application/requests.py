"""Requests that the caller interface passes to the use cases."""

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
    """A request to run an operation of a service.

    Attributes
    ----------
    workspace, service, operation : str
        Names of the operation and of what it belongs to.
    key : str
        Idempotency key; empty if the caller sent none.
    body : bytes
        JSON text.
    is_resent : bool
        Whether the caller marked the key as sent before.
    """

    workspace: str
    service: str
    operation: str
    key: str
    body: bytes
    is_resent: bool = False


@attrs.frozen
class ModelRequest:
    """A request for generated text.

    Attributes
    ----------
    request_id : str
        Identifier that the entry chose.
    workspace, model : str
        Workspace of the caller and requested model.
    prompt : str
        Text that the model continues.
    max_tokens : int
        Maximum number of generated tokens.
    priority : int
        Requests of higher priority are served first.
    timeout_ms : int
        Time limit for the complete response, in milliseconds.
    attachments : tuple of generation_attachments.Attachment
        Files passed to the model with the prompt.
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
    """The request was refused before anything ran.

    Parameters
    ----------
    reason : str
        Reason, as one sentence.
    retry_after_ms : int
        Delay before the caller should retry, in milliseconds.
    alternatives : tuple of str
        Addresses of entries to use instead of this one.
    exceeds_workspace_limit : bool
        Whether the request exceeds a limit of its workspace.
    """

    def __init__(
        self,
        reason: str,
        retry_after_ms: int,
        alternatives: tuple[str, ...] = (),
        exceeds_workspace_limit: bool = False,
    ) -> None:
        super().__init__(reason, f'Retry in {retry_after_ms} ms.')
        self.retry_after_ms = retry_after_ms
        self.alternatives = alternatives
        self.exceeds_workspace_limit = exceeds_workspace_limit
