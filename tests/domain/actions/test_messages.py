"""Tests of the encoding of messages about actions."""

from __future__ import annotations

import unittest

import msgspec

from tests.domain.actions import builders
from thornspool.domain.actions import messages
from thornspool.domain.actions import records


class MessagesTest(unittest.TestCase):
    def test_every_message_is_decoded_unchanged(self) -> None:
        record = records.Record(
            records.RecordState.DONE, 'a1', 'r1', outcome=builders.DONE
        )
        examples = (
            builders.build_grant(displaces='a0', uncertain=True),
            builders.build_outcome(),
            builders.build_release(),
            messages.GrantGiven('a1', 7, True),
            messages.RecordFound('a1', record),
            messages.KeyReused('a1'),
            messages.RecordDropped('a1'),
            messages.PageFull('a1'),
            messages.ChangeRecorded('a1'),
            messages.LedgerUnavailable('a1', 200, True),
            messages.AttemptQuery('a1', 'r1', 200),
            messages.AttemptReport('a1', messages.AttemptState.GONE),
            messages.ProposalQuery('a1'),
            messages.ProposalReport('a1', True),
        )
        self.assertEqual(messages.MESSAGE_TYPES, tuple(map(type, examples)))
        for message in examples:
            with self.subTest(type(message).__name__):
                encoded = msgspec.msgpack.encode(message)
                decoded = msgspec.msgpack.decode(encoded, type=type(message))
                self.assertEqual(message, decoded)
