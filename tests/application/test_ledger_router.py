"""Tests of which entries are asked to write a ledger page."""

from __future__ import annotations

import typing
import unittest

from tests import builders
from tests.application import fakes
from tests.application import fleet
from thornspool.application import exceptions
from thornspool.application import ledger_router
from thornspool.application import ports
from thornspool.domain.actions import messages
from thornspool.domain.actions import writer

GRANTED = messages.GrantGiven('attempt-1', 1, False)
GRANT = messages.GrantRequest(
    1, 1, 'alpha/1', 'attempt-1', 'entry-000-1', 'tcp://entry-000:7000', ''
)
TIMEOUT_MS = 5_000


class Writers:
    """Other entries, of which the first so many asked are gone."""

    def __init__(self, gone: int, silence_ms: int) -> None:
        self.clock = builders.FakeClock()
        self.asked: list[tuple[str, int]] = []
        self.wrote_here = 0
        self._gone = gone
        self._silence_ms = silence_ms
        me, *self._others = fleet.build_members(5)
        self.router = ledger_router.LedgerRouter(
            self.clock,
            typing.cast('typing.Any', self),
            typing.cast('typing.Any', self),
            me,
            typing.cast('typing.Any', self),
            ledger_router.RouterSettings(),
        )

    def handle(self, message_type: type, handler: object) -> None:
        """Take note of nothing."""

    def list_members(self) -> list[ports.Member]:
        return self._others

    async def ask(
        self, address: str, message: object, timeout_ms: int
    ) -> messages.Verdict:
        self.asked.append((address, timeout_ms))
        if len(self.asked) <= self._gone:
            self.clock.advance(min(self._silence_ms, timeout_ms))
            raise exceptions.PeerUnreachable('gone')
        return GRANTED

    async def propose(self, proposal: messages.Proposal) -> messages.Verdict:
        self.wrote_here += 1
        return GRANTED

    def run(self, proposal: messages.Proposal) -> None:
        """Have a proposal decided."""
        work = self.router.propose(proposal, TIMEOUT_MS)
        fakes.run(self.clock, work)


class LedgerRouterTest(unittest.TestCase):
    def test_who_writes_when_the_preferred_writer_is_gone(self) -> None:
        """An entry that writes a page first dies or freezes.

        After a death everybody knows at once; if each wrote by itself, most
        would be refused by version and their callers wait for rounds of
        writes. After a silence there is no time left for another one.
        """
        table = (
            ('lives', 0, 0, 1, 0),
            ('died', 1, 0, 2, 0),
            ('two died', 2, 0, 2, 1),
            ('silent', 1, TIMEOUT_MS, 1, 1),
        )
        for name, gone, silence_ms, asked, wrote_here in table:
            with self.subTest(name):
                writers = Writers(gone, silence_ms)
                writers.run(GRANT)
                self.assertEqual(asked, len({a for a, _ in writers.asked}))
                self.assertEqual(asked, len(writers.asked))
                self.assertEqual(wrote_here, writers.wrote_here)

    def test_kept_back_outcome_is_no_sign_of_a_silent_writer(self) -> None:
        """A writer keeps an outcome back to share the write of a grant.

        Taken for silent, it would be passed over for seconds, and several
        entries would write the page against each other.
        """
        writers = Writers(0, 0)
        writers.run(messages.GrantRelease(1, 1, 'alpha/1', 'attempt-1'))
        self.assertGreater(writers.asked[0][1], writer.Pace().lazy_ms)
