"""Builders of action services on fake ports."""

from __future__ import annotations

import collections
import random
import typing

import attrs

from tests import builders
from tests.application import fakes
from thornspool.application.actions import service as actions
from thornspool.domain.configuration import documents

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.define
class Fleet:
    """Entries that share a fake platform, network and services."""

    clock: builders.FakeClock
    platform: fakes.FakePlatform
    network: fakes.FakeNetwork
    services: fakes.FakeServices
    entries: list[actions.ActionService]
    view: fakes.FakeMembers
    settings: actions.ActionSettings | None = None

    def restart(self, number: int) -> None:
        """Start or restart an entry at its address."""
        member = builders.build_member(
            f'entry-{number}',
            incarnation=f'entry-{number}-{len(self.entries)}',
        )
        self.view.members = (
            *(m for m in self.view.members if m.host != member.host),
            member,
        )
        service = actions.ActionService(
            self.clock,
            self.platform,
            fakes.FakePeers(self.network, member),
            self.services,
            self.view,
            member,
            random.Random(len(self.entries)),
            self.settings,
        )
        self.entries[number : number + 1] = [service]

    def build_request(
        self, seed: int = 1, **changes: typing.Any
    ) -> actions.ActionRequest:
        """Build a request with a key derived from a seed."""
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
    """Build a target of a plain service."""
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
    fleet = Fleet(
        builders.FakeClock(),
        fakes.FakePlatform(),
        fakes.FakeNetwork(),
        fakes.FakeServices(),
        [],
        fakes.FakeMembers(()),
        settings,
    )
    for number in range(size):
        fleet.restart(number)
    return fleet


def slow_down(fleet: Fleet) -> None:
    """Make the first target respond late to its next call."""
    fleet.services.faults['http://booking-1'] = collections.deque(['slow'])


def count_kinds(results: Iterable[actions.ActionResult]) -> dict[str, int]:
    """Count results by class name."""
    kinds: dict[str, int] = {}
    for result in results:
        name = type(result).__name__
        kinds[name] = kinds.get(name, 0) + 1
    return kinds
