"""Tests of the decoding of platform data, malformed data included."""

from __future__ import annotations

import json
import unittest
from unittest import mock
import zlib

import msgspec
from tornado import httputil

from standins import kv_fleet
from tests import builders
from tests.application.routing import builders as routing_builders
from tests.domain.fleet import builders as fleet_builders
from thornspool.application.routing import exchanges
from thornspool.application.routing import ports
from thornspool.domain.entries import messages as entries
from thornspool.domain.fleet import named_limits
from thornspool.domain.limits import messages as limits
from thornspool.domain.paths import search
from thornspool.domain.retries import histories
from thornspool.domain.routing import messages as routing
from thornspool.platform import callers
from thornspool.platform import documents
from thornspool.platform import engines
from thornspool.platform import exceptions
from thornspool.platform import follower
from thornspool.platform import peer_calls
from thornspool.platform import peers
from thornspool.platform import registry
from thornspool.platform import settings
from thornspool.platform import store

SERVER_ENTRY = {
    'service': 'drafting',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'sequence': 9,
    'born': 17,
    'kind': 'small',
    'layers': {'from': 2, 'to': 7, 'version': 1},
}

SETTINGS_FILE = {
    'node': 'edge-a-1',
    'ip': '10.0.0.2',
    'zone': 'a',
    'region': 'r',
    'listen': {
        'front': '10.0.0.2:1',
        'ready': '10.0.0.2:2',
        'directory': '10.0.0.2:3',
        'control': '10.0.0.2:4',
    },
    'port_range': [7340, 7355],
    'platform': {'address': '10.9.9.9:5', 'form': 'kv'},
    'bounds': {'revoke_ms': 4000, 'grace_s': 6.5},
    'unknown': {'field': 1},
}


class SettingsTest(unittest.TestCase):
    def test_decodes_settings_and_ignores_unknown_fields(self):
        read = settings.decode_settings(
            json.dumps(SETTINGS_FILE).encode(), 'file'
        )
        self.assertEqual('10.9.9.9:5', read.store)
        self.assertEqual(4000, read.bounds.withdrawn_key_ms)
        self.assertEqual(6500, read.bounds.grace_ms)
        self.assertEqual((7340, 7355), (read.peer_port, read.metrics_port))

    def test_errors_name_the_file_and_the_field(self):
        table = (
            ({**SETTINGS_FILE, 'platform': {}}, 'platform'),
            ({**SETTINGS_FILE, 'port_range': 7}, 'port_range'),
            ({**SETTINGS_FILE, 'listen': {'front': 1}}, 'listen'),
        )
        for document, field in table:
            with (
                self.subTest(field),
                self.assertRaises(exceptions.SettingsFileError) as caught,
            ):
                settings.decode_settings(json.dumps(document).encode(), 'f')
            self.assertIn(field, str(caught.exception))
            self.assertIn('f:', str(caught.exception))


class ServerEntryTest(unittest.TestCase):
    """Guards against malformed entries in the server list.

    Another program writes such an entry. If it were accepted, requests would
    go to whatever it names; an uncaught exception would stop all updates of
    the list.
    """

    def decode(self, **changes):
        document = {**SERVER_ENTRY, **changes}
        return documents.decode_server(
            'servers/i-1', json.dumps(document).encode()
        )

    def test_decodes_a_valid_entry(self):
        read = self.decode()
        self.assertEqual('i-1', read.id)
        self.assertEqual((2, 7), (read.layers.first, read.layers.end))
        self.assertFalse(read.draining)
        self.assertTrue(self.decode(state='draining').draining)
        self.assertIsNone(self.decode(layers=None).layers)

    def test_malformed_entries_are_skipped(self):
        table = (
            {'state': 'resting'},
            {'state': None},
            {'address': 5},
            {'service': ['drafting']},
            {'born': 'yesterday'},
            {'born': 1.5},
            {'slots': 'many'},
            {'layers': 'all'},
            *({'address': address} for address in builders.ODD_ADDRESSES),
        )
        for changes in table:
            with self.subTest(changes):
                self.assertIsNone(self.decode(**changes))
        for address in (
            '10.0.0.1:1',
            '10.0.0.1:65535',
            '[fd00::1]:80',
            'h-1:80',
        ):
            with self.subTest(address):
                self.assertEqual(address, self.decode(address=address).address)
        for raw in (
            b'null',
            b'\xff\xfe',
            *builders.UNREADABLE_DOCUMENTS.values(),
        ):
            with self.subTest(raw[:20]):
                self.assertIsNone(documents.decode_server('servers/i', raw))
        missing = {k: v for k, v in SERVER_ENTRY.items() if k != 'address'}
        raw = json.dumps(missing).encode()
        self.assertIsNone(documents.decode_server('servers/i', raw))


