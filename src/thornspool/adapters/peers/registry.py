"""Registry of message types and their kind names."""

from __future__ import annotations

import typing

import attrs
import msgspec

from thornspool import decoding
from thornspool.adapters.peers import exceptions

_PACKAGES = ('thornspool.domain.', 'thornspool.application.', 'thornspool.')
_MODULE = '.messages'


def name_kind(message_type: type) -> str:
    """Derive the kind name of a message type.

    Parameters
    ----------
    message_type : type
        A class, usually from a ``messages`` module.

    Returns
    -------
    str
        The module without package, layer and ``messages``, followed by the
        class name, for example ``membership.Ping``.
    """
    module = message_type.__module__
    for prefix in _PACKAGES:
        if module.startswith(prefix):
            module = module.removeprefix(prefix)
            break
    return f'{module.removesuffix(_MODULE)}.{message_type.__name__}'


@attrs.frozen
class Registration:
    """A message type with its kind name and decoder."""

    kind: str
    message_type: type
    decoder: msgspec.msgpack.Decoder[typing.Any]


class Registry:
    """Message types that a process can encode and decode."""

    def __init__(self) -> None:
        self._by_kind: dict[str, Registration] = {}
        self._by_type: dict[type, Registration] = {}
        self._encoder = msgspec.msgpack.Encoder()

    @property
    def kinds(self) -> frozenset[str]:
        """Kind names of the registered types."""
        return frozenset(self._by_kind)

    def register(self, message_type: type) -> str:
        """Register a message type; repeated registration has no effect.

        Parameters
        ----------
        message_type : type
            A frozen ``attrs`` class. Fields may be nested frozen ``attrs``
            classes, tuples, dicts, enums, strings, bytes and numbers, and
            must be resolvable at run time. A union may contain at most one
            ``attrs`` class in addition to None.

        Returns
        -------
        str
            The kind name.

        Raises
        ------
        KindConflict
            If another type has the same kind name.
        TypeError
            If the type cannot be decoded.
        """
        existing = self._by_type.get(message_type)
        if existing is not None:
            return existing.kind
        kind = name_kind(message_type)
        if kind in self._by_kind:
            raise exceptions.KindConflict(
                f'Two message types have the kind name {kind}.',
                'Rename one of them.',
            )
        decoder: msgspec.msgpack.Decoder[typing.Any]
        decoder = msgspec.msgpack.Decoder(message_type)
        registration = Registration(kind, message_type, decoder)
        self._by_kind[kind] = registration
        self._by_type[message_type] = registration
        return kind

    def encode(self, message: object) -> tuple[str, bytes]:
        """Encode a message and register its type if necessary.

        Returns
        -------
        tuple of str and bytes
            Kind name and body.
        """
        return self.register(type(message)), self._encoder.encode(message)

    def decode(self, kind: str, body: bytes) -> typing.Any:
        """Decode the body of a message.

        Raises
        ------
        UnknownKind
            If no type is registered for the kind.
        MalformedFrame
            If the body does not match the type.
        """
        registration = self._by_kind.get(kind)
        if registration is None:
            raise exceptions.UnknownKind(
                f'No message type is registered for kind {kind!r}.',
                'Register the type when the entry starts.',
            )
        try:
            with decoding.translate_errors():
                return registration.decoder.decode(body)
        except decoding.DecodeError as error:
            raise exceptions.MalformedFrame(
                f'A body of kind {kind} cannot be decoded: {error}.'
            ) from error


default = Registry()


def register(message_type: type) -> str:
    """Register a message type in the default registry."""
    return default.register(message_type)
