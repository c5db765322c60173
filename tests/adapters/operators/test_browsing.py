"""Tests of the permissions of teams in the operator API."""

from __future__ import annotations

import json
import pathlib
import typing

from tests.adapters.operators import builders
from thornspool.domain.configuration import files

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
BETA = {'kind': 'workspace', 'name': 'beta'}
TARGET = {
    'kind': 'target',
    'name': 'plain-1',
    'serves': 'service',
    'host': 'h1',
    'failure_domain': 'perth-a',
    'url': 'http://127.0.0.1:9',
}
MODEL = {
    'kind': 'model',
    'name': 'writer',
    'version': '1',
    'layers': 2,
    'stages': [{'target': 'engine-1', 'first_layer': 0, 'end_layer': 2}],
}
ENGINE = {**TARGET, 'name': 'engine-1', 'serves': 'engine'}


def _service(name: str, workspace: str, timeout_ms: int = 100) -> typing.Any:
    operation = {'name': 'do', 'idempotent': True, 'timeout_ms': timeout_ms}
    return {
        'kind': 'service',
        'name': name,
        'workspace': workspace,
        'targets': ['plain-1'],
        'operations': [operation],
    }


EVERYTHING = [
    builders.ALPHA,
    BETA,
    _service('a-1', 'alpha'),
    _service('b-1', 'beta'),
    MODEL,
    TARGET,
    ENGINE,
]
AS_TEAM: dict[str, typing.Any] = {'token': builders.LIMITED}


