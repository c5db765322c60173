"""Tests of which entries are asked to write a ledger page."""

from __future__ import annotations

import asyncio
import typing
import unittest

from tests import builders
from tests.application import fakes
from tests.application import fleet
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application.ledger import router as ledger_router
from thornspool.domain.actions import messages

GRANTED = messages.GrantGiven('attempt-1', 1, False)
GRANT = messages.GrantRequest(
    1, 1, 'alpha/1', 'attempt-1', 'entry-000-1', 'tcp://entry-000:7000', ''
)
TIMEOUT_MS = 5_000
SLOW_MS = 1_500


class Writers:
    """Other entries; the faults are those of one question after another.

    Faults: 'died' refuses at once, 'silent' answers nothing, 'slow' works
    on it for long, 'lost' never heard of it.
    """

    def __init__(self, faults: list[str]) -> None:
        self.asked: list[str] = []
        self.wrote_here = 0
        self._faults = faults
        self._fault = ''
        me, *self._others = fleet.build_members(5)
        self._clock = builders.FakeClock()
        self.router = ledger_router.LedgerRouter(
            self._clock,
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
    ) -> object:
        if isinstance(message, messages.ProposalQuery):
            if self._fault == 'silent':
                await self._say_nothing(timeout_ms)
            return messages.ProposalReport('', self._fault == 'slow')
        self.asked.append(address)
        self._fault = self._faults.pop(0) if self._faults else ''
        if self._fault == 'died':
            raise exceptions.PeerUnreachable('died')
        if self._fault in ('silent', 'lost'):
            await self._say_nothing(timeout_ms)
        if self._fault == 'slow':
            await asyncio.sleep(SLOW_MS / 1000)
        return GRANTED

    async def _say_nothing(self, timeout_ms: int) -> None:
        await asyncio.sleep(timeout_ms / 1000)
        raise exceptions.PeerUnreachable('silent')

    async def propose(self, proposal: messages.Proposal) -> messages.Verdict:
        self.wrote_here += 1
        return GRANTED

    def run(self) -> None:
        """Have a grant decided."""
        verdict = fakes.run(
            self._clock, self.router.propose(GRANT, TIMEOUT_MS)
        )
        assert verdict == GRANTED


class LedgerRouterTest(unittest.TestCase):
    def test_who_is_asked_when_the_preferred_writer_fails(self) -> None:
        """An entry that writes a page first dies, freezes or is slow.

        If each entry then wrote by itself, most would be refused by version
        and their callers wait for rounds of writes. One that is slow, for
        instance since the platform is, must be waited for.
        """
        table = (
            ('lives', [], 1, 1, 0),
            ('died', ['died'], 2, 2, 0),
            ('two died', ['died', 'died'], 2, 2, 1),
            ('silent', ['silent'], 2, 2, 0),
            ('slow', ['slow'], 1, 1, 0),
            ('lost', ['lost'], 1, 2, 0),
            ('lost twice', ['lost', 'lost'], 1, 2, 1),
        )
        for name, faults, writers, questions, wrote_here in table:
            with self.subTest(name):
                others = Writers(list(faults))
                others.run()
                self.assertEqual(writers, len(set(others.asked)))
                self.assertEqual(questions, len(others.asked))
                self.assertEqual(wrote_here, others.wrote_here)
