"""Tests of the selection of writers for a ledger page."""

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
    """Fakes of the other entries, with one fault for each proposal in order.

    Faults: 'died' refuses immediately, 'unresponsive' answers nothing,
    'slow' decides the proposal late, 'lost' never received it.
    """

    def __init__(self, faults: list[str]) -> None:
        self.proposed_to: list[str] = []
        self.local_writes = 0
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
        """Ignore the handler."""

    def list_members(self) -> list[ports.Member]:
        return self._others

    async def request(
        self, address: str, message: object, timeout_ms: int
    ) -> object:
        if isinstance(message, messages.ProposalQuery):
            if self._fault == 'unresponsive':
                await self._time_out(timeout_ms)
            return messages.ProposalReport('', self._fault == 'slow')
        self.proposed_to.append(address)
        self._fault = self._faults.pop(0) if self._faults else ''
        if self._fault == 'died':
            raise exceptions.PeerUnreachable('died')
        if self._fault in ('unresponsive', 'lost'):
            await self._time_out(timeout_ms)
        if self._fault == 'slow':
            await asyncio.sleep(SLOW_MS / 1000)
        return GRANTED

    async def _time_out(self, timeout_ms: int) -> None:
        await asyncio.sleep(timeout_ms / 1000)
        raise exceptions.PeerUnreachable('unresponsive')

    async def propose(self, proposal: messages.Proposal) -> messages.Verdict:
        self.local_writes += 1
        return GRANTED

    def run(self) -> None:
        """Propose a grant and check its verdict."""
        verdict = fakes.run(
            self._clock, self.router.propose(GRANT, TIMEOUT_MS)
        )
        assert verdict == GRANTED


class LedgerRouterTest(unittest.TestCase):
    def test_writers_chosen_when_the_preferred_one_fails(self) -> None:
        """The preferred writer of a page dies, is unresponsive or is slow.

        If each entry then wrote the page itself, most writes would fail by
        version and be repeated while callers wait. A slow writer, for
        instance on a slow platform, must be waited for.
        """
        table = (
            ('none', [], 1, 1, 0),
            ('died', ['died'], 2, 2, 0),
            ('two died', ['died', 'died'], 2, 2, 1),
            ('unresponsive', ['unresponsive'], 2, 2, 0),
            ('slow', ['slow'], 1, 1, 0),
            ('lost', ['lost'], 1, 2, 0),
            ('lost twice', ['lost', 'lost'], 1, 2, 1),
        )
        for name, faults, writers, proposals, local_writes in table:
            with self.subTest(name):
                others = Writers(list(faults))
                others.run()
                self.assertEqual(writers, len(set(others.proposed_to)))
                self.assertEqual(proposals, len(others.proposed_to))
                self.assertEqual(local_writes, others.local_writes)
