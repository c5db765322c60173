"""Tests of publishing and replication across several entries."""

from __future__ import annotations

import asyncio
import typing
import unittest

from tests.application import configuration_builders as make
from thornspool.application.configuration import (
    results as configuration_results,
)
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import publishing
from thornspool.domain.configuration import storage

if typing.TYPE_CHECKING:
    from thornspool.application import ports

BUCKET_PREFIX = 'configuration/bucket'
IN_FORCE_S = 4


def _count_records(cluster: make.Cluster) -> int:
    value = cluster.platform.read(heads.HEAD_KEY).value
    return len(heads.decode_head(value).history)


def _list_absent(cluster: make.Cluster) -> list[str]:
    """Return the buckets that the head refers to and the platform lacks."""
    head = heads.decode_head(cluster.platform.read(heads.HEAD_KEY).value)
    return [
        digest
        for digest in filter(None, head.buckets)
        if not cluster.platform.read(storage.format_bucket_key(digest)).value
    ]


def _hide_buckets(
    cluster: make.Cluster,
) -> dict[str, list[ports.Versioned]]:
    """Remove the buckets from the platform and return them."""
    values = cluster.platform.values
    return {
        key: values.pop(key)
        for key in list(values)
        if key.startswith(BUCKET_PREFIX)
    }


async def _publish(
    entry: make.Entry, name: str, limit: float, base: int = 0
) -> configuration_results.PublishResult:
    return await entry.service.publish(
        make.build_publication(
            f'{name}-{limit}', base, make.build_workspace(name, limit)
        )
    )


