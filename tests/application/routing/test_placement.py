"""Tests of when the leader gives orders."""

from __future__ import annotations

import asyncio
import unittest

import attrs

from tests.application.routing import builders
from tests.domain.fleet import builders as fleet_builders
from thornspool.application.routing import beliefs
from thornspool.application.routing import placement
from thornspool.domain.fleet import messages
from thornspool.domain.placement import orders as orders_module
from thornspool.domain.placement import planning


class LeaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = builders.World()
        self.leads = True
        self.service = placement.PlacementService(
            self.world.clock,
            self.world.beliefs,
            self.world.servers,
            lambda: self.leads,
        )
        for domain in ('a', 'b'):
            self.world.add(
                fleet_builders.build_engine(f'{domain}-3', 'large', 20, 45)
            )
        for name in self.world.beliefs.servers:
            self.world.servers.reports[name] = builders.ports.Report(
                0, False, 1.0, 1, ()
            )

    def lose(self, name):
        """Take an engine out of the list, some time ago."""
        self.world.beliefs.servers.pop(name)

    async def work(self):
        self.service.work()
        for _ in range(4):
            await asyncio.sleep(0)
        return [name for name, _, _ in self.world.servers.orders]

    async def test_a_lost_engine_is_replaced(self):
        self.lose('a-1')
        self.assertTrue({'a-2', 'a-3'} & set(await self.work()))

    async def test_what_an_engine_gives_up_is_told_before_its_order(self):
        """Guards against requests sent to layers that are given up."""
        moves = self.world.beliefs.moves
        server = self.world.beliefs.servers['a-3']
        order = orders_module.Order(
            server, messages.LayerRange(30, 55), 'move'
        )
        self.service._give(order, fleet_builders.build_model(), 0)
        self.assertTrue(moves.has_news)
        self.assertEqual([], self.world.servers.orders)
        narrowed = moves.narrow(server)
        self.assertEqual(messages.LayerRange(30, 45), narrowed.layers)
        await asyncio.sleep(2 * placement.ANNOUNCE_MS / 1_000)
        self.assertEqual(1, len(self.world.servers.orders))
        self.world.add(
            attrs.evolve(server, layers=messages.LayerRange(30, 55))
        )
        await self.work()
        self.assertEqual({}, moves.own)

    async def test_no_domain_is_steady_while_an_engine_is_slow(self):
        """Guards against layers given up for seconds in a slow fleet."""
        engines = list(self.world.beliefs.servers.values())[:8]
        self.service._find_steady(engines, 0)
        later = planning.STEADY_MS
        self.assertEqual({'a', 'b'}, self.service._find_steady(engines, later))
        self.world.beliefs.paces.note('a-1', 12.0, later)
        self.assertEqual(set(), self.service._find_steady(engines, later))
        now = later + 3_000
        self.assertEqual(set(), self.service._find_steady(engines, now))
        now += planning.STEADY_MS
        self.assertEqual({'a', 'b'}, self.service._find_steady(engines, now))

    async def test_an_engine_that_only_grows_is_ordered_at_once(self):
        server = self.world.beliefs.servers['a-3']
        order = orders_module.Order(
            server, messages.LayerRange(20, 48), 'hole'
        )
        self.service._give(order, fleet_builders.build_model(), 0)
        await asyncio.sleep(0.01)
        self.assertEqual(1, len(self.world.servers.orders))
        self.assertEqual({}, self.world.beliefs.moves.own)

    async def test_nobody_else_gives_orders(self):
        self.leads = False
        self.lose('a-1')
        self.assertEqual([], await self.work())

    async def test_no_orders_by_what_the_list_said_long_ago(self):
        """The store is back, and the lease is renewed before the copy is."""
        self.lose('a-1')
        self.world.clock.advance(beliefs.OUTAGE_MS + 1)
        self.assertEqual([], await self.work())

    async def test_after_an_outage_only_empty_engines_get_layers(self):
        self.lose('a-1')
        self.world.clock.advance(8_000)
        now = self.world.clock.now()
        self.world.beliefs.note_contact(now)
        self.world.beliefs.proof.renew(now)
        self.world.add(fleet_builders.build_engine('a-7', 'large'))
        self.assertEqual(['a-7'], await self.work())
        self.world.clock.advance(beliefs.RETURN_MS + 1)
        self.world.beliefs.proof.renew(self.world.clock.now())
        self.lose('b-1')
        self.assertTrue({'b-2', 'b-3'} & set(await self.work()))

    async def test_a_new_process_waits_for_the_whole_list(self):
        """All processes are killed while entries have lapsed."""
        self.world.beliefs.first_contact_at = self.world.clock.now()
        self.lose('a-1')
        self.assertEqual([], await self.work())
