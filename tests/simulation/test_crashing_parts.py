"""Tests of parts of prompts that crash the engines that write on them."""

from __future__ import annotations

import unittest

from structlog import testing

from tests import part_rules
from tests.simulation import callers
from tests.simulation import conditions
from tests.simulation import mixes
from tests.simulation import prompt_parts

SECONDS = 22
PLACES = {'first': 0, 'in the middle': 1, 'last': 2}


class CrashingPartTest(unittest.TestCase):
    def simulate(self, workload, seed, *faults):
        with testing.capture_logs():
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

    def test_part_that_crashes_engines_is_refused_by_all_entries(self):
        """Guards against requests of which only a part is the same."""
        for name, place in PLACES.items():
            with self.subTest(name):
                sent = prompt_parts.Sent()
                results = self.simulate(
                    mixes.SHORT,
                    1,
                    prompt_parts.send_part(1, sent, place=place),
                )
                self.assertGreater(len(results.crashes), 0)
                self.assertEqual([], self.find_violations(results, sent))
