"""Entries that discover each other only through the store."""

from __future__ import annotations

import unittest

from tests.processes import load
from tools import processes


class JoiningTest(unittest.TestCase):
    def test_an_entry_without_seeds_joins_through_the_store(self) -> None:
        """The settings of an entry name no seed.

        Unless it joins, it serves callers an old list of addresses and
        receives changes only when it polls the store.
        """
        with processes.open_processes() as scope:
            store = scope.start('store', 'standins.kv_store')
            platform = {'kind': 'http', 'url': store.ready['url']}
            entries = [
                scope.start_entry(name, platform=platform)
                for name in ('one', 'two')
            ]
            urls = {one.ready['callers'] for one in entries}
            load.wait_until(
                'both entries list both',
                lambda: all(
                    set(load.read_entries(one)[0]) == urls for one in entries
                ),
            )
