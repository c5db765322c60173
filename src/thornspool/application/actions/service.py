"""Use case: run a non-idempotent action at most once."""

from __future__ import annotations

import asyncio
import typing

import attrs

from thornspool import identifiers
from thornspool.application import exceptions
from thornspool.application.actions import requests as action_requests
from thornspool.application.actions import runs as action_runs
from thornspool.application.ledger import page_writers
from thornspool.application.ledger import router as ledger_router
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
"""A timer may fire a fraction of a millisecond early."""

ActionRequest = action_requests.ActionRequest
ActionSettings = action_requests.ActionSettings
ActionDone = results.ActionDone
ActionNotRun = results.ActionNotRun
ActionUnknown = results.ActionUnknown
ActionRefused = results.ActionRefused
ActionResult = results.ActionResult


class ActionService:
    """Runs actions on this entry and reports them to other entries.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    platform : ports.Platform
        The platform's key-value service.
    peers : ports.Peers
        Transport of messages to other entries; handlers are registered.
    services : ports.Services
        Client for calls to services.
    members : ports.MemberView
        This entry's view of the members.
    member : ports.Member
        This entry.
    random_source : random.Random
        Source of attempt identifiers.
    settings : ActionSettings, optional
        Limits.
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
        self._ledger = page_writers.Ledger(
            clock, platform, self._settings.layout, self._settings.write_limits
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
        """Number of open attempts and of unconfirmed releases."""
        return self._runs.runner.open_count

    def record_platform_recovery(self) -> None:
        """Admit ledger proposals again after an outage of the platform."""
        self._ledger.record_platform_recovery()

    async def run(self, request: ActionRequest) -> results.ActionResult:
        """Run an action, or join, replay or refuse it.

        Parameters
        ----------
        request : ActionRequest
            The request.

        Returns
        -------
        results.ActionResult
            The result for the caller; errors are results too.
        """
        try:
            key = keys.parse_key(
                request.workspace, request.key, self._clock.wall()
            )
        except actions_exceptions.KeyRefused as error:
            return results.ActionRefused(str(error))
        if key.incarnation not in ('', self._member.incarnation):
            return self._answer_foreign_key(key)
        self._runs.runner.move_horizon(self._clock.wall())
        in_flight = self._runs.begin(request, self._build_event(request, key))
        result = await self._wait(in_flight, request.deadline)
        if in_flight.joined and isinstance(result, results.ActionDone):
            return attrs.evolve(result, replayed=True)
        return result

    async def look_up(self, workspace: str, key: str) -> results.ActionResult:
        """Return the recorded result of a key without running anything.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        key : str
            The caller's ``Idempotency-Key``.

        Returns
        -------
        results.ActionResult
            Never ``ActionNotRun``: a call with the key may still arrive.
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
            return self._build_unknown(results.UNKNOWN_UNCHECKED)
        if page.slot > address.slot:
            return self._build_unknown(results.UNKNOWN_DROPPED)
        if page.slot < address.slot:
            return self._build_unknown(results.UNKNOWN_NO_RECORD)
        return await self._look_up_record(page.records.get(parsed.name))

    def mint_key(self) -> str:
        """Create a key that only this process may run.

        Such a key needs no ledger, so callers can use it during an outage of
        the platform. It must be sent to this entry, and its outcome is lost
        when this process ends.

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
        """Wait for open attempts and unconfirmed releases.

        Parameters
        ----------
        timeout_ms : int
            Maximum time to wait.

        Returns
        -------
        bool
            Whether none is left.
        """
        end = self._clock.now() + timeout_ms
        while self.open_count and self._clock.now() < end:
            await self._runs.wait_for_progress(end - self._clock.now())
        return not self.open_count

    def _answer_foreign_key(self, key: keys.ActionKey) -> results.ActionResult:
        """Return the result of a key that is bound to another process."""
        owner = self._members.find(key.incarnation)
        if owner is None:
            return self._build_unknown(results.UNKNOWN_RUNNER_GONE)
        reason = f'{results.REFUSED_ELSEWHERE} It is at {owner.caller_url}.'
        return results.ActionRefused(reason)

    def _build_event(
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
            is_resent=request.is_resent or self._may_be_resent(key),
            bound_time=key.time if key.incarnation else 0,
        )

    def _may_be_resent(self, key: keys.ActionKey) -> bool:
        """Return whether a key is old enough to have been sent before.

        A caller may resend a key whose first call has run while the ledger
        can not be read. "Not run" would then be wrong; it is only returned
        for keys so new that no earlier call can have made progress.
        """
        return (
            self._clock.wall() - key.time > self._settings.max_new_key_age_ms
        )

    async def _wait(
        self, in_flight: action_runs.InFlightAttempt, deadline: int
    ) -> results.ActionResult:
        answered = in_flight.answered
        remaining_ms = max(deadline - self._clock.now(), 0) + _TIMER_SLACK_MS
        await asyncio.wait({answered}, timeout=remaining_ms / 1000)
        if not answered.done():
            self._runs.handle_deadline(in_flight.attempt)
        if answered.done():
            return answered.result()
        return self._build_unknown(results.UNKNOWN_RUNNING)

    def _build_unknown(self, reason: str) -> results.ActionUnknown:
        wait = self._settings.attempts.retry_after_ms
        return results.ActionUnknown(reason, wait)

    def _look_up_bound(self, key: keys.ActionKey) -> results.ActionResult:
        if key.incarnation != self._member.incarnation:
            return self._answer_foreign_key(key)
        return self._runs.runner.look_up_bound(key.name)

    async def _look_up_record(
        self, record: records.Record | None
    ) -> results.ActionResult:
        if record is None or record.state is records.RecordState.VOIDED:
            return self._build_unknown(results.UNKNOWN_NO_RECORD)
        outcome = record.outcome
        if outcome is None:
            report = await self._runs.query(
                record.attempt, record.runner, record.runner_address, 0
            )
            outcome = report.outcome
            if report.state is messages.AttemptState.VOID:
                return self._build_unknown(results.UNKNOWN_NO_RECORD)
            if report.state is messages.AttemptState.GONE:
                return self._build_unknown(results.UNKNOWN_RUNNER_GONE)
        if outcome is None:
            return self._build_unknown(results.UNKNOWN_RUNNING)
        if not outcome.known:
            return self._build_unknown(results.UNKNOWN_ANSWER_LOST)
        return results.replay(outcome)
