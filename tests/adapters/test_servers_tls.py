"""Tests of listeners with TLS and of the command-line tool as a client."""

from __future__ import annotations

import asyncio
import io
import pathlib
import tempfile
import typing
import unittest

import attrs
from tornado import web

from tests import builders
from tests.adapters import certificates
from thornspool import settings
from thornspool.adapters import connections
from thornspool.adapters import servers
from thornspool.console import application
from thornspool.console import base
from thornspool.domain.clients import limits
from tools import processes


class _Handler(web.RequestHandler):
    def initialize(self, seen: list[str]) -> None:
        self.seen = seen

    def get(self) -> None:
        self.seen.append(self.request.path)
        self.write({'version': 7, 'history': []})


class _Case(unittest.IsolatedAsyncioTestCase):
    pki: certificates.Certificates

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.pki = certificates.Certificates(pathlib.Path(folder.name))


class TlsTest(_Case):
    async def _start(self, tls: settings.Tls | None) -> str:
        listener = servers.Listener('127.0.0.1:0', tls)
        self.seen: list[str] = []
        routes = [('/.*', _Handler, {'seen': self.seen})]
        listener.start(web.Application(routes))
        self.addAsyncCleanup(listener.stop)
        return listener.read_url()

    async def _run_tool(self, url: str, *options: str) -> tuple[int, str, str]:
        """Run the tool in a thread while the loop serves the listener."""
        out, err = io.StringIO(), io.StringIO()
        token = self.pki.folder / 'token'
        token.write_text('secret')
        arguments = ['history', '--url', url, '--token-file', str(token)]
        code = await asyncio.to_thread(
            application.main,
            [*arguments, '--timeout', '5', *options],
            base.Console(out, err),
        )
        return code, out.getvalue(), err.getvalue()

    async def test_tool_connects_over_https(self) -> None:
        pki = self.pki
        client_options = ('--client-certificate', pki.client.certificate)
        client_options += ('--client-key', pki.client.key)
        for requires_client, options in ((False, ()), (True, client_options)):
            with self.subTest(requires_client_certificate=requires_client):
                url = await self._start(pki.build_tls(requires_client))
                self.assertTrue(url.startswith('https://127.0.0.1:'))
                code, out, err = await self._run_tool(
                    url, '--ca-file', pki.authority.certificate, *options
                )
                self.assertEqual((0, ''), (code, err))
                self.assertIn('Version 7', out)
                self.assertEqual(['/v1/configuration'], self.seen)

    async def test_silent_clients_make_room_for_the_tool(self) -> None:
        """Guards against silent clients that keep operators out."""
        manager = connections.ConnectionManager(
            builders.FakeClock(), limits.HostCapacity(4_000_000, 16)
        )
        listener = servers.Listener(
            '127.0.0.1:0',
            self.pki.build_tls(False),
            name='operators',
            manager=manager,
            share=1.0,
        )
        self.seen = []
        routes = [('/.*', _Handler, {'seen': self.seen})]
        listener.start(web.Application(routes))
        self.addAsyncCleanup(listener.stop)
        port = int(listener.read_url().rpartition(':')[2])
        for data in (b'', b'\x16', b'GET / HTTP/1.1\r\n\r\n') * 10:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            self.addCleanup(writer.close)
            writer.write(data)
        code, _, err = await self._run_tool(
            listener.read_url(), '--ca-file', self.pki.authority.certificate
        )
        self.assertEqual((0, ''), (code, err))
        self.assertGreater(manager.refusals['operators', 'evicted'], 0)

    async def test_untrusted_client_is_rejected(self) -> None:
        """Guards against requests without valid TLS credentials.

        The handler must not receive the request, and the error must name the
        missing option.
        """
        pki = self.pki
        trusted = ('--ca-file', pki.authority.certificate)
        foreign = ('--client-certificate', pki.foreign.certificate)
        foreign += ('--client-key', pki.foreign.key)
        cases: dict[str, tuple[bool, str, tuple[str, ...], str]] = {
            'plain HTTP': (False, 'http', (), 'Write https://'),
            'unknown authority': (False, 'https', (), '--ca-file'),
            'another authority': (
                False,
                'https',
                ('--ca-file', pki.other_authority.certificate),
                '--ca-file',
            ),
            'no certificate': (True, 'https', trusted, '--client-certificate'),
            'foreign certificate': (
                True,
                'https',
                (*trusted, *foreign),
                '--client-certificate',
            ),
        }
        for name, (
            requires_client,
            scheme,
            options,
            expected,
        ) in cases.items():
            with self.subTest(name):
                url = await self._start(pki.build_tls(requires_client))
                _, _, address = url.partition('://')
                code, out, err = await self._run_tool(
                    f'{scheme}://{address}', *options
                )
                self.assertEqual((4, '', []), (code, out, self.seen))
                self.assertIn(expected, err)

    async def test_unreadable_file_of_the_tool_is_named(self) -> None:
        code, _, err = await self._run_tool(
            'https://127.0.0.1:1', '--ca-file', 'x'
        )
        self.assertEqual(2, code)
        self.assertIn('--ca-file', err)