class ConfigurationTest(unittest.TestCase):
    def decode(self, **changes):
        document = {**kv_fleet.build_configuration(7), **changes}
        return documents.decode_configuration(json.dumps(document).encode())

    def test_decodes_a_valid_configuration(self):
        read = self.decode()
        self.assertEqual(7, read.version)
        route = read.find_route(kv_fleet.HOST, '/hold/a/b')
        self.assertIs(routing.Kind.NON_IDEMPOTENT, route.kind)
        self.assertFalse(route.retryable)
        self.assertTrue(read.find_route(kv_fleet.HOST, '/brief/').retryable)
        self.assertIsNone(read.find_route(kv_fleet.HOST, '/brie'))
        self.assertEqual('north', read.workspaces[kv_fleet.KEY].name)
        self.assertEqual(
            kv_fleet.LAYERS, read.services['drafting'].model.layers
        )
        self.assertIsNone(read.services['ledger'].model)

    def test_the_longest_matching_prefix_is_chosen(self):
        base = kv_fleet.build_configuration(1)['routes'][0]
        routes = [
            {**base, 'name': name, 'prefix': prefix}
            for name, prefix in (('x', '/a/'), ('y', '/a/b/'), ('z', '/'))
        ]
        read = self.decode(routes=routes)
        for path, name in (
            ('/a/b/c', 'y'),
            ('/a/c', 'x'),
            ('/a/b', 'x'),
            ('/q', 'z'),
        ):
            with self.subTest(path):
                found = read.find_route(kv_fleet.HOST, path)
                self.assertEqual(name, found.name)

    def test_services_are_chosen_by_weight(self):
        split = [
            {'service': 'one', 'weight': 90},
            {'service': 'two', 'weight': 10},
        ]
        base = kv_fleet.build_configuration(1)['routes'][0]
        read = self.decode(routes=[{**base, 'traffic_split': split}])
        route = read.find_route(kv_fleet.HOST, '/brief/')
        self.assertEqual('one', routing.choose_service(route, 0.89))
        self.assertEqual('two', routing.choose_service(route, 0.91))

    def test_a_malformed_configuration_is_rejected(self):
        for changes in ({'version': 'new'}, {'routes': [{'name': 1}]}):
            with (
                self.subTest(changes),
                self.assertRaises(exceptions.DecodeError),
            ):
                self.decode(**changes)
        base = kv_fleet.build_configuration(1)['routes'][0]
        with self.assertRaises(exceptions.DecodeError):
            self.decode(routes=[{**base, 'kind': 'magic'}])
        for name, raw in builders.UNREADABLE_DOCUMENTS.items():
            with (
                self.subTest(name),
                self.assertRaises(exceptions.DecodeError),
            ):
                documents.decode_configuration(raw)


class RequestTest(unittest.TestCase):
    def decode(self, **headers):
        listed = httputil.HTTPHeaders()
        for name, value in headers.items():
            listed.add(name.replace('_', '-'), value)
        line = httputil.RequestStartLine('POST', '/x/y?z=1', 'HTTP/1.1')
        return callers.decode_request(line, listed, b'body', 5)

    def test_decodes_the_headers_of_callers(self):
        read = self.decode(
            Host='Desk.Example:80',
            Attempt_Id='abc',
            Authorization='Bearer k',
            Deadline_Ms='2500',
            Token_Usage='1460,80',
            Length_Hint='200',
        )
        self.assertEqual('desk.example', read.host)
        self.assertEqual(('/x/y?z=1', '/x/y'), (read.target, read.path))
        self.assertEqual(('k', 2500), (read.key, read.timeout_ms))
        self.assertEqual(
            (1460.0, 80.0), (read.prompt_tokens, read.output_tokens)
        )

    def test_decodes_the_shared_parts_of_a_prompt(self):
        table = (
            ('5c1e07a2:800,91BD3F06:410,e4402b7d:250', '5c1e07a2 91bd3f06'),
            ('a:1 , b:2,, a:3, own:4', 'a b'),
            ('own:4', ''),
            ('', ''),
        )
        for text, expected in table:
            with self.subTest(text):
                read = self.decode(Host='h', Prompt_Prefix=text)
                self.assertEqual(tuple(expected.split()), read.prompt_parts)
                self.assertIn(('Prompt-Prefix', text), read.headers)

    def test_names_only_the_parts_that_are_used(self):
        """Guards against heads whose parts fill the memory."""
        text = ','.join(f'{number:x}:1' for number in range(2_300))
        parts = self.decode(Host='h', Prompt_Prefix=text).prompt_parts
        self.assertEqual(exchanges.MAX_PARTS, len(parts))
        self.assertEqual(('0', '1f'), (parts[0], parts[-1]))

    def test_malformed_headers_are_treated_as_missing(self):
        read = self.decode(
            Host='h', Deadline_Ms='soon', Token_Usage='x', Length_Hint='-'
        )
        self.assertEqual(callers.DEFAULT_TIMEOUT_MS, read.timeout_ms)
        self.assertEqual(0.0, read.prompt_tokens)

    def test_numbers_that_are_not_finite_count_as_missing(self):
        """Guards against callers without a response, and endless demand.

        An infinite deadline raised an error while the request was decoded,
        and infinite tokens make sums of demand undefined.
        """
        for text in ('inf', '-inf', 'nan', '1e400'):
            with self.subTest(text):
                read = self.decode(
                    **{
                        'Deadline-Ms': text,
                        'Token-Usage': f'{text},{text}',
                        'Length-Hint': text,
                    }
                )
                self.assertEqual(callers.DEFAULT_TIMEOUT_MS, read.timeout_ms)
                self.assertEqual(0.0, read.prompt_tokens)
                self.assertEqual(0.0, read.output_tokens)

    def test_headers_that_the_router_sets_are_not_forwarded(self):
        """Guards against callers that set the router's own headers.

        Servers act on these headers, for example on the workspace's name.
        """
        read = self.decode(
            Host='h',
            Authorization='Bearer k',
            Tenant='other',
            Hop_Count='1.2.3.4:5=0-80',
            Request_Priority='0',
            Expect_Instance='i-1',
            Connection='close, X-Once',
            X_Once='1',
            X_Kept='2',
        )
        self.assertEqual((('X-Kept', '2'),), read.headers)


