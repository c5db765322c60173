"""Tests of the numbers of kinds."""

from __future__ import annotations

import importlib
import inspect
import pkgutil
import random
import unittest

from tests import builders as tests_builders
from tests.adapters.peers import builders
import thornspool
from thornspool import entry
from thornspool import metrics
from thornspool import parts
from thornspool.adapters.peers import kinds
from thornspool.adapters.peers import node
from thornspool.adapters.peers import registry
from thornspool.adapters.store import memory
from thornspool.application import outages


def list_classes() -> set[str]:
    """List all classes of the program by the kind they would have."""
    modules = pkgutil.walk_packages(thornspool.__path__, 'thornspool.')
    return {
        registry.name_kind(found)
        for module in modules
        if not module.name.endswith('__main__')
        for _, found in inspect.getmembers(
            importlib.import_module(module.name), inspect.isclass
        )
    }


class KindsTest(unittest.TestCase):
    def test_no_number_stands_for_two_kinds(self) -> None:
        """Somebody adds a kind with the number of another.

        Bodies of one would be decoded as the other, at some entries.
        """
        numbers = sorted(kinds.NUMBERS.values())
        self.assertEqual(sorted(set(numbers)), numbers)
        self.assertFalse(kinds.RETIRED & set(numbers))

    def test_numbers_up_to_the_highest_are_in_use_or_retired(self) -> None:
        """Somebody deletes a kind, and later its number is given anew.

        Entries of the release before would decode the new kind as the old.
        """
        known = kinds.RETIRED | set(kinds.NUMBERS.values())
        self.assertEqual(set(range(1, max(known) + 1)), known)

    def test_each_number_stands_for_a_class(self) -> None:
        """A message class is renamed and its number keeps the old name.

        It would travel under its long name from then on.
        """
        self.assertEqual(set(), set(kinds.NUMBERS) - list_classes())


class KindsOfEntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_that_an_entry_registers_has_a_number(self) -> None:
        registered = registry.Registry()
        now = tests_builders.FakeClock()
        peers = node.PeerNode(
            now, 'x', builders.LOOPBACK, entry.REPLY_TYPES, registered
        )
        # An entry listens for it only where its platform is another process.
        registered.register(outages.PlatformBack)
        made = parts.Parts(
            parts.Outside(
                now,
                random.Random(1),
                memory.MemoryPlatform(now),
                peers,
                tests_builders.build_member(),
                metrics.Metrics(),
            )
        )
        await made.close()
        self.assertIn('limits.DemandReport', registered.kinds)
        self.assertEqual(set(), registered.kinds - set(kinds.NUMBERS))
