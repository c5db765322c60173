"""Requests, events and ports of the use case of generating text."""

from __future__ import annotations

import enum
import typing

import attrs

from thornspool.domain.pipelines import questions

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
        Unique; names the request towards engines.
    workspace : str
        Workspace of the caller.
    model : str
        Name of the model.
    prompt : str
        The prompt.
    max_tokens : int
        Longest answer, in tokens.
    priority : int
        Higher goes first at the engines.
    deadline : int
        Monotonic milliseconds at which the request is given up.
    attachments : tuple of generation_attachments.Attachment
        Files that the model sees along with the prompt.
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
    """What is known to have run when a request fails."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Tokens:
    """Verified tokens, in order and without gaps.

    Attributes
    ----------
    first_index : int
        Position of the first of them in the answer.
    texts : tuple of str
        The tokens.
    """

    first_index: int
    texts: tuple[str, ...]


@attrs.frozen
class Finished:
    """The answer is whole.

    Attributes
    ----------
    count : int
        Tokens in the answer.
    """

    count: int


@attrs.frozen
class Failed:
    """The request ends without its whole answer.

    Attributes
    ----------
    reason : messages.Reason
        Why.
    outcome : Outcome
        What ran: ``NOT_RUN`` only if no engine was sent a byte that it may
        have acted on.
    retry_after_ms : int
        When it is worth sending the request again.
    delivered : int
        Tokens handed over before.
    """

    reason: messages.Reason
    outcome: Outcome
    retry_after_ms: int
    delivered: int


GenerationEvent = Tokens | Finished | Failed


@attrs.frozen
class GenerateCall:
    """One attempt, as it is sent to the first engine of its route.

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
        Tokens verified so far; the engine goes on after them.
    timeout_ms : int
        Longest time for the whole stream.
    tell : questions.Tell
        What the engines are asked to tell along with it.
    """

    request: GenerationRequest
    attempt: int
    version: str
    adapter: str
    route: routes.Route
    resume: tuple[str, ...]
    timeout_ms: int
    tell: questions.Tell = questions.NOTHING


class Engines(typing.Protocol):
    """Calls to model engines.

    ``generate`` raises ``TargetNotReached`` when not one byte was written,
    ``EngineRefused`` when the engine did not take the work,
    ``StreamMalformed`` when it sent what is no frame, and
    ``TargetAnswerLost`` when the stream broke. Cancelling the coroutine
    closes the connection.
    """

    async def generate(
        self,
        call: GenerateCall,
        deliver: Callable[[list[frames.Frame]], None],
    ) -> None:
        """Run an attempt, handing over its frames in order as they come."""
        ...

    async def cancel(
        self, url: str, request_id: str, attempt: int, timeout_ms: int
    ) -> None:
        """Stop an attempt at one engine; raises like ``generate``."""
        ...
