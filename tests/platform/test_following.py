"""Tests of the store's client and of the copy that follows it."""

from __future__ import annotations

import asyncio
import base64
import json
import unittest

from standins import common
from standins import kv_fleet
from standins import kv_store
from tests import builders
from thornspool import clock as clock_module
from thornspool.adapters import transfers
from thornspool.application.routing import beliefs
from thornspool.application.routing import exceptions as routing_errors
from thornspool.application.routing import registration
from thornspool.domain.entries import leadership
from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module
from thornspool.platform import exceptions
from thornspool.platform import follower
from thornspool.platform import registry
from thornspool.platform import store as store_module

OWN = messages.Record('one', 'one-1', 'a', 'one:80', 'one:90')


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
    async def test_reads_pages_to_the_end(self):
        for number in range(1_100):
            self.put(f'k/{number:04}', number)
        read = await self.store.read_all('k/')
        self.assertEqual(1_100, len(read.items))
        self.assertEqual(b'7', read.items[7].value)

    async def test_a_watch_brings_changes_and_deletions(self):
        revision = self.put('k/1', 1)
        waiting = asyncio.create_task(self.store.watch('k/', revision, 2_000))
        await asyncio.sleep(0.05)
        self.state.write([], ['k/1'])
        changes = await waiting
        self.assertEqual([None], [one.value for one in changes.items])
        quiet = await self.store.watch('k/', changes.revision, 20)
        self.assertEqual((), quiet.items)

    async def test_conditions(self):
        put = store_module.Put('k/1', b'x')
        revision = await self.store.write({'k/1': 0}, [put])
        with self.assertRaises(exceptions.ConditionFailed):
            await self.store.write({'k/1': 0}, [put])
        await self.store.write({'k/1': revision}, deletes=['k/1'])
        self.assertEqual({}, self.state.items)

    async def test_errors_have_their_types(self):
        with self.assertRaises(exceptions.LeaseEnded):
            await self.store.renew_lease(5)
        with self.assertRaises(exceptions.LeaseEnded):
            await self.store.write({}, [store_module.Put('k', b'', 5)])
        self.state.drop_history()
        with self.assertRaises(exceptions.HistoryLost):
            await self.store.watch('', 0, 20)
        self.state.mode = 'busy'
        with self.assertRaises(exceptions.StoreRefused):
            await self.store.read_all('')
        self.assertEqual(4, self.store.calls.total())

    async def test_a_long_history_is_forgotten(self):
        """A host was away while thousands of changes were written."""
        first = self.put('k/1', 0)
        for number in range(2_100):
            self.put('k/1', number)
        with self.assertRaises(exceptions.HistoryLost):
            await self.store.watch('k/', first, 20)

    async def test_a_store_that_says_nothing_is_given_up(self):
        """The store takes the call of one host and never answers."""
        self.state.mode = 'silent'
        began = asyncio.get_running_loop().time()
        with self.assertRaises(exceptions.StoreUnanswered):
            await self.store.watch('', 1, 100)
        took = asyncio.get_running_loop().time() - began
        self.assertLess(took, 1.5)


