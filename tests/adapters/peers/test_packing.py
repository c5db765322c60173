"""Tests of the compact encoding of incarnations and addresses."""

from __future__ import annotations

import typing
import unittest

import hypothesis
from hypothesis import strategies

from thornspool.adapters.peers import exceptions
from thornspool.adapters.peers import packing

if typing.TYPE_CHECKING:
    import uuid

IDENTIFIER = '019adf00-0000-7000-8000-00000000abcd'


class PackingTest(unittest.TestCase):
    def test_incarnations_survive_a_round_trip(self) -> None:
        table = (
            (f'perth-1-{IDENTIFIER}', 16),
            (f'-{IDENTIFIER}', 16),
            (IDENTIFIER, 0),
            (f'perth-1-{IDENTIFIER.upper()}', 0),
            (f'perth-1-{{{IDENTIFIER[:-2]}}}', 0),
            (f'perth-1_{IDENTIFIER}', 0),
            ('entry', 0),
            ('', 0),
        )
        for incarnation, size in table:
            with self.subTest(incarnation):
                packed = packing.pack_incarnation(incarnation)
                self.assertEqual(size, len(packed[1]))
                unpacked = packing.unpack_incarnation(*packed)
                self.assertEqual(incarnation, unpacked)

    @hypothesis.given(strategies.text(), strategies.uuids())
    def test_any_host_survives_a_round_trip(
        self, host: str, identifier: uuid.UUID
    ) -> None:
        incarnation = f'{host}-{identifier}'
        packed = packing.pack_incarnation(incarnation)
        self.assertEqual(incarnation, packing.unpack_incarnation(*packed))

    def test_addresses_survive_a_round_trip(self) -> None:
        table = (
            ('tcp://127.0.0.1:1', 6),
            ('tcp://10.1.1.200:65535', 6),
            ('tcp://[::1]:7400', 18),
        )
        for address, size in table:
            with self.subTest(address):
                packed = packing.pack_address(address)
                self.assertEqual(size, len(packed))
                self.assertEqual(address, packing.unpack_address(packed))

    def test_address_that_is_not_numeric_is_rejected(self) -> None:
        for address in ('tcp://host:1', 'tcp://127.0.0.1:65536', '1.2.3.4'):
            with (
                self.subTest(address),
                self.assertRaises(exceptions.MalformedFrame),
            ):
                packing.pack_address(address)
