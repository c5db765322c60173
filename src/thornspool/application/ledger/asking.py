"""Asks another entry to write a page, and notices when it never will."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs

from thornspool.domain.actions import messages

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module
    from thornspool.application import ports
    from thornspool.application.ledger import writing as ledger


@attrs.frozen
class AskingSettings:
    """Bounds of a question.

    Attributes
    ----------
    check_ms, max_check_ms : int
        First and longest time without an answer until the writer is asked
        whether it works on it.
    sign_ms : int
        Longest wait for its word on that.
    """

    check_ms: int = 60
    max_check_ms: int = 480
    sign_ms: int = 100


class LedgerAsking:
    """Asks other writers, and answers when this entry is asked.

    When the platform is slow, all writers answer late. If each entry took
    that for a dead writer and wrote the page itself, most writes would be
    refused by version and repeated, and the slow platform would get several
    times its calls; one notices by writes that rise while actions are
    refused. So a writer is asked whether it works on a proposal, and waited
    for as long as it says so.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    peers : ports.Peers
        Messages to other entries; handlers are registered with it.
    local : ledger.Ledger
        Page writers of this entry.
    settings : AskingSettings
        Bounds.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        peers: ports.Peers,
        local: ledger.Ledger,
        settings: AskingSettings,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._local = local
        self._settings = settings
        self._open: collections.Counter[str] = collections.Counter()
        for message_type in (
            messages.GrantRequest,
            messages.OutcomeRecord,
            messages.GrantRelease,
        ):
            peers.handle(message_type, self._serve)
        peers.handle(messages.ProposalQuery, self._answer_query)

    async def ask(
        self, address: str, proposal: messages.Proposal, timeout_ms: int
    ) -> messages.Verdict | None:
        """Have a writer decide a proposal.

        Returns
        -------
        messages.Verdict or None
            None when it lives and does not work on it: a message was lost,
            or time is up.

        Raises
        ------
        PeerUnreachable
            It is gone or silent; it may still decide the proposal.
        """
        end = self._clock.now() + timeout_ms
        asking = asyncio.ensure_future(
            self._peers.ask(address, proposal, timeout_ms)
        )
        try:
            return await self._follow(asking, address, proposal.attempt, end)
        finally:
            asking.cancel()

    async def _follow(
        self,
        asking: asyncio.Future[messages.Verdict],
        address: str,
        attempt: str,
        end: int,
    ) -> messages.Verdict | None:
        check_ms = self._settings.check_ms
        while (left := end - self._clock.now()) > 0:
            wait_ms = min(check_ms, left)
            await asyncio.wait({asking}, timeout=wait_ms / 1000)
            if asking.done():
                return asking.result()
            works = await self._is_open_at(address, attempt)
            # Its answer may have come before its word.
            if asking.done():
                return asking.result()
            if not works:
                return None
            check_ms = min(2 * check_ms, self._settings.max_check_ms)
        return None

    async def _is_open_at(self, address: str, attempt: str) -> bool:
        report: messages.ProposalReport = await self._peers.ask(
            address, messages.ProposalQuery(attempt), self._settings.sign_ms
        )
        return report.is_open

    async def _serve(
        self, sender: str, proposal: messages.Proposal
    ) -> messages.Verdict:
        self._open[proposal.attempt] += 1
        try:
            return await self._local.propose(proposal)
        finally:
            self._open[proposal.attempt] -= 1
            if not self._open[proposal.attempt]:
                del self._open[proposal.attempt]

    async def _answer_query(
        self, sender: str, query: messages.ProposalQuery
    ) -> messages.ProposalReport:
        is_open = query.attempt in self._open
        return messages.ProposalReport(query.attempt, is_open)
