"""Tests of the rules between documents, each violated separately."""

from __future__ import annotations

import typing
import unittest

import attrs

from thornspool.domain.configuration import documents
from thornspool.domain.configuration import rules

ENGINE = documents.Target(
    'engine', documents.TargetKind.ENGINE, 'h', 'f', 'http://127.0.0.1:1'
)
BOOKING = attrs.evolve(
    ENGINE, name='booking', kind=documents.TargetKind.SERVICE
)
HOLD = documents.Operation('hold', idempotent=False)
SERVICE = documents.Service('slots', 'alpha', ('booking',), (HOLD,))
MODEL = documents.Model('draft', '1', 8, (documents.Stage('engine', 0, 8),))
ALPHA = documents.Workspace('alpha', ('draft',))


def _check(*changed: documents.Document) -> list[tuple[str, str, str]]:
    by_kind: dict[documents.DocumentKind, dict[str, typing.Any]] = {
        kind: {} for kind in documents.DocumentKind
    }
    for one in (ENGINE, BOOKING, SERVICE, MODEL, ALPHA, *changed):
        by_kind[documents.build_key(one).kind][one.name] = one
    snapshot = documents.Snapshot(
        1, *(by_kind[kind] for kind in documents.DocumentKind)
    )
    found = rules.check_snapshot(snapshot)
    return [(one.document, one.path, one.rule) for one in found]


def _build_model(*stages: tuple[int, int]) -> documents.Model:
    return attrs.evolve(
        MODEL,
        stages=tuple(documents.Stage('engine', *one) for one in stages),
    )


class RulesTest(unittest.TestCase):
    def test_valid_documents_have_no_problems(self) -> None:
        overlapping = _build_model((0, 4), (2, 8), (4, 8), (0, 8))
        self.assertEqual([], _check())
        self.assertEqual([], _check(overlapping))

    def test_each_problem_names_document_path_and_rule(self) -> None:
        """Each error would route requests to no target or a wrong one."""
        duplicate_operation = attrs.evolve(SERVICE, operations=(HOLD, HOLD))
        contradictory = documents.Operation('read', True, deduplicates=True)
        service, model = 'service/slots', 'model/draft'
        cases = (
            (
                attrs.evolve(ALPHA, models=('draft', 'x')),
                ('workspace/alpha', '$.models[1]', 'unknown-model'),
            ),
            (
                attrs.evolve(SERVICE, workspace='x'),
                (service, '$.workspace', 'unknown-workspace'),
            ),
            (
                attrs.evolve(SERVICE, targets=('x',)),
                (service, '$.targets[0]', 'unknown-target'),
            ),
            (
                attrs.evolve(SERVICE, targets=('engine',)),
                (service, '$.targets[0]', 'target-kind'),
            ),
            (
                duplicate_operation,
                (service, '$.operations[1].name', 'duplicate-operation'),
            ),
            (
                attrs.evolve(SERVICE, operations=(contradictory,)),
                (
                    service,
                    '$.operations[0].deduplicates',
                    'deduplicates-idempotent',
                ),
            ),
            (
                attrs.evolve(
                    MODEL, stages=(documents.Stage('booking', 0, 8),)
                ),
                (model, '$.stages[0].target', 'target-kind'),
            ),
            (
                _build_model((0, 8), (0, 8)),
                (model, '$.stages[1]', 'duplicate-stage'),
            ),
            (
                _build_model((0, 8), (4, 9)),
                (model, '$.stages[1]', 'layer-range'),
            ),
            (
                _build_model((0, 8), (4, 4)),
                (model, '$.stages[1]', 'layer-range'),
            ),
            (_build_model((0, 4), (5, 8)), (model, '$.stages', 'layer-gap')),
            (_build_model((0, 4), (3, 8)), (model, '$.stages', 'layer-gap')),
            (_build_model((1, 8)), (model, '$.stages', 'layer-gap')),
        )
        for document, expected in cases:
            with self.subTest(expected=expected, document=document):
                self.assertEqual([expected], _check(document))
