"""Tests of the share of repeated sends."""

from __future__ import annotations

import random
import unittest

from thornspool.domain.retries import windows


class RepeatWindowTest(unittest.TestCase):
    def test_no_window_holds_more_than_its_share(self):
        """A service fails every request for a while.

        Without a bound each of them is sent again, and the service gets
        twice its load just when it fails.
        """
        source = random.Random(5)
        window = windows.RepeatWindow(0.2, 10.0, 1_000)
        requests, repeats = [], []
        for now in range(0, 6_000, 3):
            if source.random() < 0.3:
                window.record_request(now)
                requests.append(now)
            if window.take_repeat(now):
                repeats.append(now)
            counted = [at for at in requests if at > now - 1_000]
            taken = [at for at in repeats if at > now - 1_000]
            self.assertLessEqual(len(taken), 10.0 + 0.2 * len(counted) + 12)

    def test_room_comes_back_as_the_window_slides(self):
        window = windows.RepeatWindow(0.0, 2.0, 1_000)
        self.assertTrue(window.take_repeat(0))
        self.assertTrue(window.take_repeat(10))
        self.assertFalse(window.take_repeat(999))
        self.assertTrue(window.take_repeat(1_000))
