"""Tests of the sockets to other entries."""

from __future__ import annotations

import threading
import unittest

import pynng

from tests import builders
from thornspool.adapters.peers import links

RECEIVE_TIMEOUT_MS = 5000


class LinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.lost = threading.Semaphore(0)
        self.links = links.Links(
            self.clock, on_lost=lambda _: self.lost.release()
        )
        self.addCleanup(self.links.close)
        self.socket = pynng.Pull0(recv_timeout=RECEIVE_TIMEOUT_MS)
        self.addCleanup(self.socket.close)
        listener = self.socket.listen('tcp://127.0.0.1:0')
        self.address = f'tcp://{listener.local_address}'

    def send(self) -> object:
        """Send a message and return the connection at the peer."""
        self.links.send(self.address, b'x')
        return self.socket.recv_msg().pipe

    def test_sockets_without_a_listener_are_closed(self) -> None:
        """Guards against sockets that redial forever.

        Hosts are replaced by hosts with new addresses.
        """
        for port in (1, 2, 3):
            self.links.send(f'tcp://127.0.0.1:{port}', b'x')
        self.clock.advance(links.UNRESPONSIVE_MS + 1)
        self.send()
        self.assertEqual(1, len(self.links))

    def test_connection_to_an_unresponsive_peer_is_replaced(self) -> None:
        """Guards against a peer that stays unreachable after a partition.

        After minutes without a network link, TCP retransmits at intervals of
        up to two minutes.
        """
        table = (
            ('immediately', 0, False, True),
            ('received a message', links.UNRESPONSIVE_MS + 1, True, True),
            ('unresponsive', links.UNRESPONSIVE_MS + 1, False, False),
        )
        for name, wait, received, kept in table:
            with self.subTest(name):
                first = self.send()
                if received:
                    self.links.record_received(self.address)
                self.clock.advance(wait)
                self.assertEqual(kept, self.send() is first)
                self.links.record_received(self.address)

    def test_closed_connection_is_reported(self) -> None:
        """Guards against requests that wait for the whole timeout.

        The process of a peer exits and the kernel closes its connections.
        """
        self.send()
        self.assertFalse(self.links.is_lost(self.address))
        self.socket.close()
        self.assertTrue(self.lost.acquire(timeout=RECEIVE_TIMEOUT_MS / 1000))
        self.assertTrue(self.links.is_lost(self.address))

    def test_locally_closed_connection_is_not_lost(self) -> None:
        """Guards against requests that fail although their replies arrive.

        The socket to a running peer is replaced.
        """
        self.send()
        self.links.drop(self.address)
        self.links.close()
        self.assertFalse(self.lost.acquire(blocking=False))
        self.assertFalse(self.links.is_lost(self.address))
