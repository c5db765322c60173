"""Tests of splitting a stream into complete events."""

from __future__ import annotations

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from thornspool.domain.fleet import events

STREAM = b''.join(
    f'id: {number}\ndata: word {number}\n\n'.encode() for number in range(9)
)


class EventBufferTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(STREAM)), max_size=12)
    )
    def test_forwards_complete_events_for_any_chunks(self, boundaries):
        """An engine fails in the middle of an event."""
        buffer = events.EventBuffer()
        forwarded = b''
        edges = [0, *sorted(boundaries), len(STREAM)]
        for first, end in itertools.pairwise(edges):
            forwarded += buffer.take(STREAM[first:end])
            self.assertTrue(forwarded == b'' or forwarded.endswith(b'\n\n'))
            self.assertEqual(forwarded.count(b'\n\n'), buffer.count)
        self.assertEqual(STREAM, forwarded)
        self.assertEqual('8', buffer.last_id)

    def test_keeps_the_id_of_the_last_complete_event(self):
        buffer = events.EventBuffer()
        buffer.take(b'id: 4\ndata: x\n\nid: 5\nda')
        self.assertEqual('4', buffer.last_id)
        buffer.drop_pending()
        self.assertEqual(
            b'id: 5\ndata: y\n\n', buffer.take(b'id: 5\ndata: y\n\n')
        )
