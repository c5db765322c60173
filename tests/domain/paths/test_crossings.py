"""Tests of the limit on requests whose path crosses failure domains."""

from __future__ import annotations

import unittest

from tests.domain.fleet import builders
from thornspool.domain.paths import crossings


class CrossingShareTest(unittest.TestCase):
    def build(self, **changes):
        values = {'activation_bytes': 39_400.0, 'pipe_mbps': 3_920.0}
        values.update(changes)
        return builders.build_model(**values)

    def test_crossing_prompts_use_at_most_half_of_the_link(self):
        """Guards against an overloaded link between failure domains.

        It happens if no domain has a complete path and all requests cross.
        """
        for requests_per_s in (1.0, 10.0, 56.0, 400.0):
            with self.subTest(requests_per_s):
                model = self.build()
                share = crossings.compute_share(model, requests_per_s)
                tokens = model.usual_prompt + model.usual_answer
                paths_per_s = share * requests_per_s
                bits_per_s = (
                    paths_per_s
                    * crossings.CROSSINGS_PER_PATH
                    * tokens
                    * 39_400
                    * 8
                )
                self.assertLessEqual(bits_per_s, 0.5 * 3_920e6)

    def test_all_requests_may_cross_at_a_low_rate(self):
        self.assertEqual(1.0, crossings.compute_share(self.build(), 1.0))

    def test_all_requests_may_cross_if_the_link_speed_is_unknown(self):
        for changes in ({'pipe_mbps': 0.0}, {'activation_bytes': 0.0}):
            model = self.build(**changes)
            share = crossings.compute_share(model, 100.0)
            self.assertEqual(1.0, share)
