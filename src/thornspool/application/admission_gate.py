"""Admission checks of requests: limits, deadlines and quarantine."""

from __future__ import annotations

import typing

from thornspool.application import intake
from thornspool.application import observation
from thornspool.application import requests
from thornspool.domain.limits import messages as limit_messages
from thornspool.domain.quarantine import messages as quarantine_messages

if typing.TYPE_CHECKING:
    from thornspool import clock
    from thornspool.application import admission
    from thornspool.application import quarantine

_WORKSPACE_LIMITS = frozenset(
    {
        limit_messages.Reason.REQUESTS,
        limit_messages.Reason.TOKENS,
        limit_messages.Reason.CONCURRENCY,
    }
)
_CONDEMNED = 'This request crashed the targets that ran it.'


class AdmissionGate:
    """Admits work, or refuses it before anything runs.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    service : admission.AdmissionService
        Limits across entries and concurrency limits of target groups.
    quarantine_service : quarantine.QuarantineService
        Quarantine of the requests that crash targets.
    """

    def __init__(
        self,
        clock: clock.Clock,
        service: admission.AdmissionService,
        quarantine_service: quarantine.QuarantineService,
    ) -> None:
        self._clock = clock
        self._service = service
        self._quarantine = quarantine_service

    def admit(self, work: intake.WorkEstimate) -> intake.AdmittedRequest:
        """Admit a request, or refuse it.

        Raises
        ------
        requests.RequestRefused
            The request was refused, with the reason and a retry delay.
        """
        verdict = self._quarantine.check(work.fingerprint)
        if isinstance(verdict, quarantine_messages.Condemned):
            raise requests.RequestRefused(_CONDEMNED, verdict.retry_after_ms)
        request = limit_messages.RequestEstimate(
            work.group, work.kind, max(0, work.tokens - 1), work.deadline
        )
        admitted = self._service.admit(
            work.workspace, request, self._clock.now()
        )
        if isinstance(admitted, limit_messages.Rejection):
            reason = f'Refused for its {admitted.reason.value}.'
            raise requests.RequestRefused(
                reason,
                admitted.retry_after_ms,
                exceeds_workspace_limit=admitted.reason in _WORKSPACE_LIMITS,
            )
        is_stream = work.tokens > 0
        return _AdmittedRequest(
            self._clock, self._service, admitted.ticket, is_stream
        )


class _AdmittedRequest:
    """Admitted request, with the times that admission control uses."""

    def __init__(
        self,
        clock: clock.Clock,
        service: admission.AdmissionService,
        ticket: limit_messages.Ticket,
        is_stream: bool,
    ) -> None:
        self._clock = clock
        self._service = service
        self._ticket = ticket
        self._is_stream = is_stream
        self._first_at: int | None = None

    def record_first_token(self) -> None:
        """Record the time to the first token as soon as it arrives."""
        request, now = self._ticket.estimate, self._clock.now()
        self._first_at = now
        waited_ms = now - self._ticket.admitted_at
        self._service.observe(request.group, request.kind, waited_ms, now)

    def finish(self, tokens: int, outcome: observation.Outcome) -> None:
        """Release the request's capacity and record its times.

        Times are recorded for streams only; calls and actions are timed at
        the targets. Requests that callers cancel, or that are invalid, carry
        no information on capacity: they would lower the concurrency limit of
        a healthy target group for all callers.
        """
        now = self._clock.now()
        if self._first_at is not None:
            self._observe_rest(self._first_at, tokens, outcome, now)
        elif self._has_timed_out(outcome, now):
            ticket = self._ticket
            self._service.record_timeout(
                ticket.estimate.group, ticket.admitted_at, now
            )
        self._service.finish(self._ticket, tokens, now)

    def _observe_rest(
        self,
        first_at: int,
        tokens: int,
        outcome: observation.Outcome,
        now: int,
    ) -> None:
        if outcome is not observation.Outcome.DONE:
            return
        rest_ms = now - first_at
        self._service.observe_following_tokens(
            self._ticket, tokens - 1, rest_ms, now
        )

    def _has_timed_out(self, outcome: observation.Outcome, now: int) -> bool:
        """Return whether a stream had not started by its deadline."""
        failed = outcome not in observation.CALLER_CAUSED
        return (
            self._is_stream
            and failed
            and now >= self._ticket.estimate.deadline
        )
