"""Times the calls of plain services' targets for the adaptive bound."""

from __future__ import annotations

import typing

from thornspool.application import exceptions
from thornspool.application import ports

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock


class TimedServices:
    """The port ``Services``, with each call timed from when it is sent.

    What a request waits for before that, such as its grant in the ledger,
    says nothing about the targets; taken for their time, a slow platform
    would look like overloaded services. Answers that were recorded earlier
    and are given again take no time at a target at all.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    services : ports.Services
        Sends the calls.
    observe : callable
        Told service, kind of work, milliseconds and time of each answer.
    note_late : callable
        Told service, start and end of each call that was not answered in
        time.
    """

    def __init__(
        self,
        clock: clock.Clock,
        services: ports.Services,
        observe: Callable[[str, str, int, int], None],
        note_late: Callable[[str, int, int], None],
    ) -> None:
        self._clock = clock
        self._services = services
        self._observe = observe
        self._note_late = note_late

    async def call(self, call: ports.ServiceCall) -> ports.ServiceAnswer:
        """Call an operation once; never repeats it."""
        started = self._clock.now()
        try:
            answer = await self._services.call(call)
        except exceptions.TargetError:
            now = self._clock.now()
            if now - started >= call.timeout_ms:
                self._note_late(call.service, started, now)
            raise
        now = self._clock.now()
        kind = name_kind(call.service, call.operation)
        self._observe(call.service, kind, now - started, now)
        return answer


def name_kind(service: str, operation: str) -> str:
    """Name the work of one operation; its calls take about as long."""
    return f'{service}/{operation}'
