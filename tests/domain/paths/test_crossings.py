"""Tests of how many paths may change their failure domain."""

from __future__ import annotations

import unittest

from tests.domain.fleet import builders
from thornspool.domain.paths import crossings


class ShareTest(unittest.TestCase):
    def build(self, **changes):
        values = {'activation_bytes': 39_400.0, 'pipe_mbps': 3_920.0}
        values.update(changes)
        return builders.build_model(**values)

    def test_links_are_never_offered_more_than_they_carry(self):
        """No domain has a whole path, and every request would cross."""
        for rate in (1.0, 10.0, 56.0, 400.0):
            with self.subTest(rate):
                model = self.build()
                share = crossings.compute_share(model, rate)
                tokens = model.usual_prompt + model.usual_answer
                paths = share * rate
                bits = paths * crossings.USUAL_CROSSINGS * tokens * 39_400 * 8
                self.assertLessEqual(bits, 0.5 * 3_920e6)

    def test_few_requests_may_all_cross(self):
        self.assertEqual(1.0, crossings.compute_share(self.build(), 1.0))

    def test_an_unknown_link_bounds_nothing(self):
        for changes in ({'pipe_mbps': 0.0}, {'activation_bytes': 0.0}):
            model = self.build(**changes)
            share = crossings.compute_share(model, 100.0)
            self.assertEqual(1.0, share)