class TeamPermissionsTest(builders.OperatorsCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        status, _, _ = await self.publish(id='v1', documents=EVERYTHING)
        self.assertEqual(200, status)

    async def _list(self, query: str = '', **options: str) -> typing.Any:
        status, _, value = await self.send(f'/v1/documents{query}', **options)
        self.assertEqual(200, status, value)
        lines = value['documents']
        names = [f'{line["kind"]}/{line["name"]}' for line in lines]
        return names, value

    async def test_limited_token_changes_only_its_documents(self) -> None:
        """Guards against changes to documents of other teams.

        The pipeline of a team publishes with a token of its workspace. An
        error there must not change other or shared documents.
        """
        additional = _service('a-2', 'alpha')
        moved = _service('a-1', 'beta')
        claimed = _service('b-1', 'alpha')
        leaving = {**TARGET, 'leaving': True}
        cases: tuple[tuple[str, list[typing.Any], list[str], int], ...] = (
            ('own service', [additional], [], 200),
            ('own workspace', [{**builders.ALPHA, 'models': []}], [], 200),
            ('own removal', [], ['service/a-2'], 200),
            ('other workspace', [BETA], [], 403),
            ('new workspace', [{**BETA, 'name': 'gamma'}], [], 403),
            ('own and other', [additional, BETA], [], 403),
            ('service of another', [_service('b-2', 'beta')], [], 403),
            ('own service given away', [moved], [], 403),
            ('service taken over', [claimed], [], 403),
            ('target', [leaving], [], 403),
            ('new target', [{**TARGET, 'name': 'mine'}], [], 403),
            ('model', [{**MODEL, 'version': '2'}], [], 403),
            ('removal of a target', [], ['target/plain-1'], 403),
            ('removal of a model', [], ['model/writer'], 403),
            ('removal of another service', [], ['service/b-1'], 403),
            ('removal of a workspace', [], ['workspace/beta'], 403),
        )
        for name, additions, removed, expected in cases:
            for dry_run in (True, False):
                with self.subTest(name, dry_run=dry_run):
                    pairs = [key.split('/') for key in removed]
                    version = self.entry.service.version()
                    status, _, value = await self.publish(
                        id=name,
                        base_version=version,
                        documents=additions,
                        removals=[
                            {'kind': kind, 'name': removal}
                            for kind, removal in pairs
                        ],
                        dry_run=dry_run,
                        **AS_TEAM,
                    )
                    self.assertEqual(expected, status, value)
        names, _ = await self._list()
        self.assertEqual(7, len(names))

    async def test_base_version_must_be_in_force(
        self,
    ) -> None:
        """Guards against a change to a document of another team.

        The entry that receives the publication has an older version than the
        base version, in which another team created the document. The check
        against the older version would pass, and the base version would be
        in force here when the publication is decided.
        """
        service = self.entry.service
        outdated = service.snapshot()
        theirs = _service('c-1', 'beta')
        await self.publish(id='2', base_version=1, documents=[theirs])
        service.snapshot = lambda: outdated  # type: ignore[method-assign]
        ours = _service('c-1', 'alpha')
        status, _, value = await self.publish(
            id='3', base_version=2, documents=[ours], **AS_TEAM
        )
        self.assertEqual(503, status, value)
        self.assertIn('in a few seconds', value['detail'])
        status, _, _ = await self.publish(
            id='4', base_version=1, documents=[ours], **AS_TEAM
        )
        self.assertEqual(409, status)

    async def test_documents_are_listed_with_their_last_change(self) -> None:
        await self.publish(
            id='v2', base_version=1, documents=[_service('b-1', 'beta', 7)]
        )
        everything = [
            f'{document["kind"]}/{document["name"]}' for document in EVERYTHING
        ]
        names, value = await self._list()
        self.assertEqual(sorted(everything), sorted(names))
        found = {line['name']: line for line in value['documents']}
        self.assertEqual((2, ''), (value['version'], value['following']))
        versions = [found[name]['version'] for name in ('a-1', 'b-1')]
        self.assertEqual([1, 2], versions)
        shown = [line['document'] for line in value['documents']]
        self.assertCountEqual(
            [_service('b-1', 'beta', 7), *EVERYTHING[:3], *EVERYTHING[4:]],
            shown,
        )
        cases = (
            ('?kind=target', {}, ['target/engine-1', 'target/plain-1']),
            ('?workspace=beta', {}, ['workspace/beta', 'service/b-1']),
            ('?workspace=beta&kind=service', {}, ['service/b-1']),
            ('?workspace=nobody', {}, []),
            ('', AS_TEAM, ['workspace/alpha', 'service/a-1']),
            ('?kind=target', AS_TEAM, []),
            ('?kind=model', AS_TEAM, []),
            ('?workspace=alpha&kind=service', AS_TEAM, ['service/a-1']),
        )
        for query, options, expected in cases:
            with self.subTest(query=query, options=options):
                names, _ = await self._list(query, **options)
                self.assertEqual(expected, names)

    async def test_pages_contain_each_document_once(self) -> None:
        everything, _ = await self._list()
        for limit in range(1, 9):
            with self.subTest(limit=limit):
                seen, after = [], ''
                for _ in EVERYTHING:
                    names, value = await self._list(
                        f'?limit={limit}&after={after}'
                    )
                    seen += names
                    after = value['following']
                    self.assertLessEqual(len(names), limit)
                    if not after:
                        break
                self.assertEqual(everything, seen)

    async def test_history_is_limited_to_documents_of_the_token(self) -> None:
        """Guards against changes that are missing in the history of a team.

        A history record contains eight names, and the documents of the team
        may not be among them.
        """
        many = [_service(f'a-0{number}', 'beta') for number in range(9)]
        changed = _service('a-1', 'alpha', 5)
        await self.publish(id='2', base_version=1, documents=[*many, changed])
        beta = {**BETA, 'limits': {'concurrency': 3}}
        await self.publish(
            id='3', base_version=2, documents=[beta], message='Secret of beta'
        )
        for token, expected in (
            (
                builders.LIMITED,
                {1: ['service/a-1', 'workspace/alpha'], 2: ['service/a-1']},
            ),
            (builders.SECRET, {1: 7, 2: 8, 3: 1}),
        ):
            with self.subTest(token=token):
                _, _, value = await self.send('/v1/configuration', token=token)
                read = {
                    line['version']: line['changed']
                    if token == builders.LIMITED
                    else len(line['changed'])
                    for line in value['history']
                }
                self.assertEqual(expected, read)
                beta_shown = 'Secret of beta' in str(value)
                self.assertEqual(token == builders.SECRET, beta_shown)

    async def test_routes_by_token(self) -> None:
        """Guards against access that a token does not permit."""
        changes = '/v1/configuration/versions/{}/changes'
        beta = {**BETA, 'limits': {'concurrency': 3}}
        await self.publish(id='2', base_version=1, documents=[beta])
        cases: tuple[tuple[str, object, int, int], ...] = (
            (changes.format(1), None, 200, 200),
            (changes.format(2), None, 404, 200),
            (changes.format(3), None, 404, 404),
            (changes.format('x'), None, 404, 404),
            ('/v1/documents?workspace=beta', None, 403, 200),
            ('/v1/documents?kind=shop', None, 400, 400),
            ('/v1/documents?after=shop/x', None, 400, 400),
            ('/v1/documents?limit=0', None, 400, 400),
            ('/v1/documents?limit=201', None, 400, 400),
            ('/v1/documents?limit=x', None, 400, 400),
            ('/v1/workspaces/alpha/actions/known', None, 200, 200),
            ('/v1/workspaces/beta/actions/known', None, 403, 200),
            ('/v1/drain', {}, 403, 202),
        )
        for path, body, limited, unlimited in cases:
            for token, expected in (
                (builders.LIMITED, limited),
                (builders.SECRET, unlimited),
                ('nobody-knows-this', 401),
            ):
                with self.subTest(path, token=token):
                    status, _, _ = await self.send(path, body, token)
                    self.assertEqual(expected, status)
        self.assertEqual(1, self.drained)

    async def test_earlier_version_can_be_published_again(
        self,
    ) -> None:
        """Guards against a revert that is incomplete.

        An author reverts a change in git. The server has no rollback, so
        added documents have to be listed as removals.
        """
        added = _service('a-2', 'alpha')
        changed = _service('a-1', 'alpha', 5)
        await self.publish(id='2', base_version=1, documents=[changed, added])
        status, _, value = await self.publish(
            id='3',
            base_version=2,
            documents=EVERYTHING,
            removals=[{'kind': 'service', 'name': 'a-2'}],
        )
        self.assertEqual((200, 3), (status, value['version']))
        _, value = await self._list()
        shown = [line['document'] for line in value['documents']]
        self.assertCountEqual(EVERYTHING, shown)
        _, _, value = await self.send(
            '/v1/configuration/versions/3/changes', token=builders.LIMITED
        )
        self.assertEqual(['service/a-1'], value['changed'])


class RoundTripTest(builders.OperatorsCase):
    async def test_listed_documents_can_be_published_unchanged(self) -> None:
        """Guards against documents changed by added or missing defaults."""
        for name in ('swan-coast', 'spjaldamarkadur'):
            with self.subTest(name):
                paths = sorted((EXAMPLES / name / 'services').rglob('*.json'))
                read = files.collect_documents(
                    files.SourceFile(str(path), path.read_text())
                    for path in paths
                )
                self.assertEqual((), read.problems)
                written = [
                    files.serialize_document(document)
                    for document in read.documents
                ]
                again = files.parse_documents(json.loads(json.dumps(written)))
                self.assertEqual(read.documents, again.documents)
                self.assertEqual((), again.problems)
