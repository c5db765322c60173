"""Quarantine of requests that crash targets, coordinated by all entries."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.limits import ownership
from thornspool.domain.quarantine import completions
from thornspool.domain.quarantine import fingerprints
from thornspool.domain.quarantine import messages
from thornspool.domain.quarantine import ownership_history
from thornspool.domain.quarantine import records
from thornspool.domain.quarantine import reservations

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Set as AbstractSet

    from thornspool import clock as clock_module

PEER_TIMEOUT_MS = 500
SYNC_INTERVAL_MS = 3000
OWNER_SETTLE_MS = ownership_history.SETTLE_MS
DEFAULT_TRIAL_MS = 60_000
MAX_SYNC_RECORDS = 256
_INITIAL_SYNC_PEERS = 3
_MS_PER_S = 1000.0

logger = structlog.get_logger()


@attrs.define(eq=False)
class _Trial:
    """Trial of a request on the targets that are reserved for it.

    Attributes
    ----------
    names : tuple of str
        Those of its fingerprint and the parts of its prompt that are
        suspects.
    targets : tuple of str
        Names of the targets.
    started : bool
        Whether it was sent.
    """

    names: tuple[str, ...]
    targets: tuple[str, ...]
    started: bool = False


class QuarantineService:
    """Prevents requests that crash targets from running again.

    Parameters
    ----------
    members : MemberView
        Entries in view.
    incarnation : str
        Incarnation of the local entry.
    peers : Peers
        Messaging between entries.
    clock : thornspool.clock.Clock
        Source of the monotonic time.
    draw : callable
        Returns random numbers from 0 to 1, used to choose peers.
    suspect_deaths : int, optional
        Deaths of targets from which on a request is a suspect.
    max_sync_records : int, optional
        Largest number of records in a reply to a peer.

    Attributes
    ----------
    verdicts : collections.Counter of str
        Number of verdicts returned since the start, by name.
    """

    def __init__(
        self,
        members: ports.MemberView,
        incarnation: str,
        peers: ports.Peers,
        clock: clock_module.Clock,
        draw: Callable[[], float],
        suspect_deaths: int = 1,
        max_sync_records: int = MAX_SYNC_RECORDS,
    ) -> None:
        self._members = members
        self._incarnation = incarnation
        self._peers = peers
        self._clock = clock
        self._draw = draw
        self._max_sync_records = max_sync_records
        self._records = records.QuarantineRecords(incarnation, suspect_deaths)
        self._reservations = reservations.Reservations()
        self._completed = completions.CompletedRequests()
        self._trials: dict[str, _Trial] = {}
        self.verdicts = collections.Counter(clear=0, suspect=0, condemned=0)
        self._on_suspects: Callable[[frozenset[str]], None] = lambda _: None
        self._has_proof: Callable[[str], bool] = lambda part: False
        self._ownership = ownership_history.OwnershipHistory(
            incarnation, clock.now()
        )
        peers.handle(messages.QuarantineNews, self._handle_update)
        peers.handle(messages.QuarantineDigest, self._handle_digest)
        peers.handle(messages.ReservationRequest, self._handle_reservation)
        peers.handle(messages.ReservationRelease, self._handle_release)

    def check(
        self, fingerprint: str, parts: tuple[str, ...] = ()
    ) -> messages.Verdict:
        """Return the verdict on a request before its placement.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        parts : tuple of str, optional
            Names of the parts of its prompt.
        """
        verdict = self._judge((fingerprint, *parts))
        self.verdicts[type(verdict).__name__.lower()] += 1
        return verdict

    def _judge(self, names: tuple[str, ...]) -> messages.Verdict:
        """Return the strictest verdict on the names of a request."""
        now = self._clock.now()
        found: messages.Verdict = messages.Clear()
        for name in names:
            others = frozenset(names) - {name}
            verdict = self._records.check(name, now, others)
            if isinstance(verdict, messages.Condemned):
                return verdict
            if isinstance(verdict, messages.Suspect):
                found = verdict
        return found

    def list_condemned(self, names: Iterable[str]) -> list[str]:
        """List those of the names that are condemned by themselves."""
        now = self._clock.now()
        return [
            name
            for name in names
            if isinstance(self._records.check(name, now), messages.Condemned)
        ]

    def count_deaths(self, name: str, others: Iterable[str] = ()) -> int:
        """Count the targets that a request or a part may have crashed.

        Parameters
        ----------
        name : str
            Fingerprint of the request, or name of a part of its prompt.
        others : iterable of str, optional
            Other names of the same request.
        """
        return self._records.count_deaths(
            name, self._clock.now(), frozenset(others) - {name}
        )

    def condemn(self, fingerprint: str) -> None:
        """Apply a verdict that was kept since an earlier time."""
        self._records.condemn(fingerprint, self._clock.now())

    def forget(self, fingerprint: str) -> None:
        """Drop the record of a request at this entry."""
        self._records.forget(fingerprint)

    def record_refusal(self, fingerprint: str) -> None:
        """Record that a condemned request came again and was refused."""
        update = self._records.record_refusal(fingerprint, self._clock.now())
        if update is not None:
            self._broadcast(update)

    def set_suspect_handler(
        self, handler: Callable[[frozenset[str]], None]
    ) -> None:
        """Set the callback that receives new suspects and condemned requests.

        Parameters
        ----------
        handler : callable
            Called with the fingerprints.
        """
        self._on_suspects = handler

    def set_proof(self, find: Callable[[str], bool]) -> None:
        """Set what tells whether a part of prompts ran well at this entry.

        Parameters
        ----------
        find : callable
            Called with the name of the part.
        """
        self._has_proof = find

    def _contradict(self, update: messages.QuarantineNews) -> None:
        """Report the parts of prompts that ran well at this entry.

        An entry that has just started, or that gets few requests with a part,
        has no proof of it when a target dies.
        """
        now = self._clock.now()
        names = [
            record.fingerprint
            for record in update.records
            if fingerprints.is_part(record.fingerprint)
            and self._has_proof(record.fingerprint)
            and self._records.mark_proven(record.fingerprint, now)
        ]
        if names:
            self._broadcast(self._records.describe(names, now))

    def _report_suspects(self, update: messages.QuarantineNews) -> None:
        now = self._clock.now()
        suspects = frozenset(
            record.fingerprint
            for record in update.records
            if not isinstance(
                self._records.check(record.fingerprint, now), messages.Clear
            )
        )
        if suspects:
            self._on_suspects(suspects)

    def has_completed_recently(self, fingerprint: str) -> bool:
        """Return whether a request recently completed via this entry."""
        return fingerprint in self._completed

    @property
    def record_count(self) -> int:
        """Number of requests that have a record."""
        return self._records.count

    async def reserve_run_on(
        self,
        fingerprint: str,
        target: str,
        longest_ms: int = DEFAULT_TRIAL_MS,
    ) -> bool:
        """Return whether a request may run on a target now.

        See `reserve_run_on_all`.
        """
        return await self.reserve_run_on_all(
            fingerprint, (target,), longest_ms
        )

    async def reserve_run_on_all(
        self,
        fingerprint: str,
        targets: tuple[str, ...],
        longest_ms: int = DEFAULT_TRIAL_MS,
    ) -> bool:
        """Return whether a request may run on all given targets now.

        A suspect may run only on trial. Its fingerprint and the targets are
        reserved for the trial, with a message to the entry that owns each
        name. After a result of True, the caller must call `record_start` and
        `record_end` for each target.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        targets : tuple of str
            Names of the targets, which are the stages of one route.
        longest_ms : int, optional
            Maximum duration of the run, in milliseconds.
        """
        found = await self.reserve_trial((fingerprint,), targets, longest_ms)
        return found is not None

    async def reserve_trial(
        self, names: tuple[str, ...], targets: tuple[str, ...], longest_ms: int
    ) -> tuple[str, ...] | None:
        """Reserve targets for a request whose names may include suspects.

        Parameters
        ----------
        names : tuple of str
            Fingerprint of the request and names of the parts of its prompt.
        targets : tuple of str
            Names of the targets, which are the stages of one route.
        longest_ms : int
            Maximum duration of the run, in milliseconds.

        Returns
        -------
        tuple of str or None
            The names on trial, empty if it needs no trial; None if the
            request may not run on these targets now.
        """
        verdict = self.check(names[0], names[1:])
        if isinstance(verdict, messages.Clear):
            return ()
        if isinstance(verdict, messages.Condemned):
            return None
        suspects = self._list_suspects(names)
        # Any part that never ran well may be the cause of a death.
        suspects += tuple(
            name
            for name in names
            if name not in suspects
            and fingerprints.is_part(name)
            and not self._has_proof(name)
        )
        if not self._may_try(suspects, targets):
            return None
        trial = _Trial(suspects, targets)
        self._trials.update(dict.fromkeys(suspects, trial))
        reserved = False
        try:
            reserved = await self._reserve_all(names, trial, longest_ms)
        finally:
            # Also runs when the caller cancels during the reservation:
            # unused reservations would delay the other suspects.
            if not reserved:
                self._end_trial(trial)
        return suspects if reserved else None

    def _list_suspects(self, names: tuple[str, ...]) -> tuple[str, ...]:
        now = self._clock.now()
        return tuple(
            name
            for name in names
            if isinstance(
                self._records.check(name, now, frozenset(names) - {name}),
                messages.Suspect,
            )
        )

    def _may_try(
        self, suspects: tuple[str, ...], targets: tuple[str, ...]
    ) -> bool:
        now = self._clock.now()
        if any(
            name in self._trials
            or self._records.is_awaiting_verdict(name, now)
            for name in suspects
        ):
            return False
        return not any(
            one in trial.targets
            for trial in self._trials.values()
            for one in targets
        )

    async def _reserve_all(
        self, names: tuple[str, ...], trial: _Trial, longest_ms: int
    ) -> bool:
        for name in _list_reserved_names(trial):
            if not await self._reserve(name, longest_ms):
                return False
        # The verdict may have changed during the reservation.
        verdict = self.check(names[0], names[1:])
        return not isinstance(verdict, messages.Condemned)

    def may_send(self, fingerprint: str, target: str) -> bool:
        """Return whether a call may be sent to a target at this moment.

        Callers check this again just before the first byte, since a target
        may have died while running the same request after the call was
        placed and before it received its grant. A trial allows one send.
        """
        verdict = self._records.check(fingerprint, self._clock.now())
        if isinstance(verdict, messages.Clear):
            return True
        trial = self._find_trial(fingerprint, target)
        is_condemned = isinstance(verdict, messages.Condemned)
        return trial is not None and not trial.started and not is_condemned

    def record_start(self, fingerprint: str, target: str) -> bool:
        """Record that a request starts on a target.

        Returns
        -------
        bool
            Whether the request runs on trial there.
        """
        trial = self._find_trial(fingerprint, target)
        if trial is None:
            return False
        trial.started = True
        logger.info('quarantine_trial', fingerprint=fingerprint, target=target)
        return True

    def find_trial(self, fingerprint: str) -> object | None:
        """Return the trial for `abandon_trial`, or None if there is none."""
        return self._trials.get(fingerprint)

    def abandon_trial(self, fingerprint: str, trial: object) -> None:
        """End a trial that has not started.

        A trial that has started, or a later trial of the same request, is
        left unchanged.
        """
        current = self._trials.get(fingerprint)
        if current is trial and current is not None and not current.started:
            self._end_trial(current)

    def _find_trial(self, fingerprint: str, target: str) -> _Trial | None:
        trial = self._trials.get(fingerprint)
        return trial if trial and target in trial.targets else None

    def record_end(
        self, fingerprint: str, target: str, succeeded: bool
    ) -> None:
        """Record that a request ended on a target.

        The first call for a trial ends the trial on all its targets.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        target : str
            Name of the target.
        succeeded : bool
            Whether the target completed the request and still runs; this
            clears a suspect.
        """
        trial = self._find_trial(fingerprint, target)
        if trial is not None:
            self._end_trial(trial)
        if succeeded:
            self.record_completion(fingerprint)

    def record_completion(self, fingerprint: str) -> None:
        """Record that a target completed a request and still runs."""
        self._completed.add(fingerprint)
        self.clear(fingerprint)

    def clear(self, name: str, at: int | None = None) -> None:
        """Clear a request, or a part of prompts, of its deaths.

        Parameters
        ----------
        name : str
            Fingerprint of the request, or name of the part.
        at : int, optional
            Time up to which deaths are cleared, in monotonic milliseconds;
            now by default.
        """
        update = self._records.record_completion(name, self._clock.now(), at)
        if update is not None:
            self._broadcast(update)

    def record_crash(
        self,
        target: str,
        names: Iterable[str],
        undecided: AbstractSet[str] = frozenset(),
    ) -> None:
        """Record that a target died.

        Call this before `record_end` of the requests in flight on it.

        Parameters
        ----------
        target : str
            Name of the target.
        names : iterable of str
            Fingerprints of this entry's requests on the target, and parts of
            their prompts that may have caused its death.
        undecided : set of str, optional
            Names on trial there, of which the caller reports later whether
            the trial may be the cause.
        """
        in_flight = frozenset(names)
        for one in in_flight:
            self._completed.discard(one)
        on_trial = frozenset(
            one
            for one in in_flight
            if one not in undecided and self._find_trial(one, target)
        )
        logger.warning(
            'quarantine_death',
            target=target,
            in_flight=len(in_flight),
            on_trial=len(on_trial),
        )
        proven = frozenset(
            one
            for one in in_flight
            if fingerprints.is_part(one) and self._has_proof(one)
        )
        update = self._records.record_death(
            target, in_flight, on_trial, self._clock.now(), proven
        )
        self._broadcast(update)
        self._report_suspects(update)

    async def fetch_initial_records(self) -> None:
        """Fetch the records of a few peers before serving."""
        others = self._list_others()[:_INITIAL_SYNC_PEERS]
        await asyncio.gather(*(self._sync_with(one) for one in others))

    async def sync_once(self) -> None:
        """Fetch the records of one random peer if they differ.

        This recovers from lost state updates.
        """
        self._refresh_view()
        others = self._list_others()
        if others:
            await self._sync_with(others[int(self._draw() * len(others))])

    async def run(self) -> None:
        """Fetch the initial records, then synchronize periodically."""
        await self.fetch_initial_records()
        while True:
            await asyncio.sleep(SYNC_INTERVAL_MS / _MS_PER_S)
            await self.sync_once()

    async def _sync_with(self, peer: ports.Member) -> None:
        digest = self._records.compute_digest(self._clock.now())
        try:
            update = await self._peers.request(
                peer.peer_address,
                messages.QuarantineDigest(digest),
                PEER_TIMEOUT_MS,
            )
        except exceptions.PeerUnreachable:
            return
        self._records.merge(update, self._clock.now())
        self._contradict(update)

    def _broadcast(self, update: messages.QuarantineNews) -> None:
        for member in self._list_others():
            self._peers.send(member.peer_address, update)

    async def _reserve(self, name: str, ttl_ms: int) -> bool:
        request = messages.ReservationRequest(name, self._incarnation, ttl_ms)
        owner = ownership.find_owner(name, self._refresh_view())
        if owner == self._incarnation:
            local_reply = await self._handle_reservation(owner, request)
            return local_reply.reserved
        member = self._members.find(owner)
        if member is None:
            return False
        try:
            reply = await self._peers.request(
                member.peer_address, request, PEER_TIMEOUT_MS
            )
        except exceptions.PeerUnreachable:
            return False
        return bool(reply.reserved)

    def _end_trial(self, trial: _Trial) -> None:
        for name in trial.names:
            del self._trials[name]
        now = self._clock.now()
        names = [_describe_target(target) for target in trial.targets]
        # After a death in its trial the request stays reserved until the
        # reservation expires. Otherwise an entry that has not yet received
        # the update about the death would start another trial and lose one
        # more target.
        names += [
            _describe_request(name)
            for name in trial.names
            if not self._records.is_awaiting_verdict(name, now)
        ]
        for name in names:
            release = messages.ReservationRelease(name, self._incarnation)
            owner = ownership.find_owner(name, self._refresh_view())
            member = self._members.find(owner)
            if owner == self._incarnation or member is None:
                self._reservations.release(name, self._incarnation)
            else:
                self._peers.send(member.peer_address, release)

    def _refresh_view(self) -> tuple[str, ...]:
        view = tuple(
            member.incarnation
            for member in self._members.list_members()
            if member.state is not ports.MemberState.DEAD
        ) or (self._incarnation,)
        self._ownership.record_view(view, self._clock.now())
        return view

    def _list_others(self) -> list[ports.Member]:
        return [
            member
            for member in self._members.list_members()
            if member.incarnation != self._incarnation
            and member.state is not ports.MemberState.DEAD
        ]

    async def _handle_update(
        self, _sender: str, update: messages.QuarantineNews
    ) -> None:
        self._records.merge(update, self._clock.now())
        self._contradict(update)
        self._report_suspects(update)

    async def _handle_digest(
        self, _sender: str, request: messages.QuarantineDigest
    ) -> messages.QuarantineNews:
        now = self._clock.now()
        if request.digest == self._records.compute_digest(now):
            return messages.QuarantineNews(())
        return self._records.describe_latest(now, self._max_sync_records)

    async def _handle_reservation(
        self, _sender: str, request: messages.ReservationRequest
    ) -> messages.ReservationReply:
        now = self._clock.now()
        self._refresh_view()
        reserved = self._ownership.has_settled(
            request.name, now
        ) and self._reservations.reserve(
            request.name, request.holder, request.ttl_ms, now
        )
        return messages.ReservationReply(reserved)

    async def _handle_release(
        self, _sender: str, release: messages.ReservationRelease
    ) -> None:
        self._reservations.release(release.name, release.holder)


def _list_reserved_names(trial: _Trial) -> list[str]:
    # All entries reserve in the same order. Otherwise two suspects could
    # each hold a target that the other needs.
    return [
        *(_describe_request(name) for name in sorted(trial.names)),
        *(_describe_target(target) for target in sorted(trial.targets)),
    ]


def _describe_request(name: str) -> str:
    return f'request {name}'


def _describe_target(target: str) -> str:
    return f'target {target}'
