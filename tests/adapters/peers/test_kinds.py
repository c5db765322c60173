"""Tests of the numbers of message kinds."""

from __future__ import annotations

import importlib
import inspect
import pkgutil
import random
import unittest

from tests import builders as tests_builders
from tests.adapters.peers import builders
import thornspool
from thornspool import composition
from thornspool import entry
from thornspool import metrics
from thornspool.adapters.peers import kinds
from thornspool.adapters.peers import node
from thornspool.adapters.peers import registry
from thornspool.adapters.store import memory
from thornspool.application import outages


def list_classes() -> set[str]:
    """List the kind names of all classes of the package."""
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
    def test_numbers_are_unique(self) -> None:
        """Guards against bodies that are decoded as another kind.

        A kind is added with the number of an existing one.
        """
        numbers = sorted(kinds.NUMBERS.values())
        self.assertEqual(sorted(set(numbers)), numbers)
        self.assertFalse(kinds.RETIRED & set(numbers))

    def test_numbers_have_no_gaps(self) -> None:
        """Guards against bodies that are decoded as a removed kind.

        A kind is removed and its number reassigned. Entries of the previous
        release would decode the new kind as the old one.
        """
        used = kinds.RETIRED | set(kinds.NUMBERS.values())
        self.assertEqual(set(range(1, max(used) + 1)), used)

    def test_each_number_has_a_class(self) -> None:
        """Guards against a message that is sent by its name.

        A message class is renamed, but not the name in the list of numbers.
        """
        self.assertEqual(set(), set(kinds.NUMBERS) - list_classes())


class KindsOfEntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_registered_types_have_a_number(self) -> None:
        types = registry.Registry()
        clock = tests_builders.FakeClock()
        peers = node.PeerNode(
            clock, 'x', builders.LOOPBACK, entry.REPLY_TYPES, types
        )
        # An entry registers it only if its platform is a separate process.
        types.register(outages.PlatformBack)
        services = composition.EntryServices(
            composition.Dependencies(
                clock,
                random.Random(1),
                memory.MemoryPlatform(clock),
                peers,
                tests_builders.build_member(),
                metrics.Metrics(),
            )
        )
        await services.close()
        self.assertIn('limits.DemandReport', types.kinds)
        self.assertEqual(set(), types.kinds - set(kinds.NUMBERS))
