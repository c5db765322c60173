"""Bodies of requests for generated text, and what is wrong with them."""

from __future__ import annotations

import base64
import binascii
import re
import typing

import attrs
import msgspec

from thornspool.application.generation import (
    attachments as generation_attachments,
)

MAX_TOKENS_LIMIT = 32_768
MAX_TIMEOUT_MS = 600_000
DEFAULT_TIMEOUT_MS = 60_000
MAX_ATTACHMENTS = 16
MAX_ATTACHMENT_BYTES = 4 * 1024 * 1024
MAX_TEXT_CHARACTERS = 2_048
"""Longest kind, media type or reference."""

_MEDIA_TYPE = re.compile(r'[\w.+-]+/[\w.+-]+', re.ASCII)


@attrs.frozen
class GenerateBody:
    """Body of a request for generated text; members as in docs/api.md."""

    prompt: str
    max_tokens: int = 256
    priority: int = 0
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    attachments: tuple[generation_attachments.Attachment, ...] = ()
    workspace: str | None = None
    model: str | None = None


def decode_body(content: bytes) -> GenerateBody:
    """Decode a body.

    Raises
    ------
    msgspec.DecodeError
        It is not JSON or not of this form.
    """
    return msgspec.json.decode(content, type=GenerateBody)


def find_problem(
    content: bytes, body: GenerateBody, workspace: str, model: str
) -> str:
    """Return what is wrong with the values of a body, or nothing.

    Parameters
    ----------
    content : bytes
        The body as it came.
    body : GenerateBody
        What was read of it.
    workspace, model : str
        Names in the path.
    """
    raw = msgspec.json.decode(content)
    unknown = _list_unknown(raw)
    if unknown:
        return f'Unknown members: {", ".join(unknown)}. Remove them.'
    for name, told, asked in (
        ('workspace', body.workspace, workspace),
        ('model', body.model, model),
    ):
        if told is not None and told != asked:
            return (
                f'The {name} is {told!r} in the body and {asked!r} in the '
                f'path. Leave it out of the body, or send the same.'
            )
    if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
        return f'max_tokens must be from 1 to {MAX_TOKENS_LIMIT}.'
    if not 1 <= body.timeout_ms <= MAX_TIMEOUT_MS:
        return f'timeout_ms must be from 1 to {MAX_TIMEOUT_MS}.'
    return _find_attachments_problem(body.attachments)


def _list_unknown(raw: dict[str, typing.Any]) -> list[str]:
    """Return members that mean nothing, by their path in the body."""
    unknown = set(raw) - _list_names(GenerateBody)
    for place, one in enumerate(raw.get('attachments', ())):
        strange = set(one) - _list_names(generation_attachments.Attachment)
        unknown |= {f'attachments[{place}].{name}' for name in strange}
    return sorted(unknown)


def _list_names(described: type[attrs.AttrsInstance]) -> set[str]:
    return {field.name for field in attrs.fields(described)}


def _find_attachments_problem(
    given: tuple[generation_attachments.Attachment, ...],
) -> str:
    if len(given) > MAX_ATTACHMENTS:
        return f'There are more than {MAX_ATTACHMENTS} attachments.'
    size = 0
    for place, one in enumerate(given):
        problem = _find_attachment_problem(one)
        if problem:
            return f'attachments[{place}]: {problem}'
        size += len(one.data) * 3 // 4
    if size > MAX_ATTACHMENT_BYTES:
        return (
            f'The data of the attachments exceeds {MAX_ATTACHMENT_BYTES} '
            f'bytes. Send references.'
        )
    return ''


def _find_attachment_problem(one: generation_attachments.Attachment) -> str:
    texts = (one.kind, one.media_type, one.reference)
    if max(map(len, texts)) > MAX_TEXT_CHARACTERS:
        return (
            f'kind, media_type and reference must have at most '
            f'{MAX_TEXT_CHARACTERS} characters.'
        )
    if not one.kind:
        return 'kind must not be empty.'
    if not _MEDIA_TYPE.fullmatch(one.media_type):
        return 'media_type must be a type and a subtype, as image/jpeg.'
    if bool(one.reference) == bool(one.data):
        return 'Give either a reference or data.'
    try:
        base64.b64decode(one.data, validate=True)
    except (binascii.Error, ValueError):
        return 'data must be base64 (RFC 4648, section 4).'
    return ''