class InvalidFilesTest(_Case):
    def _list_cases(self) -> dict[str, tuple[str, settings.Tls]]:
        pki, folder = self.pki, self.pki.folder
        valid = pki.build_tls(requires_client_certificate=True)
        no_pem = folder / 'notes.txt'
        no_pem.write_text('not a certificate')
        locked = certificates.make_pair(
            folder, 'locked', pki.authority, 'password'
        )
        missing = str(folder / 'nothing.pem')

        def change(**members: str) -> settings.Tls:
            return attrs.evolve(valid, **members)

        return {
            'no certificate': ('certificate', change(certificate=missing)),
            'no PEM': ('certificate', change(certificate=str(no_pem))),
            'key as certificate': (
                'certificate',
                change(certificate=pki.server.key),
            ),
            'no key': ('key', change(key=missing)),
            'key no PEM': ('key', change(key=str(no_pem))),
            'key of another': ('key', change(key=pki.client.key)),
            'key with password': (
                'key',
                settings.Tls(locked.certificate, locked.key),
            ),
            'no authority': (
                'client_authority',
                change(client_authority=missing),
            ),
            'authority no PEM': (
                'client_authority',
                change(client_authority=str(no_pem)),
            ),
        }

    def test_error_names_the_member_of_an_invalid_file(self) -> None:
        """Guards against errors that do not name the settings member.

        A file is missing, damaged or belongs to another certificate. OpenSSL
        only reports "PEM lib".
        """
        for name, (member, tls) in self._list_cases().items():
            with self.subTest(name):
                with self.assertRaises(servers.ListenError) as caught:
                    servers.Listener('127.0.0.1:0', tls, name='operators')
                self.assertIn(
                    f'"operators.tls.{member}"', str(caught.exception)
                )

    async def test_error_names_the_member_of_a_used_address(self) -> None:
        """Guards against an error that does not name the settings member.

        A previous entry still runs, or another program uses the address.
        """
        first = servers.Listener('127.0.0.1:0', None)
        first.start(web.Application([]))
        self.addAsyncCleanup(first.stop)
        address = first.read_url().removeprefix('http://')
        with self.assertRaisesRegex(servers.ListenError, 'callers.listen'):
            servers.Listener(address, None)

    def test_daemon_exits_and_names_the_member(self) -> None:
        """Guards against a daemon with a key of another certificate.

        The certificate was renewed, but not its key.
        """
        pki = self.pki
        operators: dict[str, typing.Any] = builders.build_settings()[
            'operators'
        ]
        operators['tls'] = {
            'certificate': pki.server.certificate,
            'key': pki.client.key,
        }
        with processes.open_processes() as scope:
            with self.assertRaises(processes.StartError) as caught:
                scope.start_entry('perth-1', operators=operators)
            self.assertIn('"operators.tls.key"', str(caught.exception))
            operators['tls']['key'] = pki.server.key
            entry = scope.start_entry('perth-1', operators=operators)
            self.assertTrue(entry.ready['operators'].startswith('https://'))
