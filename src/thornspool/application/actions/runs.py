"""Execution of this entry's attempts on ledger, peers and targets."""

from __future__ import annotations

import asyncio
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import runner

if typing.TYPE_CHECKING:
    from thornspool import clock
    from thornspool.application.actions import requests as action_requests
    from thornspool.application.ledger import router as ledger_router
    from thornspool.domain.actions import results

logger = structlog.get_logger(__name__)


@attrs.define
class _AttemptContext:
    """Data for the execution of an attempt's commands."""

    request: action_requests.ActionRequest
    event: events.ActionRequested
    answered: asyncio.Future[results.ActionResult]


@attrs.frozen
class InFlightAttempt:
    """An attempt whose result a caller awaits.

    Attributes
    ----------
    attempt : str
        Identifier of the attempt.
    answered : asyncio.Future
        Receives the result.
    joined : bool
        Whether the attempt was started for another call.
    """

    attempt: str
    answered: asyncio.Future[results.ActionResult]
    joined: bool


class ActionRuns:
    """Executes the commands of this entry's runner and feeds it events.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    peers : ports.Peers
        Transport of messages to other entries; a handler is registered.
    services : ports.Services
        Client for calls to services.
    member : ports.Member
        This entry.
    router : ledger_router.LedgerRouter
        Router to the writers of ledger pages.
    settings : action_requests.ActionSettings
        Limits.
    """

    def __init__(
        self,
        clock: clock.Clock,
        peers: ports.Peers,
        services: ports.Services,
        member: ports.Member,
        router: ledger_router.LedgerRouter,
        settings: action_requests.ActionSettings,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._services = services
        self._member = member
        self._router = router
        self._settings = settings
        self._contexts: dict[str, _AttemptContext] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.runner = runner.Runner(settings.attempts)
        peers.handle(messages.AttemptQuery, self._answer_query)

    def begin(
        self,
        request: action_requests.ActionRequest,
        event: events.ActionRequested,
    ) -> InFlightAttempt:
        """Start an attempt, or join the running attempt of the same key."""
        answered: asyncio.Future[results.ActionResult] = (
            asyncio.get_running_loop().create_future()
        )
        commands = self.runner.request(event, self._clock.now())
        if isinstance(commands[0], events.Join):
            running = commands[0].running
            return InFlightAttempt(
                running, self._contexts[running].answered, True
            )
        self._contexts[event.attempt] = _AttemptContext(
            request, event, answered
        )
        self._execute(event.attempt, commands)
        return InFlightAttempt(event.attempt, answered, False)

    def handle_deadline(self, attempt: str) -> None:
        """Notify the runner that a caller's deadline has passed."""
        self._handle(events.DeadlinePassed(attempt))

    async def wait_for_progress(self, timeout_ms: int) -> None:
        """Wait until any task in flight ends or the timeout passes."""
        if not self._tasks:
            await asyncio.sleep(timeout_ms / 1000)
            return
        await asyncio.wait(
            self._tasks,
            timeout=timeout_ms / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )

    def _handle(self, event: events.RunnerEvent) -> None:
        commands = self.runner.handle(event, self._clock.now())
        self._execute(event.attempt, commands)

    def _execute(
        self, attempt: str, commands: list[events.RunnerCommand]
    ) -> None:
        context = self._contexts[attempt] if commands else None
        for command in commands:
            assert context is not None
            self._execute_one(context, command)
        if not self.runner.has_attempt(attempt):
            self._contexts.pop(attempt, None)

    def _execute_one(
        self, context: _AttemptContext, command: events.RunnerCommand
    ) -> None:
        if isinstance(command, events.Answer):
            if not context.answered.done():
                context.answered.set_result(command.result)
        elif isinstance(command, events.RequestGrant):
            self._start_task(self._request_grant(context, command))
        elif isinstance(command, events.QueryHolder):
            self._start_task(self._query_holder(context, command))
        elif isinstance(command, events.Dispatch):
            self._start_task(self._dispatch(context, command))
        elif isinstance(command, events.Settle):
            self._start_task(self._settle(command.proposal))

    def _start_task(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request_grant(
        self, context: _AttemptContext, command: events.RequestGrant
    ) -> None:
        event = context.event
        remaining_ms = max(event.deadline - self._clock.now(), 1)
        request = messages.GrantRequest(
            event.address.bucket,
            event.address.slot,
            event.name,
            event.attempt,
            self._member.incarnation,
            self._member.peer_address,
            event.digest,
            self._clock.wall() + remaining_ms,
            command.displaces,
            command.uncertain,
        )
        verdict = await self._router.propose(request, remaining_ms)
        if verdict is None:
            self._handle(events.LedgerTimedOut(event.attempt))
        else:
            self._handle(events.VerdictReceived(event.attempt, verdict))

    async def _query_holder(
        self, context: _AttemptContext, command: events.QueryHolder
    ) -> None:
        remaining_ms = max(context.event.deadline - self._clock.now(), 0)
        report = await self.query(
            command.holder,
            command.runner,
            command.runner_address,
            min(remaining_ms, self._settings.join_timeout_ms)
            if command.wait
            else 0,
        )
        self._handle(events.HolderReported(command.attempt, report))

    async def query(
        self, attempt: str, incarnation: str, address: str, wait_ms: int
    ) -> messages.AttemptReport:
        """Query the state of an attempt, GONE if its runner is unreachable."""
        query = messages.AttemptQuery(attempt, incarnation, wait_ms)
        if incarnation == self._member.incarnation:
            return await self._answer_query(incarnation, query)
        timeout = wait_ms + self._settings.router.reply_timeout_ms
        try:
            report: messages.AttemptReport = await self._peers.request(
                address, query, timeout
            )
        except exceptions.PeerUnreachable:
            return messages.AttemptReport(attempt, messages.AttemptState.GONE)
        return report

    async def _answer_query(
        self, sender: str, query: messages.AttemptQuery
    ) -> messages.AttemptReport:
        if query.runner != self._member.incarnation:
            # This process reuses the address of the queried runner and has
            # none of its attempts in memory, so it must not report "void".
            return messages.AttemptReport(
                query.attempt, messages.AttemptState.GONE
            )
        context = self._contexts.get(query.attempt)
        if context is not None and query.wait_ms:
            await asyncio.wait(
                {context.answered}, timeout=query.wait_ms / 1000
            )
        return self.runner.report(query.attempt)

    async def _dispatch(
        self, context: _AttemptContext, command: events.Dispatch
    ) -> None:
        request = context.request
        target = request.targets[command.target]
        service_call = ports.ServiceCall(
            url=target.url,
            service=request.service,
            operation=request.operation,
            workspace=request.workspace,
            key=request.key,
            fencing_token=command.fencing_token,
            body=request.body,
            timeout_ms=request.timeout_ms,
            target=target.name,
            fingerprint=request.fingerprint,
        )
        attempt = command.attempt
        try:
            answer = await self._services.call(service_call)
        except exceptions.TargetUnreachable:
            self._handle(events.TargetUnreachable(attempt))
        except exceptions.TargetResponseLost:
            self._handle(events.TargetResponseLost(attempt))
        except Exception:
            # The call may or may not have been sent, and an attempt that
            # never ends would hold its key forever.
            logger.exception('action_call_failed', attempt=attempt)
            self._handle(events.TargetResponseLost(attempt))
        else:
            outcome = records.Outcome(
                answer.status, answer.content_type, answer.body
            )
            self._handle(events.TargetAnswered(attempt, outcome))

    async def _settle(self, proposal: messages.Proposal) -> None:
        """Propose until the ledger confirms.

        The runner limits the number of open proposals.
        """
        backoff = self._settings.initial_settle_backoff_ms
        while True:
            verdict = await self._router.propose(
                proposal, self._settings.settle_timeout_ms
            )
            if verdict is not None and not isinstance(
                verdict, messages.LedgerUnavailable
            ):
                break
            await asyncio.sleep(backoff / 1000)
            backoff = min(backoff * 2, self._settings.max_settle_backoff_ms)
        self._handle(events.RecordConfirmed(proposal.attempt))
