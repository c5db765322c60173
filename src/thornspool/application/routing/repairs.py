"""How a stream goes on that an engine of its path is lost to.

A new path for the run that stands still has only the layers of the lost
engines read again and takes no repeat. Where the failure domain has no other
holder of them, or the first engine is lost, the stream goes on in a new run
behind the last whole event.
"""

from __future__ import annotations

import typing

import structlog

from thornspool.application.routing import ports
from thornspool.domain.paths import choice

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from thornspool import clock as clock_module
    from thornspool.application.routing import flights
    from thornspool.application.routing import streams
    from thornspool.domain.paths import search

logger = structlog.get_logger(__name__)


class Repairs:
    """Changes the paths of running streams.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    service : streams.StreamService
        Whose streams go on.
    servers : ports.Servers
        Calls to engines.
    start : callable
        Starts a coroutine beside the others.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        service: streams.StreamService,
        servers: ports.Servers,
        start: Callable[[Coroutine[typing.Any, typing.Any, None]], None],
    ) -> None:
        self._clock = clock
        self._service = service
        self._servers = servers
        self._start = start

    def mend(self, flight: flights.Flight, suspected: list[str]) -> None:
        """Let a stream go on without the engines that are suspected."""
        flight.exchange.avoid(suspected, self._clock.now())
        may_run_again = self._service.may_run_again(flight)
        hops = None
        if flight.head is not None or not may_run_again:
            # A run without an answer yet has little to lose.
            hops = self._choose_path(flight, suspected)
        if hops is not None:
            flight.mending = True
            self._start(self._change_path(flight, hops))
        elif may_run_again:
            self._service.mend(flight, 'engine_lost')

    async def _change_path(
        self, flight: flights.Flight, hops: tuple[search.Hop, ...]
    ) -> None:
        try:
            changed = await self._repath(flight, hops)
        finally:
            flight.mending = False
        if not changed and self._service.may_run_again(flight):
            self._service.mend(flight, 'engine_lost')

    async def _repath(
        self, flight: flights.Flight, hops: tuple[search.Hop, ...]
    ) -> bool:
        """Order the first engine of a stream to use another path.

        Returns
        -------
        bool
            Whether nothing else is to be done for the stream now.
        """
        generation = flight.generation
        result = await self._servers.repath(flight.exchange.inquiry.id, hops)
        if flight.exchange.ended or flight.generation != generation:
            return True
        logger.info(
            'path_mended',
            id=flight.exchange.inquiry.id,
            result=result.value,
            after=flight.events.last_id,
        )
        if result not in {ports.OrderResult.BEGUN, ports.OrderResult.DONE}:
            return False
        self._service.move(flight, hops)
        return True

    def _choose_path(
        self, flight: flights.Flight, suspected: list[str]
    ) -> tuple[search.Hop, ...] | None:
        """Choose a path on which a run that stands still can go on."""
        exchange = flight.exchange
        avoided = self._service.paths.list_avoided(flight)
        first = flight.hops[0]
        if first.server.id in avoided:
            return None
        situation = self._service.paths.describe(exchange.service, avoided)
        if situation is None:
            return None
        hops = choice.choose_repair(
            situation, flight.need, flight.hops, frozenset(suspected)
        )
        if hops is not None or self._service.may_run_again(flight):
            return hops
        rest = choice.choose_rest(situation, flight.need, first)
        return None if rest is None else (first, *rest.hops)
