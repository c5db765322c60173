"""Publishing and applying of configuration by several entries."""

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
    """Return the buckets that the head refers to and nobody can read."""
    head = heads.decode_head(cluster.platform.read(heads.HEAD_KEY).value)
    return [
        digest
        for digest in filter(None, head.buckets)
        if not cluster.platform.read(storage.format_bucket_key(digest)).value
    ]


def _hide_buckets(
    cluster: make.Cluster,
) -> dict[str, list[ports.Versioned]]:
    """Take the buckets away from the platform; returns them."""
    values = cluster.platform.values
    return {
        key: values.pop(key)
        for key in list(values)
        if key.startswith(BUCKET_PREFIX)
    }


async def _publish(
    entry: make.Entry, name: str, mark: float, base: int = 0
) -> configuration_results.PublishResult:
    return await entry.service.publish(
        make.build_publication(
            f'{name}-{mark}', base, make.build_workspace(name, mark)
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

    def test_publisher_is_told_where_it_is_not_in_force(self) -> None:
        """An entry is cut off while an operator publishes.

        The operator must see its name, or would believe that a limit holds
        where it does not.
        """

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            cut = cluster.add_entry('two')
            cut.faults.platform_up = cut.faults.peers_up = False
            result = await _publish(first, 'alpha', 7)
            straggler = configuration_results.Straggler('two', 'two', 0)
            self.assertEqual(
                configuration_results.Accepted(1, ('one',), (straggler,)),
                result,
            )
            await asyncio.sleep(6)
            self.assertTrue(cut.service.is_isolated(cluster.clock.now()))
            self.assertFalse(first.service.is_isolated(cluster.clock.now()))

        make.run_virtual(scenario)

    def test_write_faults_give_one_honest_outcome(self) -> None:
        """The platform loses answers or writes, delays them, or is down.

        The operator must not be told that nothing was accepted while a
        write may still land, nor see a publication accepted twice.
        """
        accepted, undecided = (
            configuration_results.Accepted,
            publishing.Undecided,
        )
        lost_for_ever: dict[str, typing.Any] = {'write': 'never'}
        down = {'platform_up': False}
        cases: dict[str, tuple[typing.Any, ...]] = {
            'answer lost': ({'write': 'lost'}, {}, accepted, 1),
            'write lost once': (lost_for_ever, {'write': 'done'}, accepted, 1),
            'write lands late': ({'write': 'late'}, {}, accepted, 1),
            'buckets lost once': (
                {'write': 'never', 'write_prefix': BUCKET_PREFIX},
                {'write': 'done'},
                accepted,
                1,
            ),
            'write lost for ever': (lost_for_ever, {}, undecided, 0),
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
                    heads.HEAD_KEY in entry.platform.writes, result.written
                )

        return scenario

    def test_second_of_two_operators_gets_the_names(self) -> None:
        """Two operators publish at the same moment through two entries."""

        async def scenario(cluster: make.Cluster) -> None:
            entries = [cluster.add_entry(name) for name in ('one', 'two')]
            results = await asyncio.gather(
                *(
                    _publish(one, 'alpha', mark)
                    for mark, one in enumerate(entries, 1)
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

    def test_garbage_is_emptied(self) -> None:
        """Answers to writes get lost, and old buckets must still go."""
        for fate in ('done', 'lost'):
            with self.subTest(fate):
                make.run_virtual(self._build_garbage_scenario(fate))

    def _build_garbage_scenario(
        self, fate: str
    ) -> typing.Callable[[make.Cluster], typing.Awaitable[None]]:
        async def scenario(cluster: make.Cluster) -> None:
            entry = cluster.add_entry('one')
            for mark in range(heads.RETIRED_LENGTH + 5):
                entry.faults.write = fate
                await _publish(entry, 'alpha', mark, mark)
            entry.faults.write = 'done'
            await asyncio.sleep(1)
            sizes = [
                bool(cluster.platform.read(key).value)
                for key in cluster.platform.values
                if key.startswith(BUCKET_PREFIX)
            ]
            self.assertEqual(4, sizes.count(False))

        return scenario


class ApplyTest(unittest.TestCase):
    def test_faults_do_not_keep_an_entry_on_an_old_version(self) -> None:
        """One entry is cut from the platform, from its peers, or misled.

        A change must be in force there within seconds all the same.
        """
        cases: dict[str, dict[str, typing.Any]] = {
            'platform cut': {'platform_up': False},
            'platform slow': {'slow': True},
            'peers cut': {'peers_up': False},
            'platform answers are old': {'stale': 1},
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

    def test_heard_version_is_pulled_at_once(self) -> None:
        """The platform is gone for one entry, and a peer says it is ahead."""

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

    def test_entry_that_joins_in_an_outage_learns_from_peers(self) -> None:
        """The platform is down when a host is replaced.

        Without the configuration the new entry could serve nobody.
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

    def test_woken_entry_takes_no_work_before_it_has_caught_up(self) -> None:
        """A host stops while operators publish, and wakes.

        It hears of the version at once but can not pull it yet. If the
        answer alone ended its isolation, it would run requests under what
        operators had replaced.
        """

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            woken = cluster.add_entry('two')
            await _publish(first, 'alpha', 0)
            woken.faults.platform_up = woken.faults.peers_up = False
            await _publish(first, 'alpha', 1, 1)
            await asyncio.sleep(6)
            self.assertTrue(woken.service.is_isolated(cluster.clock.now()))
            hidden = _hide_buckets(cluster)
            woken.faults.platform_up = True
            await asyncio.sleep(3)
            self.assertEqual(1, woken.service.version())
            self.assertTrue(woken.service.is_isolated(cluster.clock.now()))
            cluster.platform.values.update(hidden)
            woken.faults.peers_up = True
            await asyncio.sleep(IN_FORCE_S)
            self.assertEqual(2, woken.service.version())
            self.assertFalse(woken.service.is_isolated(cluster.clock.now()))

        make.run_virtual(scenario)

    def test_frozen_entry_wakes_to_the_latest_version(self) -> None:
        """A host stops for a while and several versions pass.

        What it had begun to read is old when it goes on, and must not
        replace what it learns from then on.
        """

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            frozen = cluster.add_entry('two')
            await _publish(first, 'alpha', 0)
            frozen.faults.thawed.clear()
            for version in range(1, 4):
                await _publish(first, 'alpha', version, version)
            frozen.faults.thawed.set()
            await asyncio.sleep(IN_FORCE_S)
            versions = [one.version for one in frozen.applied]
            self.assertEqual(sorted(versions), versions)
            self.assertEqual(4, versions[-1])

        make.run_virtual(scenario)

    def test_wrong_bytes_of_a_peer_are_not_put_in_force(self) -> None:
        """A peer answers with another bucket than the one asked for.

        Documents that nobody accepted in this version would be in force.
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

    def test_buckets_come_from_peers_first(self) -> None:
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

    def test_failing_subscriber_stops_nobody_else(self) -> None:
        """One part's callback has a fault; the others still must hear."""

        async def scenario(cluster: make.Cluster) -> None:
            entry = cluster.add_entry('one')
            heard: list[int] = []
            entry.service.subscribe(lambda _: heard[1])
            entry.service.subscribe(lambda one: heard.append(one.version))
            await _publish(entry, 'alpha', 1)
            self.assertEqual([1], heard)

        make.run_virtual(scenario)


def _set_faults(entry: make.Entry, faults: dict[str, typing.Any]) -> None:
    for name, value in faults.items():
        setattr(entry.faults, name, value)
