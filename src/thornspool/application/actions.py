"""Use case: run a non-idempotent action at most once."""

from __future__ import annotations

import asyncio
import hashlib
import typing

import attrs
import structlog

from thornspool import identifiers
from thornspool.application import exceptions
from thornspool.application import ledger
from thornspool.application import ledger_router
from thornspool.application import ports
from thornspool.domain.actions import events
from thornspool.domain.actions import exceptions as actions_exceptions
from thornspool.domain.actions import keys
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results
from thornspool.domain.actions import runner
from thornspool.domain.actions import writer

if typing.TYPE_CHECKING:
    import random

    from thornspool import clock
    from thornspool.domain.configuration import documents

logger = structlog.get_logger(__name__)

_TIMER_SLACK_MS = 1
"""A timer may fire a fraction of a millisecond before the clock's time."""

ActionDone = results.ActionDone
ActionNotRun = results.ActionNotRun
ActionUnknown = results.ActionUnknown
ActionRefused = results.ActionRefused
ActionResult = results.ActionResult


@attrs.frozen
class ActionRequest:
    """A caller's wish to run an action.

    Attributes
    ----------
    workspace : str
        Workspace of the caller.
    service, operation : str
        What to call.
    key : str
        The caller's ``Idempotency-Key``.
    body : bytes
        Request body, JSON.
    deadline : int
        Monotonic milliseconds after which nothing is sent.
    targets : tuple of documents.Target
        Targets to try, in order.
    deduplicates : bool
        Whether the service itself runs a key at most once.
    timeout_ms : int
        Longest time for the target's whole answer.
    resent : bool
        Whether the caller says that it sent the key before.
    """

    workspace: str
    service: str
    operation: str
    key: str
    body: bytes
    deadline: int
    targets: tuple[documents.Target, ...]
    deduplicates: bool = False
    timeout_ms: int = 2_000
    resent: bool = False


@attrs.frozen
class ActionSettings:
    """Bounds of the service.

    Attributes
    ----------
    layout : keys.Layout
        Shape of the ledger; the same on every entry.
    pace : writer.Pace
        How fast a ledger page may be written.
    attempts : runner.RunnerSettings
        Bounds of attempts in memory.
    router : ledger_router.RouterSettings
        Bounds of asking other entries to write.
    join_ms : int
        Longest wait for another entry's attempt in one question.
    settle_ms : int
        Longest wait for the ledger to take an outcome or a release.
    settle_backoff_ms, max_settle_backoff_ms : int
        First and longest pause before it is tried again.
    """

    layout: keys.Layout = attrs.field(factory=keys.Layout)
    pace: writer.Pace = attrs.field(factory=writer.Pace)
    attempts: runner.RunnerSettings = attrs.field(
        factory=runner.RunnerSettings
    )
    router: ledger_router.RouterSettings = attrs.field(
        factory=ledger_router.RouterSettings
    )
    join_ms: int = 2_000
    settle_ms: int = 5_000
    settle_backoff_ms: int = 200
    max_settle_backoff_ms: int = 5_000


