"""Tests of the heads of responses."""

from __future__ import annotations

import unittest

from tests.platform import raw_answers
from thornspool.adapters import exceptions
from thornspool.adapters import response_heads

SOUND_HEADS = {
    ('HTTP/1.1 200 OK', 'X: 1'): 200,
    ('HTTP/1.0 200 OK',): 200,
    ('HTTP/1.1 599',): 599,
    ('HTTP/1.1 200 ',): 200,
    ('HTTP/1.1 103 Early Hints', 'Link: </a>'): 103,
}


class ResponseHeadTest(unittest.TestCase):
    def test_sound_heads(self):
        """Guards against a check that is stricter than the protocol."""
        for lines, status in SOUND_HEADS.items():
            for is_strict in (False, True):
                with self.subTest(lines, is_strict=is_strict):
                    head = response_heads.parse_head(lines, is_strict)
                    self.assertEqual(status, head.status)

    def test_broken_heads_are_rejected_for_all_readers(self):
        """Guards against a status that no reader can tell."""
        for name, answer in raw_answers.BROKEN_HEADS.items():
            head = answer.encode((), b'body').partition(b'\r\n\r\n')[0]
            with (
                self.subTest(name),
                self.assertRaises(exceptions.MalformedHead),
            ):
                response_heads.parse_head(
                    head.decode('latin-1').split('\r\n'), False
                )

    def test_no_lines(self):
        with self.assertRaises(exceptions.MalformedHead):
            response_heads.parse_head((), False)
