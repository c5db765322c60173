"""Measures calls of plain services for the adaptive concurrency limit."""

from __future__ import annotations

import typing

from thornspool.application import exceptions
from thornspool.application import ports

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock


class TimedServices:
    """Implements the port ``Services`` and measures calls from their sending.

    The time that a request waits before that, for instance for its grant in
    the ledger, doesn't depend on the targets. If it were included, a slow
    platform would look like an overload of the services. Recorded responses
    that are returned again don't involve a target and are not measured.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    services : ports.Services
        Sends the calls.
    observe : callable
        Called for each response with the service, the kind of work, the
        duration in milliseconds and the time.
    record_timeout : callable
        Called for each call without a timely response, with the service and
        the start and end of the call.
    """

    def __init__(
        self,
        clock: clock.Clock,
        services: ports.Services,
        observe: Callable[[str, str, int, int], None],
        record_timeout: Callable[[str, int, int], None],
    ) -> None:
        self._clock = clock
        self._services = services
        self._observe = observe
        self._record_timeout = record_timeout

    async def call(self, call: ports.ServiceCall) -> ports.ServiceResponse:
        """Call an operation once; never retries it."""
        started_at = self._clock.now()
        try:
            response = await self._services.call(call)
        except exceptions.TargetError:
            now = self._clock.now()
            if now - started_at >= call.timeout_ms:
                self._record_timeout(call.service, started_at, now)
            raise
        now = self._clock.now()
        kind = format_work_kind(call.service, call.operation)
        self._observe(call.service, kind, now - started_at, now)
        return response


def format_work_kind(service: str, operation: str) -> str:
    """Return the kind of work of an operation, whose calls are comparable."""
    return f'{service}/{operation}'
