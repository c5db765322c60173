"""Proposals to page writers on other entries, with loss detection."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs

from thornspool.domain.actions import messages

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module
    from thornspool.application import ports
    from thornspool.application.ledger import page_writers


@attrs.frozen
class RemoteWriterSettings:
    """Time limits of a proposal to another entry.

    Attributes
    ----------
    check_ms, max_check_ms : int
        Initial and maximum time without a verdict until the writer is
        queried whether the proposal is open there.
    query_timeout_ms : int
        Maximum time to wait for the reply to that query.
    """

    check_ms: int = 60
    max_check_ms: int = 480
    query_timeout_ms: int = 100


class RemoteWriters:
    """Sends proposals to other writers and handles those of other entries.

    When the platform is slow, all writers answer late. If each entry treated
    a late writer as failed and wrote the page itself, most writes would fail
    by version and be repeated, and the slow platform would receive several
    times as many calls; writes would increase while actions are refused. An
    entry therefore queries whether a proposal is open at the writer, and
    waits for the writer as long as it is.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    peers : ports.Peers
        Messages to other entries; handlers are registered with it.
    local : page_writers.Ledger
        Page writers of this entry.
    settings : RemoteWriterSettings
        Time limits.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        peers: ports.Peers,
        local: page_writers.Ledger,
        settings: RemoteWriterSettings,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._local = local
        self._settings = settings
        self._open_proposals: collections.Counter[str] = collections.Counter()
        for message_type in (
            messages.GrantRequest,
            messages.OutcomeRecord,
            messages.GrantRelease,
        ):
            peers.handle(message_type, self._handle_proposal)
        peers.handle(messages.ProposalQuery, self._answer_query)

    async def propose(
        self, address: str, proposal: messages.Proposal, timeout_ms: int
    ) -> messages.Verdict | None:
        """Send a proposal to a writer and wait for its verdict.

        Parameters
        ----------
        address : str
            Peer address of the writer.
        proposal : messages.Proposal
            The proposed change.
        timeout_ms : int
            Maximum time to wait in all.

        Returns
        -------
        messages.Verdict or None
            None when the writer is alive but has no such open proposal,
            because a message was lost, or when the timeout has passed.

        Raises
        ------
        PeerUnreachable
            When the writer is gone or unresponsive; it may still decide the
            proposal.
        """
        end = self._clock.now() + timeout_ms
        reply = asyncio.ensure_future(
            self._peers.request(address, proposal, timeout_ms)
        )
        try:
            return await self._await_verdict(
                reply, address, proposal.attempt, end
            )
        finally:
            reply.cancel()

    async def _await_verdict(
        self,
        reply: asyncio.Future[messages.Verdict],
        address: str,
        attempt: str,
        end: int,
    ) -> messages.Verdict | None:
        check_ms = self._settings.check_ms
        while (remaining_ms := end - self._clock.now()) > 0:
            wait_ms = min(check_ms, remaining_ms)
            await asyncio.wait({reply}, timeout=wait_ms / 1000)
            if reply.done():
                return reply.result()
            is_open = await self._is_open_at(address, attempt)
            # The verdict may have arrived before the reply to the query.
            if reply.done():
                return reply.result()
            if not is_open:
                return None
            check_ms = min(2 * check_ms, self._settings.max_check_ms)
        return None

    async def _is_open_at(self, address: str, attempt: str) -> bool:
        report: messages.ProposalReport = await self._peers.request(
            address,
            messages.ProposalQuery(attempt),
            self._settings.query_timeout_ms,
        )
        return report.is_open

    async def _handle_proposal(
        self, sender: str, proposal: messages.Proposal
    ) -> messages.Verdict:
        self._open_proposals[proposal.attempt] += 1
        try:
            return await self._local.propose(proposal)
        finally:
            self._open_proposals[proposal.attempt] -= 1
            if not self._open_proposals[proposal.attempt]:
                del self._open_proposals[proposal.attempt]

    async def _answer_query(
        self, sender: str, query: messages.ProposalQuery
    ) -> messages.ProposalReport:
        is_open = query.attempt in self._open_proposals
        return messages.ProposalReport(query.attempt, is_open)
