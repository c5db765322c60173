"""The tool against an entry's operator address."""

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
    """The tool beside an entry, with files of its own."""

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
        """Run the tool beside the loop that the entry runs on."""
        out, err = io.StringIO(), io.StringIO()
        console = base.Console(out, err, as_json)
        code = await asyncio.to_thread(application.main, arguments, console)
        return code, out.getvalue(), err.getvalue()

    async def _run_at_entry(self, *arguments: str) -> tuple[int, str, str]:
        options = ('--url', self.url, '--token-file', self.token_file)
        return await self._run(*arguments, *options)


class ToolTest(_ToolCase):
    async def test_examples_are_published_and_shown(self) -> None:
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
        for command, shown in {
            ('history',): 'and 48 more  New shops',
            ('status',): 'perth-a  alive',
            ('check', path): 'are right on version 1',
            ('action', 'alpha', 'known'): 'Slot 4',
            ('action', 'alpha', 'bytes'): '//4=',
            ('drain',): 'takes no new work',
        }.items():
            with self.subTest(command):
                code, out, err = await self._run_at_entry(*command)
                self.assertEqual((0, ''), (code, err))
                self.assertIn(shown, out)
        self.assertEqual(1, self.drained)

    async def test_entries_reads_the_address_for_callers(self) -> None:
        code, out, _ = await self._run('entries', '--callers-url', self.url)
        self.assertEqual((0, 'URL\nhttp://127.0.0.1:1\n'), (code, out))

    async def test_every_problem_is_told_with_its_file(self) -> None:
        """A developer's file names what does not exist, and more."""
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
            for place in (
                '$[0].models[0]',
                '$[0].models[1]',
                '$[1].models[0]',
            ):
                self.assertIn(f'{path}: {place}: unknown-model: Name', err)
        code, _, again = await self._run_at_entry('publish', path)
        self.assertEqual((1, err), (code, again))

    async def test_exit_code_tells_what_went_wrong(self) -> None:
        """Scripts that publish go by the exit code alone."""
        await self.publish(
            documents=[{**builders.ALPHA, 'limits': {'concurrency': 1}}]
        )
        good = self._write('good.json', json.dumps(builders.ALPHA))
        nowhere = ('--url', 'http://127.0.0.1:1', '--token-file')
        at_entry = ('--url', self.url, '--token-file')
        cases = (
            (('publish', good, '--base', '0', *at_entry, self.token_file), 3),
            (('publish', good, *nowhere, self.token_file), 4),
            (('publish', good, *at_entry, good), 2),
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

    async def test_an_action_without_an_answer_is_a_problem(self) -> None:
        """A clerk asks whether an action ran, and that is not known.

        A script that takes "unknown" for "done" would go on as if it had.
        """
        for key, told in (('open', 'Still running.'), ('malformed', 'UUID')):
            with self.subTest(key):
                code, out, _ = await self._run_at_entry('action', 'alpha', key)
                self.assertEqual(1, code)
                self.assertIn(told, out)

    async def test_unknown_outcome_names_the_id_to_send_again(self) -> None:
        """The entry cannot reach the platform; nobody knows the outcome."""
        self.entry.faults.platform_up = False
        good = self._write('good.json', json.dumps(builders.ALPHA))
        code, _, err = await self._run_at_entry(
            'publish', good, '--id', 'mine', '--timeout', '0.5'
        )
        self.assertEqual(4, code)
        self.assertIn('again with --id mine --base 0', err)

    async def test_results_can_be_had_as_json(self) -> None:
        options = ('--url', self.url, '--token-file', self.token_file)
        code, out, _ = await self._run('status', *options, as_json=True)
        self.assertEqual((0, 0), (code, json.loads(out)['version']))
        with contextlib.redirect_stdout(io.StringIO()) as text:
            await asyncio.to_thread(
                application.main, ('history', '--json', *options)
            )
        self.assertEqual([], json.loads(text.getvalue())['history'])

    async def test_report_shows_the_worst_first_and_pages(self) -> None:
        """A service uses up its error budget within days.

        Scripts go by the exit code; operators read the first line, also
        when a short burst elsewhere has the higher rate.
        """
        page = self.directory / 'burn.html'
        severities = list(burn.Severity)
        cases = (
            (severities, 1, ['page', 'ticket', 'none']),
            (severities[:2], 0, ['ticket', 'none']),
            ((), 0, []),
        )
        for shown, expected, order in cases:
            with self.subTest(expected=order):
                self.burn_report = builders.build_report(*shown)
                code, out, err = await self._run_at_entry(
                    'report', 'burn', '--html', str(page)
                )
                rows = [line.split()[0] for line in out.splitlines()[2:]]
                self.assertEqual((expected, order), (code, rows))
                self.assertIn('only 2 of 3 entries answered', err)
                written = page.read_text()
                places = [written.find(f'{one}-1</td>') for one in order]
                self.assertEqual(sorted(places), places)
                self.assertNotIn(-1, places)

    async def test_report_as_json_and_without_a_place_for_the_page(
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
        self.assertIn('no report on burn', err)

    async def test_schema_prints_what_is_shipped(self) -> None:
        for name in ('settings', 'service-file'):
            with self.subTest(name):
                code, out, err = await self._run('schema', name)
                self.assertEqual((0, ''), (code, err))
                self.assertEqual(schemas.read_schema(name), json.loads(out))

    async def test_check_tells_what_is_wrong_in_settings(self) -> None:
        """Settings are checked before a host is told to restart.

        What is wrong in two files must be told at once, also a member that
        stands twice, of which the daemon would take the last.
        """
        values = test_builders.build_settings()
        good = self._write('good.json', json.dumps(values))
        bad = self._write('bad.json', json.dumps({**values, 'host': 'A B'}))
        text = json.dumps(values)[:-1] + ', "host": "x"}'
        twice = self._write('twice.json', text)
        code, out, _ = await self._run('check', '--settings', good)
        self.assertEqual((0, '1 settings file(s) are right.\n'), (code, out))
        names = [one for path in (bad, twice) for one in ('--settings', path)]
        code, out, err = await self._run('check', *names)
        self.assertEqual((1, ''), (code, out))
        self.assertIn(f'{bad}: $.host: schema: Write text of the form', err)
        self.assertIn(f'{twice}: $: repeated-member: Keep one', err)
        self.assertIn('2 problem(s)', err)
        code, out, _ = await self._run('check', *names, as_json=True)
        found = json.loads(out)['problems']
        self.assertEqual([bad, twice], [one['file'] for one in found])
        document = self._write('document.json', '{"kind": "shop"}')
        code, _, err = await self._run('check', document, *names)
        self.assertEqual(1, code)
        self.assertIn(f'{document}: $.kind: schema', err)
        self.assertIn('3 problem(s)', err)
        code, _, err = await self._run('check')
        self.assertEqual(2, code)
        self.assertIn('No service file was found.', err)


class IsolatedEntryTest(_ToolCase):
    starts_isolated = True

    async def test_status_of_an_isolated_entry_is_a_problem(self) -> None:
        """An entry starts while the platform is down.

        A script that rolls entries must not take it for one that serves.
        """
        code, out, _ = await self._run_at_entry('status')
        self.assertEqual(1, code)
        self.assertIn('takes no new work', out)
        options = ('--url', self.url, '--token-file', self.token_file)
        code, out, _ = await self._run('status', *options, as_json=True)
        self.assertEqual(1, code)
        self.assertTrue(json.loads(out)['isolated'])
