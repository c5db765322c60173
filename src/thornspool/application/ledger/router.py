"""Which entry writes a ledger page, and what to do when it is silent."""

from __future__ import annotations

import asyncio
import typing

import attrs
import xxhash

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application.ledger import asking as ledger_asking
from thornspool.domain.actions import messages

if typing.TYPE_CHECKING:
    from thornspool import clock
    from thornspool.application.ledger import writing as ledger


_WRITERS_ASKED = 2


@attrs.frozen
class RouterSettings:
    """Bounds of a router.

    Attributes
    ----------
    ask_ms : int
        Longest wait for a reply that needs no work.
    avoid_ms : int
        How long a silent writer is passed over.
    """

    ask_ms: int = 300
    avoid_ms: int = 5_000
    asking: ledger_asking.AskingSettings = attrs.field(
        factory=ledger_asking.AskingSettings
    )


def choose_writer(
    members: typing.Iterable[ports.Member], bucket: int, slot: int
) -> ports.Member | None:
    """Return the entry that is asked first to write a page.

    Rendezvous hashing: entries whose views agree choose the same writer,
    so that grants share writes. Differing views cost a conflict, no more.
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
    """Sends proposals to the writers of their pages.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    peers : ports.Peers
        Messages to other entries.
    members : ports.MemberView
        Entries as seen from here.
    member : ports.Member
        This entry.
    local : ledger.Ledger
        Page writers of this entry.
    settings : RouterSettings
        Bounds.
    """

    def __init__(
        self,
        clock: clock.Clock,
        peers: ports.Peers,
        members: ports.MemberView,
        member: ports.Member,
        local: ledger.Ledger,
        settings: RouterSettings,
    ) -> None:
        self._clock = clock
        self._members = members
        self._member = member
        self._local = local
        self._settings = settings
        self._avoided: dict[str, int] = {}
        self._asking = ledger_asking.LedgerAsking(
            clock, peers, local, settings.asking
        )

    async def propose(
        self, proposal: messages.Proposal, timeout_ms: int
    ) -> messages.Verdict | None:
        """Have a proposal decided by some writer.

        Parameters
        ----------
        proposal : messages.Proposal
            What is wanted; deciding it twice is the same as once.
        timeout_ms : int
            Longest wait in all.

        Returns
        -------
        messages.Verdict or None
            None when nobody answered in time; the proposal may still be
            written then.
        """
        end = self._clock.now() + timeout_ms
        verdict, asked = await self._ask_writers(proposal, timeout_ms)
        if verdict is not None:
            return verdict
        left = max(end - self._clock.now(), 1)
        try:
            verdict = await asyncio.wait_for(
                self._local.propose(proposal), left / 1000
            )
        except TimeoutError:
            return None
        return _widen(verdict, asked)

    async def _ask_writers(
        self, proposal: messages.Proposal, timeout_ms: int
    ) -> tuple[messages.Verdict | None, bool]:
        """Ask the preferred writer and, if time is left, the one after it.

        When a writer dies, everybody who asked it learns so at once. If
        each then wrote the page itself, all but one would be refused by
        version, round after round; the next writer takes them together.

        Returns
        -------
        tuple
            The verdict, None if there is none, and whether anybody was
            asked.
        """
        end = self._clock.now() + timeout_ms
        asked = False
        for _ in range(_WRITERS_ASKED):
            left = end - self._clock.now()
            preferred = self._choose(proposal)
            if preferred is None or left <= 0:
                break
            asked = True
            verdict = await self._ask(preferred, proposal, left)
            if verdict is None:
                continue
            if _is_unavailable(verdict):
                break
            return verdict, asked
        return None, asked

    def _choose(self, proposal: messages.Proposal) -> ports.Member | None:
        """Return the preferred writer, None for this entry itself."""
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

    async def _ask(
        self,
        preferred: ports.Member,
        proposal: messages.Proposal,
        timeout_ms: int,
    ) -> messages.Verdict | None:
        try:
            return await self._asking.ask(
                preferred.peer_address, proposal, timeout_ms
            )
        except exceptions.PeerUnreachable:
            # A paused entry would cost each of its pages' actions a wait.
            until = self._clock.now() + self._settings.avoid_ms
            self._avoided[preferred.incarnation] = until
            return None


def _is_unavailable(verdict: messages.Verdict) -> bool:
    return isinstance(verdict, messages.LedgerUnavailable)


def _widen(verdict: messages.Verdict, asked: bool) -> messages.Verdict:
    """Say that a write is possible when another writer was asked before."""
    if asked and isinstance(verdict, messages.LedgerUnavailable):
        return attrs.evolve(verdict, maybe_written=True)
    return verdict
