"""Tests of news in fleets too large for everybody to tell everybody."""

from __future__ import annotations

import unittest

from tests.application.routing import fleet as fleet_module
from tests.domain.fleet import builders as fleet_builders
from thornspool.application.routing import membership
from thornspool.domain.entries import collectors
from thornspool.domain.entries import messages
from thornspool.domain.fleet import marks

MARK = marks.compute_mark(fleet_module.ENGINE)


class GroupTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet_module.Fleet()
        self.members = self.fleet.members
        self.fleet.play(3_000)

    def list_addresses(self, host, domain='a'):
        return self.members[host].service.list_addresses(domain)

    def test_each_domain_has_one_collector(self):
        collecting = [
            host
            for host, member in self.members.items()
            if member.view.collects
        ]
        self.assertEqual(['a-00', 'b-00', 'c-00'], collecting)

    def test_all_entries_count_as_serving_all_the_time(self):
        """Entries of a large fleet hear each other rarely."""
        for _ in range(40):
            self.fleet.play(200)
            for host, member in self.members.items():
                alive = member.view.list_serving(self.fleet.clock.now())
                self.assertEqual(29, len(alive), host)

    def test_messages_grow_with_the_fleet_and_not_with_its_square(self):
        before = self.fleet.sent
        self.fleet.play(4_000)
        rate = (self.fleet.sent - before) / 4 / len(self.members)
        self.assertLess(rate, 8)

    def test_everybody_knows_what_all_others_have_taken(self):
        self.fleet.take('a-05', 1_000.0)
        self.fleet.take('a-00', 200.0)
        self.fleet.take('c-03', 30.0)
        self.fleet.play(2_000)
        for host, others in (
            ('a-05', 230.0),
            ('a-00', 1_030.0),
            ('a-01', 1_230.0),
            ('b-00', 1_230.0),
            ('b-07', 1_230.0),
            ('c-03', 1_200.0),
        ):
            with self.subTest(host):
                taken = self.members[host].taken
                self.assertEqual({MARK: others}, taken.others)

    def test_one_entry_may_repeat_what_the_others_do_not(self):
        """An engine fails whose requests all come through one entry."""
        for member in self.members.values():
            for _ in range(20):
                member.budget.record_request('drafting')
        self.fleet.play(2_000)
        budget = self.members['b-07'].budget
        taken = 0
        for _ in range(20):
            self.fleet.play(200)
            while budget.take('drafting', urgent=True):
                taken += 1
        self.assertGreater(taken, 25)
        self.fleet.play(1_600)
        left = self.members['a-03'].budget
        used = left._find('drafting')._others.repeats
        self.assertEqual(taken, used)

    def test_a_refusal_is_known_in_its_domain_at_once(self):
        """An engine has just gone, and the list shows it still."""
        found = self.members['b-07']
        found.beliefs.refusals.note('b-engine', self.fleet.clock.now())
        found.service.tell_failures()
        now = self.fleet.clock.now()
        for host in ('b-00', 'b-03', 'a-00', 'c-00'):
            refusals = self.members[host].beliefs.refusals
            self.assertTrue(refusals.is_refusing('b-engine', now), host)
        sent = self.fleet.sent
        found.service.tell_failures()
        self.assertEqual(sent, self.fleet.sent)

    def test_breaks_that_two_entries_saw_eject_an_engine_for_all(self):
        """Guards against each entry finding out a faulty engine by itself."""
        now = self.fleet.clock.now()
        for member in self.members.values():
            for number in range(8):
                member.beliefs.take_server(
                    fleet_builders.build_server(f'b-{number}'), now
                )
        for host in ('b-07', 'b-03'):
            found = self.members[host]
            found.beliefs.note_broken_run('b-5', now)
            found.service.tell_failures()
        for host, member in self.members.items():
            refusals = member.beliefs.refusals
            if host.startswith('b'):
                self.assertTrue(refusals.is_refusing('b-5', now), host)
            self.assertFalse(refusals.is_refusing('b-4', now), host)

    def test_an_entry_that_died_is_named_no_longer(self):
        """A host loses power; its lease in the store runs on."""
        self.fleet.take('b-04', 500.0)
        self.fleet.play(1_000)
        self.fleet.kill('b-04')
        self.fleet.play(2_400)
        for host in ('a-00', 'a-05', 'b-00', 'b-09', 'c-03'):
            with self.subTest(host):
                addresses = self.list_addresses(host, 'b')
                self.assertNotIn('b-04:80', addresses)
                self.assertEqual({}, self.members[host].taken.others)

    def test_another_entry_collects_when_the_collector_dies(self):
        self.fleet.take('a-05', 500.0)
        self.fleet.play(1_000)
        self.fleet.kill('a-00')
        self.fleet.play(4_000)
        self.assertTrue(self.members['a-01'].view.collects)
        for host in ('a-01', 'a-02', 'b-00', 'c-05'):
            with self.subTest(host):
                member = self.members[host]
                self.assertEqual({MARK: 500.0}, member.taken.others)
                addresses = self.list_addresses(host)
                self.assertNotIn('a-00:80', addresses)
                self.assertIn('a-07:80', addresses)

    def test_another_entry_collects_when_the_registration_ends(self):
        """The collector's host is cut off until its lease has ended."""
        self.fleet.kill('b-00')
        self.fleet.play(600)
        self.fleet.unregister('b-00')
        self.fleet.play(1_000)
        self.assertTrue(self.members['b-01'].view.collects)
        fed = self.members['b-05'].service.is_fed()
        self.assertTrue(fed)

    def test_a_collector_that_was_cut_off_takes_nobody_for_dead(self):
        """It hears its entries again after eight seconds."""
        self.fleet.cut_off('b-00')
        self.fleet.play(8_000)
        self.fleet.rejoin('b-00')
        for _ in range(15):
            self.fleet.play(200)
            for host in ('a-03', 'b-05', 'c-00'):
                addresses = self.members[host].service.list_addresses('b')
                self.assertGreaterEqual(len(addresses), 9, host)

    def test_a_domain_that_is_lost_is_named_no_longer(self):
        for host in list(self.members):
            if host.startswith('c'):
                self.fleet.kill(host)
        self.fleet.play(5_000)
        for host in list(self.members):
            if host.startswith('c'):
                for member in self.members.values():
                    member.view.remove(host)
        self.fleet.play(1_000)
        self.assertEqual(20, len(self.list_addresses('a-05', 'c')))

    def test_a_domain_is_named_no_longer_before_its_leases_end(self):
        """Registrations outlive the hosts of a lost domain for seconds."""
        for host in list(self.members):
            if host.startswith('c'):
                self.fleet.kill(host)
        self.fleet.play(6_000)
        for host in ('a-00', 'a-05', 'b-07'):
            addresses = self.list_addresses(host, 'c')
            self.assertEqual(20, len(addresses), host)

    def test_an_entry_that_leaves_is_named_no_longer(self):
        self.members['b-04'].service.set_state(messages.State.LEAVING)
        self.fleet.play(800)
        for host in ('a-05', 'b-09', 'c-00'):
            self.assertNotIn('b-04:80', self.list_addresses(host, 'b'))

    def test_callers_have_addresses_while_the_store_is_away_from_all(self):
        """The store goes down for 10 s, and no entry is current."""
        self.fleet.chooses_states = True
        self.fleet.play(2_000)
        sent = self.fleet.sent
        for _ in range(50):
            self.fleet.play(200, prove=False)
            self.assertEqual(10, len(self.list_addresses('b-03')))
        for _ in range(20):
            self.fleet.play(200)
            self.assertEqual(10, len(self.list_addresses('b-03')))
        rate = (self.fleet.sent - sent) / 14 / len(self.members)
        self.assertLess(rate, 8)

    def test_an_entry_that_alone_is_outdated_is_named_no_longer(self):
        """An entry is cut off from the store and from the others."""
        self.fleet.chooses_states = True
        self.fleet.cut_off('b-04')
        self.fleet.shut_out.add('b-04')
        self.fleet.play(8_000)
        state = self.members['b-04'].service.state
        self.assertIs(messages.State.STARTING, state)
        self.assertNotIn('b-04:80', self.list_addresses('b-05', 'b'))
        self.fleet.rejoin('b-04')
        self.fleet.play(3_000)
        for host in ('a-03', 'b-05', 'c-00'):
            self.assertIn('b-04:80', self.list_addresses(host, 'b'))

    def test_an_entry_serves_again_though_its_word_was_lost(self):
        """An entry says once that it serves, and most do not hear it."""
        entry = self.members['b-04']
        entry.service.set_state(messages.State.STARTING)
        self.fleet.play(2_000)
        self.fleet.loss = 1.0
        entry.service.set_state(messages.State.SERVING)
        self.fleet.loss = 0.0
        self.fleet.play(3_000)
        for host in ('a-00', 'a-03', 'b-00', 'b-05', 'c-07'):
            self.assertIn('b-04:80', self.list_addresses(host, 'b'), host)

    def test_lost_datagrams_make_nobody_absent(self):
        fleet = fleet_module.Fleet(loss=0.05)
        fleet.play(3_000)
        missing = 0
        for _ in range(50):
            fleet.play(200)
            for member in fleet.members.values():
                alive = member.view.list_serving(fleet.clock.now())
                missing += 29 - len(alive)
        self.assertLess(missing / (50 * 30 * 29), 0.01)


class FeedTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet_module.Fleet()
        self.members = self.fleet.members
        self.fleet.play(3_000)

    def list_unfed(self):
        return [
            host
            for host, member in self.members.items()
            if member.up and not member.service.is_fed()
        ]

    def test_only_collectors_follow_the_store(self):
        """Every entry watched the store, and each call is priced."""
        self.assertEqual(['a-00', 'b-00', 'c-00'], self.list_unfed())

    def test_proofs_reach_every_entry(self):
        now = self.fleet.clock.now()
        ages = [
            member.beliefs.proof.compute_age(now)
            for member in self.members.values()
        ]
        self.assertLess(max(ages), 1_000)

    def test_an_entry_turns_to_the_store_when_its_collector_is_silent(self):
        """The collector's host freezes."""
        self.fleet.kill('b-00')
        self.fleet.play(1_200)
        self.assertLessEqual(
            {f'b-{number:02}' for number in range(1, 10)},
            set(self.list_unfed()),
        )

    def test_an_entry_turns_to_the_store_when_its_collector_can_not(self):
        """The store turns the collector away and serves the others."""
        self.fleet.play(2_600, prove=False)
        self.assertEqual(30, len(self.list_unfed()))

    def test_a_domain_stays_fed_though_the_store_turns_hosts_away(self):
        """Each entry asked the store where its collector was refused."""
        self.fleet.turned_away = {'b-00', 'b-01', 'b-03'}
        for _ in range(45):
            self.fleet.play(200)
            asking = [one for one in self.list_unfed() if one[0] == 'b']
            self.assertLessEqual(len(asking), 2, asking)
        self.assertTrue(self.members['b-02'].view.collects)

    def test_a_collector_that_is_answered_again_collects(self):
        """The store turned the first entry away for a moment."""
        self.fleet.turned_away = {'b-00'}
        self.fleet.play(1_000)
        self.fleet.turned_away = set()
        self.assertTrue(self.members['b-01'].view.collects)
        self.fleet.play(collectors.SHUT_OUT_MS + 1_000)
        self.assertTrue(self.members['b-00'].view.collects)
        self.assertEqual(['a-00', 'b-00', 'c-00'], self.list_unfed())

    def test_a_lone_entry_of_a_domain_keeps_collecting(self):
        """There is nobody to hand over to."""
        self.fleet.add('d-00', 'd')
        self.fleet.turned_away = {'d-00'}
        self.fleet.play(2_000)
        self.assertTrue(self.members['d-00'].view.collects)

    def test_entries_know_an_outage_that_their_collector_shares(self):
        """The store is down for all."""
        member = self.members['b-05']
        self.assertFalse(member.service.shares_outage())
        self.fleet.play(2_600, prove=False)
        self.assertTrue(member.service.shares_outage())
        self.assertFalse(self.members['b-00'].service.shares_outage())
        self.fleet.play(1_000)
        self.assertFalse(member.service.shares_outage())
        self.assertTrue(member.service.is_fed())

    def test_an_entry_that_the_store_answers_shares_no_outage(self):
        """Guards against waiting for a collector that is behind."""
        member = self.members['b-05']
        self.fleet.play(5_000, prove=False)
        self.assertTrue(member.service.shares_outage())
        member.beliefs.proof.renew(self.fleet.clock.now())
        self.assertFalse(member.service.shares_outage())
        self.fleet.play(400, prove=False)
        self.assertFalse(member.service.shares_outage())
        self.assertTrue(self.members['b-06'].service.shares_outage())

    def test_an_entry_that_missed_a_change_asks_for_it(self):
        """The datagram with a withdrawn key is lost."""
        for member in self.members.values():
            member.revision = 2
        self.members['a-06'].revision = 1
        age = self.members['a-06'].beliefs.proof.compute_age
        self.fleet.play(1_000)
        self.assertEqual(['a-00', 'a-06', 'b-00', 'c-00'], self.list_unfed())
        self.assertGreater(age(self.fleet.clock.now()), 800)

    def test_an_entry_that_missed_a_change_gets_it_again(self):
        """The store turns the host away, so that it can't ask itself."""
        self.fleet.resends = True
        for member in self.members.values():
            member.revision = 2
        self.members['a-06'].revision = 1
        for _ in range(10):
            self.fleet.play(200)
            self.assertEqual(['a-00', 'b-00', 'c-00'], self.list_unfed())
        self.assertEqual(2, self.members['a-06'].revision)

    def test_entries_wait_for_their_collector_when_the_store_is_back(self):
        """Each of them read all keys at the moment of its return."""
        self.fleet.play(6_000, prove=False)
        for member in self.members.values():
            member.revision = 2 if member.view.collects else 1
        self.fleet.resends = True
        asking = set()
        for _ in range(10):
            self.fleet.play(200)
            asking.update(
                host
                for host in self.list_unfed()
                if not self.members[host].service.may_catch_up()
                and not self.members[host].service.shares_outage()
            )
        self.assertEqual({'a-00', 'b-00', 'c-00'}, asking)

    def test_an_entry_that_stays_behind_asks_the_store(self):
        """The collector does not know the entry, and sends it nothing."""
        for member in self.members.values():
            member.revision = 2
        self.members['a-06'].revision = 1
        self.fleet.play(1_400)
        self.assertIn('a-06', self.list_unfed())
        self.assertFalse(self.members['a-06'].service.may_catch_up())

    def test_a_small_fleet_asks_the_store_itself(self):
        small = fleet_module.Fleet(hosts=2)
        small.play(3_000)
        fed = [
            host
            for host, member in small.members.items()
            if member.service.is_fed()
        ]
        self.assertEqual([], fed)


class ConstantsTest(unittest.TestCase):
    def test_an_entry_notices_before_its_proof_is_too_old(self):
        """Keys stop at 0.85 of the bound of 5 s."""
        noticed = membership.FED_PROOF_MS + 100
        self.assertLess(noticed, 0.85 * 5_000 - 700)
