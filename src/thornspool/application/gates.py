"""Whether a request is taken now: limits, deadlines and quarantine."""

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

_LIMITS = frozenset(
    {
        limit_messages.Reason.REQUESTS,
        limit_messages.Reason.TOKENS,
        limit_messages.Reason.CONCURRENCY,
    }
)
_CONDEMNED = 'This request crashed the targets that ran it.'


class Gatekeeper:
    """Admits work, or refuses it before anything runs.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    service : admission.AdmissionService
        Limits across entries and bounds of target groups.
    quarantine_service : quarantine.QuarantineService
        Knows the requests that crash what runs them.
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

    def admit(self, work: intake.Work) -> intake.Ticket:
        """Admit a piece of work.

        Raises
        ------
        requests.RequestRefused
            Names the reason and when to come back.
        """
        verdict = self._quarantine.check(work.fingerprint)
        if isinstance(verdict, quarantine_messages.Condemned):
            raise requests.RequestRefused(_CONDEMNED, verdict.retry_after_ms)
        asked = limit_messages.Asked(
            work.group, work.kind, max(0, work.tokens - 1), work.deadline
        )
        admitted = self._service.admit(
            work.workspace, asked, self._clock.now()
        )
        if isinstance(admitted, limit_messages.Refused):
            reason = f'Refused for its {admitted.reason.value}.'
            raise requests.RequestRefused(
                reason,
                admitted.retry_after_ms,
                by_limit=admitted.reason in _LIMITS,
            )
        is_stream = work.tokens > 0
        return _Place(self._clock, self._service, admitted.ticket, is_stream)


class _Place:
    """The place of one admitted request."""

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

    def note_first_token(self) -> None:
        """Learn from the wait for the first token, while others wait too."""
        asked, now = self._ticket.asked, self._clock.now()
        self._first_at = now
        waited = now - self._ticket.admitted_at
        self._service.observe(asked.group, asked.kind, waited, now)

    def finish(self, tokens: int, outcome: observation.Outcome) -> None:
        """Give the place back and learn from the request.

        Of streams only: calls and actions are timed at the targets. Callers
        that leave or send what can't be taken say nothing of capacity, and
        would lower the bound of a healthy target group for everybody.
        """
        now = self._clock.now()
        if self._first_at is not None:
            self._learn_rest(self._first_at, tokens, outcome, now)
        elif self._is_late(outcome, now):
            ticket = self._ticket
            self._service.note_late(
                ticket.asked.group, ticket.admitted_at, now
            )
        self._service.finish(self._ticket, tokens, now)

    def _learn_rest(
        self,
        first_at: int,
        tokens: int,
        outcome: observation.Outcome,
        now: int,
    ) -> None:
        if outcome is not observation.Outcome.DONE:
            return
        rest_ms = now - first_at
        self._service.observe_rest(self._ticket, tokens - 1, rest_ms, now)

    def _is_late(self, outcome: observation.Outcome, now: int) -> bool:
        """Tell whether a stream did not even begin before its deadline."""
        failed = outcome not in observation.OF_CALLERS
        return (
            self._is_stream and failed and now >= self._ticket.asked.deadline
        )
