"""Tests of the state machine of a publication."""

from __future__ import annotations

import unittest

from tests.application import configuration_builders as make
from thornspool.domain.configuration import contents as contents_module
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import publishing

WALL = 1_000
PLATFORM_VERSION = 40
EMPTY = contents_module.Contents()


def _publish(
    contents: contents_module.Contents, publication: publications.Publication
) -> contents_module.Contents:
    plan = publications.plan_publication(contents, publication, WALL)
    assert isinstance(plan, publications.Plan)
    return contents_module.advance_contents(contents, plan.head, plan.values)


PUBLICATION = make.build_publication('own', 0, make.build_workspace('a', 1))
ACCEPTED = _publish(EMPTY, PUBLICATION)
OTHER = _publish(
    EMPTY, make.build_publication('other', 0, make.build_workspace('b'))
)
CHANGED_LATER = _publish(
    ACCEPTED, make.build_publication('x', 1, make.build_workspace('a', 2))
)


def _read(contents: contents_module.Contents) -> publishing.HeadRead:
    return publishing.HeadRead(contents, PLATFORM_VERSION, WALL)


def _write_once() -> tuple[publishing.Progress, publishing.Command]:
    """Return the state after the first write of the head was sent."""
    progress = publishing.Progress(PUBLICATION)
    progress, _ = publishing.decide(progress, _read(EMPTY))
    return publishing.decide(progress, publishing.BucketsWritten())


class UnconfirmedWriteTest(unittest.TestCase):
    def test_only_a_later_head_settles_an_unconfirmed_write(self) -> None:
        """The response to the write of the head is lost.

        The publisher must not report a rejection of a change that takes
        effect later, nor the acceptance of a change that was lost.
        """
        progress, written = _write_once()
        assert isinstance(written, publishing.WriteHead)
        retry = publishing.WriteHead(written.value, PLATFORM_VERSION, True)
        cases = {
            'old head is inconclusive': (EMPTY, retry, True),
            'accepted': (
                ACCEPTED,
                publishing.Finish(publishing.Confirmed(1)),
                True,
            ),
            'accepted, then changed by another': (
                CHANGED_LATER,
                publishing.Finish(publishing.Confirmed(1)),
                True,
            ),
        }
        for name, (contents, command, head_sent) in cases.items():
            with self.subTest(name):
                unconfirmed, first = publishing.decide(
                    progress, publishing.HeadUnconfirmed()
                )
                self.assertEqual(publishing.ReadHead(), first)
                after, next_command = publishing.decide(
                    unconfirmed, _read(contents)
                )
                self.assertEqual(command, next_command)
                self.assertEqual(
                    head_sent, publishing.expire(after, '').head_sent
                )

    def test_lost_write_is_replanned_on_later_head(self) -> None:
        """Another publication is accepted while the write is in transit.

        The two change different documents, so both must be accepted.
        """
        progress, _ = _write_once()
        after, command = publishing.decide(progress, _read(OTHER))
        assert isinstance(command, publishing.WriteBuckets)
        assert after.attempt is not None
        self.assertEqual(2, after.attempt.plan.head.version)
        self.assertFalse(publishing.expire(after, '').head_sent)
        lost_attempt = progress.attempt
        assert lost_attempt is not None
        self.assertEqual(tuple(lost_attempt.plan.values), after.garbage)

    def test_attempt_before_history_is_undecided(self) -> None:
        """More publications than the history holds follow the write.

        The history then no longer shows whether the write took effect.
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
        self.assertTrue(command.outcome.head_sent)

    def test_failed_step_causes_delayed_read(self) -> None:
        """The platform does not respond, or returns an old head."""
        progress = publishing.Progress(PUBLICATION)
        after, command = publishing.decide(progress, publishing.StepFailed())
        self.assertEqual(publishing.ReadHead(delayed=True), command)
        self.assertFalse(publishing.expire(after, '').head_sent)

    def test_base_later_than_head_causes_delayed_read(self) -> None:
        """The platform returns a head that is older than the base version."""
        late = make.build_publication('late', 3, make.build_workspace('a'))
        _, command = publishing.decide(publishing.Progress(late), _read(EMPTY))
        self.assertEqual(publishing.ReadHead(delayed=True), command)
