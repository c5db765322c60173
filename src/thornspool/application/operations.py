"""Operations of plain services, run in the way that is safe for each."""

from __future__ import annotations

import typing

import attrs

from thornspool.application import calls
from thornspool.application import service_trials
from thornspool.application.actions import service as actions
from thornspool.domain.actions import results
from thornspool.domain.quarantine import fingerprints
from thornspool.domain.quarantine import messages as quarantine_messages

if typing.TYPE_CHECKING:
    from thornspool import clock
    from thornspool.application import directory
    from thornspool.application import intake
    from thornspool.application import requests
    from thornspool.domain.configuration import documents

_RESENT = 'The key was sent before and this entry can not look it up now.'
_MAY_RUN = frozenset({results.UNKNOWN_NO_RECORD, results.UNKNOWN_UNCHECKED})


class OperationRunner:
    """Runs admitted operations.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    runners : intake.Runners
        The use cases of calls and actions.
    """

    def __init__(self, clock: clock.Clock, runners: intake.Runners) -> None:
        self._clock = clock
        self._runners = runners

    async def run(
        self,
        request: requests.OperationRequest,
        resolved: directory.ResolvedOperation,
    ) -> results.ActionResult:
        """Run an admitted operation in the way that is safe for it."""
        fingerprint = fingerprint_operation(request)
        if resolved.operation.idempotent:
            called = await self._runners.calls.call(
                resolved, request.body, fingerprint
            )
            return _describe_call(called)
        deadline = self._clock.now() + resolved.operation.timeout_ms

        def list_ready() -> tuple[documents.Target, ...]:
            return self._runners.list_ready(resolved.targets)

        if await self._is_settled(request, resolved, fingerprint):
            return await self._run_action(
                request, resolved, list_ready(), deadline
            )
        try:
            async with service_trials.hold_targets(
                self._runners.trials,
                fingerprint,
                list_ready,
                self._clock,
                deadline,
            ) as targets:
                return await self._run_action(
                    request, resolved, targets, deadline
                )
        except service_trials.Refused as refused:
            if request.resent:
                return say_unknown(refused.reason, refused.retry_after_ms)
            return results.ActionNotRun(refused.reason, refused.retry_after_ms)

    async def _run_action(
        self,
        request: requests.OperationRequest,
        resolved: directory.ResolvedOperation,
        targets: tuple[documents.Target, ...],
        deadline: int,
    ) -> results.ActionResult:
        usable = attrs.evolve(resolved, targets=targets)
        return await self._runners.actions.run(
            build_action(request, usable, deadline)
        )

    async def _is_settled(
        self,
        request: requests.OperationRequest,
        resolved: directory.ResolvedOperation,
        fingerprint: str,
    ) -> bool:
        """Tell whether a suspect's key has an end that no trial changes.

        Its caller would otherwise wait for targets only to be told what
        the first call came to. If the key is not settled after all, its
        call is held back before it is sent.
        """
        verdict = self._runners.trials.check(fingerprint)
        if isinstance(verdict, quarantine_messages.Clear):
            return False
        known = await self._runners.actions.look_up(
            request.workspace, request.key
        )
        if not isinstance(known, results.ActionUnknown):
            return True
        may_run = known.reason in _MAY_RUN or resolved.operation.deduplicates
        return not may_run


def build_action(
    request: requests.OperationRequest,
    resolved: directory.ResolvedOperation,
    deadline: int,
) -> actions.ActionRequest:
    """Build the request of an action from that of a caller.

    Parameters
    ----------
    request : requests.OperationRequest
        What the caller sent.
    resolved : directory.ResolvedOperation
        What the configuration says of it.
    deadline : int
        Monotonic milliseconds after which nothing is sent.
    """
    return actions.ActionRequest(
        workspace=request.workspace,
        service=request.service,
        operation=request.operation,
        key=request.key,
        body=request.body,
        deadline=deadline,
        targets=resolved.targets,
        deduplicates=resolved.operation.deduplicates,
        timeout_ms=resolved.operation.timeout_ms,
        resent=request.resent,
        fingerprint=fingerprint_operation(request),
    )


def fingerprint_operation(request: requests.OperationRequest) -> str:
    """Name what is asked, whichever key it is asked under."""
    return fingerprints.fingerprint_call(
        request.workspace, request.service, request.operation, request.body
    )


def say_unknown(reason: str, retry_after_ms: int) -> results.ActionUnknown:
    """Answer for a key that was sent before and can't be looked up now.

    "Not run" would be read as a statement about the key, which an earlier
    send may have run; the caller would then book again under a new key.
    """
    return results.ActionUnknown(f'{_RESENT} {reason}', retry_after_ms)


def _describe_call(called: calls.CallResult) -> results.ActionResult:
    """Return the result that stands for an idempotent call."""
    if isinstance(called, calls.CallAnswered):
        answer = called.answer
        return results.ActionDone(
            answer.status, answer.content_type, answer.body, False
        )
    if called.ran:
        return results.ActionUnknown(called.reason, called.retry_after_ms)
    return results.ActionNotRun(called.reason, called.retry_after_ms, True)