class PublishTest(unittest.TestCase):
    def test_publication_is_in_force_at_every_entry(self) -> None:
        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            second = cluster.add_entry('two')
            result = await _publish(first, 'alpha', 7)
            self.assertEqual(
                configuration_results.Accepted(1, ('one', 'two'), ()), result
            )
            workspaces = second.service.snapshot().workspaces
            self.assertEqual(
                {'alpha': make.build_workspace('alpha', 7)}, workspaces
            )

        make.run_virtual(scenario)

    def test_result_lists_entry_where_version_is_not_in_force(self) -> None:
        """An entry is disconnected while an operator publishes.

        The result must list it, because a new limit has no effect there.
        """

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            disconnected = cluster.add_entry('two')
            disconnected.faults.platform_up = disconnected.faults.peers_up = (
                False
            )
            result = await _publish(first, 'alpha', 7)
            straggler = configuration_results.Straggler('two', 'two', 0)
            self.assertEqual(
                configuration_results.Accepted(1, ('one',), (straggler,)),
                result,
            )
            await asyncio.sleep(6)
            self.assertTrue(
                disconnected.service.is_isolated(cluster.clock.now())
            )
            self.assertFalse(first.service.is_isolated(cluster.clock.now()))

        make.run_virtual(scenario)

    def test_outcome_matches_platform_despite_write_faults(self) -> None:
        """The platform loses responses or writes, delays them, or is down.

        The outcome must not deny acceptance while a write can still take
        effect, and no publication may be accepted twice.
        """
        accepted, undecided = (
            configuration_results.Accepted,
            publishing.Undecided,
        )
        always_lost: dict[str, typing.Any] = {'write': 'never'}
        down = {'platform_up': False}
        cases: dict[str, tuple[typing.Any, ...]] = {
            'response lost': ({'write': 'lost'}, {}, accepted, 1),
            'write lost once': (always_lost, {'write': 'done'}, accepted, 1),
            'write delayed': ({'write': 'late'}, {}, accepted, 1),
            'buckets lost once': (
                {'write': 'never', 'write_prefix': BUCKET_PREFIX},
                {'write': 'done'},
                accepted,
                1,
            ),
            'write always lost': (always_lost, {}, undecided, 0),
            'head lost, then down': (
                {'write': 'late', 'write_prefix': heads.HEAD_KEY},
                down,
                undecided,
                1,
            ),
            'down': (down, {}, undecided, 0),
            'slow': ({'slow': True}, {}, accepted, 1),
        }
        for name, (faults, later, outcome, records) in cases.items():
            with self.subTest(name):
                make.run_virtual(
                    self._build_fault_scenario(faults, later, outcome, records)
                )

    def _build_fault_scenario(
        self,
        faults: dict[str, typing.Any],
        later: dict[str, typing.Any],
        outcome: type,
        records: int,
    ) -> typing.Callable[[make.Cluster], typing.Awaitable[None]]:
        async def scenario(cluster: make.Cluster) -> None:
            entry = cluster.add_entry('one')
            _set_faults(entry, faults)
            task = asyncio.create_task(_publish(entry, 'alpha', 7))
            await asyncio.sleep(1)
            _set_faults(entry, later)
            result = await task
            self.assertIsInstance(result, outcome)
            self.assertEqual(records, _count_records(cluster))
            self.assertEqual([], _list_absent(cluster))
            if isinstance(result, publishing.Undecided):
                self.assertEqual(
                    heads.HEAD_KEY in entry.platform.writes, result.head_sent
                )

        return scenario

    def test_second_of_two_concurrent_publications_is_a_conflict(self) -> None:
        """Two operators publish concurrently through two entries."""

        async def scenario(cluster: make.Cluster) -> None:
            entries = [cluster.add_entry(name) for name in ('one', 'two')]
            results = await asyncio.gather(
                *(
                    _publish(one, 'alpha', limit)
                    for limit, one in enumerate(entries, 1)
                )
            )
            conflict = publications.Conflict(('workspace/alpha',), 1)
            self.assertEqual(1, results.count(conflict))
            disjoint = await asyncio.gather(
                _publish(entries[0], 'beta', 1, 1),
                _publish(entries[1], 'gamma', 1, 1),
            )
            versions = [
                one.version
                for one in disjoint
                if isinstance(one, configuration_results.Accepted)
            ]
            self.assertEqual([2, 3], sorted(versions))

        make.run_virtual(scenario)

    def test_garbage_buckets_are_cleared(self) -> None:
        """Old buckets are cleared even if responses to writes are lost."""
        for write_fault in ('done', 'lost'):
            with self.subTest(write_fault):
                make.run_virtual(self._build_garbage_scenario(write_fault))

    def _build_garbage_scenario(
        self, write_fault: str
    ) -> typing.Callable[[make.Cluster], typing.Awaitable[None]]:
        async def scenario(cluster: make.Cluster) -> None:
            entry = cluster.add_entry('one')
            for limit in range(heads.RETIRED_LENGTH + 5):
                entry.faults.write = write_fault
                await _publish(entry, 'alpha', limit, limit)
            entry.faults.write = 'done'
            await asyncio.sleep(1)
            has_value = [
                bool(cluster.platform.read(key).value)
                for key in cluster.platform.values
                if key.startswith(BUCKET_PREFIX)
            ]
            self.assertEqual(4, has_value.count(False))

        return scenario


