"""Requests, events and ports of text generation."""

from __future__ import annotations

import enum
import typing

import attrs

from thornspool.domain.pipelines import report_requests

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.application.generation import (
        attachments as generation_attachments,
    )
    from thornspool.domain.pipelines import frames
    from thornspool.domain.pipelines import messages
    from thornspool.domain.pipelines import routes


@attrs.frozen
class GenerationRequest:
    """A caller's request for generated text.

    Attributes
    ----------
    request_id : str
        Unique identifier of the request, also sent to engines.
    workspace : str
        Workspace of the caller.
    model : str
        Name of the model.
    prompt : str
        The prompt.
    max_tokens : int
        Maximum length of the response, in tokens.
    priority : int
        Engines process a higher priority first.
    deadline : int
        Monotonic milliseconds at which the request fails.
    attachments : tuple of generation_attachments.Attachment
        Files that the model processes along with the prompt.
    """

    request_id: str
    workspace: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    deadline: int
    attachments: tuple[generation_attachments.Attachment, ...] = ()


class Outcome(enum.Enum):
    """Whether a failed request may have run."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Tokens:
    """Verified tokens, in order and without gaps.

    Attributes
    ----------
    first_index : int
        Position of the first of them in the response.
    texts : tuple of str
        The tokens.
    """

    first_index: int
    texts: tuple[str, ...]


@attrs.frozen
class Finished:
    """The response is complete.

    Attributes
    ----------
    count : int
        Number of tokens in the response.
    """

    count: int


@attrs.frozen
class Failed:
    """The request failed before its response was complete.

    Attributes
    ----------
    reason : messages.Reason
        Why it failed.
    outcome : Outcome
        ``NOT_RUN`` only if no engine received a byte that it may have acted
        on.
    retry_after_ms : int
        Milliseconds after which a retry is useful.
    delivered : int
        Number of tokens delivered before.
    """

    reason: messages.Reason
    outcome: Outcome
    retry_after_ms: int
    delivered: int


GenerationEvent = Tokens | Finished | Failed


@attrs.frozen
class GenerateCall:
    """One attempt, sent to the first engine of its route.

    Attributes
    ----------
    request : GenerationRequest
        The caller's request.
    attempt : int
        Number of the attempt.
    version, adapter : str
        Version of the model's weights and name of its adapter.
    route : routes.Route
        The stages.
    resume : tuple of str
        Tokens verified so far; the engine continues after them.
    timeout_ms : int
        Timeout of the whole stream.
    requested_reports : report_requests.ReportRequest
        Reports that the engines add to the stream.
    """

    request: GenerationRequest
    attempt: int
    version: str
    adapter: str
    route: routes.Route
    resume: tuple[str, ...]
    timeout_ms: int
    requested_reports: report_requests.ReportRequest = (
        report_requests.NO_REPORTS
    )


class Engines(typing.Protocol):
    """Calls to model engines.

    ``generate`` raises ``TargetUnreachable`` when no byte was written,
    ``EngineRefused`` when the engine refused the request,
    ``StreamMalformed`` when it sent bytes that are not a frame, and
    ``TargetResponseLost`` when the stream broke. Cancelling the coroutine
    closes the connection.
    """

    async def generate(
        self,
        call: GenerateCall,
        deliver: Callable[[list[frames.Frame]], None],
    ) -> None:
        """Run an attempt and pass its frames to ``deliver`` in order."""
        ...

    async def cancel(
        self, url: str, request_id: str, attempt: int, timeout_ms: int
    ) -> None:
        """Cancel an attempt at one engine; raises like ``generate``."""
        ...
