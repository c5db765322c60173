"""Whether a request is taken now: limits, deadlines and quarantine."""

from __future__ import annotations

import typing

import attrs

from thornspool.application import intake
from thornspool.application import observation
from thornspool.application import requests
from thornspool.domain.limits import messages as limit_messages
from thornspool.domain.quarantine import messages as quarantine_messages

if typing.TYPE_CHECKING:
    from thornspool import clock
    from thornspool.application import admission
    from thornspool.application import quarantine

FIRST_UNIT_MS = 5.0
_LIMITS = frozenset(
    {
        limit_messages.Reason.REQUESTS,
        limit_messages.Reason.TOKENS,
        limit_messages.Reason.CONCURRENCY,
    }
)
_CONDEMNED = 'This request crashed the targets that ran it.'
_SMOOTHING = 0.1


@attrs.define
class Pace:
    """Milliseconds of one unit of work, from what finished of late.

    A unit is one token of a generation, or one call.
    """

    unit_ms: float = FIRST_UNIT_MS

    def estimate(self, units: int) -> int:
        """Return the expected milliseconds of some units."""
        return max(1, int(self.unit_ms * units))

    def learn(self, units: int, duration_ms: int) -> None:
        """Note what some units took."""
        change = duration_ms / max(1, units) - self.unit_ms
        self.unit_ms += _SMOOTHING * change


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
        self._paces: dict[str, Pace] = {}

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
        # Slow and fast operations of one service share its targets but not
        # their times. With one estimate for both, every slow one would look
        # delayed and cut the bound of the service.
        pace = self._paces.setdefault(work.kind, Pace())
        admitted = self._service.admit(
            work.workspace,
            work.group,
            pace.estimate(max(1, work.tokens)),
            work.deadline,
            self._clock.now(),
        )
        if isinstance(admitted, limit_messages.Refused):
            reason = f'Refused for its {admitted.reason.value}.'
            raise requests.RequestRefused(
                reason,
                admitted.retry_after_ms,
                by_limit=admitted.reason in _LIMITS,
            )
        return _Place(self._clock, self._service, pace, admitted.ticket)


class _Place:
    """The place of one admitted request."""

    def __init__(
        self,
        clock: clock.Clock,
        service: admission.AdmissionService,
        pace: Pace,
        ticket: limit_messages.Ticket,
    ) -> None:
        self._clock = clock
        self._service = service
        self._pace = pace
        self._ticket = ticket

    def finish(
        self, tokens: int, outcome: observation.Outcome, duration_ms: int
    ) -> None:
        """Give the place back and learn from the request.

        A caller that leaves or sends what can't be taken says nothing of
        capacity; taken for failures, such callers would lower the bound of
        a healthy target group for everybody.
        """
        done = outcome is observation.Outcome.DONE
        if done:
            self._pace.learn(tokens, duration_ms)
        succeeded = done or outcome in observation.OF_CALLERS
        now = self._clock.now()
        self._service.finish(self._ticket, succeeded, tokens, now)
