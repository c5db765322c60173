"""Tests of idempotency keys and their page addresses."""

from __future__ import annotations

import unittest
import uuid

from tests import builders
from thornspool.domain.actions import exceptions
from thornspool.domain.actions import keys

NOW = builders.WALL_START


class KeysTest(unittest.TestCase):
    def test_keys_without_a_valid_timestamp_are_refused(self) -> None:
        """A caller sends other identifiers or its clock is wrong.

        If accepted, such a key could run again after its record is dropped,
        or would drop the records of other keys early.
        """
        table = {
            'no uuid': 'hold-17',
            'empty': '',
            'version 4': str(uuid.UUID(int=5, version=4)),
            'future': builders.build_key(1, NOW + 60_001),
        }
        for name, text in table.items():
            with (
                self.subTest(name),
                self.assertRaises(exceptions.KeyRefused) as caught,
            ):
                keys.parse_key('swan', text, NOW)
            self.assertTrue(caught.exception.hint)

    def test_spellings_of_a_key_are_parsed_as_equal(self) -> None:
        text = builders.build_key(1, NOW + 60_000)
        spelled = [text, text.upper(), '{' + text + '}']
        found = {keys.parse_key('swan', each, NOW) for each in spelled}
        self.assertEqual(1, len(found))

    def test_page_keys_repeat_after_a_whole_ring(self) -> None:
        layout = keys.Layout(buckets=1)
        ring_ms = layout.slots * layout.slot_ms
        first, next_slot, later = (
            keys.locate_page(keys.ActionKey('swan', 'x', time), layout)
            for time in (NOW, NOW + layout.slot_ms, NOW + ring_ms)
        )
        texts = [
            keys.format_page_key(address, layout)
            for address in (first, next_slot, later)
        ]
        self.assertEqual(texts[0], texts[2])
        self.assertNotEqual(texts[0], texts[1])
        self.assertGreater(later.slot, first.slot)
