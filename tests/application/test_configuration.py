"""Publishing and applying of configuration by several entries."""

from __future__ import annotations

import asyncio
import unittest

from tests.application import configuration_builders as make
from thornspool.application import configuration


class PublishTest(unittest.TestCase):
    def test_publication_is_in_force_at_every_entry(self) -> None:
        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            second = cluster.add_entry('two')
            publication = make.build_publication(
                'p1', 0, make.build_workspace('alpha', 7)
            )
            result = await first.service.publish(publication)
            self.assertEqual(
                configuration.Accepted(1, ('one', 'two'), ()), result
            )
            workspaces = second.service.snapshot().workspaces
            self.assertEqual({'alpha': publication.additions[0]}, workspaces)

        make.run_virtual(scenario)

    def test_publisher_is_told_where_it_is_not_in_force(self) -> None:
        """An entry is cut off while an operator publishes.

        The operator must see its name, or would believe that a limit holds
        where it does not.
        """

        async def scenario(cluster: make.Cluster) -> None:
            first = cluster.add_entry('one')
            cut = cluster.add_entry('two')
            cut.faults.platform_up = cut.faults.peers_up = False
            result = await first.service.publish(
                make.build_publication('p1', 0, make.build_workspace('a'))
            )
            straggler = configuration.Straggler('two', 'two', 0)
            self.assertEqual(
                configuration.Accepted(1, ('one',), (straggler,)), result
            )
            await asyncio.sleep(6)
            self.assertTrue(cut.service.is_isolated(cluster.clock.now()))
            self.assertFalse(first.service.is_isolated(cluster.clock.now()))

        make.run_virtual(scenario)
