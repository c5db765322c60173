"""Tests of requests for routes and keys that have just been added."""

from __future__ import annotations

import unittest

from structlog import testing

from tests.simulation import desks
from tests.simulation import loops

SEEDS = range(1, 3)
SECONDS = 20
FLEETS = {'mesh': 9, 'collectors': 24}
CHANGE_MS = 500


def list_first(desk, count):
    """List the first entries of each failure domain by name."""
    return [
        host
        for domain in desks.DOMAINS
        for host in sorted(one for one in desk.entries if one[0] == domain)[
            :count
        ]
    ]


async def turn_away(desk):
    """Turn half of the entries away, those that collect first among them."""
    await desk.interrupt(9_000, list_first(desk, len(desk.entries) // 6))


async def turn_away_in_turn(desk):
    """Turn the collectors away, on and off."""
    for _ in range(8):
        await desk.interrupt(900, list_first(desk, 1))
        await loops.sleep_ms(desk.source.uniform(50, 400))


async def lose_datagrams(desk):
    """Lose nearly a third of the packets between entries."""
    desk.lost_share = 0.3


async def delay_datagrams(desk):
    """Deliver nearly half of the datagrams late, as busy entries do."""
    desk.late_share = 0.4


async def lose_change_sets(desk):
    """Lose all change sets, as if they were too large for datagrams."""
    desk.max_change_set_bytes = 0


async def lose_history(desk):
    """Lose the history of the store and turn the collectors away."""
    for _ in range(3):
        desk.store.drop_history()
        await desk.interrupt(2_500, list_first(desk, 2))


async def interrupt(desk):
    """Let the store answer nobody, twice."""
    await desk.interrupt(2_500, lapses=False)
    await loops.sleep_ms(1_500)
    await desk.interrupt(4_000, lapses=False)


async def restart(desk):
    """Restart entries while the store turns the collectors away."""
    desk.start_task(desk.interrupt(6_000, list_first(desk, 1)))
    for host in list_first(desk, 2):
        await desk.restart(host)


TABLE = {
    'half turned away': turn_away,
    'collectors turned away on and off': turn_away_in_turn,
    'datagrams lost': lose_datagrams,
    'datagrams late': delay_datagrams,
    'change sets too large': lose_change_sets,
    'history lost': lose_history,
    'outages': interrupt,
    'restarts': restart,
}


def simulate(count, seed, fault):
    """Simulate a fault beside changes of the configuration."""

    async def disturb(desk):
        desk.start_task(desk.change_configuration(30, CHANGE_MS))
        await loops.sleep_ms(1_000)
        await fault(desk)

    with testing.capture_logs():
        return desks.simulate(count, seed, disturb, SECONDS)


class DenialTest(unittest.TestCase):
    def test_versions_are_in_force_in_time(self):
        """Guards against entries that wait for a collector for too long."""
        for fleet, count in FLEETS.items():
            for name, fault in TABLE.items():
                with self.subTest(name, fleet=fleet):
                    found = []
                    for seed in SEEDS:
                        desk = simulate(count, seed, fault)
                        self.assertGreater(len(desk.denials), 20)
                        found += [
                            f'seed {seed}: {one}'
                            for one in (
                                *desk.find_denial_violations(),
                                *desk.find_late_versions(),
                            )
                        ]
                    self.assertEqual([], found)
