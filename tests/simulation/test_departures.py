"""Tests of departures of plain servers that only the store shows."""

from __future__ import annotations

import unittest

from structlog import testing

from tests.simulation import desks
from tests.simulation import loops

SEEDS = range(1, 5)
SECONDS = 22
FLEETS = {'mesh': 9, 'collectors': 15}
LEAVING = 'a-0'


def interrupt(before_ms, length_ms, is_announced=True, kind='outage'):
    """Return a fault in which a server leaves around an outage of the store.

    Parameters
    ----------
    before_ms : int
        Milliseconds from the departure to the outage.
    length_ms : int
        Length of the outage in milliseconds.
    is_announced : bool, optional
        Whether the record of the server shows first that it leaves.
    kind : str, optional
        ``outage``, ``flapping``, ``history``, ``shut out`` or ``restart``.
    """

    async def disturb(desk):
        await loops.sleep_ms(3_500)
        desk.depart(LEAVING, is_announced)
        await loops.sleep_ms(before_ms)
        hosts = sorted(desk.entries)
        if kind == 'flapping':
            for _ in range(3):
                await desk.interrupt(length_ms / 3)
                await loops.sleep_ms(desk.source.uniform(100, 900))
        elif kind == 'shut out':
            await desk.interrupt(length_ms, desk.source.sample(hosts, 2))
        else:
            await desk.interrupt(length_ms)
        if kind == 'history':
            desk.store.drop_history()
        if kind == 'restart':
            await desk.restart(desk.source.choice(hosts))

    return disturb


TABLE = {
    'announced just before an outage': interrupt(2, 7_000),
    'announced some time before it': interrupt(900, 6_000),
    'removed just before an outage': interrupt(2, 7_000, False),
    'removed some time before it': interrupt(700, 6_000, False),
    'flapping': interrupt(2, 9_000, kind='flapping'),
    'removed, flapping': interrupt(2, 9_000, False, 'flapping'),
    'history lost': interrupt(2, 5_000, kind='history'),
    'single hosts turned away': interrupt(2, 8_000, kind='shut out'),
    'an entry restarts': interrupt(2, 5_000, kind='restart'),
}


def simulate(count, seed, fault):
    with testing.capture_logs():
        return desks.simulate(count, seed, fault, SECONDS)


class OutageTest(unittest.TestCase):
    def test_departures_around_outages_are_known_in_time(self):
        """Guards against waits after an outage that add up."""
        for fleet, count in FLEETS.items():
            for name, fault in TABLE.items():
                with self.subTest(name, fleet=fleet):
                    found = []
                    for seed in SEEDS:
                        desk = simulate(count, seed, fault)
                        found += [
                            f'seed {seed}: {one}'
                            for one in desk.find_violations()
                        ]
                    self.assertEqual([], found)


class SharedDepartureTest(unittest.TestCase):
    def test_entry_that_the_store_turns_away_knows_what_others_know(self):
        """Guards against departures of the list that stay at one entry."""
        for is_announced in (True, False):
            for fleet, count in FLEETS.items():
                with self.subTest(fleet, is_announced=is_announced):
                    for seed in SEEDS:
                        fault = interrupt(2, 8_000, is_announced, 'shut out')
                        desk = simulate(count, seed, fault)
                        desk.unstable.clear()
                        self.assertEqual([], desk.find_violations())
