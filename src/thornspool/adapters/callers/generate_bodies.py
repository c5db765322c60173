"""Decoding and validation of bodies of text generation requests."""

from __future__ import annotations

import base64
import binascii
import re
import typing

import attrs
import msgspec

from thornspool import decoding
from thornspool.application.generation import (
    attachments as generation_attachments,
)

MAX_TOKENS_LIMIT = 32_768
MAX_TIMEOUT_MS = 600_000
DEFAULT_TIMEOUT_MS = 60_000
MAX_ATTACHMENTS = 16
MAX_ATTACHMENT_BYTES = 4 * 1024 * 1024
MAX_TEXT_CHARACTERS = 2_048
"""Maximum length of a kind, media type or reference."""

_MEDIA_TYPE = re.compile(r'[\w.+-]+/[\w.+-]+', re.ASCII)


@attrs.frozen
class GenerateBody:
    """Body of a text generation request; see docs/api.md."""

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
    decoding.DecodeError
        If it is not JSON or does not match the type.
    """
    return decoding.decode_json(content, GenerateBody)


def find_problem(
    content: bytes, body: GenerateBody, workspace: str, model: str
) -> str:
    """Validate a body and return an error message, or an empty string.

    Parameters
    ----------
    content : bytes
        The body as received.
    body : GenerateBody
        The decoded body.
    workspace, model : str
        Names in the request path.
    """
    decoded = msgspec.json.decode(content)
    unknown = _list_unknown(decoded)
    if unknown:
        return f'Unknown members: {", ".join(unknown)}. Remove them.'
    for name, in_body, in_path in (
        ('workspace', body.workspace, workspace),
        ('model', body.model, model),
    ):
        if in_body is not None and in_body != in_path:
            return (
                f'The {name} is {in_body!r} in the body, {in_path!r} in the '
                f'path. Omit it in the body or use the name in the path.'
            )
    if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
        return f'max_tokens must be from 1 to {MAX_TOKENS_LIMIT}.'
    if not 1 <= body.timeout_ms <= MAX_TIMEOUT_MS:
        return f'timeout_ms must be from 1 to {MAX_TIMEOUT_MS}.'
    return _find_attachments_problem(body.attachments)


def _list_unknown(decoded: dict[str, typing.Any]) -> list[str]:
    """Return the paths of unknown members in the body."""
    unknown = set(decoded) - _list_names(GenerateBody)
    for index, attachment in enumerate(decoded.get('attachments', ())):
        unknown_names = set(attachment) - _list_names(
            generation_attachments.Attachment
        )
        unknown |= {f'attachments[{index}].{name}' for name in unknown_names}
    return sorted(unknown)


def _list_names(attrs_class: type[attrs.AttrsInstance]) -> set[str]:
    return {field.name for field in attrs.fields(attrs_class)}


def _find_attachments_problem(
    attachments: tuple[generation_attachments.Attachment, ...],
) -> str:
    if len(attachments) > MAX_ATTACHMENTS:
        return f'The number of attachments exceeds {MAX_ATTACHMENTS}.'
    size = 0
    for index, attachment in enumerate(attachments):
        problem = _find_attachment_problem(attachment)
        if problem:
            return f'attachments[{index}]: {problem}'
        size += len(attachment.data) * 3 // 4
    if size > MAX_ATTACHMENT_BYTES:
        return (
            f'The data of the attachments exceeds {MAX_ATTACHMENT_BYTES} '
            f'bytes. Use references instead.'
        )
    return ''


def _find_attachment_problem(
    attachment: generation_attachments.Attachment,
) -> str:
    texts = (attachment.kind, attachment.media_type, attachment.reference)
    if max(map(len, texts)) > MAX_TEXT_CHARACTERS:
        return (
            f'kind, media_type and reference must have at most '
            f'{MAX_TEXT_CHARACTERS} characters.'
        )
    if not attachment.kind:
        return 'kind must not be empty.'
    if not _MEDIA_TYPE.fullmatch(attachment.media_type):
        return 'media_type must consist of type and subtype, as in image/jpeg.'
    if bool(attachment.reference) == bool(attachment.data):
        return 'Set either a reference or data.'
    try:
        base64.b64decode(attachment.data, validate=True)
    except (binascii.Error, ValueError):
        return 'data must be base64 (RFC 4648, section 4).'
    return ''