class FollowerTest(_WithStore):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.beliefs = beliefs.Beliefs()
        self.view = view_module.View(OWN)
        self.lead = leadership.Leadership(OWN.incarnation)
        self.follower = follower.Follower(
            clock_module.Clock(),
            self.store,
            self.beliefs,
            self.view,
            self.lead,
        )
        self.put('op/config', kv_fleet.build_configuration(3))
        self.put('servers/i-1', BEAT)
        self.running = asyncio.create_task(self.follower.run())
        await self.wait(lambda: self.beliefs.configuration)

    async def asyncTearDown(self):
        self.running.cancel()
        await super().asyncTearDown()

    async def wait(self, check, timeout_s=4.0):
        async with asyncio.timeout(timeout_s):
            while not check():
                await asyncio.sleep(0.01)

    async def test_takes_what_is_there_and_what_changes(self):
        self.assertIn('i-1', self.beliefs.servers)
        self.put('servers/i-2', BEAT)
        await self.wait(lambda: 'i-2' in self.beliefs.servers)
        self.state.write([], ['servers/i-1'])
        await self.wait(lambda: 'i-1' in self.beliefs.leaving)
        self.put('op/config', kv_fleet.build_configuration(4))
        await self.wait(lambda: self.beliefs.configuration.version == 4)

    async def test_an_entry_that_is_none_takes_its_server_away(self):
        self.put('servers/i-1', {'state': 'ready'})
        await self.wait(lambda: 'i-1' in self.beliefs.leaving)

    async def test_what_changed_in_a_lost_history_is_found(self):
        """The store forgets its history while a server leaves."""
        self.state.history.clear()
        self.state.items.pop('servers/i-1')
        self.state.revision += 5
        self.state.dropped = self.state.revision
        await self.wait(lambda: 'i-1' in self.beliefs.leaving)

    async def test_the_proof_ages_while_the_store_is_away(self):
        now = clock_module.Clock().now
        self.state.mode = 'busy'
        await asyncio.sleep(2.2)
        self.assertFalse(self.beliefs.proof.is_within(1_500, now()))
        self.state.mode = 'up'
        await self.wait(lambda: self.beliefs.proof.is_within(500, now()), 2.0)

    async def test_registrations_and_the_lead_are_followed(self):
        service = registration.RegistrationService(
            clock_module.Clock(),
            self.view,
            self.lead,
            registry.Registry(self.store),
        )
        await service.work()
        self.assertTrue(self.lead.may_act(clock_module.Clock().now()))
        self.assertIn('thornspool/entries/one', self.state.items)
        self.put(
            'thornspool/entries/two',
            {'host': 'two', 'incarnation': 'two-1', 'peers': 'two:90'},
        )
        await self.wait(lambda: 'two' in self.view.peers)
        await service.step_down()
        self.assertNotIn('thornspool/lead', self.state.items)
        self.assertIn('thornspool/entries/one', self.state.items)
        service.leave()
        calls = self.store.calls['kv-keep']
        await service.work()
        self.assertEqual(calls, self.store.calls['kv-keep'])
        for lease in list(self.state.leases):
            self.state.end_lease(lease)
        self.assertNotIn('thornspool/entries/one', self.state.items)


