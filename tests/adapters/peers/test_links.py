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
            self.clock, note_lost=lambda _: self.lost.release()
        )
        self.addCleanup(self.links.close)
        self.socket = pynng.Pull0(recv_timeout=RECEIVE_TIMEOUT_MS)
        self.addCleanup(self.socket.close)
        listener = self.socket.listen('tcp://127.0.0.1:0')
        self.address = f'tcp://{listener.local_address}'

    def send(self) -> object:
        """Send once and return the peer's side of the connection."""
        self.links.send(self.address, b'x')
        return self.socket.recv_msg().pipe

    def test_sockets_to_nobody_are_closed(self) -> None:
        """Hosts are replaced by others at new addresses.

        Sockets to the old ones would go on dialling for ever.
        """
        for port in (1, 2, 3):
            self.links.send(f'tcp://127.0.0.1:{port}', b'x')
        self.clock.advance(links.SILENCE_MS + 1)
        self.send()
        self.assertEqual(1, len(self.links))

    def test_connection_without_a_sign_of_the_peer_is_replaced(self) -> None:
        """A link is cut for minutes and heals.

        TCP retries up to two minutes apart by then, so that the peer would
        look dead for that long after it can be reached again.
        """
        table = (
            ('at once', 0, False, True),
            ('heard meanwhile', links.SILENCE_MS + 1, True, True),
            ('silent', links.SILENCE_MS + 1, False, False),
        )
        for name, wait, heard, kept in table:
            with self.subTest(name):
                first = self.send()
                if heard:
                    self.links.note_heard(self.address)
                self.clock.advance(wait)
                self.assertEqual(kept, self.send() is first)
                self.links.note_heard(self.address)

    def test_closed_connection_is_told_and_known(self) -> None:
        """A host dies and its connections are closed by the system.

        Whoever asked it something would wait for the whole timeout.
        """
        self.send()
        self.assertFalse(self.links.is_lost(self.address))
        self.socket.close()
        self.assertTrue(self.lost.acquire(timeout=RECEIVE_TIMEOUT_MS / 1000))
        self.assertTrue(self.links.is_lost(self.address))

    def test_connection_closed_from_here_is_not_lost(self) -> None:
        """A socket is replaced though its peer lives.

        Questions that were sent by it would fail, though their replies
        still come.
        """
        self.send()
        self.links.drop(self.address)
        self.links.close()
        self.assertFalse(self.lost.acquire(blocking=False))
        self.assertFalse(self.links.is_lost(self.address))
