"""Tests of the operator API over HTTP."""

from __future__ import annotations

import typing

import attrs

from tests.adapters.operators import builders


class HandlersTest(builders.OperatorsCase):
    async def test_publication_appears_in_history_and_status(self) -> None:
        status, _, value = await self.publish(author='alice')
        self.assertEqual(
            (200, 1, ['one']), (status, value['version'], value['in_force'])
        )
        _, _, value = await self.send('/v1/configuration')
        self.assertEqual(1, value['version'])
        self.assertEqual('alice (operator)', value['history'][0]['author'])
        _, _, value = await self.send('/v1/status')
        self.assertEqual((1, []), (value['version'], value['stragglers']))
        self.assertEqual('one', value['members'][0]['host'])

    async def test_dry_run_writes_nothing(self) -> None:
        status, _, value = await self.publish(dry_run=True)
        expected = {'version': 0, 'changed_count': 1}
        self.assertEqual((200, expected), (status, value))
        self.assertEqual(0, self.entry.service.version())

    async def test_rejections_are_problem_details(self) -> None:
        """Guards against rejections without a reason.

        A publication is invalid, in conflict or not permitted by the token.
        The response has to describe the required correction.
        """
        await self.publish()
        changed = {**builders.ALPHA, 'limits': {'concurrency': 3}}
        beta = {'kind': 'workspace', 'name': 'beta'}
        cases: dict[str, tuple[dict[str, typing.Any], int, str]] = {
            'conflict': ({'documents': [changed]}, 409, 'conflict'),
            'schema': ({'documents': [{'kind': 'x'}]}, 422, 'invalid'),
            'rules': (
                {'documents': [{**beta, 'models': ['x']}]},
                422,
                'invalid',
            ),
            'no id': ({'id': ''}, 400, 'bad-request'),
            'wrong type': ({'base_version': 'x'}, 400, 'bad-request'),
            'long note': ({'message': 'x' * 501}, 400, 'bad-request'),
            'unknown kind': (
                {'removals': [{'kind': 'x', 'name': 'y'}]},
                400,
                'bad-request',
            ),
            'other workspace': (
                {'documents': [beta], 'token': builders.LIMITED},
                403,
                'forbidden',
            ),
            'shared document': (
                {
                    'documents': [],
                    'removals': [{'kind': 'target', 'name': 't'}],
                    'token': builders.LIMITED,
                },
                403,
                'forbidden',
            ),
            'unknown token': ({'token': 'x'}, 401, 'unauthorized'),
        }
        for name, (changes, expected, kind) in cases.items():
            with self.subTest(name):
                status, media_type, value = await self.publish(
                    **{'id': name, **changes}
                )
                self.assertEqual(expected, status)
                self.assertEqual('application/problem+json', media_type)
                self.assertEqual(
                    f'urn:thornspool:problem:{kind}', value['type']
                )
                self.assertEqual(expected, value['status'])
                self.assertTrue(value['detail'])

    async def test_unknown_outcome_is_reported(self) -> None:
        """Guards against a wrong outcome during an outage of the platform."""
        self.entry.faults.platform_up = False
        service = self.entry.service
        timing = attrs.evolve(service._timing, decision_timeout_ms=300)
        service._timing = timing
        status, _, value = await self.publish()
        self.assertEqual(
            (503, 'p1', False),
            (status, value['publication'], value['written']),
        )
        status, _, _ = await self.publish(dry_run=True)
        self.assertEqual(503, status)

    async def test_other_routes(self) -> None:
        action = '/v1/workspaces/alpha/actions'
        cases: tuple[tuple[str, object, str, int], ...] = (
            (f'{action}/known', None, builders.LIMITED, 200),
            (f'{action}/other', None, builders.SECRET, 404),
            (f'{action}/down', None, builders.SECRET, 503),
            ('/v1/workspaces/beta/actions/known', None, builders.LIMITED, 403),
            ('/v1/report', None, builders.LIMITED, 200),
            ('/v1/drain', {}, builders.LIMITED, 403),
            ('/v1/drain', {}, builders.SECRET, 202),
            ('/v1/nothing', None, builders.SECRET, 404),
            ('/v1/status', {}, builders.SECRET, 405),
        )
        for path, body, token, expected in cases:
            with self.subTest(path=path, token=token):
                status, _, _ = await self.send(path, body, token)
                self.assertEqual(expected, status)
        self.assertEqual(1, self.drained)

    async def test_report_is_limited_to_the_workspaces_of_a_token(
        self,
    ) -> None:
        for token, expected in (
            (builders.LIMITED, "('alpha',)"),
            (builders.SECRET, 'None'),
        ):
            with self.subTest(token=token):
                _, _, value = await self.send('/v1/report', None, token)
                self.assertIn(expected, str(value))
