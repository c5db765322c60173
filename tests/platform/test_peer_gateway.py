"""Tests of the HTTP between entries for requests that are passed on."""

from __future__ import annotations

import asyncio
import types
import unittest

from tornado import httputil

from tests.application.routing import builders
from thornspool.application.routing import ports
from thornspool.platform import callers
from thornspool.platform import engines
from thornspool.platform import peer_gateway


class Session:
    """Records the requests that are started."""

    def __init__(self):
        self.requests = []

    def start(self, request, *handlers):
        self.requests.append(request)
        return self

    def cancel(self):
        pass


class Listener:
    """Ignores a response."""

    def handle_body(self, chunk):
        pass


class Connection:
    """Keeps the head of a response."""

    stream = types.SimpleNamespace(closed=lambda: False)

    def set_close_callback(self, callback):
        pass

    def write_headers(self, start_line, headers, chunk=b''):
        self.start_line, self.headers = start_line, headers
        return asyncio.Future()

    def finish(self):
        pass


class PeerGatewayTest(unittest.TestCase):
    def test_headers_of_callers_do_not_replace_those_of_the_entry(self):
        """Guards against requests that peers deny for a caller's header."""
        request = builders.build_request(
            headers=(('Relay-Host', 'x'), ('relay-receiver', 'x'), ('A', 'b'))
        )
        session = Session()
        peer_gateway.PeerGateway(session).send(
            builders.build_record('a-01'),
            ports.RelayedRequest(
                request,
                1_000,
                '',
                ports.Relay('a-00', 'a-00-1', 'a-01-1', 0, False),
            ),
            Listener(),
        )
        (sent,) = session.requests
        values = [
            (name.lower(), value)
            for name, value in sent.headers
            if name.lower() in {'relay-host', 'relay-receiver', 'a'}
        ]
        self.assertEqual(
            [('a', 'b'), ('relay-host', 'a-00'), ('relay-receiver', 'a-01-1')],
            values,
        )

    def test_relay_survives_encoding(self):
        """Guards against peers that judge by an older configuration."""
        relay = ports.Relay('a-00', 'a-00-1', 'a-01-1', 2, True, 7)
        session = Session()
        peer_gateway.PeerGateway(session).send(
            builders.build_record('a-01'),
            ports.RelayedRequest(builders.build_request(), 1_000, '', relay),
            Listener(),
        )
        headers = httputil.HTTPHeaders()
        for name, value in session.requests[0].headers:
            headers.add(name, value)
        decoded = peer_gateway.decode_relayed_request(
            httputil.RequestStartLine('POST', '/brief/x', 'HTTP/1.1'),
            headers,
            b'',
            0,
        )
        self.assertEqual(relay, decoded.relay)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_refusal_of_a_relay_survives_encoding(self):
        """Guards against sends to servers that the sender does not count."""
        for sends in (None, 0, 3):
            connection = Connection()
            writer = callers.ResponseWriter(connection, 'POST')
            writer.refuse_relay(503, 'limited', 1_500, sends)
            head = engines.decode_head(
                'x', 503, tuple(connection.headers.get_all())
            )
            with self.subTest(sends):
                self.assertTrue(head.is_relay_refused)
                self.assertEqual(sends, head.relayed_sends)
                self.assertIn(('Retry-After', '1.500'), head.headers)
                self.assertNotIn('Relay-Sends', dict(head.headers))

    async def test_malformed_sends_are_ignored(self):
        """Guards against an answer that ends a request by its header."""
        for text in ('', '-1', 'x', '9' * 5_000):
            headers = (('Relay-Refused', '1'), ('Relay-Sends', text))
            head = engines.decode_head('x', 503, headers)
            self.assertIsNone(head.relayed_sends)
