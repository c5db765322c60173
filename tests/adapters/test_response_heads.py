"""Tests of the heads of responses."""

from __future__ import annotations

import unittest

from tests.platform import raw_answers
from thornspool.adapters import exceptions
from thornspool.adapters import response_heads

OK = 'HTTP/1.1 200 OK'
LENGTHS = {
    (OK, 'Content-Length: 42'): 42,
    (OK, 'CONTENT-LENGTH:042'): 42,
    (OK, 'Content-Length: 0'): 0,
    (OK, 'Content-Length: 5', 'Content-Length: 5'): 5,
    (OK, 'Content-Length: ' + '0' * 5_000 + '7'): 7,
    (OK,): None,
    (OK, 'Transfer-Encoding: Chunked'): None,
    (OK, 'Transfer-Encoding: chunked', 'Content-Length: 9'): None,
    (OK, 'X-Content-Length: 5'): None,
    (OK, 'Trailer: Content-Length, Transfer-Encoding'): None,
    ('HTTP/1.0 200 OK',): None,
    ('HTTP/1.1 204 No Content', 'Content-Length: 0'): 0,
    ('HTTP/1.1 304 Not Modified', 'Content-Length: 42'): 0,
    ('HTTP/1.1 503 Service Unavailable', 'Content-Length: 0'): 0,
    ('HTTP/1.1 599', 'Content-Length: 1'): 1,
    ('HTTP/1.1 200 ', 'Content-Length: 1'): 1,
    ('HTTP/1.1 200 \xe9', 'Content-Length: 1'): 1,
    ('HTTP/1.1 200 O\x01K', 'Content-Length: 1'): 1,
    ('HTTP/1.1 103 Early Hints', 'Link: </a>'): None,
}
"""Sound heads, and the length of the body in bytes."""

LENIENT = ('X Y: 1', 'X\x01: 1', 'X : 1', ' X: 1')
"""Lines that concern neither the framing nor what is read of a report."""


class ResponseHeadTest(unittest.TestCase):
    def test_sound_heads(self):
        """Guards against a check that is stricter than the protocol."""
        for lines, length in LENGTHS.items():
            for is_strict in (False, True):
                with self.subTest(lines, is_strict=is_strict):
                    head = response_heads.parse_head(lines, is_strict)
                    self.assertEqual(length, head.body_length)

    def test_lenient_heads(self):
        """Guards against reports that are lost for a line no one reads."""
        for line in LENIENT:
            lines = (OK, line, 'Content-Length: 42')
            with self.subTest(line):
                head = response_heads.parse_head(lines, False)
                self.assertEqual(42, head.body_length)
                with self.assertRaises(exceptions.MalformedHead):
                    response_heads.parse_head(lines, True)

    def test_broken_framing_is_rejected_for_all_readers(self):
        """Guards against a store or a report whose body is not its own."""
        for name, answer in raw_answers.BROKEN_FRAMING.items():
            head = answer.encode((), b'body').partition(b'\r\n\r\n')[0]
            # libcurl appends a folded line to the line before.
            lines = head.decode('latin-1').replace('1\r\n ', '1 ')
            with (
                self.subTest(name),
                self.assertRaises(exceptions.MalformedHead),
            ):
                response_heads.parse_head(lines.split('\r\n'), False)

    def test_no_lines(self):
        with self.assertRaises(exceptions.MalformedHead):
            response_heads.parse_head((), False)
