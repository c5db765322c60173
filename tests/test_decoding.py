"""Tests of the decoding of documents that other programs have written."""

from __future__ import annotations

import unittest
import zlib

import attrs
import msgspec

from tests import builders
from thornspool import decoding
from thornspool.adapters.callers import generate_bodies
from thornspool.adapters.operators import exceptions as operator_errors
from thornspool.adapters.operators import publishing
from thornspool.adapters.peers import exceptions as peer_errors
from thornspool.adapters.peers import frames as peer_frames
from thornspool.domain.actions import exceptions as action_errors
from thornspool.domain.actions import records
from thornspool.domain.configuration import exceptions as configuration_errors
from thornspool.domain.configuration import head
from thornspool.domain.configuration import storage
from thornspool.domain.pipelines import exceptions as pipeline_errors
from thornspool.domain.pipelines import frames


@attrs.frozen
class Document:
    """A document with one declared member."""

    name: str


def nest(depth, inner=b''):
    return b'[' * depth + inner + b']' * depth


def decode_bucket(value):
    return storage.decode_bucket(storage.compute_digest(value), value)


def read_frame(raw):
    return frames.FrameReader().read(raw + b'\n!\n')


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

    def test_errors_of_other_layers_are_their_own(self):
        """Guards against bytes that end what follows keys, peers or bodies."""
        for name in ('nested arrays', 'nested objects', 'nearly too deep'):
            raw = builders.UNREADABLE_DOCUMENTS[name]
            packed = zlib.compress(raw)
            for expected, decode, value in (
                (
                    configuration_errors.MalformedValue,
                    head.decode_head,
                    packed,
                ),
                (configuration_errors.MalformedValue, decode_bucket, packed),
                (operator_errors.BadRequest, publishing.read_body, raw),
                (decoding.DecodeError, generate_bodies.decode_body, raw),
                (pipeline_errors.MalformedFrame, read_frame, raw),
            ):
                with self.subTest(name, decode=decode.__name__):
                    self.assertRaises(expected, decode, value)
        deep = b'\x91' * 50_000
        with self.assertRaises(action_errors.PageMalformed):
            records.decode_page(deep)
        with self.assertRaises(peer_errors.MalformedFrame):
            peer_frames.decode(bytes([peer_frames.VERSION]) + deep)

    def test_depth_does_not_depend_on_the_stack(self):
        """Guards against documents that only some processes can read."""

        def decode_below(frames, raw):
            if frames:
                return decode_below(frames - 1, raw)
            return decoding.decode_json(raw, msgspec.Raw)

        limit = decoding.MAX_DEPTH
        for depth in (0, 300):
            decode_below(depth, nest(limit))
            decode_below(depth, nest(1, b','.join([nest(limit - 1)] * 1_000)))
            with self.assertRaises(decoding.DecodeError):
                decode_below(depth, nest(limit + 1))

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
