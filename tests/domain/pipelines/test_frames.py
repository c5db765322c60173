"""Tests of decoding token streams."""

from __future__ import annotations

import unittest

from thornspool.domain.pipelines import exceptions
from thornspool.domain.pipelines import frames

LINES = (
    b'{"request":"r","attempt":0,"index":0,"token":"x",'
    b'"receipts":[[0,4,"a-1"]]}\n{"request":"r","attempt":0,"end":1}\n'
)


class FrameReaderTest(unittest.TestCase):
    def test_chunks_split_anywhere_give_the_same_frames(self):
        """The network splits the stream in the middle of a line.

        If the frame were lost, this would count as a gap and cost a retry.
        """
        whole = frames.FrameReader().read(LINES)
        self.assertEqual([frame.end for frame in whole], [-1, 1])
        self.assertEqual(whole[0].receipts, [(0, 4, 'a-1')])
        for cut in range(len(LINES)):
            reader = frames.FrameReader()
            parts = reader.read(LINES[:cut]) + reader.read(LINES[cut:])
            self.assertEqual(parts, whole)

    def test_malformed_frame_is_rejected(self):
        """A server that is not an engine responds.

        If the decoder were lenient, its response could count as a token.
        """
        for line in (b'<html>\n', b'[1]\n', b'{"index":"0"}\n'):
            with self.assertRaises(exceptions.MalformedFrame):
                frames.FrameReader().read(line)
