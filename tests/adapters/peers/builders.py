"""Builders of messages and nodes for tests of peer messaging."""

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
class Request:
    number: int
    parts: tuple[Part, ...] = ()


@attrs.frozen
class Reply:
    number: int
    part: Part | None = None


@attrs.frozen
class Unregistered:
    number: int


def build_node(
    name: str, listen_address: str = LOOPBACK, **changes: int
) -> node.PeerNode:
    """Build a node with a separate registry, as in a separate process."""
    return node.PeerNode(
        clock.Clock(),
        name,
        listen_address,
        message_types=(Request, Reply),
        registry=registry.Registry(),
        **changes,
    )
