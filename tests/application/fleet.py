"""Fake network between several entries of one process, with faults."""

from __future__ import annotations

import typing

from tests import builders
from thornspool.application import exceptions
from thornspool.application import ports

Handler = typing.Callable[[str, typing.Any], typing.Awaitable[typing.Any]]


class FakeNetwork:
    """Delivers messages; loses requests, replies and one-way messages."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[type, Handler]] = {}
        self.gone: set[str] = set()
        self.lose_replies = 0
        self.one_way_losses = 0
        self.queued: list[tuple[str, str, typing.Any]] = []
        self.failing: set[str] = set()
        self.request_count = 0

    async def deliver(self) -> None:
        """Deliver the queued one-way messages in order."""
        while self.queued:
            sender, address, message = self.queued.pop(0)
            handler = self.handlers.get(address, {}).get(type(message))
            if handler is not None and address not in self.gone:
                await handler(sender, message)


class FakePeers:
    def __init__(self, network: FakeNetwork, member: ports.Member) -> None:
        self._network = network
        self._member = member
        network.handlers[member.peer_address] = {}

    def handle(self, message_type: type, handler: Handler) -> None:
        handlers = self._network.handlers[self._member.peer_address]
        handlers[message_type] = handler

    async def request(
        self, peer_address: str, message: typing.Any, timeout_ms: int
    ) -> typing.Any:
        network = self._network
        network.request_count += 1
        if peer_address in network.gone:
            network.failing.add(self._member.incarnation)
            raise exceptions.PeerUnreachable('peer unreachable')
        handler = network.handlers[peer_address][type(message)]
        reply = await handler(self._member.incarnation, message)
        if network.lose_replies > 0:
            network.lose_replies -= 1
            network.failing.add(self._member.incarnation)
            raise exceptions.PeerUnreachable('reply lost')
        network.failing.discard(self._member.incarnation)
        return reply

    def send(self, peer_address: str, message: typing.Any) -> None:
        if self._network.one_way_losses > 0:
            self._network.one_way_losses -= 1
            return
        sender = self._member.incarnation
        self._network.queued.append((sender, peer_address, message))


def build_members(count: int) -> tuple[ports.Member, ...]:
    return tuple(
        builders.build_member(f'entry-{number:03}') for number in range(count)
    )
