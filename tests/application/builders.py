"""Builders of action services on fakes."""

from __future__ import annotations

import random
import typing

import attrs

from tests import builders
from tests.application import fakes
from thornspool.application import actions
from thornspool.domain.configuration import documents

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.define
class Fleet:
    """Entries over one fake platform, network and service."""

    clock: builders.FakeClock
    platform: fakes.FakePlatform
    network: fakes.FakeNetwork
    services: fakes.FakeServices
    entries: list[actions.ActionService]

    def build_request(
        self, seed: int = 1, **changes: typing.Any
    ) -> actions.ActionRequest:
        """Build a request whose key follows from a seed."""
        values: dict[str, typing.Any] = {
            'workspace': 'swan',
            'service': 'booking',
            'operation': 'hold',
            'key': builders.build_key(seed),
            'body': b'{}',
            'deadline': self.clock.now() + 2_000,
            'targets': (build_target('booking-1'), build_target('booking-2')),
        }
        values.update(changes)
        return actions.ActionRequest(**values)


def build_target(name: str) -> documents.Target:
    """Build a plain service's target."""
    return documents.Target(
        name=name,
        kind=documents.TargetKind.SERVICE,
        host=name,
        failure_domain='perth-a',
        url=f'http://{name}',
    )


def build_fleet(
    size: int = 3, settings: actions.ActionSettings | None = None
) -> Fleet:
    """Build entries that share one platform and one network."""
    clock = builders.FakeClock()
    platform = fakes.FakePlatform()
    network = fakes.FakeNetwork()
    services = fakes.FakeServices()
    members = tuple(
        builders.build_member(f'entry-{number}') for number in range(size)
    )
    view = fakes.FakeMembers(members)
    entries = [
        actions.ActionService(
            clock,
            platform,
            fakes.FakePeers(network, member),
            services,
            view,
            member,
            random.Random(number),
            settings,
        )
        for number, member in enumerate(members)
    ]
    return Fleet(clock, platform, network, services, entries)


def count_kinds(results: Iterable[actions.ActionResult]) -> dict[str, int]:
    """Count results by the name of their class."""
    kinds: dict[str, int] = {}
    for result in results:
        name = type(result).__name__
        kinds[name] = kinds.get(name, 0) + 1
    return kinds
