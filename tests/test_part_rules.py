"""Tests that the rules on parts of prompts find what violates them."""

from __future__ import annotations

import unittest

import attrs

from tests import engine_rules
from tests import part_rules

CONTACT_MS = 3_000
CRASHES = tuple(
    engine_rules.Crash(10_000 + 500 * number, f'engine-{number}', 'bad')
    for number in range(5)
)
BOUND_AT = 12_000 + CONTACT_MS
JUDGED_AT = 12_000 + 2 * CONTACT_MS


def build_arrivals(count, at=BOUND_AT + 1, host='a', kind='request'):
    """Build arrivals of different requests with the part."""
    return [
        engine_rules.Arrival(at, 'engine-9', host, kind, f'attempt-{number}')
        for number in range(count)
    ]


def find_late(arrivals, crashes=CRASHES, part='bad', excuses=()):
    parts = {one.attempt: ('first', part) for one in arrivals}
    return part_rules.find_part_violations(
        arrivals, crashes, parts, CONTACT_MS, excuses
    )


class ArrivalRuleTest(unittest.TestCase):
    def test_requests_with_a_part_are_counted_together(self):
        late = build_arrivals(4)
        table = (
            ('four different requests', late, {}, 1),
            ('three', build_arrivals(3), {}, 0),
            ('in time', build_arrivals(4, BOUND_AT), {}, 0),
            ('rerouted', build_arrivals(4, kind='reroute'), {}, 1),
            ('probes', build_arrivals(4, kind='probe'), {}, 0),
            ('another part', late, {'part': 'other'}, 0),
            ('four crashes', late, {'crashes': CRASHES[:4]}, 0),
        )
        for name, arrivals, changes, count in table:
            with self.subTest(name):
                self.assertEqual(count, len(find_late(arrivals, **changes)))

    def test_crashes_count_by_part(self):
        others = [attrs.evolve(one, content='other') for one in CRASHES[:3]]
        found = find_late(build_arrivals(4), crashes=[*CRASHES[:3], *others])
        self.assertEqual([], found)

    def test_hosts_out_of_touch_are_excused(self):
        for host, count in (('a', 0), ('b', 1)):
            with self.subTest(host):
                excuse = engine_rules.Excuse(host, 0, BOUND_AT + 1)
                found = find_late(build_arrivals(4), excuses=[excuse])
                self.assertEqual(count, len(found))


def build_attempts(at, begun, count=20, **changes):
    """Build sound first attempts, of which some begin."""
    values = {
        'host': 'a',
        'route': 'brief',
        'key': 'north',
        'parts': ('first', 'middle'),
    }
    values.update(changes)
    return [
        part_rules.FirstAttempt(at, has_begun=number < begun, **values)
        for number in range(count)
    ]


def build_crashing(at, **changes):
    """Build an attempt of a request with the part."""
    values = {'parts': ('first', 'bad'), **changes}
    return build_attempts(at, 0, 1, **values)


def find_withheld(during, outside=20, changes=(), excuses=(), **others):
    """Find violations among attempts in the time that is judged."""
    attempts = [
        *build_crashing(10_000),
        *build_crashing(20_000),
        *build_attempts(1_000, outside),
        *build_attempts(JUDGED_AT, during, **dict(changes)),
    ]
    return part_rules.find_withheld_violations(
        attempts, CRASHES, CONTACT_MS, excuses, **others
    )


class WithheldRuleTest(unittest.TestCase):
    def test_answers_begin_half_as_often_as_otherwise(self):
        for during, outside, count in (
            (9, 20, 3),
            (10, 20, 0),
            (5, 10, 0),
            (4, 10, 3),
            (0, 0, 0),
        ):
            with self.subTest(during=during, outside=outside):
                self.assertEqual(count, len(find_withheld(during, outside)))

    def test_requests_are_compared_by_key_and_by_first_part(self):
        for name, changes, groups in (
            ('too few', {'count': 19}, ()),
            ('another route', {'route': 'other'}, ()),
            ('nothing shared', {'key': 'south', 'parts': ('own',)}, ()),
            ('no parts', {'key': 'south', 'parts': ()}, ()),
            (
                'key alone',
                {'parts': ('own',)},
                ('same key began', 'same key or first part began'),
            ),
            (
                'first part alone',
                {'key': 'south'},
                ('same first part began', 'same key or first part began'),
            ),
            ('the part itself', {'parts': ('first', 'bad')}, ()),
        ):
            with self.subTest(name):
                found = find_withheld(0, changes=changes)
                self.assertEqual(len(groups), len(found))
                for group, line in zip(groups, found, strict=True):
                    self.assertIn(group, line)

    def test_time_that_is_judged_ends_with_the_last_such_request(self):
        for at, count in (
            (JUDGED_AT - 1, 0),
            (JUDGED_AT, 3),
            (20_000, 3),
            (20_001, 0),
        ):
            with self.subTest(at):
                attempts = [
                    *build_crashing(20_000),
                    *build_attempts(1_000, 20),
                    *build_attempts(at, 0),
                ]
                found = part_rules.find_withheld_violations(
                    attempts, CRASHES, CONTACT_MS
                )
                self.assertEqual(count, len(found))

    def test_last_crash_counts_if_there_are_fewer_than_five(self):
        attempts = [
            *build_crashing(20_000),
            *build_attempts(1_000, 20),
            *build_attempts(11_000 + 2 * CONTACT_MS, 0),
        ]
        found = part_rules.find_withheld_violations(
            attempts, CRASHES[:3], CONTACT_MS
        )
        self.assertEqual(3, len(found))

    def test_service_before_the_part_turned_bad_shows_no_arrivals(self):
        """Guards against a time judged from requests before the crashes."""
        attempts = [
            *build_crashing(1_000, key='south', parts=('other', 'bad')),
            *build_attempts(1_000, 20, key='south', parts=('other',)),
            *build_attempts(JUDGED_AT, 0, key='south', parts=('other',)),
            *build_crashing(20_000),
        ]
        found = part_rules.find_withheld_violations(
            attempts, CRASHES, CONTACT_MS
        )
        self.assertEqual([], found)

    def test_hosts_out_of_touch_and_disruptions_do_not_count(self):
        excuse = engine_rules.Excuse('a', JUDGED_AT, JUDGED_AT)
        self.assertEqual([], find_withheld(0, excuses=[excuse]))
        other = attrs.evolve(excuse, host='b')
        self.assertEqual(3, len(find_withheld(0, excuses=[other])))
        self.assertEqual([], find_withheld(0, disruptions=[(0, 500)]))
        early = [(-4_000, -2_001)]
        self.assertEqual(3, len(find_withheld(0, disruptions=early)))
