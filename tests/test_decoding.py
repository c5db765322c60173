"""Tests of the decoding of documents that other programs have written."""

from __future__ import annotations

import unittest

import attrs
import msgspec

from tests import builders
from thornspool import decoding


@attrs.frozen
class Document:
    """A document with one declared member."""

    name: str


def nest(depth, inner=b''):
    return b'[' * depth + inner + b']' * depth


class DecodingTest(unittest.TestCase):
    def test_errors_of_decoders_are_translated(self):
        """Guards against bytes that end whatever has to decode them."""
        for name, raw in builders.UNREADABLE_DOCUMENTS.items():
            with (
                self.subTest(name),
                self.assertRaises(decoding.DecodeError) as caught,
            ):
                decoding.decode_json(raw, Document)
            self.assertTrue(str(caught.exception))
        with self.assertRaises(decoding.DecodeError):
            decoding.decode_msgpack(b'\x91' * 70_000, Document)

    def test_depth_does_not_depend_on_the_stack(self):
        """Guards against documents that only some processes can read."""

        def decode_below(frames, raw):
            if frames:
                return decode_below(frames - 1, raw)
            return decoding.decode_json(raw, msgspec.Raw)

        limit = decoding.MAX_DEPTH
        for frames in (0, 300):
            decode_below(frames, nest(limit))
            decode_below(frames, nest(1, b','.join([nest(limit - 1)] * 1_000)))
            with self.assertRaises(decoding.DecodeError):
                decode_below(frames, nest(limit + 1))

    def test_brackets_in_strings_do_not_count(self):
        for text in ('[' * 2_000, '\\"' + '{' * 2_000, '\\' * 3 + '[' * 2_000):
            with self.subTest(text[:4]):
                raw = msgspec.json.encode({'name': text, 'other': ['"']})
                read = decoding.decode_json(raw, Document)
                self.assertEqual(text, read.name)
                with self.assertRaises(decoding.DecodeError):
                    decoding.decode_json(
                        raw[:-1] + b',"x":' + nest(600) + b'}', Document
                    )
