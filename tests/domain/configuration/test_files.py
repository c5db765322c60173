"""Tests of service files: all errors are reported with path and remedy."""

from __future__ import annotations

import json
import unittest

from thornspool.domain.configuration import documents
from thornspool.domain.configuration import files

SERVICE = {
    'kind': 'service',
    'name': 'booking',
    'workspace': 'slots',
    'targets': ['booking-1'],
    'operations': [{'name': 'hold', 'idempotent': False}],
}


def _collect(*values: object) -> files.CollectedDocuments:
    return files.collect_documents(
        files.SourceFile(f'{index}.json', json.dumps(value))
        for index, value in enumerate(values)
    )


class CollectTest(unittest.TestCase):
    def test_target_kind_is_read_from_serves(self) -> None:
        collection = _collect(
            {
                'kind': 'target',
                'name': 'e1',
                'serves': 'engine',
                'host': 'h',
                'failure_domain': 'perth-a',
                'url': 'http://127.0.0.1:9',
                'fencing': 'refuses',
            }
        )
        target = documents.Target(
            'e1',
            documents.TargetKind.ENGINE,
            'h',
            'perth-a',
            'http://127.0.0.1:9',
            fencing=documents.Fencing.REFUSES,
        )
        self.assertEqual((target,), collection.documents)

    def test_problem_of_invalid_document_names_file_path_and_remedy(
        self,
    ) -> None:
        """A service file contains an error.

        Without file, path and remedy its author could not locate the error.
        """
        operation = {'name': 'hold'}
        cases = {
            'idempotent missing': (
                {**SERVICE, 'operations': [operation]},
                '$.operations[0]',
                "'idempotent' is a required property",
            ),
            'idempotent as text': (
                {**SERVICE, 'operations': [{**operation, 'idempotent': ''}]},
                '$.operations[0].idempotent',
                'Write a value of type boolean',
            ),
            'whole number as fraction': (
                {
                    'kind': 'workspace',
                    'name': 'a',
                    'limits': {'concurrency': 2.0},
                },
                '$.limits.concurrency',
                'right type',
            ),
            'unknown member': (
                {'kind': 'workspace', 'name': 'a', 'limit': {}},
                '$',
                'Remove it or write one of: kind, limits, models',
            ),
            'unknown kind': ({'kind': 'shop'}, '$.kind', 'model, target'),
            'no kind': ({}, '$', "'kind' is a required property"),
            'not an object': (3, '$', 'type object'),
        }
        for name, (value, path, remedy) in cases.items():
            with self.subTest(name):
                (problem,) = _collect(value).problems
                self.assertEqual(
                    ('0.json', path), (problem.file, problem.path)
                )
                self.assertIn(remedy, problem.remedy)

    def test_all_problems_of_all_files_are_reported(self) -> None:
        """Three files are invalid, and one attempt reports all problems."""
        broken = {'kind': 'service', 'name': 'x', 'operations': []}
        collection = _collect([SERVICE, broken], SERVICE, {'kind': 'shop'})
        locations = [(one.file, one.path) for one in collection.problems]
        self.assertEqual(
            [('0.json', '$[1]')] * 2
            + [
                ('0.json', '$[1].operations'),
                ('1.json', '$'),
                ('2.json', '$.kind'),
            ],
            locations,
        )
        self.assertEqual(1, len(collection.documents))

    def test_unparsable_text_is_reported(self) -> None:
        """Repeated members and NaN are rejected.

        The second value of a repeated member would silently replace the
        first. NaN passes every bound check, so such a limit has no effect.
        """
        cases = (
            ('json', '{'),
            ('json', '{"kind": NaN}'),
            ('repeated-member', '{"kind": 1, "kind": 2}'),
        )
        for rule, text in cases:
            with self.subTest(text):
                collection = files.collect_documents(
                    [files.SourceFile('a.json', text)]
                )
                (problem,) = collection.problems
                self.assertEqual(
                    (rule, 'a.json'), (problem.rule, problem.file)
                )
