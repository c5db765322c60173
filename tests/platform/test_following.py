"""Tests of the store client, the local copy and the registration."""

from __future__ import annotations

import asyncio
import base64
import json
import unittest
from unittest import mock

import attrs

from standins import common
from standins import kv_fleet
from standins import kv_store
from tests import builders
from thornspool import clock as clock_module
from thornspool import tasks
from thornspool.adapters import transfers
from thornspool.application.routing import exceptions as routing_errors
from thornspool.application.routing import registration
from thornspool.application.routing import (
    routing_state as routing_state_module,
)
from thornspool.domain.entries import leadership
from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module
from thornspool.domain.freshness import age_limits
from thornspool.platform import exceptions
from thornspool.platform import follower
from thornspool.platform import registry
from thornspool.platform import store as store_module

LONG_LIMITS = age_limits.compute_limits(9_000, 4_000)
LONGEST_LIMITS = age_limits.compute_limits(9_000, 7_000)
LOCAL_RECORD = messages.Record('one', 'one-1', 'a', 'one:80', 'one:90')


class _WithStore(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.state = kv_store.Store(clock_module.Clock())
        self.server, url = common.listen(kv_store.make_application(self.state))
        self.session = transfers.Session()
        self.store = store_module.Store(
            self.session, url.removeprefix('http://')
        )

    async def asyncTearDown(self):
        self.session.close()
        self.server.stop()
        await self.server.close_all_connections()

    def put(self, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return self.state.write([{'key': key, 'value': value}], [])


class StoreTest(_WithStore):
    async def test_reads_all_pages(self):
        for number in range(1_100):
            self.put(f'k/{number:04}', number)
        read = await self.store.read_all('k/')
        self.assertEqual(1_100, len(read.items))
        self.assertEqual(b'7', read.items[7].value)

    async def test_a_watch_returns_changes_and_deletions(self):
        revision = self.put('k/1', 1)
        waiting = asyncio.create_task(self.store.watch('k/', revision, 2_000))
        await asyncio.sleep(0.05)
        self.state.write([], ['k/1'])
        changes = await waiting
        self.assertEqual([None], [one.value for one in changes.items])
        unchanged = await self.store.watch('k/', changes.revision, 20)
        self.assertEqual((), unchanged.items)

    async def test_writes_check_their_preconditions(self):
        put = store_module.Put('k/1', b'x')
        revision = await self.store.write({'k/1': 0}, [put])
        with self.assertRaises(exceptions.ConditionFailed):
            await self.store.write({'k/1': 0}, [put])
        await self.store.write({'k/1': revision}, deletes=['k/1'])
        self.assertEqual({}, self.state.items)

    async def test_errors_map_to_their_exceptions(self):
        with self.assertRaises(exceptions.LeaseExpired):
            await self.store.renew_lease(5)
        with self.assertRaises(exceptions.LeaseExpired):
            await self.store.write({}, [store_module.Put('k', b'', 5)])
        self.state.drop_history()
        with self.assertRaises(exceptions.HistoryCompacted):
            await self.store.watch('', 0, 20)
        self.state.mode = 'busy'
        with self.assertRaises(exceptions.StoreRefused):
            await self.store.read_all('')
        self.assertEqual(4, self.store.calls.total())

    async def test_an_old_revision_raises_history_lost(self):
        """A host was unreachable while thousands of changes were written."""
        first = self.put('k/1', 0)
        for number in range(2_100):
            self.put('k/1', number)
        with self.assertRaises(exceptions.HistoryCompacted):
            await self.store.watch('k/', first, 20)

    async def test_a_call_without_a_response_times_out(self):
        """The store accepts the connection of a host but never responds."""
        self.state.mode = 'silent'
        began = asyncio.get_running_loop().time()
        with self.assertRaises(exceptions.StoreOutcomeUnknown):
            await self.store.watch('', 1, 100)
        took = asyncio.get_running_loop().time() - began
        self.assertLess(took, 1.5)


class FollowerTest(_WithStore):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.routing_state = routing_state_module.RoutingState()
        self.view = view_module.View(LOCAL_RECORD)
        self.leadership = leadership.Leadership(LOCAL_RECORD.incarnation)
        self.follower = follower.Follower(
            clock_module.Clock(),
            self.store,
            self.routing_state,
            self.view,
            self.leadership,
        )
        self.put('op/config', kv_fleet.build_configuration(3))
        self.put('servers/i-1', SERVER_ENTRY)
        self.running = asyncio.create_task(self.follower.run())
        await self.wait(lambda: self.routing_state.configuration)

    async def asyncTearDown(self):
        self.running.cancel()
        await super().asyncTearDown()

    async def wait(self, check, timeout_s=4.0):
        async with asyncio.timeout(timeout_s):
            while not check():
                await asyncio.sleep(0.01)

    async def test_applies_existing_keys_and_changes(self):
        self.assertIn('i-1', self.routing_state.servers)
        self.put('servers/i-2', SERVER_ENTRY)
        await self.wait(lambda: 'i-2' in self.routing_state.servers)
        self.state.write([], ['servers/i-1'])
        await self.wait(lambda: 'i-1' in self.routing_state.leaving)
        self.put('op/config', kv_fleet.build_configuration(4))
        await self.wait(lambda: self.routing_state.configuration.version == 4)

    async def test_a_malformed_server_entry_removes_the_server(self):
        self.put('servers/i-1', {'state': 'ready'})
        await self.wait(lambda: 'i-1' in self.routing_state.leaving)

    def put_raw(self, key, raw):
        value = base64.b64encode(raw).decode()
        return self.state.write([{'key': key, 'value': value}], [])

    async def test_unreadable_entries_do_not_stop_the_copy(self):
        """Guards against one entry of another writer that ends all copies."""
        version = 3
        for name, raw in builders.UNREADABLE_DOCUMENTS.items():
            with self.subTest(name):
                version += 1
                self.put_raw('servers/from-another-writer', raw)
                await asyncio.sleep(0.05)
                self.put('op/config', kv_fleet.build_configuration(version))
                await self.wait_for_version(version)
                self.assertNotIn(
                    'from-another-writer', self.routing_state.servers
                )

    async def test_unreadable_entries_do_not_stop_a_start(self):
        """Guards against a restart that never gets a configuration."""
        for name, raw in builders.UNREADABLE_DOCUMENTS.items():
            self.put_raw(f'servers/{name}', raw)
        self.routing_state.configuration = None
        self.routing_state.servers.clear()
        self.running.cancel()
        started = follower.Follower(
            clock_module.Clock(),
            self.store,
            self.routing_state,
            self.view,
            self.leadership,
        )
        self.running = asyncio.create_task(started.run())
        await self.wait(lambda: self.routing_state.configuration, 2)
        self.assertEqual(['i-1'], list(self.routing_state.servers))

    async def wait_for_version(self, version):
        await self.wait(
            lambda: self.routing_state.configuration_version == version, 2
        )

    async def test_change_that_can_not_be_applied_concerns_no_other(self):
        """Guards against an odd value that keeps others from being applied."""
        apply_server = self.routing_state.apply_server

        def apply(server, now):
            if server.id == 'i-1':
                raise OverflowError(server.id)
            apply_server(server, now)

        with mock.patch.object(
            routing_state_module.RoutingState,
            'apply_server',
            lambda state, *change: apply(*change),
        ):
            self.put('servers/i-1', SERVER_ENTRY)
            self.put('servers/i-2', SERVER_ENTRY)
            self.put('op/config', kv_fleet.build_configuration(4))
            await self.wait_for_version(4)
        self.assertIn('i-2', self.routing_state.servers)
        self.assertIn('i-1', self.routing_state.leaving)
        self.assertEqual(1, self.follower.unapplied_count)

    async def test_configuration_that_an_error_keeps_out_is_tried_again(self):
        """Guards against a passing error that outlasts its cause."""
        freshness = self.routing_state.freshness
        with mock.patch.object(
            routing_state_module.RoutingState,
            'apply_configuration',
            side_effect=MemoryError,
        ):
            self.put('op/config', kv_fleet.build_configuration(4))
            await self.wait(lambda: freshness.is_withheld)
        self.put('servers/i-2', SERVER_ENTRY)
        await self.wait_for_version(4)
        self.assertFalse(freshness.is_withheld)

    async def test_copy_without_the_newest_configuration_is_not_confirmed(
        self,
    ):
        """Guards against denials by a version that has been replaced."""
        freshness = self.routing_state.freshness
        now = clock_module.Clock().now
        self.put_raw('op/config', b'[' * 2_000)
        self.put('servers/i-2', SERVER_ENTRY)
        await self.wait(lambda: 'i-2' in self.routing_state.servers)
        confirmed_at = freshness.confirmed_at
        calls = self.store.calls.copy()
        await asyncio.sleep(2.2)
        freshness.confirm(now(), 'two')
        self.assertEqual(confirmed_at, freshness.confirmed_at)
        self.assertLess((self.store.calls - calls).total(), 4)
        self.put('op/config', kv_fleet.build_configuration(4))
        await self.wait_for_version(4)
        await self.wait(lambda: freshness.is_within(500, now()), 2)

    async def test_error_of_the_task_does_not_end_the_copy(self):
        """Guards against a task that follows the store no longer."""
        self.running.cancel()
        background_tasks = tasks.BackgroundTasks(clock_module.Clock())
        watch = self.store.watch
        failures = [RecursionError(), KeyError('a'), MemoryError()]

        async def fail_first(*arguments):
            if failures:
                raise failures.pop()
            return await watch(*arguments)

        self.store.watch = fail_first
        background_tasks.supervise(self.follower.run)
        self.put('op/config', kv_fleet.build_configuration(4))
        await self.wait_for_version(4)
        self.assertEqual({'Follower.run': 3}, dict(background_tasks.failures))
        background_tasks.cancel()

    async def test_changes_in_a_lost_history_are_detected(self):
        """The store loses its history while a server is removed."""
        self.state.history.clear()
        self.state.items.pop('servers/i-1')
        self.state.revision += 5
        self.state.dropped = self.state.revision
        await self.wait(lambda: 'i-1' in self.routing_state.leaving)

    async def test_the_copy_ages_while_the_store_is_unavailable(self):
        now = clock_module.Clock().now
        self.state.mode = 'busy'
        await asyncio.sleep(2.2)
        self.assertFalse(self.routing_state.freshness.is_within(1_500, now()))
        self.state.mode = 'up'
        await self.wait(
            lambda: self.routing_state.freshness.is_within(500, now()), 2.0
        )

    async def test_record_of_a_start_is_followed(self):
        """Guards against a start that is recorded and not believed."""
        self.assertTrue(self.follower.found_no_entry)
        self.assertFalse(self.follower.is_start_recorded)
        await registry.Registry(self.store).record_start()
        await self.wait(lambda: self.follower.is_start_recorded)
        with self.assertRaises(routing_errors.RegistryConflict):
            await registry.Registry(self.store).record_start()

    async def test_registrations_and_the_leader_are_followed(self):
        service = registration.RegistrationService(
            clock_module.Clock(),
            self.view,
            self.leadership,
            registry.Registry(self.store),
        )
        await service.tick()
        self.assertTrue(self.leadership.may_act(clock_module.Clock().now()))
        self.assertIn('thornspool/entries/one', self.state.items)
        self.put(
            'thornspool/entries/two',
            {'host': 'two', 'incarnation': 'two-1', 'peers': 'two:90'},
        )
        await self.wait(lambda: 'two' in self.view.peers)
        await service.release_leadership()
        self.assertNotIn('thornspool/lead', self.state.items)
        self.assertIn('thornspool/entries/one', self.state.items)
        service.stop_renewing()
        calls = self.store.calls['kv-keep']
        await service.tick()
        self.assertEqual(calls, self.store.calls['kv-keep'])
        for lease in list(self.state.leases):
            self.state.end_lease(lease)
        self.assertNotIn('thornspool/entries/one', self.state.items)


class FeedReceiverTest(_WithStore):
    """Tests of an entry that a collector keeps current."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.clock = builders.FakeClock()
        self.routing_state = routing_state_module.RoutingState()
        self.receives_feed = True
        self.sent_change_sets = []
        self.follower = follower.Follower(
            self.clock,
            self.store,
            self.routing_state,
            view_module.View(LOCAL_RECORD),
            leadership.Leadership(LOCAL_RECORD.incarnation),
            coordination=follower.Coordination(
                receives_feed=lambda: self.receives_feed,
                send_feed=self.send_feed,
            ),
        )
        self.put('op/config', kv_fleet.build_configuration(3))
        self.running = asyncio.create_task(self.follower.run())
        async with asyncio.timeout(4):
            while self.routing_state.configuration is None:
                await asyncio.sleep(0.01)

    async def asyncTearDown(self):
        self.running.cancel()
        await super().asyncTearDown()

    def send_feed(self, change_set):
        self.sent_change_sets.append(change_set)
        return 1

    def build_change_set(self, since, until, version):
        document = json.dumps(kv_fleet.build_configuration(version)).encode()
        item = store_module.Item('op/config', until, document)
        return follower.ChangeSet(since, until, (item,))

    async def test_a_feed_replaces_calls_to_the_store(self):
        calls = self.store.calls.total()
        await asyncio.sleep(0.5)
        self.assertEqual(calls, self.store.calls.total())

    async def test_applies_changes_that_follow_its_copy(self):
        base = self.follower.revision
        self.follower.apply_change_set(
            self.build_change_set(base, base + 2, 4)
        )
        self.assertEqual(4, self.routing_state.configuration.version)
        self.assertEqual(base + 2, self.follower.revision)
        self.follower.apply_change_set(
            self.build_change_set(base, base + 1, 3)
        )
        self.assertEqual(4, self.routing_state.configuration.version)
        self.assertEqual(base + 2, self.follower.revision)

    async def test_late_change_does_not_restore_a_removed_server(self):
        """Guards against records that arrive after their removal."""
        key = 'servers/a-1'
        base = self.follower.revision
        record = kv_fleet.Server('a-1', 'ledger', 'a', '127.0.0.1:9')
        listed = follower.ChangeSet(
            base,
            base + 1,
            (
                store_module.Item(
                    key, base + 1, json.dumps(record.describe()).encode()
                ),
            ),
        )
        removed = follower.ChangeSet(
            base + 1, base + 2, (store_module.Item(key, base + 2, None),)
        )
        self.follower.apply_change_set(listed)
        self.assertIn('a-1', self.routing_state.servers)
        self.follower.apply_change_set(removed)
        self.assertIn('a-1', self.routing_state.unlisted)
        self.follower.apply_change_set(listed)
        self.assertIn('a-1', self.routing_state.unlisted)

    async def test_change_that_can_not_be_applied_concerns_no_other(self):
        """Guards against a peer's change that keeps others out of force."""
        base = self.follower.revision
        table = builders.UNREADABLE_DOCUMENTS.items()
        for version, (name, raw) in enumerate(table, 4):
            with self.subTest(name):
                change_set = self.build_change_set(base, base + 2, version)
                odd = store_module.Item('servers/odd', base + 1, raw)
                self.follower.apply_change_set(
                    attrs.evolve(change_set, items=(odd, *change_set.items))
                )
                base += 2
                self.assertEqual(
                    version, self.routing_state.configuration_version
                )
                self.assertEqual(base, self.follower.revision)

    async def test_configuration_that_can_not_be_read_withholds_proofs(self):
        """Guards against a peer's proof of a copy that lacks a version."""
        freshness = self.routing_state.freshness
        base = self.follower.revision
        item = store_module.Item('op/config', base + 1, b'[' * 2_000)
        self.follower.apply_change_set(
            follower.ChangeSet(base, base + 1, (item,))
        )
        freshness.confirm(self.clock.now() + 100, 'two')
        self.assertEqual('store', freshness.source)
        self.follower.apply_change_set(
            self.build_change_set(base + 1, base + 2, 4)
        )
        freshness.confirm(self.clock.now() + 100, 'two')
        self.assertEqual('two', freshness.source)

    async def test_ignores_changes_after_a_gap(self):
        """A datagram with a change was lost."""
        base = self.follower.revision
        self.follower.apply_change_set(
            self.build_change_set(base + 1, base + 2, 4)
        )
        self.assertEqual(base, self.follower.revision)
        self.assertEqual(3, self.routing_state.configuration.version)

    async def test_calls_the_store_as_soon_as_the_feed_stops(self):
        self.put('op/config', kv_fleet.build_configuration(5))
        self.receives_feed = False
        async with asyncio.timeout(2):
            while self.routing_state.configuration.version != 5:
                await asyncio.sleep(0.01)
        self.assertEqual(
            5, json.loads(self.read_sent_configuration())['version']
        )

    def read_sent_configuration(self):
        """Return the last configuration that was sent to peers."""
        return next(
            item.value
            for change_set in reversed(self.sent_change_sets)
            for item in change_set.items
        )

    async def test_a_shared_outage_delays_retries_until_the_feed_resumes(
        self,
    ):
        """Guards against needless calls while the store is unavailable.

        The collector can't reach the store either; its feed resumes when the
        store recovers.
        """
        self.running.cancel()
        clock = clock_module.Clock()
        shared = follower.Follower(
            clock,
            self.store,
            self.routing_state,
            view_module.View(LOCAL_RECORD),
            leadership.Leadership(LOCAL_RECORD.incarnation),
            LONGEST_LIMITS,
            follower.Coordination(
                receives_feed=lambda: self.receives_feed,
                is_collector_cut_off=lambda: True,
            ),
        )
        self.receives_feed = False
        self.state.mode = 'busy'
        self.running = asyncio.create_task(shared.run())
        await asyncio.sleep(1.2)
        calls = self.store.calls.total()
        await asyncio.sleep(1.0)
        self.assertEqual(calls, self.store.calls.total())
        self.receives_feed = True
        self.state.mode = 'up'
        await asyncio.sleep(0.3)
        self.assertGreater(shared.revision, 0)

    async def test_the_long_retry_delay_ends_with_the_shared_outage(self):
        """Guards against a collector that waits after the store recovered."""
        self.running.cancel()
        shared = True
        restarted = follower.Follower(
            clock_module.Clock(),
            self.store,
            routing_state_module.RoutingState(),
            view_module.View(LOCAL_RECORD),
            leadership.Leadership(LOCAL_RECORD.incarnation),
            coordination=follower.Coordination(
                is_collector_cut_off=lambda: shared
            ),
        )
        self.state.mode = 'busy'
        self.running = asyncio.create_task(restarted.run())
        await asyncio.sleep(0.6)
        self.state.mode = 'up'
        shared = False
        await asyncio.sleep(0.5)
        self.assertGreater(restarted.revision, 0)

    async def restart(self, limits=age_limits.DEFAULT, **coordination):
        """Replace the follower by one with other callbacks."""
        self.running.cancel()
        self.follower = follower.Follower(
            clock_module.Clock(),
            self.store,
            self.routing_state,
            view_module.View(LOCAL_RECORD),
            leadership.Leadership(LOCAL_RECORD.incarnation),
            limits,
            follower.Coordination(**coordination),
        )
        self.running = asyncio.create_task(self.follower.run())
        await asyncio.sleep(0.05)

    async def test_waits_for_its_collector_before_the_first_watch(self):
        """Guards against entries that start together and each watch thrice."""
        await self.restart(
            receives_feed=lambda: self.receives_feed,
            is_follower=lambda: True,
        )
        self.receives_feed = False
        self.put('op/config', kv_fleet.build_configuration(4))
        await asyncio.sleep(0.6)
        self.assertEqual(0, self.store.calls['kv-watch'])
        await asyncio.sleep(0.5)
        self.assertEqual(1, self.store.calls['kv-watch'])
        self.assertEqual(4, self.routing_state.configuration.version)

    async def test_a_shared_outage_delays_the_next_call(self):
        """Guards against simultaneous calls of all entries.

        Each entry called the store as soon as its collector failed to.
        """
        await self.restart(
            LONG_LIMITS,
            is_collector_cut_off=lambda: True,
            is_follower=lambda: True,
        )
        calls = self.store.calls.total()
        await asyncio.sleep(2.5)
        self.assertEqual(calls, self.store.calls.total())
        await asyncio.sleep(1.2)
        self.assertGreater(self.store.calls.total(), calls)

    async def test_no_wait_for_a_collector_exceeds_the_bound(self):
        """Guards against an entry in touch that lags with its collector."""
        await self.restart(
            is_collector_cut_off=lambda: True, is_follower=lambda: True
        )
        self.put('op/config', kv_fleet.build_configuration(9))
        async with asyncio.timeout(2):
            while self.routing_state.configuration.version != 9:
                await asyncio.sleep(0.01)

    async def test_retains_changes_that_another_copy_missed(self):
        """A datagram with a change was lost."""
        base = self.follower.revision
        for number in range(3):
            self.follower.apply_change_set(
                self.build_change_set(
                    base + 2 * number, base + 2 * number + 2, number
                )
            )
        missed = self.follower.find_changes_since(base + 2)
        self.assertEqual((base + 2, base + 6), (missed.since, missed.until))
        self.assertEqual([base + 6], [one.revision for one in missed.items])
        self.assertIsNone(self.follower.find_changes_since(base + 6))
        self.assertIsNone(self.follower.find_changes_since(base - 1))

    async def test_overlapping_change_sets_cover_what_a_copy_missed(self):
        """Guards against missed changes that are not sent again.

        A collector retains a change set of its own watch after a longer one
        that another entry has sent.
        """
        base = self.follower.revision
        self.follower.apply_change_set(
            self.build_change_set(base, base + 6, 6)
        )
        self.follower._retain(self.build_change_set(base, base + 4, 4))
        missed = self.follower.find_changes_since(base)
        self.assertEqual((base, base + 6), (missed.since, missed.until))
        self.assertEqual([base + 6], [one.revision for one in missed.items])

    async def test_callers_cause_one_confirmation_in_an_interval(self):
        """Guards against a call to the store for each unknown path."""
        self.assertTrue(self.follower._reachable)
        confirming = asyncio.create_task(self.follower.run_confirmations())
        ended = []
        for _ in range(5):
            self.assertTrue(
                self.follower.request_confirmation(lambda: ended.append(1))
            )
        await asyncio.sleep(0.3)
        self.assertEqual(5, len(ended))
        for _ in range(20):
            self.assertFalse(self.follower.request_confirmation(ended.clear))
            await asyncio.sleep(0.01)
        self.assertEqual(1, self.store.calls['kv-watch'])
        self.clock.advance(follower.CONFIRMATION_INTERVAL_MS)
        self.assertTrue(self.follower.request_confirmation(ended.clear))
        confirming.cancel()

    async def test_callers_cause_no_calls_while_the_store_fails(self):
        """Guards against a call to the store for each unknown path."""
        self.follower._record_reachable(False, 'no answer')
        confirming = asyncio.create_task(self.follower.run_confirmations())
        self.assertFalse(self.follower.request_confirmation(self.fail))
        await asyncio.sleep(0.1)
        self.assertEqual(0, self.store.calls['kv-watch'])
        confirming.cancel()

    async def test_failed_confirmation_ends_the_wait(self):
        """Guards against callers that wait until their deadline."""
        self.state.mode = 'silent'
        ended = asyncio.Event()
        confirming = asyncio.create_task(self.follower.run_confirmations())
        self.assertTrue(self.follower.request_confirmation(ended.set))
        async with asyncio.timeout(1.5):
            await ended.wait()
        confirming.cancel()

    async def test_error_in_a_confirmation_ends_the_wait(self):
        """Guards against requests that get neither answer nor refusal."""

        def fail(change_set):
            raise ValueError('unexpected')

        self.follower._pass_on = fail
        ended = asyncio.Event()
        confirming = asyncio.create_task(self.follower.run_confirmations())
        self.assertTrue(self.follower.request_confirmation(ended.set))
        async with asyncio.timeout(1.5):
            await ended.wait()
        confirming.cancel()

    async def test_confirmation_applies_what_the_copy_lacks(self):
        self.put('op/config', kv_fleet.build_configuration(7))
        confirming = asyncio.create_task(self.follower.run_confirmations())
        self.follower.request_confirmation(lambda: None)
        async with asyncio.timeout(0.5):
            while self.routing_state.configuration.version != 7:
                await asyncio.sleep(0.01)
        confirming.cancel()

    async def test_sends_the_changes_of_a_full_read(self):
        """Guards against a full read by every entry after an outage.

        The collector's own full read contains the same changes.
        """
        await self.restart(send_feed=self.send_feed)
        self.put('servers/i-9', SERVER_ENTRY)
        async with asyncio.timeout(4):
            while not self.sent_change_sets:
                await asyncio.sleep(0.01)
        self.sent_change_sets.clear()
        since = self.follower.revision
        self.put('op/config', kv_fleet.build_configuration(6))
        self.state.write([], ['servers/i-9'])
        self.state.drop_history()
        self.follower._must_read_all = True
        async with asyncio.timeout(4):
            while not any(
                item.key == 'servers/i-9'
                for change_set in self.sent_change_sets
                for item in change_set.items
            ):
                await asyncio.sleep(0.01)
        last = self.sent_change_sets[-1]
        self.assertLessEqual(since, last.until)
        self.assertIsNone(
            next(one for one in last.items if one.key == 'servers/i-9').value
        )

    async def test_a_full_read_includes_changes_applied_meanwhile(
        self,
    ):
        """Guards against withdrawn keys that stay valid in other copies.

        A collector that was partitioned reads all keys while another entry
        sends it the same change. The entries that the collector feeds were
        partitioned too and depend on the result of the full read.
        """
        await self.restart(send_feed=self.send_feed)
        self.sent_change_sets.clear()
        base = self.follower.revision
        read_all = self.store.read_all

        async def read_while_receiving(prefix):
            read = await read_all(prefix)
            self.follower.apply_change_set(
                self.build_change_set(base, base + 1, 7)
            )
            return read

        self.put('op/config', kv_fleet.build_configuration(7))
        self.put('servers/i-3', SERVER_ENTRY)
        self.store.read_all = read_while_receiving
        await self.follower._read_all()
        for change_set in self.sent_change_sets:
            self.assertTrue(
                change_set.since > base
                or 'op/config' in [item.key for item in change_set.items]
            )
        self.assertEqual(base + 2, self.sent_change_sets[-1].until)
        self.assertTrue(self.sent_change_sets[-1].exact)

    async def test_a_full_read_applies_only_to_its_exact_base_revision(self):
        """Guards against deleted servers that stay in newer copies."""
        base = self.follower.revision
        self.follower.apply_change_set(
            self.build_change_set(base, base + 4, 4)
        )
        change_set = self.build_change_set(base + 2, base + 6, 5)
        exact = follower.ChangeSet(
            base + 2, base + 6, change_set.items, exact=True
        )
        self.follower.apply_change_set(exact)
        self.assertEqual(base + 4, self.follower.revision)
        exact = follower.ChangeSet(
            base + 4, base + 6, change_set.items, exact=True
        )
        self.follower.apply_change_set(exact)
        self.assertEqual(base + 6, self.follower.revision)
        self.assertTrue(self.follower.find_changes_since(base).exact)
        self.assertTrue(self.follower.find_changes_since(base + 4).exact)
        self.assertIsNone(self.follower.find_changes_since(base + 5))

    async def test_hands_over_when_the_store_rejects_it(self):
        hand_overs = []
        await self.restart(
            hand_over_collection=lambda: hand_overs.append(True)
        )
        self.state.mode = 'busy'
        async with asyncio.timeout(4):
            while not hand_overs:
                await asyncio.sleep(0.01)

    async def test_an_old_copy_causes_a_full_read(self):
        self.receives_feed = False
        self.clock.advance(follower.FULL_READ_AGE_MS + 1)
        self.assertTrue(self.follower._is_far_behind())
        self.clock.advance(-follower.FULL_READ_AGE_MS)
        self.assertFalse(self.follower._is_far_behind())


class WatchLengthTest(unittest.TestCase):
    def test_one_unresponsive_connection_keeps_the_copy_valid(self):
        """The connection of a watch stops responding without a reset."""
        for bound_ms in (2_000, 4_250, 9_000):
            with self.subTest(bound_ms):
                watch_ms = follower.compute_watch_ms(bound_ms)
                max_age_ms = (
                    2 * watch_ms
                    + store_module.WATCH_TIMEOUT_MARGIN_MS
                    + follower.RETRY_MS
                    + follower.RECOVERY_WATCH_MS
                )
                self.assertLess(max_age_ms, bound_ms)
                self.assertLessEqual(watch_ms, follower.MAX_WATCH_MS)


class FakeRegistry:
    """A registry whose next call raises the error that a test sets."""

    def __init__(self):
        self.calls = []
        self.error = None

    def _call(self, name):
        self.calls.append(name)
        if self.error is not None:
            error, self.error = self.error, None
            raise error

    async def open_lease(self, ttl_ms):
        self._call('open')
        return 7

    async def renew_lease(self, lease):
        self._call('renew')

    async def register(self, record, lease):
        self._call('register')

    async def record_start(self):
        self._call('record_start')

    async def claim_leadership(self, record, lease, revision):
        self._call('claim')
        return 5

    async def release_leadership(self, revision):
        self._call('release')


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = builders.FakeClock()
        self.registry = FakeRegistry()
        self.leadership = leadership.Leadership(LOCAL_RECORD.incarnation)
        self.view = view_module.View(LOCAL_RECORD)
        self.service = registration.RegistrationService(
            self.clock, self.view, self.leadership, self.registry
        )
        await self.service.tick()
        self.registry.calls.clear()

    def let_another_lead(self):
        """Make another entry, which is responsive, the leader."""
        now = self.clock.now()
        record = messages.Record('two', 'two-1', 'a', 'two:80', 'two:90')
        self.view.apply_record(record, now)
        self.view.peers['two'].last_update_at = now
        self.leadership.apply_holder(leadership.Holder('two', 'two-1', 5), now)

    async def test_an_expired_lease_is_replaced(self):
        """The store was unavailable until the leases expired."""
        self.clock.advance(leadership.RENEW_MS)
        self.let_another_lead()
        self.registry.error = routing_errors.LeaseLost('gone')
        await self.service.tick()
        self.assertFalse(self.leadership.may_act(self.clock.now()))
        await self.service.tick()
        self.assertEqual(['renew', 'open', 'register'], self.registry.calls)

    async def test_leadership_is_claimed_again_after_its_lease_expired(self):
        """The leader was partitioned from the store until the expiry."""
        self.clock.advance(leadership.LEADER_RENEW_MS)
        self.registry.error = routing_errors.LeaseLost('gone')
        await self.service.tick()
        self.assertEqual(['renew', 'open', 'claim'], self.registry.calls)
        self.assertTrue(self.leadership.may_act(self.clock.now()))

    async def test_renewing_the_registration_does_not_extend_leadership(self):
        """Guards against orders of a leader whose lease has expired."""
        self.clock.advance(leadership.RENEW_MS)
        self.service._leadership_lease = None
        await self.service.tick()
        self.assertEqual(['renew'], self.registry.calls)
        self.assertFalse(self.leadership.may_act(self.clock.now()))

    async def test_a_claim_with_a_lost_response_is_renewed_if_it_succeeded(
        self,
    ):
        """Guards against a leadership that no entry renews or can claim."""
        self.leadership.apply_holder(None, self.clock.now())
        claim = self.registry.claim_leadership

        async def lose_response(record, lease, revision):
            await claim(record, lease, revision)
            raise routing_errors.RegistryUnavailable('no response')

        self.registry.claim_leadership = lose_response
        await self.service.tick()
        holder = leadership.Holder(
            LOCAL_RECORD.host, LOCAL_RECORD.incarnation, 5
        )
        self.leadership.apply_holder(holder, self.clock.now())
        self.registry.calls.clear()
        self.clock.advance(leadership.LEADER_RENEW_MS)
        await self.service.tick()
        self.assertEqual(['renew'], self.registry.calls)
        self.assertTrue(self.leadership.may_act(self.clock.now()))

    async def test_an_unavailable_registry_is_retried(self):
        self.clock.advance(leadership.RENEW_MS)
        self.let_another_lead()
        self.registry.error = routing_errors.RegistryUnavailable('busy')
        await self.service.tick()
        await self.service.tick()
        self.assertEqual(['renew'], self.registry.calls)
        self.clock.advance(registration.INITIAL_BACKOFF_MS)
        await self.service.tick()
        self.assertEqual(['renew', 'renew'], self.registry.calls)

    async def test_the_retry_delay_grows_while_the_registry_is_unavailable(
        self,
    ):
        """The store also charges the calls that it rejects."""
        self.clock.advance(leadership.RENEW_MS)
        self.let_another_lead()
        calls = []
        for _ in range(60):
            self.registry.error = routing_errors.RegistryUnavailable('busy')
            await self.service.tick()
            self.clock.advance(200)
            calls.append(len(self.registry.calls))
        self.assertLessEqual(calls[-1], 6)
        self.assertGreater(calls[-1], calls[-25])

    def restart(self, previous_lease):
        """Start another process that finds the lease of an earlier one."""
        self.leadership = leadership.Leadership('one-2')
        self.leadership.apply_holder(
            leadership.Holder('two', 'two-1', 5), self.clock.now()
        )
        self.let_another_lead()
        self.service = registration.RegistrationService(
            self.clock,
            self.view,
            self.leadership,
            self.registry,
            lambda: previous_lease,
        )

    async def test_a_restarted_entry_reuses_its_lease(self):
        """All hosts restart simultaneously, and each store call costs."""
        self.restart(9)
        await self.service.tick()
        self.assertEqual(['renew', 'register'], self.registry.calls)

    async def test_an_expired_previous_lease_is_replaced(self):
        """The host was unreachable for longer than its lease."""
        self.restart(9)
        self.registry.error = routing_errors.LeaseLost('gone')
        await self.service.tick()
        self.assertEqual(['renew', 'open', 'register'], self.registry.calls)

    async def test_no_lease_is_opened_before_the_previous_lease_is_known(self):
        self.restart(None)
        await self.service.tick()
        self.assertEqual([], self.registry.calls)

    def start_unrecorded(self, previous_lease=0):
        """Start a process to whose copy no start of an entry is known."""
        self.restart(previous_lease)
        self.service.is_start_recorded = lambda: False
        self.service.on_start_recorded = lambda: self.registry.calls.append(
            'recorded'
        )

    async def test_start_is_recorded_before_the_registration(self):
        """Guards against a registration beside which no start is recorded."""
        self.start_unrecorded(None)
        await self.service.tick()
        self.assertEqual([], self.registry.calls)
        self.start_unrecorded()
        await self.service.tick()
        await self.service.tick()
        self.assertEqual(
            ['record_start', 'recorded', 'open', 'register'],
            self.registry.calls,
        )

    async def test_start_that_another_has_recorded_is_not_the_first(self):
        """Guards against two entries that both take theirs for the first."""
        self.start_unrecorded()
        self.registry.error = routing_errors.RegistryConflict('exists')
        await self.service.tick()
        self.assertEqual(
            ['record_start', 'open', 'register'], self.registry.calls
        )

    async def test_start_is_recorded_once_the_store_is_available(self):
        """Guards against a first start of which no trace remains."""
        self.start_unrecorded()
        self.registry.error = routing_errors.RegistryUnavailable('busy')
        await self.service.tick()
        self.assertEqual(['record_start'], self.registry.calls)
        self.clock.advance(registration.INITIAL_BACKOFF_MS)
        await self.service.tick()
        self.assertEqual(
            ['record_start', 'record_start', 'recorded', 'open', 'register'],
            self.registry.calls,
        )

    async def test_registration_that_the_store_refused_is_sent_again(self):
        """Guards against an entry that runs unregistered for a renewal."""
        self.restart(9)
        register = self.registry.register

        async def refuse(record, lease):
            self.registry.register = register
            self.registry.error = routing_errors.RegistryUnavailable('busy')
            await register(record, lease)

        self.registry.register = refuse
        await self.service.tick()
        self.clock.advance(registration.INITIAL_BACKOFF_MS)
        await self.service.tick()
        self.assertEqual(
            ['renew', 'register', 'renew', 'register'], self.registry.calls
        )

    async def test_the_leader_renews_more_often(self):
        """Its orders are valid only for a short time after each renewal."""
        holder = leadership.Holder(
            LOCAL_RECORD.host, LOCAL_RECORD.incarnation, 5
        )
        self.leadership.apply_holder(holder, self.clock.now())
        for _ in range(10):
            self.clock.advance(leadership.LEADER_RENEW_MS)
            await self.service.tick()
            self.assertTrue(self.leadership.may_act(self.clock.now()))
        renewals = 10 + 10 * leadership.LEADER_RENEW_MS // leadership.RENEW_MS
        self.assertEqual(['renew'] * renewals, self.registry.calls)

    async def test_an_entry_may_act_as_soon_as_it_is_leader(self):
        """The lease of its registration was renewed seconds before."""
        self.clock.advance(leadership.RENEW_MS - 1)
        self.leadership.apply_holder(None, self.clock.now())
        self.clock.advance(1_000)
        self.leadership.renewed_at = (
            self.clock.now() - leadership.ACTION_WINDOW_MS - 1
        )
        await self.service.tick()
        self.assertTrue(self.leadership.may_act(self.clock.now()))

    async def test_no_lease_is_renewed_before_it_is_due(self):
        self.clock.advance(100)
        await self.service.tick()
        self.assertEqual([], self.registry.calls)

    async def test_an_entry_without_links_hands_the_leadership_over(self):
        """Guards against a leader whose orders reach no engine."""
        await self.service.tick()
        self.assertTrue(self.leadership.is_local)
        self.service.may_lead = lambda: False
        await self.service.tick()
        self.assertFalse(self.leadership.is_local)
        self.assertIn('release', self.registry.calls)
        await self.service.tick()
        self.assertFalse(self.leadership.is_local)
        self.service.may_lead = lambda: True
        self.clock.advance(5_000)
        await self.service.tick()
        self.assertTrue(self.leadership.is_local)

    async def test_a_leaving_entry_does_not_claim_leadership(self):
        self.service.stop_renewing()
        self.clock.advance(5_000)
        await self.service.tick()
        self.assertEqual([], self.registry.calls)

    async def test_a_draining_entry_stays_registered(self):
        """A host is stopped while its streams continue for seconds."""
        await self.service.release_leadership()
        self.assertFalse(self.leadership.may_act(self.clock.now()))
        self.clock.advance(leadership.RENEW_MS)
        await self.service.tick()
        self.assertEqual(['release', 'renew'], self.registry.calls)


SERVER_ENTRY = {
    'service': 'drafting',
    'address': '127.0.0.1:9',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'born': 17,
    'layers': None,
}
