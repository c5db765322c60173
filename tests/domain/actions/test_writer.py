"""Tests of group commit into one ledger page."""

from __future__ import annotations

import unittest

from tests.domain.actions import builders
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import writer

READ_EMPTY = writer.PageRead(records.EMPTY_PAGE, 0)


def build_writer() -> writer.PageWriter:
    return writer.PageWriter(4, writer.WriteLimits())


def receive(
    subject: writer.PageWriter,
    number: int,
    proposal: messages.Proposal,
    now: int = 0,
) -> list[writer.WriterCommand]:
    return subject.handle(writer.ProposalReceived(number, proposal), now)


def find_write(commands: list[writer.WriterCommand]) -> writer.WritePage:
    """Return the only write among commands."""
    (write,) = [c for c in commands if isinstance(c, writer.WritePage)]
    return write


class PageWriterTest(unittest.TestCase):
    def test_unanswered_write_is_not_treated_as_failed(self) -> None:
        """The answer to a write is lost and a read shows the old version.

        The write may still take effect. If the runner received "not granted",
        an unexpected grant would remain, and the caller would be answered
        "not run" for an action that could have run.
        """
        subject = build_writer()
        receive(subject, 1, builders.build_grant())
        first = find_write(subject.handle(READ_EMPTY, 0))
        read = subject.handle(writer.WriteUnanswered(), 5)
        self.assertEqual([writer.ReadPage()], read)
        self.assertEqual([writer.SetTimer(50)], subject.handle(READ_EMPTY, 10))
        again = find_write(subject.handle(writer.TimerExpired(), 50))
        self.assertEqual(first, again)
        # Now the first write takes effect, so the second one conflicts.
        subject.handle(writer.WriteConflicted(), 55)
        replies = subject.handle(writer.PageRead(first.page, 1), 100)
        given = messages.GrantGiven('a1', 1, False)
        self.assertEqual([writer.Reply(1, given)], replies)

    def test_conflict_decides_each_proposal_again(self) -> None:
        """Two entries write the same page at once and one write conflicts.

        Its proposals must be decided against the records of the other write;
        a grant that is written again unchecked would run a key twice.
        """
        subject = build_writer()
        receive(subject, 1, builders.build_grant())
        receive(subject, 2, builders.build_grant('b1', 'swan/b'))
        find_write(subject.handle(READ_EMPTY, 0))
        subject.handle(writer.WriteConflicted(), 5)
        winner = records.Record(records.RecordState.GRANTED, 'x', digest='one')
        page = records.Page(4, 7, {'swan/a': winner})
        subject.handle(writer.PageRead(page, 3), 8)
        commands = subject.handle(writer.TimerExpired(), 50)
        found = messages.RecordFound('a1', winner)
        self.assertEqual(writer.Reply(1, found), commands[0])
        write = find_write(commands)
        self.assertEqual(3, write.expected_version)
        self.assertEqual({'swan/a', 'swan/b'}, set(write.page.records))

    def test_outcome_is_not_confirmed_on_an_outdated_page(self) -> None:
        """Another entry wrote the grant after this writer read the page.

        If the outcome were confirmed without a write, its runner would drop
        it although no page stores it, and the key would run again.
        """
        subject = build_writer()
        receive(subject, 1, builders.build_grant('b1', 'swan/b'))
        subject.handle(READ_EMPTY, 0)
        subject.handle(writer.WriteAccepted(1), 5)
        receive(subject, 2, builders.build_outcome(), 60)
        commands = subject.handle(writer.TimerExpired(), 600)
        self.assertEqual([writer.ReadPage()], commands)

    def test_proposals_share_writes_at_the_write_interval(self) -> None:
        subject = build_writer()
        receive(subject, 0, builders.build_grant('a0', 'swan/0'))
        subject.handle(READ_EMPTY, 0)
        for number in range(1, 100):
            grant = builders.build_grant(f'a{number}', f'swan/{number}')
            self.assertEqual([], receive(subject, number, grant, 1))
        commands = subject.handle(writer.WriteAccepted(1), 5)
        self.assertEqual(writer.SetTimer(50), commands[-1])
        write = find_write(subject.handle(writer.TimerExpired(), 50))
        self.assertEqual(100, len(write.page.records))
        confirmed = subject.handle(writer.WriteAccepted(2), 55)
        self.assertEqual(99, len(confirmed))

    def test_outcome_waits_for_a_grant_up_to_a_limit(self) -> None:
        subject = build_writer()
        receive(subject, 1, builders.build_grant())
        subject.handle(READ_EMPTY, 0)
        subject.handle(writer.WriteAccepted(1), 5)
        commands = receive(subject, 2, builders.build_outcome(), 100)
        self.assertEqual([writer.SetTimer(600)], commands)
        find_write(subject.handle(writer.TimerExpired(), 600))

    def test_failed_read_rejects_the_queue_immediately(self) -> None:
        """The platform is down; callers must not wait for its recovery."""
        for written in (False, True):
            with self.subTest(written=written):
                subject = build_writer()
                receive(subject, 1, builders.build_grant())
                if written:
                    subject.handle(READ_EMPTY, 0)
                    subject.handle(writer.WriteUnanswered(), 5)
                commands = subject.handle(writer.ReadFailed(200), 9)
                verdict = messages.LedgerUnavailable('a1', 200, written)
                self.assertEqual([writer.Reply(1, verdict)], commands)
                self.assertTrue(subject.idle)
