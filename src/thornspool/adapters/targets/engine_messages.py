"""Bodies of the calls to engines, as ``docs/standins/engine.md`` says."""

from __future__ import annotations

import typing

import attrs
import msgspec

if typing.TYPE_CHECKING:
    from thornspool.application.generation import (
        attachments as generation_attachments,
    )
    from thornspool.application.generation import (
        messages as generation_messages,
    )
    from thornspool.domain.pipelines import questions


@attrs.frozen
class StageBody:
    """A stage of the route.

    Attributes
    ----------
    target, url : str
        Its name and address.
    first_layer, end_layer : int
        Its layers.
    """

    target: str
    url: str
    first_layer: int
    end_layer: int


@attrs.frozen
class GenerateBody:
    """Body of ``POST /v1/generate``.

    Attributes
    ----------
    request : str
        Identifier of the request.
    attempt : int
        Number of the attempt.
    model, version, adapter : str
        What to run.
    route : tuple of StageBody
        The stages in order; the first is the engine that is called.
    prompt : str
        The prompt.
    resume : tuple of str
        Tokens to go on after.
    max_tokens : int
        Longest answer, resumed tokens included.
    priority : int
        Higher goes first.
    attachments : tuple of generation_attachments.Attachment
        Files that come with the prompt.
    tell : tuple of str or UnsetType
        What to tell along with the answer, ``loads`` or ``hops``; left out
        for nothing, as in most calls.
    """

    request: str
    attempt: int
    model: str
    version: str
    adapter: str
    route: tuple[StageBody, ...]
    prompt: str
    resume: tuple[str, ...]
    max_tokens: int
    priority: int
    attachments: tuple[generation_attachments.Attachment, ...]
    tell: tuple[str, ...] | msgspec.UnsetType


@attrs.frozen
class CancelBody:
    """Body of ``POST /v1/cancel``.

    Attributes
    ----------
    request : str
        Identifier of the request.
    attempt : int
        Number of the attempt; older ones are stopped too.
    """

    request: str
    attempt: int


def encode_generate(call: generation_messages.GenerateCall) -> bytes:
    """Encode an attempt."""
    request = call.request
    return msgspec.json.encode(
        GenerateBody(
            request=request.request_id,
            attempt=call.attempt,
            model=request.model,
            version=call.version,
            adapter=call.adapter,
            route=tuple(
                StageBody(
                    stage.target,
                    stage.url,
                    stage.first_layer,
                    stage.end_layer,
                )
                for stage in call.route.stages
            ),
            prompt=request.prompt,
            resume=call.resume,
            max_tokens=request.max_tokens,
            priority=request.priority,
            attachments=request.attachments,
            tell=_name_told(call.tell),
        )
    )


def _name_told(tell: questions.Tell) -> tuple[str, ...] | msgspec.UnsetType:
    wanted = ((tell.loads, 'loads'), (tell.hops, 'hops'))
    names = tuple(name for is_wanted, name in wanted if is_wanted)
    return names or msgspec.UNSET


def encode_cancel(request_id: str, attempt: int) -> bytes:
    """Encode a cancel."""
    return msgspec.json.encode(CancelBody(request_id, attempt))
