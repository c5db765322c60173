"""Bodies of requests to engines; see ``docs/standins/engine.md``."""

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
    from thornspool.domain.pipelines import report_requests


@attrs.frozen
class StageBody:
    """A stage of a route.

    Attributes
    ----------
    target, url : str
        Name and URL of the engine.
    first_layer, end_layer : int
        Range of the layers that the stage runs, without ``end_layer``.
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
        Model, model version and adapter to run.
    route : tuple of StageBody
        The stages in order; the first one is the called engine.
    prompt : str
        The prompt.
    resume : tuple of str
        Tokens after which generation continues.
    max_tokens : int
        Maximum number of tokens, including resumed tokens.
    priority : int
        Requests with a higher priority run first.
    attachments : tuple of generation_attachments.Attachment
        Files attached to the prompt.
    tell : tuple of str or UnsetType
        Reports requested with the response, ``loads`` or ``hops``; omitted
        if there are none, as in most requests.
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
        Number of the attempt; earlier attempts are cancelled as well.
    """

    request: str
    attempt: int


def encode_generate(call: generation_messages.GenerateCall) -> bytes:
    """Encode the body of an attempt."""
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
            tell=_name_requested_reports(call.requested_reports),
        )
    )


def _name_requested_reports(
    requested: report_requests.ReportRequest,
) -> tuple[str, ...] | msgspec.UnsetType:
    options = ((requested.loads, 'loads'), (requested.hops, 'hops'))
    names = tuple(name for is_requested, name in options if is_requested)
    return names or msgspec.UNSET


def encode_cancel(request_id: str, attempt: int) -> bytes:
    """Encode the body of a cancellation."""
    return msgspec.json.encode(CancelBody(request_id, attempt))
