"""Tests that the rules on early ends find the violations that they cover."""

from __future__ import annotations

import unittest

import attrs

from tests import answer_rules
from tests import engine_rules

BOUNDS = answer_rules.Bounds()
RunEnd = answer_rules.RunEnd


def build_run(end=RunEnd.STOPPED, **changes):
    """Build a run of the request of `build_request`."""
    values = {
        'attempt': 'one',
        'server': 'i-1',
        'host': 'a',
        'arrived_at': 20_001,
        'began_at': 20_001,
        'first_event_at': 20_100,
        'ended_at': 21_000,
        'end': end,
    }
    values.update(changes)
    return answer_rules.Run(**values)


def build_request(**changes):
    """Build a request whose connection the entry closed."""
    values = {
        'id': 'one',
        'host': 'a',
        'sent_at': 20_000,
        'ended_at': 21_000,
        'deadline_at': 40_000,
    }
    values.update(changes)
    return answer_rules.Request(**values)


class EnderTest(unittest.TestCase):
    def test_end_is_attributed_by_proof(self):
        ender = answer_rules.Ender
        stopped, broken = build_run(), build_run(RunEnd.BROKEN)
        # Stopped at 21,000, after the other run has delivered its first event.
        late = build_run(RunEnd.BROKEN, arrived_at=20_500, server='i-2')
        table = (
            ('complete', {'is_complete': True}, [stopped], None),
            ('caller', {'has_caller_left': True}, [stopped], ender.CALLER),
            ('deadline', {'deadline_at': 21_000}, [stopped], ender.TIME),
            ('just before', {'deadline_at': 21_001}, [stopped], ender.ENTRY),
            ('engine', {}, [broken], ender.ENGINE),
            ('left', {}, [stopped], ender.ENTRY),
            ('open', {}, [build_run(RunEnd.OPEN)], ender.ENTRY),
            ('never sent', {}, [], ender.ENTRY),
            ('refused', {}, [build_run(RunEnd.REFUSED)], ender.ENTRY),
            ('broken again', {}, [broken, broken], ender.ENGINE),
            ('replaced, then broken', {}, [stopped, late], ender.ENGINE),
        )
        for name, changes, runs, expected in table:
            with self.subTest(name):
                self.assertIs(
                    expected,
                    answer_rules.find_ender(build_request(**changes), runs),
                )

    def test_run_is_replaced_by_the_first_event_of_a_later_one(self):
        """Guards against runs that are left for one that ends as well."""
        left = build_run(ended_at=20_300)
        for first_event_at, is_abandoned in (
            (20_300, False),
            (20_301, True),
            (None, True),
        ):
            with self.subTest(first_event_at):
                other = build_run(
                    RunEnd.BROKEN,
                    server='i-2',
                    arrived_at=20_200,
                    first_event_at=first_event_at,
                )
                found = answer_rules.find_abandoned_requests(
                    [build_request()], [left, other]
                )
                self.assertEqual(is_abandoned, bool(found))

    def test_callers_without_a_run_are_found(self):
        """Guards against streams that wait for a path until callers leave."""
        request = build_request(has_caller_left=True, has_lost_patience=True)
        left = build_run(ended_at=20_500)
        table = (
            ('left before', request, [left], 1),
            ('stopped with its caller', request, [build_run()], 0),
            ('open', request, [left, build_run(ended_at=None)], 0),
            ('broken', request, [attrs.evolve(left, end=RunEnd.BROKEN)], 0),
            ('by choice', build_request(has_caller_left=True), [left], 0),
        )
        for name, request, runs, count in table:
            with self.subTest(name):
                found = answer_rules.find_starved_requests([request], runs)
                self.assertEqual(count, len(found))

    def test_disturbed_entries_are_excused(self):
        for host, since, until, count in (
            ('a', 20_500, 20_600, 0),
            ('', 20_500, 20_600, 0),
            ('b', 20_500, 20_600, 1),
            ('a', 21_001, 22_000, 1),
            ('a', 19_000, 19_999, 1),
        ):
            with self.subTest(host=host, since=since):
                found = answer_rules.find_abandoned_requests(
                    [build_request()],
                    [build_run()],
                    [engine_rules.Excuse(host, since, until)],
                )
                self.assertEqual(count, len(found))


