"""Runs operations of plain services as idempotent calls or as actions."""

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

_KEY_RESENT = 'The key was sent before, and this entry can not look it up now.'
_RUNNABLE_REASONS = frozenset(
    {results.UNKNOWN_NO_RECORD, results.UNKNOWN_UNCHECKED}
)


class OperationRunner:
    """Runs admitted operations.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    runners : intake.Runners
        Services that run calls and actions.
    """

    def __init__(self, clock: clock.Clock, runners: intake.Runners) -> None:
        self._clock = clock
        self._runners = runners

    async def run(
        self,
        request: requests.OperationRequest,
        resolved: directory.ResolvedOperation,
    ) -> results.ActionResult:
        """Run an admitted operation as an idempotent call or as an action."""
        fingerprint = fingerprint_operation(request)
        if resolved.operation.idempotent:
            call_result = await self._runners.calls.call(
                resolved, request.body, fingerprint
            )
            return _convert_call_result(call_result)
        deadline = self._clock.now() + resolved.operation.timeout_ms

        def list_ready() -> tuple[documents.Target, ...]:
            return self._runners.list_ready(resolved.targets)

        if await self._has_final_result(request, resolved, fingerprint):
            return await self._run_action(
                request, resolved, list_ready(), deadline
            )
        try:
            async with service_trials.reserve_targets(
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
            if request.is_resent:
                return build_unknown_result(
                    refused.reason, refused.retry_after_ms
                )
            return results.ActionNotRun(refused.reason, refused.retry_after_ms)

    async def _run_action(
        self,
        request: requests.OperationRequest,
        resolved: directory.ResolvedOperation,
        targets: tuple[documents.Target, ...],
        deadline: int,
    ) -> results.ActionResult:
        restricted = attrs.evolve(resolved, targets=targets)
        return await self._runners.actions.run(
            build_action(request, restricted, deadline)
        )

    async def _has_final_result(
        self,
        request: requests.OperationRequest,
        resolved: directory.ResolvedOperation,
        fingerprint: str,
    ) -> bool:
        """Return whether the key of a suspected call has a final result.

        A trial can't change that result, so the caller need not wait for a
        target to be reserved. If the key turns out not to have a final
        result, its call is blocked before it is sent.
        """
        verdict = self._runners.trials.check(fingerprint)
        if isinstance(verdict, quarantine_messages.Clear):
            return False
        recorded = await self._runners.actions.look_up(
            request.workspace, request.key
        )
        if not isinstance(recorded, results.ActionUnknown):
            return True
        may_still_run = (
            recorded.reason in _RUNNABLE_REASONS
            or resolved.operation.deduplicates
        )
        return not may_still_run


def build_action(
    request: requests.OperationRequest,
    resolved: directory.ResolvedOperation,
    deadline: int,
) -> actions.ActionRequest:
    """Build the request of an action from the request of a caller.

    Parameters
    ----------
    request : requests.OperationRequest
        Request of the caller.
    resolved : directory.ResolvedOperation
        Operation with the targets that it may use.
    deadline : int
        Monotonic milliseconds after which nothing is sent.

    Returns
    -------
    actions.ActionRequest
        Request to run the action on these targets.
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
        is_resent=request.is_resent,
        fingerprint=fingerprint_operation(request),
    )


def fingerprint_operation(request: requests.OperationRequest) -> str:
    """Return the hash of a request's content, without its key."""
    return fingerprints.fingerprint_call(
        request.workspace, request.service, request.operation, request.body
    )


def build_unknown_result(
    reason: str, retry_after_ms: int
) -> results.ActionUnknown:
    """Build the result for a resent key that can't be looked up now.

    An earlier request with the key may have run. A caller that received "not
    run" would take it as a statement about the key and repeat its booking
    under a new key.
    """
    return results.ActionUnknown(f'{_KEY_RESENT} {reason}', retry_after_ms)


def _convert_call_result(
    call_result: calls.CallResult,
) -> results.ActionResult:
    """Convert the result of an idempotent call to that of an action."""
    if isinstance(call_result, calls.CallAnswered):
        response = call_result.response
        return results.ActionDone(
            response.status, response.content_type, response.body, False
        )
    if call_result.may_have_run:
        return results.ActionUnknown(
            call_result.reason, call_result.retry_after_ms
        )
    return results.ActionNotRun(
        call_result.reason, call_result.retry_after_ms, True
    )