class ServerHeadersTest(unittest.TestCase):
    def test_headers_of_a_request_to_a_server(self):
        hop = search.Hop(
            fleet_builders.build_engine('a-1', 'small', 0, 8), 0, 8
        )
        run = ports.Run(
            routing_builders.build_request(headers=(('X-Kept', '2'),)),
            hop.server,
            (hop,),
            1_000,
            'north',
            '12',
            3,
        )
        headers = dict(engines._build_headers(run))
        self.assertEqual('north', headers['Tenant'])
        self.assertEqual('12', headers['Last-Event-Id'])
        self.assertEqual(f'{hop.server.address}=0-8', headers['Hop-Count'])
        self.assertEqual('a-1', headers['Expect-Instance'])
        self.assertLess(int(headers['Deadline-Ms']), 1_000)
        self.assertNotIn('Authorization', headers)

    def test_heads_show_execution_and_authenticity(self):
        signature = ('Response-Seal', 's')
        request_id = ('Attempt-Id', 'r')
        table = (
            # status, headers, ran, genuine
            (200, (signature, request_id), True, True),
            (200, (signature, ('Attempt-Id', 'other')), True, False),
            (200, (request_id,), True, False),
            (200, (signature, ('Content-Encoding', 'gzip')), True, False),
            (503, (('Not-Executed', '1'),), False, False),
            (421, (('Instance-Id', 'x'),), False, False),
            (500, (signature, request_id), True, True),
        )
        for status, headers, ran, genuine in table:
            with self.subTest(status=status, headers=headers):
                head = engines.decode_head('r', status, headers)
                self.assertEqual(
                    (ran, genuine), (head.executed, head.is_authentic)
                )

    def test_decodes_the_load_header(self):
        self.assertEqual(ports.Load(3, 0, 8), engines._decode_load('3,0,8'))
        for text in (None, '', '1,2', 'a,b,c'):
            self.assertIsNone(engines._decode_load(text))

    def test_decodes_limits_and_ignores_malformed_ones(self):
        table = (
            ('2', 2.0),
            ('0.25', 0.25),
            ('0', 0.0),
            ('', None),
            ('-1', None),
            ('nan', None),
            ('inf', None),
            ('two', None),
        )
        for text, limit_per_s in table:
            with self.subTest(text=text):
                notice = engines._decode_notice(
                    200, (('Server-Limit', text),), True
                )
                self.assertEqual(limit_per_s, notice.limit_per_s)
        self.assertIsNone(engines._decode_notice(200, (), True).limit_per_s)

    def test_decodes_departures(self):
        for text, is_leaving in (('1', True), (' 1', True), ('0', False)):
            with self.subTest(text=text):
                notice = engines._decode_notice(
                    200, (('Server-Leaving', text),), True
                )
                self.assertEqual(is_leaving, notice.is_leaving)
        self.assertFalse(engines._decode_notice(200, (), True).is_leaving)

    def test_decodes_rests_of_refusals_only(self):
        table = (
            (503, '3', 3_000),
            (503, '0.25', 250),
            (503, 'soon', 0),
            (503, '-1', 0),
            (429, '3', 0),
            (200, '3', 0),
        )
        for status, text, rest_ms in table:
            with self.subTest(status=status, text=text):
                notice = engines._decode_notice(
                    status, (('Retry-After', text),), False
                )
                self.assertEqual(rest_ms, notice.rest_ms)


