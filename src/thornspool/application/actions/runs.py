"""Attempts of this entry, carried out on ledger, peers and targets."""

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
class _Call:
    """What the edges need to know of an attempt."""

    request: action_requests.ActionRequest
    event: events.ActionRequested
    answered: asyncio.Future[results.ActionResult]


@attrs.frozen
class Flight:
    """An attempt that a caller waits for.

    Attributes
    ----------
    attempt : str
        The attempt.
    answered : asyncio.Future
        Gets the result.
    joined : bool
        Whether the attempt was made for another call.
    """

    attempt: str
    answered: asyncio.Future[results.ActionResult]
    joined: bool


class ActionRuns:
    """The runner of this entry and the edges that it commands.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    peers : ports.Peers
        Messages to other entries; a handler is registered with it.
    services : ports.Services
        Calls to plain services.
    member : ports.Member
        This entry.
    router : ledger_router.LedgerRouter
        Writers of ledger pages.
    settings : action_requests.ActionSettings
        Bounds.
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
        self._calls: dict[str, _Call] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.runner = runner.Runner(settings.attempts)
        peers.handle(messages.AttemptQuery, self._answer_query)

    def begin(
        self,
        request: action_requests.ActionRequest,
        event: events.ActionRequested,
    ) -> Flight:
        """Start an attempt, or join the one that is under way."""
        answered: asyncio.Future[results.ActionResult] = (
            asyncio.get_running_loop().create_future()
        )
        commands = self.runner.request(event, self._clock.now())
        if isinstance(commands[0], events.Join):
            running = commands[0].running
            return Flight(running, self._calls[running].answered, True)
        self._calls[event.attempt] = _Call(request, event, answered)
        self._carry_out(event.attempt, commands)
        return Flight(event.attempt, answered, False)

    def pass_deadline(self, attempt: str) -> None:
        """Take in that a caller's time is up."""
        self._feed(events.DeadlinePassed(attempt))

    async def wait_for_progress(self, timeout_ms: int) -> None:
        """Wait until some work in flight has ended."""
        if not self._tasks:
            await asyncio.sleep(timeout_ms / 1000)
            return
        await asyncio.wait(
            self._tasks,
            timeout=timeout_ms / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )

    def _feed(self, event: events.RunnerEvent) -> None:
        commands = self.runner.handle(event, self._clock.now())
        self._carry_out(event.attempt, commands)

    def _carry_out(
        self, attempt: str, commands: list[events.RunnerCommand]
    ) -> None:
        call = self._calls[attempt] if commands else None
        for command in commands:
            assert call is not None
            self._carry_out_one(call, command)
        if not self.runner.knows(attempt):
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
        report = await self.query(
            command.holder,
            command.runner,
            command.runner_address,
            min(left, self._settings.join_ms) if command.wait else 0,
        )
        self._feed(events.HolderAnswered(command.attempt, report))

    async def query(
        self, attempt: str, runner_name: str, address: str, wait_ms: int
    ) -> messages.AttemptReport:
        """Ask an attempt's runner how far it is; GONE when it is silent."""
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
        return self.runner.report(query.attempt)

    async def _dispatch(self, call: _Call, command: events.Dispatch) -> None:
        request = call.request
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
