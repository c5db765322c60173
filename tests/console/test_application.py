"""Tests of the command-line tool against the operator interface."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile

from tornado import web

from tests import builders as test_builders
from tests.adapters.operators import builders
from thornspool import schemas
from thornspool.console import application
from thornspool.console import base
from thornspool.domain.objectives import burn

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


class _EntriesHandler(web.RequestHandler):
    def get(self) -> None:
        self.write({'entries': [{'url': 'http://127.0.0.1:1'}]})


class _ToolCase(builders.OperatorsCase):
    """Test case with an entry and a temporary directory for files."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.token_file = self._write('token', builders.SECRET)

    def make_routes(self) -> list[object]:
        return [('/v1/entries', _EntriesHandler), *super().make_routes()]

    def _write(self, name: str, text: str) -> str:
        path = self.directory / name
        path.write_text(text)
        return str(path)

    async def _run(
        self, *arguments: str, as_json: bool = False
    ) -> tuple[int, str, str]:
        """Run the tool in a thread, since the entry uses the event loop."""
        out, err = io.StringIO(), io.StringIO()
        console = base.Console(out, err, as_json)
        code = await asyncio.to_thread(application.main, arguments, console)
        return code, out.getvalue(), err.getvalue()

    async def _run_at_entry(self, *arguments: str) -> tuple[int, str, str]:
        options = ('--url', self.url, '--token-file', self.token_file)
        return await self._run(*arguments, *options)


