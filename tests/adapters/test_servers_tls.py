"""Listeners with TLS, and the tool that talks to them."""

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
from thornspool.adapters import servers
from thornspool.console import application
from thornspool.console import base
from tools import processes


class _Handler(web.RequestHandler):
    def initialize(self, seen: list[str]) -> None:
        self.seen = seen

    def get(self) -> None:
        self.seen.append(self.request.path)
        self.write({'version': 7, 'history': []})


class _Case(unittest.IsolatedAsyncioTestCase):
    made: certificates.Certificates

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.made = certificates.Certificates(pathlib.Path(folder.name))


class TlsTest(_Case):
    async def _start(self, tls: settings.Tls | None) -> str:
        listener = servers.Listener('127.0.0.1:0', tls)
        self.seen: list[str] = []
        routes = [('/.*', _Handler, {'seen': self.seen})]
        listener.start(web.Application(routes))
        self.addAsyncCleanup(listener.stop)
        return listener.read_url()

    async def _ask(self, url: str, *options: str) -> tuple[int, str, str]:
        """Run the tool beside the loop that the listener runs on."""
        out, err = io.StringIO(), io.StringIO()
        token = self.made.folder / 'token'
        token.write_text('secret')
        arguments = ['history', '--url', url, '--token-file', str(token)]
        code = await asyncio.to_thread(
            application.main,
            [*arguments, '--timeout', '5', *options],
            base.Console(out, err),
        )
        return code, out.getvalue(), err.getvalue()

    async def test_the_tool_is_answered_over_https(self) -> None:
        made = self.made
        own = ('--client-certificate', made.client.certificate)
        own += ('--client-key', made.client.key)
        for asks, options in ((False, ()), (True, own)):
            with self.subTest(asks_for_client=asks):
                url = await self._start(made.build_tls(asks))
                self.assertTrue(url.startswith('https://127.0.0.1:'))
                code, out, err = await self._ask(
                    url, '--ca-file', made.authority.certificate, *options
                )
                self.assertEqual((0, ''), (code, err))
                self.assertIn('Version 7', out)
                self.assertEqual(['/v1/configuration'], self.seen)

    async def test_who_cannot_be_trusted_is_refused(self) -> None:
        """Somebody reaches the port without what TLS asks for.

        The handler must never see the request, and who asked by mistake
        must read which option is missing.
        """
        made = self.made
        trusted = ('--ca-file', made.authority.certificate)
        foreign = ('--client-certificate', made.stranger.certificate)
        foreign += ('--client-key', made.stranger.key)
        cases: dict[str, tuple[bool, str, tuple[str, ...], str]] = {
            'plain HTTP': (False, 'http', (), 'Write https://'),
            'unknown authority': (False, 'https', (), '--ca-file'),
            'another authority': (
                False,
                'https',
                ('--ca-file', made.other_authority.certificate),
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
        for name, (asks, scheme, options, told) in cases.items():
            with self.subTest(name):
                url = await self._start(made.build_tls(asks))
                _, _, address = url.partition('://')
                code, out, err = await self._ask(
                    f'{scheme}://{address}', *options
                )
                self.assertEqual((4, '', []), (code, out, self.seen))
                self.assertIn(told, err)

    async def test_files_of_the_tool_that_cannot_be_read(self) -> None:
        code, _, err = await self._ask('https://127.0.0.1:1', '--ca-file', 'x')
        self.assertEqual(2, code)
        self.assertIn('--ca-file', err)


class BadFilesTest(_Case):
    def _list_cases(self) -> dict[str, tuple[str, settings.Tls]]:
        made, folder = self.made, self.made.folder
        good = made.build_tls(asks_for_client=True)
        no_pem = folder / 'notes.txt'
        no_pem.write_text('not a certificate')
        locked = certificates.make_pair(
            folder, 'locked', made.authority, 'password'
        )
        nothing = str(folder / 'nothing.pem')

        def change(**members: str) -> settings.Tls:
            return attrs.evolve(good, **members)

        return {
            'no certificate': ('certificate', change(certificate=nothing)),
            'no PEM': ('certificate', change(certificate=str(no_pem))),
            'key as certificate': (
                'certificate',
                change(certificate=made.server.key),
            ),
            'no key': ('key', change(key=nothing)),
            'key no PEM': ('key', change(key=str(no_pem))),
            'key of another': ('key', change(key=made.client.key)),
            'key with password': (
                'key',
                settings.Tls(locked.certificate, locked.key),
            ),
            'no authority': (
                'client_authority',
                change(client_authority=nothing),
            ),
            'authority no PEM': (
                'client_authority',
                change(client_authority=str(no_pem)),
            ),
        }

    def test_the_member_with_the_bad_file_is_named(self) -> None:
        """A file is missing, damaged, or of another certificate.

        OpenSSL only says "PEM lib"; the operator needs the member.
        """
        for name, (member, tls) in self._list_cases().items():
            with self.subTest(name):
                with self.assertRaises(servers.ListenError) as caught:
                    servers.Listener('127.0.0.1:0', tls, name='operators')
                self.assertIn(
                    f'"operators.tls.{member}"', str(caught.exception)
                )

    async def test_an_address_that_is_taken_is_named(self) -> None:
        """The entry before has not ended yet, or another program listens."""
        first = servers.Listener('127.0.0.1:0', None)
        first.start(web.Application([]))
        self.addAsyncCleanup(first.stop)
        address = first.read_url().removeprefix('http://')
        with self.assertRaisesRegex(servers.ListenError, 'callers.listen'):
            servers.Listener(address, None)

    def test_the_daemon_ends_and_names_the_member(self) -> None:
        """A certificate was renewed and the key was left as it was."""
        made = self.made
        operators: dict[str, typing.Any] = builders.build_settings()[
            'operators'
        ]
        operators['tls'] = {
            'certificate': made.server.certificate,
            'key': made.client.key,
        }
        with processes.open_processes() as scope:
            with self.assertRaises(processes.StartError) as caught:
                scope.start_entry('perth-1', operators=operators)
            self.assertIn('"operators.tls.key"', str(caught.exception))
            operators['tls']['key'] = made.server.key
            good = scope.start_entry('perth-1', operators=operators)
            self.assertTrue(good.ready['operators'].startswith('https://'))
