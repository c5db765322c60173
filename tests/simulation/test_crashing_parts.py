"""Tests of parts of prompts that crash the engines that write on them."""

from __future__ import annotations

import unittest

from structlog import testing

from tests import part_rules
from tests.simulation import callers
from tests.simulation import conditions
from tests.simulation import mixes
from tests.simulation import prompt_parts
from thornspool.domain.quarantine import records

SECONDS = 22
CALM_MS = 5_000
"""Time from the start of the load without any fault."""

LAST_ATTEMPTS = 100
"""First attempts that show the service after all verdicts."""

PLACES = {'first': 0, 'in the middle': 1, 'last': 2}
DENIALS = ('quarantined', 'no_trial')
"""Reasons of refusals that requests get for crashes of engines."""


class PartTestCase(unittest.TestCase):
    def simulate(self, workload, seed, *faults):
        with testing.capture_logs() as self.logs:
            return callers.simulate(
                workload, seed, SECONDS, conditions.combine(*faults)
            )

    def find_violations(self, results, sent, excuses=()):
        """Find violations of both rules, and answers that are not whole."""
        return [
            *part_rules.find_part_violations(
                results.arrivals,
                results.crashes,
                sent.parts,
                conditions.CONTACT_MS,
                excuses,
            ),
            *part_rules.find_withheld_violations(
                [*results.attempts, *sent.attempts],
                results.crashes,
                conditions.CONTACT_MS,
                excuses,
            ),
            *results.disordered,
            *sent.disordered,
        ]

    def check(self, results, sent, excuses=()):
        self.assertGreater(len(results.crashes), 0)
        self.assertEqual([], self.find_violations(results, sent, excuses))


class CrashingPartTest(PartTestCase):
    def test_part_that_crashes_engines_is_refused_by_all_entries(self):
        """Guards against requests of which only a part is the same."""
        for name, place in PLACES.items():
            with self.subTest(name):
                sent = prompt_parts.Sent()
                fault = prompt_parts.send_part(1, sent, place=place)
                self.check(self.simulate(mixes.SHORT, 1, fault), sent)

    def test_part_is_refused_where_collectors_follow_the_store(self):
        """Guards against the same in a fleet of many entries."""
        sent = prompt_parts.Sent()
        fault = prompt_parts.send_part(1, sent)
        self.check(self.simulate(mixes.WIDE, 1, fault), sent)

    def test_part_is_refused_while_entries_come_and_go(self):
        """Guards against verdicts that a lost message or a restart undoes.

        Entries restart, freeze, are cut off and join; messages between them
        come late or are lost.
        """
        for seed in (1, 2):
            with self.subTest(seed=seed):
                sent, excuses = prompt_parts.Sent(), []
                results = self.simulate(
                    mixes.SHORT,
                    seed,
                    prompt_parts.send_part(seed, sent),
                    prompt_parts.start_later(
                        CALM_MS,
                        conditions.delay_messages(seed, 0.1, 0.1),
                        conditions.disturb_entries(seed, excuses),
                    ),
                )
                self.check(results, sent, excuses)

    def test_part_that_was_served_before_is_refused(self):
        """Guards against parts whose earlier completions clear them."""
        sent = prompt_parts.Sent()
        fault = prompt_parts.send_part(1, sent, at_ms=0, crashes_at_ms=CALM_MS)
        results = self.simulate(mixes.SHORT, 1, fault)
        before = [one for one in sent.attempts if one.has_begun]
        self.assertGreater(len(before), 3)
        self.check(results, sent)

    def test_two_parts_are_refused_beside_each_other(self):
        """Guards against a search for causes that ends with the first one."""
        sent = prompt_parts.Sent()
        faults = [
            prompt_parts.send_part(1, sent, part)
            for part in ('bad', 'also-bad')
        ]
        results = self.simulate(mixes.SHORT, 1, *faults)
        self.assertEqual(2, len({one.content for one in results.crashes}))
        self.check(results, sent)


class SoundPartTest(PartTestCase):
    def test_parts_of_a_crashing_request_are_served(self):
        """Guards against verdicts on what only stood beside the cause.

        A request whose body crashes engines comes as soon as callers do, and
        shares its parts with sound requests and with a part that crashes
        engines too.
        """
        for seed in (1, 2):
            with self.subTest(seed=seed):
                sent, contents = prompt_parts.Sent(), {}
                results = self.simulate(
                    mixes.SHORT,
                    seed,
                    conditions.send_crashing_request(
                        seed,
                        contents,
                        at_ms=0,
                        parts=(prompt_parts.FIRST, 'middle-1'),
                    ),
                    prompt_parts.send_part(seed, sent, at_ms=1_500),
                )
                crashes = [
                    one for one in results.crashes if one.content == 'bad'
                ]
                self.assertEqual(
                    [],
                    part_rules.find_part_violations(
                        results.arrivals,
                        crashes,
                        sent.parts,
                        conditions.CONTACT_MS,
                    ),
                )
                last = [
                    one.has_begun for one in results.attempts[-LAST_ATTEMPTS:]
                ]
                self.assertGreaterEqual(
                    sum(last), part_rules.MIN_BEGUN_RATIO * len(last)
                )

    def test_parts_without_end_leave_bounded_records(self):
        """Guards against memory that grows with parts which callers invent."""
        sent, worlds = prompt_parts.Sent(), []

        async def keep_world(simulated):
            worlds.append(simulated)

        results = self.simulate(
            mixes.SHORT,
            1,
            prompt_parts.send_part(1, sent, count_invented=200),
            keep_world,
        )
        for entry in worlds[0].entries.values():
            self.assertLessEqual(
                entry.quarantine.record_count, records.MAX_RECORDS
            )
        self.check(results, sent)

    def test_part_of_other_callers_is_served(self):
        """Guards against callers who have parts of others withheld.

        All their requests crash engines and name a part of the others.
        """
        sent = prompt_parts.Sent()
        results = self.simulate(
            mixes.SHORT,
            1,
            prompt_parts.send_part(
                1, sent, key=prompt_parts.OTHER_KEY, middle='middle-1'
            ),
        )
        self.check(results, sent)
        victims = [
            one for one in results.attempts if one.parts[1:] == ('middle-1',)
        ]
        first_at = results.crashes[0].at
        last_at = results.crashes[:5][-1].at
        before, after = (
            [one.has_begun for one in victims if one.at < first_at],
            [
                one.has_begun
                for one in victims
                if one.at >= last_at + 2 * conditions.CONTACT_MS
            ],
        )
        self.assertGreaterEqual(
            sum(after) / len(after),
            part_rules.MIN_BEGUN_RATIO * sum(before) / len(before),
        )

    def test_parts_beside_crashing_engines_are_served(self):
        """Guards against parts that are refused for what ran beside them.

        Engines crash in quick succession, and no part is the cause.
        """
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.simulate(
                    mixes.SHORT,
                    seed,
                    conditions.crash_engines(seed, CALM_MS, 1_000),
                )
                refused = [
                    one['id']
                    for one in self.logs
                    if one['event'] == 'request_ended'
                    and one['reason'] in DENIALS
                ]
                self.assertEqual([], refused)