class PlannedWorkTest(unittest.TestCase):
    def find(self, request, planned, runs=None, disturbances=(), others=()):
        return answer_rules.find_planned_cuts(
            [request, *others],
            [build_run(ended_at=request.ended_at)] if runs is None else runs,
            planned,
            BOUNDS,
            disturbances,
        )

    def test_cuts_after_a_stop_signal_are_found(self):
        planned = answer_rules.PlannedWork([answer_rules.Signal('a', 20_000)])
        table = (
            ('at once', {'ended_at': 20_500}, 1),
            ('before it', {'sent_at': 18_000, 'ended_at': 19_999}, 0),
            ('in the last sixth', {'ended_at': 26_667}, 0),
            ('just before it', {'ended_at': 26_666}, 1),
            ('sent late', {'sent_at': 23_001, 'ended_at': 27_000}, 1),
            ('after the end', {'ended_at': 29_001}, 0),
            ('another entry', {'host': 'b', 'ended_at': 20_500}, 0),
            ('complete', {'is_complete': True}, 0),
        )
        for name, changes, count in table:
            with self.subTest(name):
                found = self.find(build_request(**changes), planned)
                self.assertEqual(count, len(found))
        # The last sixth excuses only what an engine still works on.
        request = build_request(ended_at=27_000)
        idle = [build_run(ended_at=24_000)]
        self.assertEqual(1, len(self.find(request, planned, idle)))

    def test_cuts_after_a_hangup_signal_are_found(self):
        planned = answer_rules.PlannedWork(
            hangups=[answer_rules.Signal('a', 20_000)]
        )
        table = (
            ('running', {'sent_at': 19_000, 'ended_at': 20_001}, 1),
            ('ended before', {'sent_at': 19_000, 'ended_at': 19_999}, 0),
            ('sent soon after', {'sent_at': 22_000, 'ended_at': 30_000}, 1),
            ('sent later', {'sent_at': 22_001, 'ended_at': 30_000}, 0),
            ('another entry', {'host': 'b'}, 0),
            ('deadline', {'deadline_at': 21_000}, 0),
        )
        for name, changes, count in table:
            with self.subTest(name):
                found = self.find(build_request(**changes), planned)
                self.assertEqual(count, len(found))

    def test_requests_that_no_engine_got_have_a_slack(self):
        planned = answer_rules.PlannedWork(
            hangups=[answer_rules.Signal('a', 20_000)]
        )
        for ended_at, count in ((20_200, 0), (20_201, 1)):
            with self.subTest(ended_at):
                found = self.find(
                    build_request(ended_at=ended_at), planned, []
                )
                self.assertEqual(count, len(found))

    def test_disturbances_excuse_until_contact_has_passed(self):
        planned = answer_rules.PlannedWork(
            hangups=[answer_rules.Signal('a', 20_000)]
        )
        for until, count in ((17_000, 0), (16_999, 1)):
            with self.subTest(until):
                found = self.find(
                    build_request(),
                    planned,
                    disturbances=[engine_rules.Excuse('a', 15_000, until)],
                )
                self.assertEqual(count, len(found))

    def test_cuts_beside_a_change_are_compared_with_other_times(self):
        change = engine_rules.Version(2, 20_000, 20_100, frozenset())
        planned = answer_rules.PlannedWork(changes=[change])
        table = (
            ('beside it', {'ended_at': 23_100}, 1),
            ('later', {'ended_at': 23_101}, 0),
            ('most time used', {'deadline_at': 21_428}, 0),
            ('less time used', {'deadline_at': 21_429}, 1),
        )
        for name, changes, count in table:
            with self.subTest(name):
                found = self.find(build_request(**changes), planned)
                self.assertEqual(count, len(found))
        # 3.1 s beside the change, and 31 s at other times.
        for cuts, count in ((3, 1), (4, 0)):
            with self.subTest(other_cuts=cuts):
                others = [
                    build_request(
                        id=f'other-{number}', sent_at=1_000, ended_at=2_000
                    )
                    for number in range(cuts)
                ]
                others.append(
                    build_request(id='last', ended_at=35_100, is_complete=True)
                )
                found = self.find(build_request(), planned, others=others)
                self.assertEqual(count, len(found))


class ClosedConnectionTest(unittest.TestCase):
    def test_kept_connections_closed_without_an_answer_are_counted(self):
        for count, changes, found in (
            (3, {}, 0),
            (4, {}, 1),
            (4, {'is_started': True}, 0),
            (4, {'is_on_kept_connection': False}, 0),
            (4, {'has_caller_left': True}, 0),
        ):
            with self.subTest(count, **changes):
                values = {
                    'is_started': False,
                    'is_on_kept_connection': True,
                    **changes,
                }
                requests = [
                    build_request(id=f'{number}', **values)
                    for number in range(count)
                ]
                runs = [
                    build_run(attempt=f'{number}', first_event_at=None)
                    for number in range(count)
                ]
                self.assertEqual(
                    found,
                    len(
                        answer_rules.find_closed_connections(
                            requests, runs, BOUNDS
                        )
                    ),
                )

    def test_requests_that_were_not_passed_on_are_not_counted(self):
        requests = [
            build_request(
                id=f'{number}', is_started=False, is_on_kept_connection=True
            )
            for number in range(5)
        ]
        self.assertEqual(
            [], answer_rules.find_closed_connections(requests, [], BOUNDS)
        )
