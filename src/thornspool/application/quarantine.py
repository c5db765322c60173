"""Quarantine of requests that crash targets, over all entries."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.limits import ownership
from thornspool.domain.quarantine import messages
from thornspool.domain.quarantine import proven
from thornspool.domain.quarantine import records
from thornspool.domain.quarantine import reservations
from thornspool.domain.quarantine import tenure

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool import clock as clock_module

ASK_TIMEOUT_MS = 500
COMPARE_INTERVAL_MS = 3000
SETTLE_MS = tenure.SETTLE_MS
DEFAULT_TRIAL_MS = 60_000
MAX_TOLD_RECORDS = 256
_FIRST_PEERS = 3
_MS_PER_S = 1000.0

logger = structlog.get_logger()


@attrs.define(eq=False)
class _Trial:
    """Targets that are kept for one suspect."""

    targets: tuple[str, ...]
    started: bool = False


class QuarantineService:
    """Keeps requests that crash targets from running again.

    Parameters
    ----------
    members : MemberView
        The entries in view.
    incarnation : str
        This entry's own.
    peers : Peers
        Messages between entries.
    clock : thornspool.clock.Clock
        Time.
    draw : callable
        Returns random numbers from 0 to 1, to choose peers.

    Attributes
    ----------
    verdicts : collections.Counter of str
        Verdicts given since the start, by name.
    """

    def __init__(
        self,
        members: ports.MemberView,
        incarnation: str,
        peers: ports.Peers,
        clock: clock_module.Clock,
        draw: Callable[[], float],
    ) -> None:
        self._members = members
        self._incarnation = incarnation
        self._peers = peers
        self._clock = clock
        self._draw = draw
        self._records = records.QuarantineRecords(incarnation)
        self._reservations = reservations.Reservations()
        self._proven = proven.ProvenRequests()
        self._trials: dict[str, _Trial] = {}
        self.verdicts = collections.Counter(clear=0, suspect=0, condemned=0)
        self._leave: Callable[[frozenset[str]], None] = lambda _: None
        self._tenure = tenure.Tenure(incarnation, clock.now())
        peers.handle(messages.QuarantineNews, self._take_news)
        peers.handle(messages.QuarantineDigest, self._answer_digest)
        peers.handle(messages.ReservationRequest, self._answer_reservation)
        peers.handle(messages.ReservationRelease, self._take_release)

    def check(self, fingerprint: str) -> messages.Verdict:
        """Say whether a request may run; asked before it is placed."""
        verdict = self._records.check(fingerprint, self._clock.now())
        self.verdicts[type(verdict).__name__.lower()] += 1
        return verdict

    def leave_with(self, leave: Callable[[frozenset[str]], None]) -> None:
        """Set what is called with requests that came under suspicion."""
        self._leave = leave

    def _leave_suspects(self, news: messages.QuarantineNews) -> None:
        now = self._clock.now()
        suspects = frozenset(
            told.fingerprint
            for told in news.records
            if not isinstance(
                self._records.check(told.fingerprint, now), messages.Clear
            )
        )
        if suspects:
            self._leave(suspects)

    def is_proven(self, fingerprint: str) -> bool:
        """Say whether a request lately ran to its end from here."""
        return fingerprint in self._proven

    @property
    def record_count(self) -> int:
        """Number of requests that anything is known of."""
        return self._records.count

    async def may_run_on(
        self,
        fingerprint: str,
        target: str,
        longest_ms: int = DEFAULT_TRIAL_MS,
    ) -> bool:
        """Say whether a request may run on a target now.

        As `may_run_on_all`, for one target.
        """
        return await self.may_run_on_all(fingerprint, (target,), longest_ms)

    async def may_run_on_all(
        self,
        fingerprint: str,
        targets: tuple[str, ...],
        longest_ms: int = DEFAULT_TRIAL_MS,
    ) -> bool:
        """Say whether a request may run on all of some targets now.

        A suspect needs the targets and itself kept for this run, which
        takes a message to the entry that owns each name. After True,
        `start` and `finish` must follow for each target.

        Parameters
        ----------
        fingerprint : str
            The request.
        targets : tuple of str
            Names of the targets; the stages of one route.
        longest_ms : int, optional
            Longest time of the run, in milliseconds.
        """
        verdict = self.check(fingerprint)
        if isinstance(verdict, messages.Clear):
            return True
        if isinstance(verdict, messages.Condemned):
            return False
        if self._records.is_awaiting_verdict(fingerprint, self._clock.now()):
            return False
        if fingerprint in self._trials or self._is_on_trial(targets):
            return False
        self._trials[fingerprint] = _Trial(targets)
        kept = False
        try:
            kept = await self._reserve_all(fingerprint, targets, longest_ms)
        finally:
            # Also when the caller left while the owners were asked: targets
            # kept for nobody would hold up the other suspects.
            if not kept:
                self._end_trial(fingerprint)
        return kept

    def _is_on_trial(self, targets: tuple[str, ...]) -> bool:
        return any(
            one in trial.targets
            for trial in self._trials.values()
            for one in targets
        )

    async def _reserve_all(
        self, fingerprint: str, targets: tuple[str, ...], longest_ms: int
    ) -> bool:
        for name in _name_trial(fingerprint, targets):
            if not await self._reserve(name, longest_ms):
                return False
        # The verdict may have changed while the owners were asked.
        return not isinstance(self.check(fingerprint), messages.Condemned)

    def may_send(self, fingerprint: str, target: str) -> bool:
        """Say whether a call may be sent to a target at this moment.

        Asked once more just before the first byte: a target may have died
        under the same request while the call waited for its grant. A trial
        is for one sending.
        """
        verdict = self._records.check(fingerprint, self._clock.now())
        if isinstance(verdict, messages.Clear):
            return True
        trial = self._find_trial(fingerprint, target)
        is_condemned = isinstance(verdict, messages.Condemned)
        return trial is not None and not trial.started and not is_condemned

    def start(self, fingerprint: str, target: str) -> bool:
        """Note that a request starts on a target.

        Returns
        -------
        bool
            Whether it runs on trial there.
        """
        trial = self._find_trial(fingerprint, target)
        if trial is None:
            return False
        trial.started = True
        logger.info('quarantine_trial', fingerprint=fingerprint, target=target)
        return True

    def find_trial(self, fingerprint: str) -> object | None:
        """Return what `give_up` needs; None if the request is on no trial."""
        return self._trials.get(fingerprint)

    def give_up(self, fingerprint: str, trial: object) -> None:
        """End a trial that never started; any other is left as it is."""
        kept = self._trials.get(fingerprint)
        if kept is trial and kept is not None and not kept.started:
            self._end_trial(fingerprint)

    def _find_trial(self, fingerprint: str, target: str) -> _Trial | None:
        trial = self._trials.get(fingerprint)
        return trial if trial and target in trial.targets else None

    def finish(self, fingerprint: str, target: str, succeeded: bool) -> None:
        """Note that a request ended on a target.

        Parameters
        ----------
        fingerprint : str
            The request.
        target : str
            Name of the target.
        succeeded : bool
            Whether the target ran it to its end and lives; this clears a
            suspect. The first call of it ends the trial on all targets.
        """
        if self._find_trial(fingerprint, target):
            self._end_trial(fingerprint)
        if succeeded:
            self.clear(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Note that a target ran a request to its end and lives."""
        self._proven.add(fingerprint)
        news = self._records.note_finish(fingerprint, self._clock.now())
        if news is not None:
            self._tell_all(news)

    def note_death(self, target: str, fingerprints: Iterable[str]) -> None:
        """Note that a target died, and what was in flight on it from here.

        Called before `finish` of these requests.
        """
        in_flight = frozenset(fingerprints)
        for one in in_flight:
            self._proven.discard(one)
        on_trial = frozenset(
            one for one in in_flight if self._find_trial(one, target)
        )
        logger.warning(
            'quarantine_death',
            target=target,
            in_flight=len(in_flight),
            on_trial=len(on_trial),
        )
        news = self._records.note_death(
            target, in_flight, on_trial, self._clock.now()
        )
        self._tell_all(news)
        self._leave_suspects(news)

    async def start_up(self) -> None:
        """Ask a few peers for what they know before serving."""
        others = self._list_others()[:_FIRST_PEERS]
        await asyncio.gather(*(self._compare(one) for one in others))

    async def compare_once(self) -> None:
        """Compare with one random peer, for news that was lost."""
        self._refresh_view()
        others = self._list_others()
        if others:
            await self._compare(others[int(self._draw() * len(others))])

    async def run(self) -> None:
        """Ask at the start, then compare from time to time."""
        await self.start_up()
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_MS / _MS_PER_S)
            await self.compare_once()

    async def _compare(self, peer: ports.Member) -> None:
        digest = self._records.compute_digest(self._clock.now())
        try:
            news = await self._peers.ask(
                peer.peer_address,
                messages.QuarantineDigest(digest),
                ASK_TIMEOUT_MS,
            )
        except exceptions.PeerUnreachable:
            return
        self._records.merge(news, self._clock.now())

    def _tell_all(self, news: messages.QuarantineNews) -> None:
        for member in self._list_others():
            self._peers.tell(member.peer_address, news)

    async def _reserve(self, name: str, ttl_ms: int) -> bool:
        request = messages.ReservationRequest(name, self._incarnation, ttl_ms)
        owner = ownership.find_owner(name, self._refresh_view())
        if owner == self._incarnation:
            reply = await self._answer_reservation(owner, request)
            return reply.reserved
        member = self._members.find(owner)
        if member is None:
            return False
        try:
            answer = await self._peers.ask(
                member.peer_address, request, ASK_TIMEOUT_MS
            )
        except exceptions.PeerUnreachable:
            return False
        return bool(answer.reserved)

    def _end_trial(self, fingerprint: str) -> None:
        targets = self._trials.pop(fingerprint).targets
        request_name, *names = _name_trial(fingerprint, targets)
        # After a death under its trial the request stays kept until the
        # reservation ends: an entry that has not yet heard of the death
        # would try it again and lose one more target.
        if not self._records.is_awaiting_verdict(
            fingerprint, self._clock.now()
        ):
            names.append(request_name)
        for name in names:
            release = messages.ReservationRelease(name, self._incarnation)
            owner = ownership.find_owner(name, self._refresh_view())
            member = self._members.find(owner)
            if owner == self._incarnation or member is None:
                self._reservations.release(name, self._incarnation)
            else:
                self._peers.tell(member.peer_address, release)

    def _refresh_view(self) -> tuple[str, ...]:
        view = tuple(
            member.incarnation
            for member in self._members.list_members()
            if member.state is not ports.MemberState.DEAD
        ) or (self._incarnation,)
        self._tenure.note_view(view, self._clock.now())
        return view

    def _list_others(self) -> list[ports.Member]:
        return [
            member
            for member in self._members.list_members()
            if member.incarnation != self._incarnation
            and member.state is not ports.MemberState.DEAD
        ]

    async def _take_news(
        self, _sender: str, news: messages.QuarantineNews
    ) -> None:
        self._records.merge(news, self._clock.now())
        self._leave_suspects(news)

    async def _answer_digest(
        self, _sender: str, asked: messages.QuarantineDigest
    ) -> messages.QuarantineNews:
        now = self._clock.now()
        if asked.digest == self._records.compute_digest(now):
            return messages.QuarantineNews(())
        return self._records.describe_latest(now, MAX_TOLD_RECORDS)

    async def _answer_reservation(
        self, _sender: str, asked: messages.ReservationRequest
    ) -> messages.ReservationReply:
        now = self._clock.now()
        self._refresh_view()
        reserved = self._tenure.has_settled(
            asked.name, now
        ) and self._reservations.reserve(
            asked.name, asked.holder, asked.ttl_ms, now
        )
        return messages.ReservationReply(reserved)

    async def _take_release(
        self, _sender: str, release: messages.ReservationRelease
    ) -> None:
        self._reservations.release(release.name, release.holder)


def _name_trial(fingerprint: str, targets: tuple[str, ...]) -> list[str]:
    # In one order everywhere, or two suspects could each hold a target that
    # the other waits for.
    named = [f'target {target}' for target in sorted(targets)]
    return [f'request {fingerprint}', *named]