class DatagramTest(unittest.TestCase):
    def test_state_updates_survive_encoding(self):
        state_update = entries.StateUpdate(
            'h',
            'h-1',
            entries.State.SERVING,
            5,
            4,
            9,
            12,
            {77: 8_000.0},
            ('a-2',),
            entries.Scope.DOMAIN,
            ('h-2',),
            {78: 12.5},
            (79,),
            {80: 12.0},
            limits={
                81: named_limits.ReportedLimit(2.5, 40),
                82: named_limits.ReportedLimit(None, 900),
            },
            departures=(83, 84),
            configuration_version=7,
            retries={
                85: {86: histories.Report(7, 5, ((0, 2), (4_010, 3)))},
                87: {86: histories.Report(1, 1, ((9_990, 1),))},
            },
            retries_known_ms=10_000,
            knows_retries=True,
        )
        self.assertEqual(
            state_update,
            peers.decode_datagram(peers.encode_state_update(state_update)),
        )

    def test_failure_notices_survive_encoding(self):
        notice = entries.FailureNotice('h', 'h-1', ('a-2', 'a-3'), ('a-4',))
        self.assertEqual(
            notice, peers.decode_datagram(peers.encode_failure_notice(notice))
        )

    def test_limit_messages_survive_encoding(self):
        report = limits.PeerReport(
            'h',
            'h-1',
            limits.DemandReport(7, (('a-1', 1, 2, 3, 4, 5, 6),)),
            {'a-1': (2_500, 40)},
        )
        reply = limits.PeerReply(
            'h', 'h-1', limits.GrantReply(7, 2_000, (('a-1', 1, 2, 3),))
        )
        for message in (report, reply):
            self.assertEqual(
                message,
                peers.decode_datagram(peers.encode_limit_message(message)),
            )

    def test_change_sets_survive_encoding(self):
        change_set = follower.ChangeSet(
            4,
            9,
            (store.Item('k/1', 8, b'\xff'), store.Item('k/2', 9, None)),
        )
        self.assertEqual(
            change_set,
            peers.decode_datagram(peers.encode_change_set(change_set)),
        )

    def test_malformed_datagrams_are_ignored(self):
        table = (b'', b'\x00', b'\xff' * 9, b'\x93\x01\x02\x03')
        deep = b'\x91' * 50_000
        items = zlib.compress(b'\x91' * 9_000 + b'\x90')
        for raw in (
            *table,
            deep,
            b'\x92\x00' + deep,
            msgspec.msgpack.encode([1, 1, 2, items, False]),
            b'\x94\x01\x01\x02\xc4\x01x',
        ):
            with self.subTest(raw[:20]):
                self.assertIsNone(peers.decode_datagram(raw))

    def test_change_sets_are_decompressed_within_a_limit(self):
        """Guards against a datagram that fills the memory."""
        largest = msgspec.msgpack.encode(
            [('k', 2, b'x' * (peers.MAX_CHANGED_BYTES - 10))]
        )
        self.assertEqual(peers.MAX_CHANGED_BYTES, len(largest))
        for packed, is_read in ((largest, True), (largest + b'x' * 9, False)):
            items = zlib.compress(packed)
            raw = msgspec.msgpack.encode([1, 1, 2, items, False])
            self.assertLess(len(raw), peers.MAX_DATAGRAM_BYTES)
            with self.subTest(is_read):
                self.assertIs(is_read, peers.decode_datagram(raw) is not None)

    def test_malformed_bodies_of_calls_are_ignored(self):
        """Guards against a peer's bytes that end the handling of calls."""
        calls = peer_calls.PeerCalls('h-1', mock.Mock(), mock.Mock())
        for kind in (0, *peer_calls.KINDS):
            for body in (b'', b'\xff', b'\x91' * 50_000):
                with self.subTest(kind, body=body[:9]):
                    calls.receive(
                        peer_calls.Call(kind, 'h-2', 0, False, body), 'h:1'
                    )


class RegistryKeysTest(unittest.TestCase):
    def test_malformed_values_are_ignored(self):
        for raw in (
            b'{}',
            b'{"host":1}',
            *builders.UNREADABLE_DOCUMENTS.values(),
        ):
            with self.subTest(raw[:20]):
                self.assertIsNone(registry.decode_record('k', raw))
                self.assertIsNone(registry.decode_leader(raw, 3))
