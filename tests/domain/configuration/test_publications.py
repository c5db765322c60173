"""Conflicts between publications and the plans that they come to."""

from __future__ import annotations

import itertools
import unittest

import attrs

from tests.application import configuration_builders as make
from thornspool.domain.configuration import contents as whole
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import storage

ALPHA = documents.DocumentKey(documents.DocumentKind.WORKSPACE, 'alpha')


def _find_neighbour() -> str:
    """Return the name of a workspace that shares alpha's bucket."""
    index = storage.assign_bucket(ALPHA)
    for number in itertools.count():
        key = documents.DocumentKey(ALPHA.kind, f'n{number}')
        if storage.assign_bucket(key) == index:
            return key.name
    raise AssertionError


NEIGHBOUR = _find_neighbour()


def _publish(
    contents: whole.Contents,
    base: int,
    *additions: documents.Document,
    removals: tuple[documents.DocumentKey, ...] = (),
) -> publications.Planned:
    publication = publications.Publication(
        f'p{contents.head.version}-{base}', 'alice', base, additions, removals
    )
    return publications.plan_publication(contents, publication, 0)


def _accept(
    contents: whole.Contents,
    *additions: documents.Document,
    removals: tuple[documents.DocumentKey, ...] = (),
) -> whole.Contents:
    plan = _publish(
        contents, contents.head.version, *additions, removals=removals
    )
    assert isinstance(plan, publications.Plan), plan
    return whole.advance_contents(contents, plan.head, plan.values)


class PlanTest(unittest.TestCase):
    def setUp(self) -> None:
        first = _accept(whole.Contents(), make.build_workspace('alpha', 1))
        self.changed = _accept(first, make.build_workspace('alpha', 2))
        self.removed = _accept(first, removals=(ALPHA,))

    def test_conflict_names_what_changed_since_the_base(self) -> None:
        """Two operators publish at the same moment, on the same base.

        Without a conflict the second one would undo the first one's change,
        and neither would be told.
        """
        alpha = make.build_workspace('alpha', 3)
        conflict = publications.Conflict(('workspace/alpha',), 2)
        cases = {
            'changed': _publish(self.changed, 1, alpha),
            'removed': _publish(self.removed, 1, alpha),
            'to remove what changed': _publish(
                self.changed, 1, removals=(ALPHA,)
            ),
            'one of two': _publish(
                self.changed, 1, alpha, make.build_workspace('beta')
            ),
        }
        for name, planned in cases.items():
            with self.subTest(name):
                self.assertEqual(conflict, planned)

    def test_disjoint_change_is_planned_on_the_new_head(self) -> None:
        plan = _publish(self.changed, 1, make.build_workspace('beta', 9))
        assert isinstance(plan, publications.Plan)
        merged = whole.advance_contents(self.changed, plan.head, plan.values)
        limits = {
            name: one.limits.requests_per_s
            for name, one in merged.snapshot.workspaces.items()
        }
        self.assertEqual({'alpha': 2, 'beta': 9}, limits)

    def test_same_content_is_no_change(self) -> None:
        same = make.build_workspace('alpha', 2)
        self.assertEqual(
            publications.Unchanged(2), _publish(self.changed, 0, same)
        )

    def test_removal_is_remembered_as_long_as_the_history(self) -> None:
        """An author's base is older than the history.

        What was removed since is forgotten, and the author's change would
        bring it back.
        """
        contents = self.removed
        alpha = make.build_workspace('alpha', 5)
        conflict = publications.Conflict
        for mark in range(heads.HISTORY_LENGTH + 1):
            planned = _publish(contents, 1, alpha)
            self.assertIsInstance(planned, conflict)
            contents = _accept(contents, make.build_workspace(NEIGHBOUR, mark))
        self.assertIsInstance(_publish(contents, 1, alpha), conflict)
        now = contents.head.version
        self.assertIsInstance(
            _publish(contents, now, alpha), publications.Plan
        )

    def test_removed_document_is_forgotten_after_the_history(self) -> None:
        contents = self.removed
        for mark in range(heads.HISTORY_LENGTH + 1):
            contents = _accept(contents, make.build_workspace(NEIGHBOUR, mark))
        self.assertIsNone(contents.find(ALPHA))
        again = _accept(contents, make.build_workspace('alpha', 1))
        stored = again.find(ALPHA)
        assert stored is not None
        self.assertEqual(again.head.version, stored.version)

    def test_rules_hold_for_the_merged_result(self) -> None:
        """One operator removes what another uses, or begins to use."""
        target = documents.Target(
            'e', documents.TargetKind.ENGINE, 'h', 'f', 'http://127.0.0.1:1'
        )
        model = documents.Model('m', '1', 4, (documents.Stage('e', 0, 4),))
        with_model = _accept(whole.Contents(), target, model)
        key = documents.identify(model)
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

    def test_replaced_buckets_become_garbage_after_a_while(self) -> None:
        contents = self.changed
        dropped: list[str] = []
        for mark in range(heads.RETIRED_LENGTH + 8):
            planned = _publish(
                contents,
                contents.head.version,
                make.build_workspace('alpha', mark + 10),
            )
            assert isinstance(planned, publications.Plan)
            contents = whole.advance_contents(
                contents, planned.head, planned.values
            )
            dropped.extend(planned.garbage)
        self.assertEqual(9, len(dropped))
        self.assertFalse({*dropped} & {*contents.head.buckets})