class ToolTest(_ToolCase):
    async def test_publishes_the_examples_and_shows_them(self) -> None:
        for name in ('swan-coast', 'spjaldamarkadur'):
            with self.subTest(name):
                path = str(EXAMPLES / name / 'services')
                code, _, err = await self._run('check', path)
                self.assertEqual((0, ''), (code, err))
        code, out, err = await self._run_at_entry(
            'publish', path, '--message', 'New shops'
        )
        self.assertEqual((0, ''), (code, err))
        self.assertIn('Version 1 is in force at 1 entries.', out)
        for command, expected in {
            ('history',): 'and 48 more  New shops',
            ('status',): 'perth-a  alive',
            ('check', path): 'are valid on version 1',
            ('action', 'alpha', 'known'): 'Slot 4',
            ('action', 'alpha', 'bytes'): '//4=',
            ('drain',): 'accepts no new requests',
        }.items():
            with self.subTest(command):
                code, out, err = await self._run_at_entry(*command)
                self.assertEqual((0, ''), (code, err))
                self.assertIn(expected, out)
        self.assertEqual(1, self.drained)

    async def test_entries_uses_the_caller_interface(self) -> None:
        code, out, _ = await self._run('entries', '--callers-url', self.url)
        self.assertEqual((0, 'URL\nhttp://127.0.0.1:1\n'), (code, out))

    async def test_reports_every_problem_with_its_file(self) -> None:
        """Guards against problems of a file that are reported one by one.

        The file refers to three models that do not exist.
        """
        path = self._write(
            'a.json',
            json.dumps(
                [
                    {
                        'kind': 'workspace',
                        'name': 'beta',
                        'models': ['x', 'y'],
                    },
                    {'kind': 'workspace', 'name': 'alpha', 'models': ['x']},
                ]
            ),
        )
        for run in (self._run, self._run_at_entry):
            code, out, err = await run('check', path)
            self.assertEqual((1, ''), (code, out))
            for json_path in (
                '$[0].models[0]',
                '$[0].models[1]',
                '$[1].models[0]',
            ):
                self.assertIn(f'{path}: {json_path}: unknown-model: Name', err)
        code, _, publish_err = await self._run_at_entry('publish', path)
        self.assertEqual((1, err), (code, publish_err))

    async def test_exit_code_shows_the_kind_of_failure(self) -> None:
        """Guards scripts that evaluate only the exit code."""
        await self.publish(
            documents=[{**builders.ALPHA, 'limits': {'concurrency': 1}}]
        )
        valid = self._write('good.json', json.dumps(builders.ALPHA))
        closed_port = ('--url', 'http://127.0.0.1:1', '--token-file')
        at_entry = ('--url', self.url, '--token-file')
        cases = (
            (('publish', valid, '--base', '0', *at_entry, self.token_file), 3),
            (('publish', valid, *closed_port, self.token_file), 4),
            (('publish', valid, *at_entry, valid), 2),
            (('publish', *at_entry, self.token_file), 2),
            (('publish', '--remove', 'x', *at_entry, self.token_file), 2),
            (('check', str(self.directory / 'nothing')), 2),
            (('action', 'alpha', 'other', *at_entry, self.token_file), 1),
            (('action', 'alpha', 'down', *at_entry, self.token_file), 4),
            (('status', *at_entry, str(self.directory / 'nothing')), 2),
        )
        for arguments, expected in cases:
            with self.subTest(arguments):
                code, out, err = await self._run(*arguments)
                self.assertEqual((expected, ''), (code, out))
                self.assertTrue(err.startswith('thornspool: '))

    async def test_action_without_recorded_outcome_is_a_problem(self) -> None:
        """Guards against an unknown outcome that looks like a success.

        A script looks up an action that is still running or whose key is
        malformed. With exit code 0 it would continue as after a success.
        """
        for key, detail in (('open', 'Still running.'), ('malformed', 'UUID')):
            with self.subTest(key):
                code, out, _ = await self._run_at_entry('action', 'alpha', key)
                self.assertEqual(1, code)
                self.assertIn(detail, out)

    async def test_unknown_outcome_shows_the_id_for_a_retry(self) -> None:
        """Guards against a retry of publish that is not recognized as one.

        The entry can't reach the platform, so the outcome is unknown.
        """
        self.entry.faults.platform_up = False
        valid = self._write('good.json', json.dumps(builders.ALPHA))
        code, _, err = await self._run_at_entry(
            'publish', valid, '--id', 'mine', '--timeout', '0.5'
        )
        self.assertEqual(4, code)
        self.assertIn('again with --id mine --base 0', err)

    async def test_writes_results_as_json(self) -> None:
        options = ('--url', self.url, '--token-file', self.token_file)
        code, out, _ = await self._run('status', *options, as_json=True)
        self.assertEqual((0, 0), (code, json.loads(out)['version']))
        with contextlib.redirect_stdout(io.StringIO()) as text:
            await asyncio.to_thread(
                application.main, ('history', '--json', *options)
            )
        self.assertEqual([], json.loads(text.getvalue())['history'])

    async def test_report_shows_the_most_severe_burn_rate_first(self) -> None:
        """Guards against a severe burn rate that is overlooked.

        Operators read the first line, and scripts evaluate the exit code. A
        less severe subject has a short burst with a higher burn rate.
        """
        page = self.directory / 'burn.html'
        severities = list(burn.Severity)
        cases = (
            (severities, 1, ['page', 'ticket', 'none']),
            (severities[:2], 0, ['ticket', 'none']),
            ((), 0, []),
        )
        for reported, expected, order in cases:
            with self.subTest(expected=order):
                self.burn_report = builders.build_report(*reported)
                code, out, err = await self._run_at_entry(
                    'report', 'burn', '--html', str(page)
                )
                rows = [line.split()[0] for line in out.splitlines()[2:]]
                self.assertEqual((expected, order), (code, rows))
                self.assertIn('only 2 of 3 entries responded', err)
                written = page.read_text()
                positions = [
                    written.find(f'{severity}-1</td>') for severity in order
                ]
                self.assertEqual(sorted(positions), positions)
                self.assertNotIn(-1, positions)

    async def test_report_as_json_and_with_unwritable_page_or_no_report(
        self,
    ) -> None:
        options = ('--url', self.url, '--token-file', self.token_file)
        self.burn_report = builders.build_report(burn.Severity.TICKET)
        command = ('report', 'burn', *options)
        code, out, _ = await self._run(*command, as_json=True)
        self.assertEqual(0, code)
        self.assertEqual('ticket', json.loads(out)['burns'][0]['severity'])
        code, _, err = await self._run(*command, '--html', '/nowhere/x.html')
        self.assertEqual(2, code)
        self.assertIn('--html', err)
        self.burn_report = None
        code, _, err = await self._run(*command)
        self.assertEqual(4, code)
        self.assertIn('is not a burn rate report', err)

    async def test_schema_prints_the_schemas_of_the_package(self) -> None:
        for name in ('settings', 'service-file'):
            with self.subTest(name):
                code, out, err = await self._run('schema', name)
                self.assertEqual((0, ''), (code, err))
                self.assertEqual(schemas.read_schema(name), json.loads(out))

    async def test_check_reports_every_problem_of_settings(self) -> None:
        """Guards against a restart of a host with invalid settings.

        The problems of two files must be reported together. One of them is a
        duplicate member name, of which a decoder would use the last member.
        """
        values = test_builders.build_settings()
        valid = self._write('good.json', json.dumps(values))
        invalid = self._write(
            'bad.json', json.dumps({**values, 'host': 'A B'})
        )
        text = json.dumps(values)[:-1] + ', "host": "x"}'
        duplicate = self._write('twice.json', text)
        code, out, _ = await self._run('check', '--settings', valid)
        self.assertEqual((0, '1 settings file(s) are valid.\n'), (code, out))
        arguments = [
            argument
            for path in (invalid, duplicate)
            for argument in ('--settings', path)
        ]
        code, out, err = await self._run('check', *arguments)
        self.assertEqual((1, ''), (code, out))
        self.assertIn(
            f'{invalid}: $.host: schema: Write text of the form', err
        )
        self.assertIn(f'{duplicate}: $: repeated-member: Keep one', err)
        self.assertIn('2 problem(s)', err)
        code, out, _ = await self._run('check', *arguments, as_json=True)
        found = json.loads(out)['problems']
        self.assertEqual(
            [invalid, duplicate], [problem['file'] for problem in found]
        )
        document = self._write('document.json', '{"kind": "shop"}')
        code, _, err = await self._run('check', document, *arguments)
        self.assertEqual(1, code)
        self.assertIn(f'{document}: $.kind: schema', err)
        self.assertIn('3 problem(s)', err)
        code, _, err = await self._run('check')
        self.assertEqual(2, code)
        self.assertIn('No service file was found.', err)


class IsolatedEntryTest(_ToolCase):
    starts_isolated = True

    async def test_status_of_an_isolated_entry_is_a_problem(self) -> None:
        """Guards rolling restarts against an entry that does not serve.

        The entry starts while the platform is down and stays isolated. A
        script that restarts entries in turn must not continue.
        """
        code, out, _ = await self._run_at_entry('status')
        self.assertEqual(1, code)
        self.assertIn('accepts no new requests', out)
        options = ('--url', self.url, '--token-file', self.token_file)
        code, out, _ = await self._run('status', *options, as_json=True)
        self.assertEqual(1, code)
        self.assertTrue(json.loads(out)['isolated'])