class ApplyTest(unittest.TestCase):
    def test_entry_applies_new_version_despite_faults(self) -> None:
        """One entry loses the platform or its peers, or reads old versions.

        A change must still be in force there within seconds.
        """
        cases: dict[str, dict[str, typing.Any]] = {
            'platform unreachable': {'platform_up': False},
            'platform slow': {'slow': True},
            'peers unreachable': {'peers_up': False},
            'platform responses are old': {'stale': 1},
        }
        for name, faults in cases.items():
            with self.subTest(name):
                make.run_virtual(self._build_apply_scenario(faults))

    def _build_apply_scenario(
        self, faults: dict[str, typing.Any]
    ) -> typing.Callable[[make.Cluster], typing.Awaitable[None]]:
        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            other = cluster.add_entry('two')
            await _publish(first, 'alpha', 1)
            _set_faults(other, faults)
            await _publish(first, 'alpha', 2, 1)
            await asyncio.sleep(IN_FORCE_S)
            self.assertEqual([1, 2], [one.version for one in other.applied])

        return scenario

    def test_version_reported_by_peer_is_pulled_immediately(self) -> None:
        """One entry loses the platform, and a peer reports a later version."""

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            other = cluster.add_entry('two')
            await asyncio.sleep(0.1)
            other.faults.platform_up = False
            task = asyncio.create_task(_publish(first, 'alpha', 1))
            await asyncio.sleep(0.6)
            self.assertEqual(1, other.service.version())
            await task

        make.run_virtual(scenario)

    def test_entry_joining_during_platform_outage_pulls_from_peers(
        self,
    ) -> None:
        """A host is replaced during a platform outage.

        Without the configuration, the new entry could not serve requests.
        """

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            await _publish(first, 'alpha', 1)
            first.faults.platform_up = False
            late = make.Entry(cluster, 'two')
            late.faults.platform_up = False
            self.assertTrue(late.service.is_isolated(cluster.clock.now()))
            late = cluster.add_entry('three')
            late.faults.platform_up = False
            await asyncio.sleep(IN_FORCE_S)
            self.assertEqual(1, late.service.version())
            self.assertFalse(late.service.is_isolated(cluster.clock.now()))

        make.run_virtual(scenario)

    def test_resumed_entry_is_isolated_until_it_applied_latest_version(
        self,
    ) -> None:
        """An entry was isolated while operators published, then reconnects.

        It receives the latest version number but cannot pull its buckets
        yet. If the response alone ended its isolation, it would serve
        requests under a replaced configuration.
        """

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            resumed = cluster.add_entry('two')
            await _publish(first, 'alpha', 0)
            resumed.faults.platform_up = resumed.faults.peers_up = False
            await _publish(first, 'alpha', 1, 1)
            await asyncio.sleep(6)
            self.assertTrue(resumed.service.is_isolated(cluster.clock.now()))
            hidden = _hide_buckets(cluster)
            resumed.faults.platform_up = True
            await asyncio.sleep(3)
            self.assertEqual(1, resumed.service.version())
            self.assertTrue(resumed.service.is_isolated(cluster.clock.now()))
            cluster.platform.values.update(hidden)
            resumed.faults.peers_up = True
            await asyncio.sleep(IN_FORCE_S)
            self.assertEqual(2, resumed.service.version())
            self.assertFalse(resumed.service.is_isolated(cluster.clock.now()))

        make.run_virtual(scenario)

    def test_suspended_entry_resumes_with_latest_version(self) -> None:
        """A host is suspended while several versions are published.

        Reads that it started before are outdated when it resumes, and must
        not replace later versions.
        """

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            suspended = cluster.add_entry('two')
            await _publish(first, 'alpha', 0)
            suspended.faults.running.clear()
            for version in range(1, 4):
                await _publish(first, 'alpha', version, version)
            suspended.faults.running.set()
            await asyncio.sleep(IN_FORCE_S)
            versions = [one.version for one in suspended.applied]
            self.assertEqual(sorted(versions), versions)
            self.assertEqual(4, versions[-1])

        make.run_virtual(scenario)

    def test_wrong_bytes_from_a_peer_are_not_applied(self) -> None:
        """A peer returns a bucket other than the requested one.

        Documents that are not part of the version would be in force.
        """

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            other = cluster.add_entry('two')
            await _publish(first, 'alpha', 1)
            first.faults.corrupt = True
            for version in range(1, 4):
                await _publish(first, 'beta', version, version)
            workspaces = other.service.snapshot().workspaces
            self.assertEqual(
                make.build_workspace('beta', 3), workspaces['beta']
            )

        make.run_virtual(scenario)

    def test_buckets_are_pulled_from_peers_first(self) -> None:
        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            await _publish(first, 'alpha', 1)
            joining = cluster.add_entry('two')
            await asyncio.sleep(1)
            self.assertEqual(1, joining.service.version())
            read = [
                one for one in joining.platform.reads if BUCKET_PREFIX in one
            ]
            self.assertEqual([], read)

        make.run_virtual(scenario)

    def test_failing_subscriber_does_not_affect_others(self) -> None:
        """One callback raises an error; the others must still be called."""

        async def scenario(cluster: make.Cluster) -> None:
            entry = cluster.add_entry('one')
            notified: list[int] = []
            entry.service.subscribe(lambda _: notified[1])
            entry.service.subscribe(lambda one: notified.append(one.version))
            await _publish(entry, 'alpha', 1)
            self.assertEqual([1], notified)

        make.run_virtual(scenario)


def _set_faults(entry: make.Entry, faults: dict[str, typing.Any]) -> None:
    for name, value in faults.items():
        setattr(entry.faults, name, value)
