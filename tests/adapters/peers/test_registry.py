"""Tests of the registry of message types."""

from __future__ import annotations

import unittest

import attrs

from tests.adapters.peers import builders
from thornspool.adapters.peers import exceptions
from thornspool.adapters.peers import registry


class RegistryTest(unittest.TestCase):
    def test_kind_consists_of_module_and_name(self) -> None:
        table = (
            ('thornspool.domain.membership.messages', 'membership.Ping'),
            ('thornspool.application.drain', 'drain.Ping'),
            ('thornspool.clock', 'clock.Ping'),
            ('elsewhere.messages', 'elsewhere.Ping'),
        )
        for module, kind in table:
            with self.subTest(module):
                message_type = type('Ping', (), {'__module__': module})
                self.assertEqual(kind, registry.name_kind(message_type))

    def test_repeated_registration_has_no_effect(self) -> None:
        types = registry.Registry()
        first = types.register(builders.Part)
        self.assertEqual(first, types.register(builders.Part))

    def test_two_types_of_a_kind_are_rejected(self) -> None:
        """Guards against bodies that are decoded as another type.

        Two classes have the same kind name after a rename.
        """
        types = registry.Registry()
        types.register(builders.Part)
        duplicate = attrs.make_class('Part', [], frozen=True)
        duplicate.__module__ = builders.__name__
        with self.assertRaises(exceptions.KindConflict):
            types.register(duplicate)

    def test_unknown_field_of_a_newer_release_is_ignored(self) -> None:
        """Guards against releases that cannot communicate.

        Two releases run at the same time during a deployment, and the newer
        one sends an additional field.
        """
        types = registry.Registry()
        kind = types.register(builders.Part)
        newer = attrs.make_class('Newer', ['name', 'extra'])('a', 1)
        _, body = registry.Registry().encode(newer)
        self.assertEqual(builders.Part('a'), types.decode(kind, body))
