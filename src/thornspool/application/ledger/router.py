"""Selection of the entry that writes a ledger page, and failover."""

from __future__ import annotations

import asyncio
import typing

import attrs
import xxhash

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application.ledger import remote_writers
from thornspool.domain.actions import messages

if typing.TYPE_CHECKING:
    from thornspool import clock
    from thornspool.application.ledger import page_writers


_MAX_REMOTE_WRITERS = 2


@attrs.frozen
class RouterSettings:
    """Time limits of a router.

    Attributes
    ----------
    reply_timeout_ms : int
        Maximum time to wait for a reply that needs no platform call.
    avoid_ms : int
        How long an unresponsive writer is not chosen.
    remote : remote_writers.RemoteWriterSettings
        Time limits of proposals to other entries.
    """

    reply_timeout_ms: int = 300
    avoid_ms: int = 5_000
    remote: remote_writers.RemoteWriterSettings = attrs.field(
        factory=remote_writers.RemoteWriterSettings
    )


def choose_writer(
    members: typing.Iterable[ports.Member], bucket: int, slot: int
) -> ports.Member | None:
    """Return the preferred writer of a page by rendezvous hashing.

    Entries with equal membership views choose the same writer, so that
    grants share writes. Different views only cause a write conflict.

    Parameters
    ----------
    members : iterable of ports.Member
        Entries to choose from.
    bucket, slot : int
        Address of the page.

    Returns
    -------
    ports.Member or None
        None when there are no members.
    """
    page = f'{bucket}/{slot}'
    return max(
        members,
        key=lambda member: xxhash.xxh64_intdigest(
            f'{member.incarnation}/{page}'.encode()
        ),
        default=None,
    )


class LedgerRouter:
    """Routes proposals to the writers of their pages.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    peers : ports.Peers
        Transport of messages to other entries.
    members : ports.MemberView
        This entry's view of the members.
    member : ports.Member
        This entry.
    local : page_writers.Ledger
        Page writers of this entry.
    settings : RouterSettings
        Time limits.
    """

    def __init__(
        self,
        clock: clock.Clock,
        peers: ports.Peers,
        members: ports.MemberView,
        member: ports.Member,
        local: page_writers.Ledger,
        settings: RouterSettings,
    ) -> None:
        self._clock = clock
        self._members = members
        self._member = member
        self._local = local
        self._settings = settings
        self._avoided: dict[str, int] = {}
        self._remote = remote_writers.RemoteWriters(
            clock, peers, local, settings.remote
        )

    async def propose(
        self, proposal: messages.Proposal, timeout_ms: int
    ) -> messages.Verdict | None:
        """Have a proposal decided by another writer or by this entry.

        Parameters
        ----------
        proposal : messages.Proposal
            The proposed change; deciding it again has no further effect.
        timeout_ms : int
            Maximum time to wait in all.

        Returns
        -------
        messages.Verdict or None
            None when no writer answered in time; the proposal may still be
            written.
        """
        end = self._clock.now() + timeout_ms
        verdict, was_sent = await self._propose_remotely(proposal, timeout_ms)
        if verdict is not None:
            return verdict
        remaining_ms = max(end - self._clock.now(), 1)
        try:
            verdict = await asyncio.wait_for(
                self._local.propose(proposal), remaining_ms / 1000
            )
        except TimeoutError:
            return None
        return _mark_maybe_written(verdict, was_sent)

    async def _propose_remotely(
        self, proposal: messages.Proposal, timeout_ms: int
    ) -> tuple[messages.Verdict | None, bool]:
        """Send a proposal to the preferred writer, then to the next one.

        When a writer fails, all entries with proposals there detect it at the
        same time. If each then wrote the page itself, all but one write would
        fail by version, repeatedly; the next preferred writer commits their
        proposals together.

        Returns
        -------
        tuple
            The verdict, None if there is none, and whether the proposal was
            sent to any writer.
        """
        end = self._clock.now() + timeout_ms
        was_sent = False
        for _ in range(_MAX_REMOTE_WRITERS):
            remaining_ms = end - self._clock.now()
            preferred = self._choose_remote_writer(proposal)
            if preferred is None or remaining_ms <= 0:
                break
            was_sent = True
            verdict = await self._propose_to(preferred, proposal, remaining_ms)
            if verdict is None:
                continue
            if _is_unavailable(verdict):
                break
            return verdict, was_sent
        return None, was_sent

    def _choose_remote_writer(
        self, proposal: messages.Proposal
    ) -> ports.Member | None:
        """Return the preferred writer, None if it is this entry."""
        now = self._clock.now()
        self._avoided = {
            name: until for name, until in self._avoided.items() if until > now
        }
        members = [
            member
            for member in self._members.list_members()
            if member.state is ports.MemberState.ALIVE
            and member.incarnation not in self._avoided
        ]
        chosen = choose_writer(members, proposal.bucket, proposal.slot)
        if chosen is None or chosen.incarnation == self._member.incarnation:
            return None
        return chosen

    async def _propose_to(
        self,
        preferred: ports.Member,
        proposal: messages.Proposal,
        timeout_ms: int,
    ) -> messages.Verdict | None:
        try:
            return await self._remote.propose(
                preferred.peer_address, proposal, timeout_ms
            )
        except exceptions.PeerUnreachable:
            # Otherwise each action on the pages of a suspended entry would
            # wait for it.
            until = self._clock.now() + self._settings.avoid_ms
            self._avoided[preferred.incarnation] = until
            return None


def _is_unavailable(verdict: messages.Verdict) -> bool:
    return isinstance(verdict, messages.LedgerUnavailable)


def _mark_maybe_written(
    verdict: messages.Verdict, was_sent: bool
) -> messages.Verdict:
    """Mark a failure as possibly written if the proposal was sent before."""
    if was_sent and isinstance(verdict, messages.LedgerUnavailable):
        return attrs.evolve(verdict, maybe_written=True)
    return verdict
