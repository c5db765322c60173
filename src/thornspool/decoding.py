"""Decoding of documents that other programs have written.

Decoders raise more than their own errors for arbitrary bytes: RecursionError
for a document that is nested too deeply, UnicodeDecodeError, or a ValueError
of a conversion. Callers handle one error for all of them.
"""

from __future__ import annotations

import contextlib
import itertools
import typing

import msgspec

from thornspool import exceptions

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

MAX_DEPTH = 512
"""Deepest nesting of arrays and objects in a JSON document.

The decoder's own limit is what the interpreter's limit of 1,000 leaves at the
depth of the call, so that without this one, two processes could read the same
document differently.
"""

_STEPS = {ord('['): 1, ord('{'): 1, ord(']'): -1, ord('}'): -1}
_UNSTRUCTURED = bytes(code for code in range(256) if code not in _STEPS)

Document = typing.TypeVar('Document')


class DecodeError(exceptions.ThornspoolError):
    """The bytes are not a document of the expected type."""


@contextlib.contextmanager
def translate_errors() -> Iterator[None]:
    """Turn each error of decoding or converting into a ``DecodeError``.

    Raises
    ------
    DecodeError
        If the block raises an exception; the message is that of the
        exception.
    """
    try:
        yield
    except DecodeError:
        raise
    except Exception as error:
        raise DecodeError(str(error) or type(error).__name__) from error


def decode_json(raw: bytes, document_type: type[Document]) -> Document:
    """Decode a JSON document.

    Parameters
    ----------
    raw : bytes
        The document.
    document_type : type
        Type of the result, as msgspec takes it.

    Returns
    -------
    object
        The document, an instance of ``document_type``.

    Raises
    ------
    DecodeError
        If the bytes are no JSON, of another type, or nested more deeply than
        ``MAX_DEPTH``.
    """
    if _is_too_deep(raw):
        raise DecodeError(f'nested more than {MAX_DEPTH} levels deep')
    with translate_errors():
        return msgspec.json.decode(raw, type=document_type)


def decode_msgpack(raw: bytes, document_type: type[Document]) -> Document:
    """Decode a MessagePack document.

    Parameters
    ----------
    raw : bytes
        The document.
    document_type : type
        Type of the result, as msgspec takes it.

    Returns
    -------
    object
        The document, an instance of ``document_type``.

    Raises
    ------
    DecodeError
        If the bytes are no MessagePack or of another type.
    """
    with translate_errors():
        return msgspec.msgpack.decode(raw, type=document_type)


def _is_too_deep(raw: bytes) -> bool:
    """Return whether brackets outside of strings are nested too deeply."""
    if raw.count(b'[') + raw.count(b'{') <= MAX_DEPTH:
        return False
    # Without escaped quotes, every second part between quotes is a string.
    parts = raw.replace(b'\\\\', b'').replace(b'\\"', b'').split(b'"')
    brackets = b''.join(parts[::2]).translate(None, _UNSTRUCTURED)
    depths = itertools.accumulate(map(_STEPS.__getitem__, brackets))
    return any(depth > MAX_DEPTH for depth in depths)