class FedFollowerTest(_WithStore):
    """An entry that another one keeps current."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.clock = builders.FakeClock()
        self.beliefs = beliefs.Beliefs()
        self.fed = True
        self.passed_on = []
        self.follower = follower.Follower(
            self.clock,
            self.store,
            self.beliefs,
            view_module.View(OWN),
            leadership.Leadership(OWN.incarnation),
            sharing=follower.Sharing(is_fed=lambda: self.fed, feed=self.feed),
        )
        self.put('op/config', kv_fleet.build_configuration(3))
        self.running = asyncio.create_task(self.follower.run())
        async with asyncio.timeout(4):
            while self.beliefs.configuration is None:
                await asyncio.sleep(0.01)

    async def asyncTearDown(self):
        self.running.cancel()
        await super().asyncTearDown()

    def feed(self, update):
        self.passed_on.append(update)
        return 1

    def build_update(self, since, until, version):
        document = json.dumps(kv_fleet.build_configuration(version)).encode()
        item = store_module.Item('op/config', until, document)
        return follower.Update(since, until, (item,))

    async def test_it_does_not_ask_the_store(self):
        calls = self.store.calls.total()
        await asyncio.sleep(0.5)
        self.assertEqual(calls, self.store.calls.total())

    async def test_it_takes_changes_that_follow_its_copy(self):
        at = self.follower.revision
        self.follower.take_update(self.build_update(at, at + 2, 4))
        self.assertEqual(4, self.beliefs.configuration.version)
        self.assertEqual(at + 2, self.follower.revision)
        self.follower.take_update(self.build_update(at, at + 1, 3))
        self.assertEqual(4, self.beliefs.configuration.version)
        self.assertEqual(at + 2, self.follower.revision)

    async def test_it_takes_no_changes_behind_a_gap(self):
        """A datagram with a change was lost."""
        at = self.follower.revision
        self.follower.take_update(self.build_update(at + 1, at + 2, 4))
        self.assertEqual(at, self.follower.revision)
        self.assertEqual(3, self.beliefs.configuration.version)

    async def test_it_asks_at_once_when_it_is_left(self):
        self.put('op/config', kv_fleet.build_configuration(5))
        self.fed = False
        async with asyncio.timeout(2):
            while self.beliefs.configuration.version != 5:
                await asyncio.sleep(0.01)
        self.assertEqual(5, json.loads(self.read_passed_on())['version'])

    def read_passed_on(self):
        """Return the last configuration that was passed on."""
        return next(
            item.value
            for update in reversed(self.passed_on)
            for item in update.items
        )

    async def test_in_a_shared_outage_it_asks_seldom_and_goes_on_at_once(self):
        """The store is down; the collector will tell when it is back."""
        self.running.cancel()
        clock = clock_module.Clock()
        shared = follower.Follower(
            clock,
            self.store,
            self.beliefs,
            view_module.View(OWN),
            leadership.Leadership(OWN.incarnation),
            sharing=follower.Sharing(
                is_fed=lambda: self.fed, shares_outage=lambda: True
            ),
        )
        self.fed = False
        self.state.mode = 'busy'
        self.running = asyncio.create_task(shared.run())
        await asyncio.sleep(1.2)
        calls = self.store.calls.total()
        await asyncio.sleep(1.0)
        self.assertEqual(calls, self.store.calls.total())
        self.fed = True
        self.state.mode = 'up'
        await asyncio.sleep(0.3)
        self.assertGreater(shared.revision, 0)

    async def test_its_long_pause_ends_with_the_shared_outage(self):
        """Guards against a collector that sleeps as the store returns."""
        self.running.cancel()
        shared = True
        one = follower.Follower(
            clock_module.Clock(),
            self.store,
            beliefs.Beliefs(),
            view_module.View(OWN),
            leadership.Leadership(OWN.incarnation),
            sharing=follower.Sharing(shares_outage=lambda: shared),
        )
        self.state.mode = 'busy'
        self.running = asyncio.create_task(one.run())
        await asyncio.sleep(0.6)
        self.state.mode = 'up'
        shared = False
        await asyncio.sleep(0.5)
        self.assertGreater(one.revision, 0)

    async def restart(self, **sharing):
        """Begin anew with other ways to spare calls."""
        self.running.cancel()
        self.follower = follower.Follower(
            clock_module.Clock(),
            self.store,
            self.beliefs,
            view_module.View(OWN),
            leadership.Leadership(OWN.incarnation),
            sharing=follower.Sharing(**sharing),
        )
        self.running = asyncio.create_task(self.follower.run())
        await asyncio.sleep(0.05)

    async def test_it_waits_for_its_collector_before_it_asks_again(self):
        """Entries that start together watched three times each."""
        await self.restart(is_fed=lambda: self.fed, has_collector=lambda: True)
        self.fed = False
        self.put('op/config', kv_fleet.build_configuration(4))
        await asyncio.sleep(0.6)
        self.assertEqual(0, self.store.calls['kv-watch'])
        await asyncio.sleep(0.5)
        self.assertEqual(1, self.store.calls['kv-watch'])
        self.assertEqual(4, self.beliefs.configuration.version)

    async def test_in_a_shared_outage_it_asks_late(self):
        """Every entry asked the store as soon as its collector could not."""
        await self.restart(
            shares_outage=lambda: True, has_collector=lambda: True
        )
        calls = self.store.calls.total()
        await asyncio.sleep(2.5)
        self.assertEqual(calls, self.store.calls.total())
        await asyncio.sleep(1.2)
        self.assertGreater(self.store.calls.total(), calls)

    async def test_it_keeps_what_another_copy_has_missed(self):
        """A datagram with a change was lost."""
        at = self.follower.revision
        for number in range(3):
            self.follower.take_update(
                self.build_update(at + 2 * number, at + 2 * number + 2, number)
            )
        missed = self.follower.find_since(at + 2)
        self.assertEqual((at + 2, at + 6), (missed.since, missed.until))
        self.assertEqual([at + 6], [one.revision for one in missed.items])
        self.assertIsNone(self.follower.find_since(at + 6))
        self.assertIsNone(self.follower.find_since(at - 1))

    async def test_what_is_read_after_an_outage_is_passed_on(self):
        """Every entry read all keys though its collector just had."""
        await self.restart(feed=self.feed)
        self.put('servers/i-9', BEAT)
        async with asyncio.timeout(4):
            while not self.passed_on:
                await asyncio.sleep(0.01)
        self.passed_on.clear()
        since = self.follower.revision
        self.put('op/config', kv_fleet.build_configuration(6))
        self.state.write([], ['servers/i-9'])
        self.state.drop_history()
        self.follower._must_read = True
        async with asyncio.timeout(4):
            while not any(
                item.key == 'servers/i-9'
                for update in self.passed_on
                for item in update.items
            ):
                await asyncio.sleep(0.01)
        last = self.passed_on[-1]
        self.assertLessEqual(since, last.until)
        self.assertIsNone(
            next(one for one in last.items if one.key == 'servers/i-9').value
        )

    async def test_a_change_that_came_while_all_was_read_is_not_left_out(
        self,
    ):
        """Guards against withdrawn keys that copies never hear of.

        A collector that was cut off reads all keys while another entry
        brings it the same change; the others of its domain were cut off too.
        """
        await self.restart(feed=self.feed)
        self.passed_on.clear()
        at = self.follower.revision
        read_all = self.store.read_all

        async def read_while_fed(prefix):
            read = await read_all(prefix)
            self.follower.take_update(self.build_update(at, at + 1, 7))
            return read

        self.put('op/config', kv_fleet.build_configuration(7))
        self.put('servers/i-3', BEAT)
        self.store.read_all = read_while_fed
        await self.follower._read_all()
        for update in self.passed_on:
            self.assertTrue(
                update.since > at
                or 'op/config' in [item.key for item in update.items]
            )
        self.assertEqual(at + 2, self.passed_on[-1].until)
        self.assertTrue(self.passed_on[-1].exact)

    async def test_what_was_read_fits_only_a_copy_of_its_revision(self):
        """Guards against servers that stay listed though they are gone."""
        at = self.follower.revision
        self.follower.take_update(self.build_update(at, at + 4, 4))
        update = self.build_update(at + 2, at + 6, 5)
        exact = follower.Update(at + 2, at + 6, update.items, exact=True)
        self.follower.take_update(exact)
        self.assertEqual(at + 4, self.follower.revision)
        exact = follower.Update(at + 4, at + 6, update.items, exact=True)
        self.follower.take_update(exact)
        self.assertEqual(at + 6, self.follower.revision)
        self.assertTrue(self.follower.find_since(at).exact)
        self.assertTrue(self.follower.find_since(at + 4).exact)
        self.assertIsNone(self.follower.find_since(at + 5))

    async def test_it_hands_over_when_the_store_turns_it_away(self):
        handed = []
        await self.restart(hand_over=lambda: handed.append(True))
        self.state.mode = 'busy'
        async with asyncio.timeout(4):
            while not handed:
                await asyncio.sleep(0.01)

    async def test_far_behind_it_reads_all_in_place_of_all_changes(self):
        self.fed = False
        self.clock.advance(follower.REREAD_AGE_MS + 1)
        self.assertTrue(self.follower._is_far_behind())
        self.clock.advance(-follower.REREAD_AGE_MS)
        self.assertFalse(self.follower._is_far_behind())


class WatchLengthTest(unittest.TestCase):
    def test_one_silent_connection_does_not_use_up_the_proof(self):
        """The connection of a watch goes silent without a reset."""
        for bound_ms in (2_000, 4_250, 9_000):
            with self.subTest(bound_ms):
                watch_ms = follower.compute_watch_ms(bound_ms)
                oldest = (
                    2 * watch_ms
                    + store_module.WATCH_SLACK_MS
                    + follower.RETRY_MS
                    + follower.PROBE_WATCH_MS
                )
                self.assertLess(oldest, bound_ms)
                self.assertLessEqual(watch_ms, follower.MAX_WATCH_MS)


class FakeRegistry:
    """A registry whose next call fails as the test says."""

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

    async def claim_lead(self, record, lease, revision):
        self._call('claim')
        return 5

    async def release_lead(self, revision):
        self._call('release')


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = builders.FakeClock()
        self.registry = FakeRegistry()
        self.lead = leadership.Leadership(OWN.incarnation)
        self.view = view_module.View(OWN)
        self.service = registration.RegistrationService(
            self.clock, self.view, self.lead, self.registry
        )
        await self.service.work()
        self.registry.calls.clear()

    def follow_another(self):
        """Let another entry, which is heard, hold the lead."""
        now = self.clock.now()
        record = messages.Record('two', 'two-1', 'a', 'two:80', 'two:90')
        self.view.take_record(record, now)
        self.view.peers['two'].heard_at = now
        self.lead.take_holder(leadership.Holder('two', 'two-1', 5), now)

    async def test_a_lease_that_ended_is_opened_anew(self):
        """The store was away and the leases ran out meanwhile."""
        self.clock.advance(leadership.RENEW_MS)
        self.follow_another()
        self.registry.error = routing_errors.LeaseLost('gone')
        await self.service.work()
        self.assertFalse(self.lead.may_act(self.clock.now()))
        await self.service.work()
        self.assertEqual(['renew', 'open', 'register'], self.registry.calls)

    async def test_a_lead_whose_lease_ended_is_claimed_anew(self):
        """The holder was cut off from the store for as long."""
        self.clock.advance(leadership.LEAD_RENEW_MS)
        self.registry.error = routing_errors.LeaseLost('gone')
        await self.service.work()
        self.assertEqual(['renew', 'open', 'claim'], self.registry.calls)
        self.assertTrue(self.lead.may_act(self.clock.now()))

    async def test_a_renewed_registration_does_not_prolong_the_lead(self):
        """Guards against orders of a holder whose lead has ended."""
        self.clock.advance(leadership.RENEW_MS)
        self.service._lead_lease = None
        await self.service.work()
        self.assertEqual(['renew'], self.registry.calls)
        self.assertFalse(self.lead.may_act(self.clock.now()))

    async def test_a_claim_whose_answer_is_lost_is_renewed_if_it_stands(self):
        """Guards against a lead that nobody renews and nobody may take."""
        self.lead.take_holder(None, self.clock.now())
        claim = self.registry.claim_lead

        async def lose_answer(record, lease, revision):
            await claim(record, lease, revision)
            raise routing_errors.RegistryUnavailable('no answer')

        self.registry.claim_lead = lose_answer
        await self.service.work()
        holder = leadership.Holder(OWN.host, OWN.incarnation, 5)
        self.lead.take_holder(holder, self.clock.now())
        self.registry.calls.clear()
        self.clock.advance(leadership.LEAD_RENEW_MS)
        await self.service.work()
        self.assertEqual(['renew'], self.registry.calls)
        self.assertTrue(self.lead.may_act(self.clock.now()))

    async def test_a_registry_that_is_away_is_asked_again(self):
        self.clock.advance(leadership.RENEW_MS)
        self.follow_another()
        self.registry.error = routing_errors.RegistryUnavailable('busy')
        await self.service.work()
        await self.service.work()
        self.assertEqual(['renew'], self.registry.calls)
        self.clock.advance(registration.RETRY_MS)
        await self.service.work()
        self.assertEqual(['renew', 'renew'], self.registry.calls)

    async def test_a_registry_that_stays_away_is_asked_ever_more_seldom(self):
        """The store counts the calls that it refuses."""
        self.clock.advance(leadership.RENEW_MS)
        self.follow_another()
        calls = []
        for _ in range(60):
            self.registry.error = routing_errors.RegistryUnavailable('busy')
            await self.service.work()
            self.clock.advance(200)
            calls.append(len(self.registry.calls))
        self.assertLessEqual(calls[-1], 6)
        self.assertGreater(calls[-1], calls[-25])

    def restart(self, old_lease):
        """Start another process, which finds an earlier one's lease."""
        self.lead = leadership.Leadership('one-2')
        self.lead.take_holder(
            leadership.Holder('two', 'two-1', 5), self.clock.now()
        )
        self.follow_another()
        self.service = registration.RegistrationService(
            self.clock, self.view, self.lead, self.registry, lambda: old_lease
        )

    async def test_a_restarted_entry_goes_on_with_its_lease(self):
        """All hosts restart at once, and each call is priced."""
        self.restart(9)
        await self.service.work()
        self.assertEqual(['renew', 'register'], self.registry.calls)

    async def test_an_old_lease_that_has_ended_is_replaced(self):
        """The host was away for longer than its lease."""
        self.restart(9)
        self.registry.error = routing_errors.LeaseLost('gone')
        await self.service.work()
        self.assertEqual(['renew', 'open', 'register'], self.registry.calls)

    async def test_nothing_is_opened_before_the_old_lease_is_known(self):
        self.restart(None)
        await self.service.work()
        self.assertEqual([], self.registry.calls)

    async def test_the_holder_of_the_lead_renews_more_often(self):
        """Its orders count only shortly after each renewal."""
        holder = leadership.Holder(OWN.host, OWN.incarnation, 5)
        self.lead.take_holder(holder, self.clock.now())
        for _ in range(10):
            self.clock.advance(leadership.LEAD_RENEW_MS)
            await self.service.work()
            self.assertTrue(self.lead.may_act(self.clock.now()))
        renewals = 10 + 10 * leadership.LEAD_RENEW_MS // leadership.RENEW_MS
        self.assertEqual(['renew'] * renewals, self.registry.calls)

    async def test_an_entry_may_act_as_soon_as_it_has_the_lead(self):
        """Its own lease was renewed seconds before."""
        self.clock.advance(leadership.RENEW_MS - 1)
        self.lead.take_holder(None, self.clock.now())
        self.clock.advance(1_000)
        self.lead.renewed_at = self.clock.now() - leadership.ACT_MS - 1
        await self.service.work()
        self.assertTrue(self.lead.may_act(self.clock.now()))

    async def test_nothing_is_renewed_before_it_is_due(self):
        self.clock.advance(100)
        await self.service.work()
        self.assertEqual([], self.registry.calls)

    async def test_an_entry_that_leaves_claims_nothing(self):
        self.service.leave()
        self.clock.advance(5_000)
        await self.service.work()
        self.assertEqual([], self.registry.calls)

    async def test_an_entry_that_drains_stays_registered(self):
        """A host is stopped while its streams still run for seconds."""
        await self.service.step_down()
        self.assertFalse(self.lead.may_act(self.clock.now()))
        self.clock.advance(leadership.RENEW_MS)
        await self.service.work()
        self.assertEqual(['release', 'renew'], self.registry.calls)


BEAT = {
    'service': 'drafting',
    'address': '127.0.0.1:9',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'born': 17,
    'layers': None,
}
