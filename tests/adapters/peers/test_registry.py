"""Tests of the registry of message types."""

from __future__ import annotations

import unittest

import attrs

from tests.adapters.peers import builders
from thornspool.adapters.peers import exceptions
from thornspool.adapters.peers import registry


class RegistryTest(unittest.TestCase):
    def test_kind_is_the_module_and_the_name(self) -> None:
        table = (
            ('thornspool.domain.membership.messages', 'membership.Ping'),
            ('thornspool.application.drain', 'drain.Ping'),
            ('thornspool.clock', 'clock.Ping'),
            ('elsewhere.messages', 'elsewhere.Ping'),
        )
        for module, kind in table:
            with self.subTest(module):
                made = type('Ping', (), {'__module__': module})
                self.assertEqual(kind, registry.name_kind(made))

    def test_registering_twice_changes_nothing(self) -> None:
        registered = registry.Registry()
        first = registered.register(builders.Part)
        self.assertEqual(first, registered.register(builders.Part))

    def test_two_types_of_one_kind_are_refused(self) -> None:
        """Two classes come to share a kind name after a rename.

        Bodies of one would be decoded as the other.
        """
        registered = registry.Registry()
        registered.register(builders.Part)
        double = attrs.make_class('Part', [], frozen=True)
        double.__module__ = builders.__name__
        with self.assertRaises(exceptions.KindConflict):
            registered.register(double)

    def test_field_of_a_newer_release_is_passed_over(self) -> None:
        """Two releases run side by side while hosts are replaced.

        A field that only the newer one knows must not cut off the older.
        """
        registered = registry.Registry()
        kind = registered.register(builders.Part)
        newer = attrs.make_class('Newer', ['name', 'extra'])('a', 1)
        _, body = registry.Registry().encode(newer)
        self.assertEqual(builders.Part('a'), registered.decode(kind, body))
