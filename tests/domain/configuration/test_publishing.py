"""Decisions of one publication, step by step."""

from __future__ import annotations

import unittest

from tests.application import configuration_builders as make
from thornspool.domain.configuration import contents as whole
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import publishing

WALL = 1_000
PLATFORM_VERSION = 40
EMPTY = whole.Contents()


def _publish(
    contents: whole.Contents, publication: publications.Publication
) -> whole.Contents:
    plan = publications.plan_publication(contents, publication, WALL)
    assert isinstance(plan, publications.Plan)
    return whole.advance_contents(contents, plan.head, plan.values)


OWN = make.build_publication('own', 0, make.build_workspace('a', 1))
LANDED = _publish(EMPTY, OWN)
OTHER = _publish(
    EMPTY, make.build_publication('other', 0, make.build_workspace('b'))
)
OVERTAKEN = _publish(
    LANDED, make.build_publication('x', 1, make.build_workspace('a', 2))
)


def _read(contents: whole.Contents) -> publishing.HeadRead:
    return publishing.HeadRead(contents, PLATFORM_VERSION, WALL)


def _write_once() -> tuple[publishing.Progress, publishing.Command]:
    """Return the state after the first write of the head has left."""
    progress = publishing.Progress(OWN)
    progress, _ = publishing.decide(progress, _read(EMPTY))
    return publishing.decide(progress, publishing.BucketsWritten())


class OpenWriteTest(unittest.TestCase):
    def test_open_write_is_settled_only_by_later_head(self) -> None:
        """The answer to the write of the head is lost.

        The publisher would be told that a change was refused which then
        appears, or that it holds where it was lost.
        """
        progress, written = _write_once()
        assert isinstance(written, publishing.WriteHead)
        again = publishing.WriteHead(written.value, PLATFORM_VERSION, True)
        cases = {
            'old head proves nothing': (EMPTY, again, True),
            'landed': (
                LANDED,
                publishing.Finish(publishing.Confirmed(1)),
                True,
            ),
            'landed, then changed by another': (
                OVERTAKEN,
                publishing.Finish(publishing.Confirmed(1)),
                True,
            ),
        }
        for name, (contents, command, is_open) in cases.items():
            with self.subTest(name):
                lost, first = publishing.decide(
                    progress, publishing.HeadOpen()
                )
                self.assertEqual(publishing.ReadHead(), first)
                after, got = publishing.decide(lost, _read(contents))
                self.assertEqual(command, got)
                self.assertEqual(
                    is_open, publishing.give_up(after, '').written
                )

    def test_lost_write_is_planned_again_on_later_head(self) -> None:
        """Another publication wins while the own write was on its way.

        Both change different documents, so the user must see both.
        """
        progress, _ = _write_once()
        after, command = publishing.decide(progress, _read(OTHER))
        assert isinstance(command, publishing.WriteBuckets)
        assert after.attempt is not None
        self.assertEqual(2, after.attempt.plan.head.version)
        self.assertFalse(publishing.give_up(after, '').written)
        lost = progress.attempt
        assert lost is not None
        self.assertEqual(tuple(lost.plan.values), after.garbage)

    def test_history_that_is_too_short_leaves_it_undecided(self) -> None:
        """The publisher sleeps while a whole history of others passes.

        It can no longer tell whether its own was among them.
        """
        progress, _ = _write_once()
        contents = OTHER
        for version in range(1, heads.HISTORY_LENGTH + 1):
            workspace = make.build_workspace('b', version + 1)
            contents = _publish(
                contents,
                make.build_publication(f'{version}', version, workspace),
            )
        _, command = publishing.decide(progress, _read(contents))
        assert isinstance(command, publishing.Finish)
        assert isinstance(command.outcome, publishing.Undecided)
        self.assertTrue(command.outcome.written)

    def test_failed_step_is_followed_by_another_read(self) -> None:
        """The platform is down, or answers with an old head."""
        progress = publishing.Progress(OWN)
        after, command = publishing.decide(progress, publishing.StepFailed())
        self.assertEqual(publishing.ReadHead(pause=True), command)
        self.assertFalse(publishing.give_up(after, '').written)

    def test_base_past_the_head_is_read_again(self) -> None:
        """The platform answers with a head older than the author saw."""
        late = make.build_publication('late', 3, make.build_workspace('a'))
        _, command = publishing.decide(publishing.Progress(late), _read(EMPTY))
        self.assertEqual(publishing.ReadHead(pause=True), command)
