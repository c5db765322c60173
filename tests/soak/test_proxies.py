"""Tests of the proxies that delay, reset or block connections."""

from __future__ import annotations

import asyncio
import unittest

from tests.platform import deployment
from tests.soak import proxies

SILENT = proxies.LinkFault(blocks_upstream=True, blocks_downstream=True)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        async def echo(reader, writer):
            while chunk := await reader.read(100):
                writer.write(chunk)
            writer.close()

        server = await asyncio.start_server(echo, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.proxy = proxies.Proxy(f'127.0.0.1:{port}')
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)

    async def connect(self):
        ip, _, port = self.proxy.address.rpartition(':')
        return await asyncio.open_connection(ip, int(port))

    async def test_retained_bytes_are_forwarded_once_the_fault_is_over(self):
        reader, writer = await self.connect()
        self.addCleanup(writer.close)
        self.proxy.link_fault = SILENT
        writer.write(b'retained')
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(100), 0.1)
        self.proxy.link_fault = proxies.LinkFault()
        self.assertEqual(
            b'retained', await asyncio.wait_for(reader.read(100), 5.0)
        )

    async def test_addresses_remain_free_while_connections_are_refused(self):
        """Guards against links that can't be restored.

        Outgoing connections may occupy any port that the system assigns.
        """
        port = int(self.proxy.address.rpartition(':')[2])
        self.assertIn(port, deployment.PORTS)
        self.proxy.refuse()
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        await self.proxy.accept()
        _, writer = await self.connect()
        writer.close()

    async def test_callers_that_accept_connections_at_once_do_not_fail(self):
        """Guards against links of which a part is never restored."""
        self.proxy.refuse()
        await asyncio.gather(self.proxy.accept(), self.proxy.accept())
        _, writer = await self.connect()
        writer.close()

    async def test_refusal_during_the_start_of_the_listener_holds(self):
        """Guards against links that answer while they are cut."""
        self.proxy.refuse()
        accepting = asyncio.create_task(self.proxy.accept())
        await asyncio.sleep(0)
        self.proxy.refuse()
        await accepting
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()

    async def test_blocked_connections_cost_no_processor_time(self):
        """Guards against links that slow down all others while cut."""
        connections = [await self.connect() for _ in range(20)]
        self.proxy.link_fault = SILENT
        for _, writer in connections:
            self.addCleanup(writer.close)
            writer.write(b'retained')
        await asyncio.sleep(0.2)
        steps = 0
        loop = asyncio.get_running_loop()
        call_soon = loop.call_soon

        def count(*args, **keywords):
            nonlocal steps
            steps += 1
            return call_soon(*args, **keywords)

        loop.call_soon = count
        await asyncio.sleep(0.3)
        del loop.call_soon
        self.assertLess(steps, len(connections))
