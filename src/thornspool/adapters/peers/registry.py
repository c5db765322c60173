"""Message types and the kind names that stand for them."""

from __future__ import annotations

import typing

import attrs
import msgspec

from thornspool.adapters.peers import exceptions

_PACKAGES = ('thornspool.domain.', 'thornspool.application.', 'thornspool.')
_MODULE = '.messages'


def name_kind(message_type: type) -> str:
    """Derive the kind name of a message type.

    Parameters
    ----------
    message_type : type
        A class, usually of a ``messages`` module.

    Returns
    -------
    str
        Its module without package, layer and ``messages``, and its name:
        ``membership.Ping``.
    """
    module = message_type.__module__
    for prefix in _PACKAGES:
        if module.startswith(prefix):
            module = module.removeprefix(prefix)
            break
    return f'{module.removesuffix(_MODULE)}.{message_type.__name__}'


@attrs.frozen
class Registration:
    """A message type with its kind and the decoder of its bodies."""

    kind: str
    message_type: type
    decoder: msgspec.msgpack.Decoder[typing.Any]


class Registry:
    """Message types that a process can send and understand."""

    def __init__(self) -> None:
        self._by_kind: dict[str, Registration] = {}
        self._by_type: dict[type, Registration] = {}
        self._encoder = msgspec.msgpack.Encoder()

    @property
    def kinds(self) -> frozenset[str]:
        """The kind names of the registered types."""
        return frozenset(self._by_kind)

    def register(self, message_type: type) -> str:
        """Add a message type; adding one again changes nothing.

        Parameters
        ----------
        message_type : type
            A frozen ``attrs`` class. Fields may be nested frozen ``attrs``
            classes, tuples, dicts, enums, strings, bytes and numbers, and
            must be resolvable at run time. A union holds one ``attrs``
            class at most, beside None.

        Returns
        -------
        str
            The kind name.

        Raises
        ------
        KindConflict
            Another type has the same kind name.
        TypeError
            The type cannot be decoded.
        """
        known = self._by_type.get(message_type)
        if known is not None:
            return known.kind
        kind = name_kind(message_type)
        if kind in self._by_kind:
            raise exceptions.KindConflict(
                f'Two message types are named {kind}.', 'Rename one of them.'
            )
        decoder: msgspec.msgpack.Decoder[typing.Any]
        decoder = msgspec.msgpack.Decoder(message_type)
        registration = Registration(kind, message_type, decoder)
        self._by_kind[kind] = registration
        self._by_type[message_type] = registration
        return kind

    def encode(self, message: object) -> tuple[str, bytes]:
        """Encode a message and register its type if need be.

        Returns
        -------
        tuple of str and bytes
            Kind name and body.
        """
        return self.register(type(message)), self._encoder.encode(message)

    def decode(self, kind: str, body: bytes) -> typing.Any:
        """Decode a body.

        Raises
        ------
        UnknownKind
            No type is registered under the kind.
        MalformedFrame
            The body does not fit the type.
        """
        registration = self._by_kind.get(kind)
        if registration is None:
            raise exceptions.UnknownKind(
                f'No message type is registered as {kind!r}.',
                'Register it when the entry starts.',
            )
        try:
            return registration.decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, TypeError) as error:
            raise exceptions.MalformedFrame(
                f'A body of kind {kind} cannot be decoded: {error}.'
            ) from error


default = Registry()


def register(message_type: type) -> str:
    """Add a message type to the registry that every node uses by default."""
    return default.register(message_type)
