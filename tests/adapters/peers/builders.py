"""Builders of messages and nodes for the tests of this package."""

from __future__ import annotations

import attrs

from thornspool import clock
from thornspool.adapters.peers import node
from thornspool.adapters.peers import registry

LOOPBACK = 'tcp://127.0.0.1:0'


@attrs.frozen
class Part:
    name: str
    data: bytes = b''


@attrs.frozen
class Question:
    number: int
    parts: tuple[Part, ...] = ()


@attrs.frozen
class Answer:
    number: int
    part: Part | None = None


@attrs.frozen
class Unheard:
    number: int


def build_node(
    name: str, listen_address: str = LOOPBACK, **changes: int
) -> node.PeerNode:
    """Build a node with a registry of its own, as another process has."""
    return node.PeerNode(
        clock.Clock(),
        name,
        listen_address,
        message_types=(Question, Answer),
        registry=registry.Registry(),
        **changes,
    )
