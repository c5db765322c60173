"""Tests of group commit into one page."""

from __future__ import annotations

import unittest

from tests.domain.actions import builders
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import writer

READ_EMPTY = writer.PageRead(records.EMPTY_PAGE, 0)


def build_writer() -> writer.PageWriter:
    return writer.PageWriter(4, writer.Pace())


def receive(
    page_writer: writer.PageWriter,
    number: int,
    proposal: messages.Proposal,
    now: int = 0,
) -> list[writer.WriterCommand]:
    return page_writer.handle(writer.ProposalReceived(number, proposal), now)


def find_write(commands: list[writer.WriterCommand]) -> writer.WritePage:
    """Return the only write among commands."""
    (write,) = [c for c in commands if isinstance(c, writer.WritePage)]
    return write


class PageWriterTest(unittest.TestCase):
    def test_lost_write_is_never_taken_for_not_done(self) -> None:
        """A write's answer is lost and the read shows the old version.

        The write may still land. Telling the runner "not granted" would
        leave a grant behind that nobody expects; the caller would see
        "not run" for a hold that could have been placed.
        """
        page_writer = build_writer()
        receive(page_writer, 1, builders.build_grant())
        first = find_write(page_writer.handle(READ_EMPTY, 0))
        read = page_writer.handle(writer.WriteUnanswered(), 5)
        self.assertEqual([writer.ReadPage()], read)
        self.assertEqual([writer.Wake(50)], page_writer.handle(READ_EMPTY, 10))
        again = find_write(page_writer.handle(writer.TimePassed(), 50))
        self.assertEqual(first, again)
        # Now the first write lands, so the second one conflicts.
        page_writer.handle(writer.WriteRefused(), 55)
        replies = page_writer.handle(writer.PageRead(first.page, 1), 100)
        given = messages.GrantGiven('a1', 1, False)
        self.assertEqual([writer.Reply(1, given)], replies)

    def test_conflict_decides_each_proposal_anew(self) -> None:
        """Two entries believe that they are a page's writer.

        The loser's proposals meet the winner's records; a grant that was
        carried over unseen would run a key twice.
        """
        page_writer = build_writer()
        receive(page_writer, 1, builders.build_grant())
        receive(page_writer, 2, builders.build_grant('b1', 'swan/b'))
        find_write(page_writer.handle(READ_EMPTY, 0))
        page_writer.handle(writer.WriteRefused(), 5)
        theirs = records.Record(records.RecordState.GRANTED, 'x', digest='one')
        page = records.Page(4, 7, {'swan/a': theirs})
        page_writer.handle(writer.PageRead(page, 3), 8)
        commands = page_writer.handle(writer.TimePassed(), 50)
        found = messages.RecordFound('a1', theirs)
        self.assertEqual(writer.Reply(1, found), commands[0])
        write = find_write(commands)
        self.assertEqual(3, write.expected_version)
        self.assertEqual({'swan/a', 'swan/b'}, set(write.page.records))

    def test_outcome_is_not_confirmed_on_an_old_page(self) -> None:
        """Another entry wrote the grant after this writer read the page.

        Confirmed here without a write, the outcome would be nowhere, its
        runner would forget it, and the key would run again.
        """
        page_writer = build_writer()
        receive(page_writer, 1, builders.build_grant('b1', 'swan/b'))
        page_writer.handle(READ_EMPTY, 0)
        page_writer.handle(writer.WriteAccepted(1), 5)
        receive(page_writer, 2, builders.build_outcome(), 60)
        commands = page_writer.handle(writer.TimePassed(), 600)
        self.assertEqual([writer.ReadPage()], commands)

    def test_proposals_share_writes_and_keep_the_pace(self) -> None:
        page_writer = build_writer()
        receive(page_writer, 0, builders.build_grant('a0', 'swan/0'))
        page_writer.handle(READ_EMPTY, 0)
        for number in range(1, 100):
            grant = builders.build_grant(f'a{number}', f'swan/{number}')
            self.assertEqual([], receive(page_writer, number, grant, 1))
        commands = page_writer.handle(writer.WriteAccepted(1), 5)
        self.assertEqual(writer.Wake(50), commands[-1])
        write = find_write(page_writer.handle(writer.TimePassed(), 50))
        self.assertEqual(100, len(write.page.records))
        confirmed = page_writer.handle(writer.WriteAccepted(2), 55)
        self.assertEqual(99, len(confirmed))

    def test_outcome_waits_for_a_grant_but_not_for_ever(self) -> None:
        page_writer = build_writer()
        receive(page_writer, 1, builders.build_grant())
        page_writer.handle(READ_EMPTY, 0)
        page_writer.handle(writer.WriteAccepted(1), 5)
        commands = receive(page_writer, 2, builders.build_outcome(), 100)
        self.assertEqual([writer.Wake(600)], commands)
        find_write(page_writer.handle(writer.TimePassed(), 600))

    def test_failed_read_refuses_at_once(self) -> None:
        """The platform is down; a caller must not wait for its return."""
        for written in (False, True):
            with self.subTest(written=written):
                page_writer = build_writer()
                receive(page_writer, 1, builders.build_grant())
                if written:
                    page_writer.handle(READ_EMPTY, 0)
                    page_writer.handle(writer.WriteUnanswered(), 5)
                commands = page_writer.handle(writer.ReadFailed(200), 9)
                verdict = messages.LedgerUnavailable('a1', 200, written)
                self.assertEqual([writer.Reply(1, verdict)], commands)
                self.assertTrue(page_writer.idle)
