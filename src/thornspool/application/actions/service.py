"""Use case: run a non-idempotent action at most once."""

from __future__ import annotations

import asyncio
import typing

import attrs

from thornspool import identifiers
from thornspool.application import exceptions
from thornspool.application.actions import requests as action_requests
from thornspool.application.actions import runs as action_runs
from thornspool.application.ledger import router as ledger_router
from thornspool.application.ledger import writing as ledger
from thornspool.domain.actions import events
from thornspool.domain.actions import exceptions as actions_exceptions
from thornspool.domain.actions import keys
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results

if typing.TYPE_CHECKING:
    import random

    from thornspool import clock
    from thornspool.application import ports

_TIMER_SLACK_MS = 1
"""A timer may fire a fraction of a millisecond before the clock's time."""

ActionRequest = action_requests.ActionRequest
ActionSettings = action_requests.ActionSettings
ActionDone = results.ActionDone
ActionNotRun = results.ActionNotRun
ActionUnknown = results.ActionUnknown
ActionRefused = results.ActionRefused
ActionResult = results.ActionResult


class ActionService:
    """Runs actions on this entry and answers other entries about them.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    platform : ports.Platform
        The platform's key-value service.
    peers : ports.Peers
        Messages to other entries; handlers are registered with it.
    services : ports.Services
        Calls to plain services.
    members : ports.MemberView
        Entries as seen from here.
    member : ports.Member
        This entry.
    random_source : random.Random
        Source of attempt identifiers.
    settings : ActionSettings, optional
        Bounds.
    """

    def __init__(
        self,
        clock: clock.Clock,
        platform: ports.Platform,
        peers: ports.Peers,
        services: ports.Services,
        members: ports.MemberView,
        member: ports.Member,
        random_source: random.Random,
        settings: ActionSettings | None = None,
    ) -> None:
        self._clock = clock
        self._members = members
        self._member = member
        self._random = random_source
        self._settings = settings or ActionSettings()
        self._ledger = ledger.Ledger(
            clock, platform, self._settings.layout, self._settings.pace
        )
        router = ledger_router.LedgerRouter(
            clock,
            peers,
            members,
            member,
            self._ledger,
            self._settings.router,
        )
        self._runs = action_runs.ActionRuns(
            clock, peers, services, member, router, self._settings
        )

    @property
    def open_count(self) -> int:
        """Number of attempts and records that are not settled."""
        return self._runs.runner.open_count

    def note_platform_back(self) -> None:
        """Take in that an outage of the platform is over."""
        self._ledger.note_platform_back()

    async def run(self, request: ActionRequest) -> results.ActionResult:
        """Run an action, or join, replay or refuse it.

        Parameters
        ----------
        request : ActionRequest
            What to run.

        Returns
        -------
        results.ActionResult
            What the caller is to be told; errors are results too.
        """
        try:
            key = keys.parse_key(
                request.workspace, request.key, self._clock.wall()
            )
        except actions_exceptions.KeyRefused as error:
            return results.ActionRefused(str(error))
        if key.incarnation not in ('', self._member.incarnation):
            return self._point_elsewhere(key)
        self._runs.runner.move_horizon(self._clock.wall())
        flight = self._runs.begin(request, self._describe(request, key))
        result = await self._wait(flight, request.deadline)
        if flight.joined and isinstance(result, results.ActionDone):
            return attrs.evolve(result, replayed=True)
        return result

    async def look_up(self, workspace: str, key: str) -> results.ActionResult:
        """Tell what is on record of a key, without running anything.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        key : str
            The caller's ``Idempotency-Key``.

        Returns
        -------
        results.ActionResult
            Never ``ActionNotRun``: a call may still be on its way.
        """
        try:
            parsed = keys.parse_key(workspace, key, self._clock.wall())
        except actions_exceptions.KeyRefused as error:
            return results.ActionRefused(str(error))
        if parsed.incarnation:
            return self._look_up_bound(parsed)
        address = keys.locate_page(parsed, self._settings.layout)
        try:
            page = await self._ledger.read(address)
        except exceptions.PlatformError:
            return self._say_unknown(results.UNKNOWN_UNCHECKED)
        if page.slot > address.slot:
            return self._say_unknown(results.UNKNOWN_DROPPED)
        if page.slot < address.slot:
            return self._say_unknown(results.UNKNOWN_NO_RECORD)
        return await self._look_up_record(page.records.get(parsed.name))

    def mint_key(self) -> str:
        """Make a key that only this process may ever run.

        For callers during an outage of the platform: such a key needs no
        agreement. It has to be sent to this entry, and when this process
        ends, what became of the key can not be told.

        Returns
        -------
        str
            A UUID version 7 and this process's incarnation.
        """
        identifier = identifiers.make_uuid7(
            self._clock.wall(), self._random.getrandbits(74)
        )
        return keys.format_bound_key(identifier, self._member.incarnation)

    async def drain(self, timeout_ms: int) -> bool:
        """Wait for attempts in flight and records that are not settled.

        Parameters
        ----------
        timeout_ms : int
            Longest wait.

        Returns
        -------
        bool
            Whether everything is settled.
        """
        end = self._clock.now() + timeout_ms
        while self.open_count and self._clock.now() < end:
            await self._runs.wait_for_progress(end - self._clock.now())
        return not self.open_count

    def _point_elsewhere(self, key: keys.ActionKey) -> results.ActionResult:
        """Answer for a key that is bound to another process."""
        owner = self._members.find(key.incarnation)
        if owner is None:
            return self._say_unknown(results.UNKNOWN_RUNNER_GONE)
        reason = f'{results.REFUSED_ELSEWHERE} It is at {owner.caller_url}.'
        return results.ActionRefused(reason)

    def _describe(
        self, request: ActionRequest, key: keys.ActionKey
    ) -> events.ActionRequested:
        attempt = identifiers.make_uuid7(
            self._clock.wall(), self._random.getrandbits(74)
        )
        return events.ActionRequested(
            attempt=str(attempt),
            address=keys.locate_page(key, self._settings.layout),
            name=key.name,
            digest=action_requests.digest_request(request),
            deadline=request.deadline,
            targets=len(request.targets),
            deduplicates=request.deduplicates,
            resent=request.resent or self._is_aged(key),
            bound_time=key.time if key.incarnation else 0,
        )

    def _is_aged(self, key: keys.ActionKey) -> bool:
        """Return whether a key looks as if it had been sent before.

        A caller whose first call may have run sends its key again while the
        ledger can't be read. "Not run" would then be false; it is kept for
        keys so young that no earlier call can have come far.
        """
        return self._clock.wall() - key.time > self._settings.fresh_ms

    async def _wait(
        self, flight: action_runs.Flight, deadline: int
    ) -> results.ActionResult:
        answered = flight.answered
        left = max(deadline - self._clock.now(), 0) + _TIMER_SLACK_MS
        await asyncio.wait({answered}, timeout=left / 1000)
        if not answered.done():
            self._runs.pass_deadline(flight.attempt)
        if answered.done():
            return answered.result()
        return self._say_unknown(results.UNKNOWN_RUNNING)

    def _say_unknown(self, reason: str) -> results.ActionUnknown:
        wait = self._settings.attempts.retry_after_ms
        return results.ActionUnknown(reason, wait)

    def _look_up_bound(self, key: keys.ActionKey) -> results.ActionResult:
        if key.incarnation != self._member.incarnation:
            return self._point_elsewhere(key)
        return self._runs.runner.look_up_bound(key.name)

    async def _look_up_record(
        self, record: records.Record | None
    ) -> results.ActionResult:
        if record is None or record.state is records.RecordState.VOIDED:
            return self._say_unknown(results.UNKNOWN_NO_RECORD)
        outcome = record.outcome
        if outcome is None:
            report = await self._runs.query(
                record.attempt, record.runner, record.runner_address, 0
            )
            outcome = report.outcome
            if report.state is messages.AttemptState.VOID:
                return self._say_unknown(results.UNKNOWN_NO_RECORD)
            if report.state is messages.AttemptState.GONE:
                return self._say_unknown(results.UNKNOWN_RUNNER_GONE)
        if outcome is None:
            return self._say_unknown(results.UNKNOWN_RUNNING)
        if not outcome.known:
            return self._say_unknown(results.UNKNOWN_ANSWER_LOST)
        return results.replay(outcome)