@attrs.define
class _Call:
    """What the edges need to know of an attempt."""

    request: ActionRequest
    event: events.ActionRequested
    answered: asyncio.Future[results.ActionResult]


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
        self._peers = peers
        self._services = services
        self._members = members
        self._member = member
        self._random = random_source
        self._settings = settings or ActionSettings()
        self._ledger = ledger.Ledger(
            clock, platform, self._settings.layout, self._settings.pace
        )
        self._router = ledger_router.LedgerRouter(
            clock,
            peers,
            members,
            member,
            self._ledger,
            self._settings.router,
        )
        self._runner = runner.Runner(self._settings.attempts)
        self._calls: dict[str, _Call] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        peers.handle(messages.AttemptQuery, self._answer_query)

    @property
    def open_count(self) -> int:
        """Number of attempts and records that are not settled."""
        return self._runner.open_count

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
        self._runner.move_horizon(self._clock.wall())
        event = self._describe(request, key)
        answered: asyncio.Future[results.ActionResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._calls[event.attempt] = _Call(request, event, answered)
        commands = self._runner.request(event, self._clock.now())
        if isinstance(commands[0], events.Join):
            del self._calls[event.attempt]
            return await self._join(commands[0].running, request)
        self._carry_out(event.attempt, commands)
        return await self._wait(event.attempt, answered, request.deadline)

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
            left = end - self._clock.now()
            if not self._tasks:
                break
            await asyncio.wait(
                self._tasks,
                timeout=left / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
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
            digest=_digest(request),
            deadline=request.deadline,
            targets=len(request.targets),
            deduplicates=request.deduplicates,
            resent=request.resent,
            bound_time=key.time if key.incarnation else 0,
        )

    async def _join(
        self, running: str, request: ActionRequest
    ) -> results.ActionResult:
        answered = self._calls[running].answered
        result = await self._wait(running, answered, request.deadline)
        if isinstance(result, results.ActionDone):
            return attrs.evolve(result, replayed=True)
        return result

    async def _wait(
        self,
        attempt: str,
        answered: asyncio.Future[results.ActionResult],
        deadline: int,
    ) -> results.ActionResult:
        left = max(deadline - self._clock.now(), 0) + _TIMER_SLACK_MS
        await asyncio.wait({answered}, timeout=left / 1000)
        if not answered.done():
            self._feed(events.DeadlinePassed(attempt))
        if answered.done():
            return answered.result()
        return self._say_unknown(results.UNKNOWN_RUNNING)

    def _say_unknown(self, reason: str) -> results.ActionUnknown:
        wait = self._settings.attempts.retry_after_ms
        return results.ActionUnknown(reason, wait)

    def _look_up_bound(self, key: keys.ActionKey) -> results.ActionResult:
        if key.incarnation != self._member.incarnation:
            return self._point_elsewhere(key)
        return self._runner.look_up_bound(key.name)

    async def _look_up_record(
        self, record: records.Record | None
    ) -> results.ActionResult:
        if record is None or record.state is records.RecordState.VOIDED:
            return self._say_unknown(results.UNKNOWN_NO_RECORD)
        outcome = record.outcome
        if outcome is None:
            report = await self._query(
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

    def _feed(self, event: events.RunnerEvent) -> None:
        commands = self._runner.handle(event, self._clock.now())
        self._carry_out(event.attempt, commands)

    def _carry_out(
        self, attempt: str, commands: list[events.RunnerCommand]
    ) -> None:
        call = self._calls[attempt] if commands else None
        for command in commands:
            assert call is not None
            self._carry_out_one(call, command)
        if not self._runner.knows(attempt):
            self._calls.pop(attempt, None)

    def _carry_out_one(
        self, call: _Call, command: events.RunnerCommand
    ) -> None:
        if isinstance(command, events.Answer):
            if not call.answered.done():
                call.answered.set_result(command.result)
        elif isinstance(command, events.RequestGrant):
            self._start(self._request_grant(call, command))
        elif isinstance(command, events.AskHolder):
            self._start(self._ask_holder(call, command))
        elif isinstance(command, events.Dispatch):
            self._start(self._dispatch(call, command))
        elif isinstance(command, events.Settle):
            self._start(self._settle(command.proposal))

    def _start(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request_grant(
        self, call: _Call, command: events.RequestGrant
    ) -> None:
        event = call.event
        left = max(event.deadline - self._clock.now(), 1)
        request = messages.GrantRequest(
            event.address.bucket,
            event.address.slot,
            event.name,
            event.attempt,
            self._member.incarnation,
            self._member.peer_address,
            event.digest,
            self._clock.wall() + left,
            command.displaces,
            command.uncertain,
        )
        verdict = await self._router.propose(request, left)
        if verdict is None:
            self._feed(events.LedgerSilent(event.attempt))
        else:
            self._feed(events.LedgerAnswered(event.attempt, verdict))

    async def _ask_holder(
        self, call: _Call, command: events.AskHolder
    ) -> None:
        left = max(call.event.deadline - self._clock.now(), 0)
        report = await self._query(
            command.holder,
            command.runner,
            command.runner_address,
            min(left, self._settings.join_ms) if command.wait else 0,
        )
        self._feed(events.HolderAnswered(command.attempt, report))

    async def _query(
        self, attempt: str, runner_name: str, address: str, wait_ms: int
    ) -> messages.AttemptReport:
        query = messages.AttemptQuery(attempt, runner_name, wait_ms)
        if runner_name == self._member.incarnation:
            return await self._answer_query(runner_name, query)
        timeout = wait_ms + self._settings.router.ask_ms
        try:
            report: messages.AttemptReport = await self._peers.ask(
                address, query, timeout
            )
        except exceptions.PeerUnreachable:
            return messages.AttemptReport(attempt, messages.AttemptState.GONE)
        return report

    async def _answer_query(
        self, sender: str, query: messages.AttemptQuery
    ) -> messages.AttemptReport:
        if query.runner != self._member.incarnation:
            # This process took over the address of the one that is asked;
            # it knows nothing of its attempts, and must not say "void".
            return messages.AttemptReport(
                query.attempt, messages.AttemptState.GONE
            )
        call = self._calls.get(query.attempt)
        if call is not None and query.wait_ms:
            await asyncio.wait({call.answered}, timeout=query.wait_ms / 1000)
        return self._runner.report(query.attempt)

    async def _dispatch(self, call: _Call, command: events.Dispatch) -> None:
        request = call.request
        service_call = ports.ServiceCall(
            url=request.targets[command.target].url,
            operation=request.operation,
            workspace=request.workspace,
            key=request.key,
            fencing_token=command.fencing_token,
            body=request.body,
            timeout_ms=request.timeout_ms,
        )
        attempt = command.attempt
        try:
            answer = await self._services.call(service_call)
        except exceptions.TargetNotReached:
            self._feed(events.TargetUnreached(attempt))
        except exceptions.TargetAnswerLost:
            self._feed(events.TargetLost(attempt))
        except Exception:
            # Nothing is known of how far the call came, and an attempt
            # without an end would hold its key for good.
            logger.exception('action_call_failed', attempt=attempt)
            self._feed(events.TargetLost(attempt))
        else:
            outcome = records.Outcome(
                answer.status, answer.content_type, answer.body
            )
            self._feed(events.TargetAnswered(attempt, outcome))

    async def _settle(self, proposal: messages.Proposal) -> None:
        """Propose until the ledger has taken it; bounded by the runner."""
        backoff = self._settings.settle_backoff_ms
        while True:
            verdict = await self._router.propose(
                proposal, self._settings.settle_ms
            )
            if verdict is not None and not isinstance(
                verdict, messages.LedgerUnavailable
            ):
                break
            await asyncio.sleep(backoff / 1000)
            backoff = min(backoff * 2, self._settings.max_settle_backoff_ms)
        self._feed(events.RecordConfirmed(proposal.attempt))


def _digest(request: ActionRequest) -> str:
    """Return a digest of what the key stands for."""
    parts = (request.service, request.operation)
    head = '\0'.join(parts).encode() + b'\0'
    return hashlib.blake2b(head + request.body, digest_size=16).hexdigest()
