"""Tests of the leader election and of the view of the other entries."""

from __future__ import annotations

import unittest

from thornspool.domain.entries import leadership
from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module


def build_record(host, domain='a'):
    return messages.Record(
        host, f'{host}-1', domain, f'{host}:80', f'{host}:90'
    )


def build_update(host, state=messages.State.SERVING, **changes):
    values = {
        'host': host,
        'incarnation': f'{host}-1',
        'state': state,
        'stamp': 1,
        'echoed_stamp': 0,
        'revision': 0,
        'proof_age_ms': -1,
        'reserved': {},
        'suspects': (),
    }
    values.update(changes)
    return messages.StateUpdate(**values)


class LeadershipTest(unittest.TestCase):
    def setUp(self):
        self.view = view_module.View(build_record('one'))
        self.view.apply_record(build_record('two'), 0)
        self.leadership = leadership.Leadership('one-1')
        self.leadership.renewed_at = 0

    def find(self, now, candidates=('one', 'two')):
        return self.leadership.find_claim(self.view, candidates, now)

    def test_claims_a_missing_key_after_its_delay(self):
        self.assertEqual(0, self.find(0))
        self.assertIsNone(self.find(0, ('a-first', 'one')))
        self.assertEqual(
            0, self.find(leadership.CLAIM_STAGGER_MS, ('a-first', 'one'))
        )

    def test_claims_nothing_without_a_valid_lease(self):
        self.leadership.renewed_at = None
        self.assertIsNone(self.find(0))

    def test_does_not_replace_a_responsive_leader(self):
        self.leadership.apply_holder(leadership.Holder('two', 'two-1', 7), 0)
        self.view.apply_update(build_update('two'), 100)
        self.assertIsNone(self.find(200))

    def test_takes_over_from_an_unresponsive_leader(self):
        """The leader dies while other entries still send updates."""
        self.view.apply_record(build_record('three'), 0)
        self.leadership.apply_holder(leadership.Holder('two', 'two-1', 7), 0)
        self.view.apply_update(build_update('two'), 100)
        self.view.apply_update(build_update('three'), 1_300)
        self.leadership.renewed_at = 1_300
        self.assertEqual(7, self.find(1_400, ('one', 'three')))

    def test_an_isolated_entry_claims_nothing(self):
        """The network links of an entry to all others fail."""
        self.leadership.apply_holder(leadership.Holder('two', 'two-1', 7), 0)
        self.view.apply_update(build_update('two'), 100)
        self.leadership.renewed_at = 5_000
        self.assertIsNone(self.find(5_000))

    def test_stops_acting_before_its_lease_expires(self):
        """A host is suspended and resumes after its lease has expired."""
        self.leadership.apply_holder(leadership.Holder('one', 'one-1', 7), 0)
        self.assertTrue(self.leadership.may_act(100))
        self.assertFalse(self.leadership.may_act(leadership.LEADER_LEASE_MS))

    def test_two_renewals_in_a_row_may_be_lost(self):
        """An expired lease forces its host to register again."""
        for length, interval in (
            (leadership.LEASE_MS, leadership.RENEW_MS),
            (leadership.LEADER_LEASE_MS, leadership.LEADER_RENEW_MS),
        ):
            self.assertGreaterEqual(length - 3 * interval, 100)

    def test_claims_the_key_of_an_earlier_process_of_its_host(self):
        self.leadership.apply_holder(leadership.Holder('one', 'one-0', 7), 0)
        self.assertFalse(self.leadership.may_act(0))
        self.assertEqual(7, self.find(0))


class ViewTest(unittest.TestCase):
    def setUp(self):
        self.view = view_module.View(build_record('own'))

    def test_a_peer_serves_when_it_joins_and_while_it_sends_updates(self):
        self.view.apply_record(build_record('two'), 0)
        self.assertEqual(1, len(self.view.list_serving(1_000)))
        self.assertEqual([], self.view.list_serving(2_000))
        self.view.apply_update(build_update('two'), 2_100)
        self.assertEqual(1, len(self.view.list_serving(2_500)))
        self.assertEqual([], self.view.list_serving(3_200))

    def test_a_leaving_peer_is_not_listed(self):
        """A host is stopped for a software update."""
        self.view.apply_record(build_record('two'), 0)
        self.view.apply_update(
            build_update('two', messages.State.LEAVING), 100
        )
        self.assertEqual([], self.view.list_serving(150))

    def test_an_update_of_an_earlier_process_is_ignored(self):
        self.view.apply_record(build_record('two'), 0)
        update = build_update('two', incarnation='two-0')
        self.assertIsNone(self.view.apply_update(update, 10))

    def test_lists_the_addresses_of_the_callers_domain_first(self):
        records = [
            build_record('one', 'a'),
            build_record('two', 'a'),
            build_record('three', 'b'),
        ]
        self.assertEqual(
            ('one:80', 'two:80'),
            view_module.choose_addresses(records, 'a', 64),
        )
        self.assertEqual(
            ('three:80', 'one:80', 'two:80'),
            view_module.choose_addresses(records, 'b', 64),
        )
