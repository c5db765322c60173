"""Tests of conflict detection and of the planning of publications."""

from __future__ import annotations

import itertools
import unittest

import attrs

from tests.application import configuration_builders as make
from thornspool.domain.configuration import contents as contents_module
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import storage

ALPHA = documents.DocumentKey(documents.DocumentKind.WORKSPACE, 'alpha')


def _find_neighbour() -> str:
    """Return the name of a workspace in the same bucket as alpha."""
    index = storage.assign_bucket(ALPHA)
    for number in itertools.count():
        key = documents.DocumentKey(ALPHA.kind, f'n{number}')
        if storage.assign_bucket(key) == index:
            return key.name
    raise AssertionError


NEIGHBOUR = _find_neighbour()


def _publish(
    contents: contents_module.Contents,
    base: int,
    *additions: documents.Document,
    removals: tuple[documents.DocumentKey, ...] = (),
) -> publications.PlanResult:
    publication = publications.Publication(
        f'p{contents.head.version}-{base}', 'alice', base, additions, removals
    )
    return publications.plan_publication(contents, publication, 0)


def _accept(
    contents: contents_module.Contents,
    *additions: documents.Document,
    removals: tuple[documents.DocumentKey, ...] = (),
) -> contents_module.Contents:
    plan = _publish(
        contents, contents.head.version, *additions, removals=removals
    )
    assert isinstance(plan, publications.Plan), plan
    return contents_module.advance_contents(contents, plan.head, plan.values)


class PlanTest(unittest.TestCase):
    def setUp(self) -> None:
        first = _accept(
            contents_module.Contents(), make.build_workspace('alpha', 1)
        )
        self.changed = _accept(first, make.build_workspace('alpha', 2))
        self.removed = _accept(first, removals=(ALPHA,))

    def test_conflict_names_documents_changed_after_base(self) -> None:
        """Two operators publish concurrently on the same base version.

        Without a conflict, the second publication would silently undo the
        change of the first.
        """
        alpha = make.build_workspace('alpha', 3)
        conflict = publications.Conflict(('workspace/alpha',), 2)
        cases = {
            'changed': _publish(self.changed, 1, alpha),
            'removed': _publish(self.removed, 1, alpha),
            'removal of a changed document': _publish(
                self.changed, 1, removals=(ALPHA,)
            ),
            'one of two': _publish(
                self.changed, 1, alpha, make.build_workspace('beta')
            ),
        }
        for name, planned in cases.items():
            with self.subTest(name):
                self.assertEqual(conflict, planned)

    def test_change_of_another_document_is_planned_on_new_head(self) -> None:
        plan = _publish(self.changed, 1, make.build_workspace('beta', 9))
        assert isinstance(plan, publications.Plan)
        merged = contents_module.advance_contents(
            self.changed, plan.head, plan.values
        )
        limits = {
            name: one.limits.requests_per_s
            for name, one in merged.snapshot.workspaces.items()
        }
        self.assertEqual({'alpha': 2, 'beta': 9}, limits)

    def test_identical_content_is_unchanged(self) -> None:
        same = make.build_workspace('alpha', 2)
        self.assertEqual(
            publications.Unchanged(2), _publish(self.changed, 0, same)
        )

    def test_base_before_history_conflicts_with_removal(self) -> None:
        """The base version is older than the history.

        Tombstones of that time are dropped, so without a conflict the change
        would restore a document that was removed.
        """
        contents = self.removed
        alpha = make.build_workspace('alpha', 5)
        conflict = publications.Conflict
        for limit in range(heads.HISTORY_LENGTH + 1):
            planned = _publish(contents, 1, alpha)
            self.assertIsInstance(planned, conflict)
            contents = _accept(
                contents, make.build_workspace(NEIGHBOUR, limit)
            )
        self.assertIsInstance(_publish(contents, 1, alpha), conflict)
        current_version = contents.head.version
        self.assertIsInstance(
            _publish(contents, current_version, alpha), publications.Plan
        )

    def test_tombstone_is_dropped_after_history(self) -> None:
        contents = self.removed
        for limit in range(heads.HISTORY_LENGTH + 1):
            contents = _accept(
                contents, make.build_workspace(NEIGHBOUR, limit)
            )
        self.assertIsNone(contents.find(ALPHA))
        restored = _accept(contents, make.build_workspace('alpha', 1))
        stored = restored.find(ALPHA)
        assert stored is not None
        self.assertEqual(restored.head.version, stored.version)

    def test_rules_are_checked_on_merged_result(self) -> None:
        """One operator removes what another uses or starts to use."""
        target = documents.Target(
            'e', documents.TargetKind.ENGINE, 'h', 'f', 'http://127.0.0.1:1'
        )
        model = documents.Model('m', '1', 4, (documents.Stage('e', 0, 4),))
        with_model = _accept(contents_module.Contents(), target, model)
        key = documents.build_key(model)
        without = _accept(with_model, removals=(key,))
        user = documents.Workspace('a', ('m',))
        in_use = _accept(with_model, user)
        service = attrs.evolve(target, kind=documents.TargetKind.SERVICE)
        cases = {
            'unknown-model': _publish(without, 1, user),
            'unknown-model ': _publish(in_use, 2, removals=(key,)),
            'target-kind': _publish(in_use, 2, service),
        }
        for rule, planned in cases.items():
            with self.subTest(rule):
                assert isinstance(planned, publications.Invalid)
                self.assertEqual(rule.strip(), planned.problems[0].rule)

    def test_replaced_buckets_become_garbage_after_retirement(self) -> None:
        contents = self.changed
        garbage: list[str] = []
        for limit in range(heads.RETIRED_LENGTH + 8):
            planned = _publish(
                contents,
                contents.head.version,
                make.build_workspace('alpha', limit + 10),
            )
            assert isinstance(planned, publications.Plan)
            contents = contents_module.advance_contents(
                contents, planned.head, planned.values
            )
            garbage.extend(planned.garbage)
        self.assertEqual(9, len(garbage))
        self.assertFalse({*garbage} & {*contents.head.buckets})
