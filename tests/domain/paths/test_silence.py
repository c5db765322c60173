"""Tests of which engines silent streams point at."""

from __future__ import annotations

import unittest

from thornspool.domain.paths import silence


def build_streams(count, pauses, engines=('a-0', 'a-1')):
    return [(engines, pauses)] * count


class FindDoubtfulTest(unittest.TestCase):
    def test_streams_that_stop_together_name_what_they_share(self):
        streams = [
            *build_streams(3, 2.0, ('a-0', 'a-1')),
            *build_streams(3, 2.0, ('a-2', 'a-1')),
            *build_streams(4, 0.5, ('a-2', 'a-3')),
        ]
        self.assertEqual(['a-1', 'a-0'], silence.find_doubtful(streams))

    def test_a_lone_silent_stream_names_its_engines(self):
        """Guards against crashes that an entry with few streams overlooks."""
        self.assertEqual(
            ['a-0', 'a-1'], silence.find_doubtful(build_streams(1, 2.0))
        )

    def test_engines_of_two_silent_streams_come_first(self):
        streams = [
            *build_streams(1, 2.0, ('a-0', 'a-1')),
            *build_streams(1, 2.0, ('a-2', 'a-1')),
        ]
        self.assertEqual('a-1', silence.find_doubtful(streams)[0])

    def test_an_engine_through_which_a_stream_moves_is_not_named(self):
        """Guards against questions after each pause of a busy entry."""
        streams = [
            *build_streams(2, 2.0, ('a-0', 'a-1')),
            *build_streams(1, 0.5, ('a-0', 'a-3')),
        ]
        self.assertEqual(['a-1'], silence.find_doubtful(streams))

    def test_an_engine_most_of_whose_streams_move_is_not_named(self):
        streams = build_streams(3, 2.0) + build_streams(4, 0.5)
        self.assertEqual([], silence.find_doubtful(streams))

    def test_usual_pauses_name_nobody(self):
        self.assertEqual([], silence.find_doubtful(build_streams(5, 1.2)))

    def test_without_streams_nobody_is_named(self):
        self.assertEqual([], silence.find_doubtful([]))


class CredibleTest(unittest.TestCase):
    def test_what_a_host_may_say_of_engines_that_did_not_answer(self):
        """Guards against the word of a host that hears nobody."""
        for asked, silent, credible in (
            (1, 1, True),
            (2, 1, True),
            (2, 2, False),
            (12, 4, True),
            (12, 6, True),
            (12, 7, False),
            (12, 12, False),
        ):
            with self.subTest(asked=asked, silent=silent):
                self.assertIs(credible, silence.is_credible(asked, silent))


class UsualPauseTest(unittest.TestCase):
    def test_the_mean_follows_the_pauses_that_streams_show(self):
        pause = silence.UsualPause()
        self.assertIsNone(pause.mean_ms)
        for _ in range(400):
            pause.note(40)
        self.assertAlmostEqual(40, pause.mean_ms, delta=1)
        for _ in range(400):
            pause.note(150)
        self.assertAlmostEqual(150, pause.mean_ms, delta=1)

    def test_a_stream_learns_its_rhythm_from_a_few_events(self):
        pause = silence.UsualPause(silence.STREAM_WEIGHT)
        for one in (120, *[45] * 12):
            pause.note(one)
        self.assertLess(pause.mean_ms, 60)

    def test_the_mean_stays_within_its_limits(self):
        pause = silence.UsualPause()
        pause.note(1)
        self.assertEqual(silence.MIN_USUAL_MS, pause.mean_ms)
        for _ in range(400):
            pause.note(60_000)
        self.assertAlmostEqual(silence.MAX_USUAL_MS, pause.mean_ms, delta=1)
