"""Entries that find each other through the store alone."""

from __future__ import annotations

import unittest

from tests.processes import load
from tools import processes


class JoiningTest(unittest.TestCase):
    def test_an_entry_joins_without_being_told_of_another(self) -> None:
        """A host is set up from a settings file that names no other entry.

        Left alone, it would serve callers an old list of addresses and hear
        of changes only when it asks the store.
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
                'both entries listed by both',
                lambda: all(
                    set(load.read_entries(one)[0]) == urls for one in entries
                ),
            )
