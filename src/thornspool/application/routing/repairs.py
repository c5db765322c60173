"""Rerouting of a stream after an engine of its path is lost.

When the stalled run gets a new path, only the layers of the lost engines have
to process its tokens again, and no retry is used up. Where the failure domain
has no other engine with these layers, or the first engine is lost, the stream
resumes in a new run after its last complete event.
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


class Rerouter:
    """Changes the paths of running streams.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    service : streams.StreamService
        Service whose streams are rerouted.
    servers : ports.Servers
        Client for calls to engines.
    start : callable
        Runs a coroutine as a background task.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        service: streams.StreamService,
        servers: ports.Servers,
        start_task: Callable[[Coroutine[typing.Any, typing.Any, None]], None],
    ) -> None:
        self._clock = clock
        self._service = service
        self._servers = servers
        self._start_task = start_task

    def reroute(self, flight: flights.Flight, suspected: list[str]) -> None:
        """Reroute a stream around suspected engines.

        Parameters
        ----------
        flight : flights.Flight
            In-flight request to reroute.
        suspected : list of str
            Ids of the engines to exclude.
        """
        flight.exchange.avoid(suspected, self._clock.now())
        may_retry = self._service.may_retry(flight)
        hops = None
        if flight.head is not None or not may_retry:
            # A new run costs little before the engine has answered.
            hops = self._choose_path(flight, suspected)
        if hops is not None:
            flight.rerouting = True
            self._start_task(self._change_path(flight, hops))
        elif may_retry:
            self._service.mend(flight, 'engine_lost')

    async def _change_path(
        self, flight: flights.Flight, hops: tuple[search.Hop, ...]
    ) -> None:
        try:
            changed = await self._order_path_change(flight, hops)
        finally:
            flight.rerouting = False
        if not changed and self._service.may_retry(flight):
            self._service.mend(flight, 'engine_lost')

    async def _order_path_change(
        self, flight: flights.Flight, hops: tuple[search.Hop, ...]
    ) -> bool:
        """Order the first engine of a stream to use another path.

        Returns
        -------
        bool
            False when the stream has to resume in a new run instead.
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
        self._service.apply_path_change(flight, hops)
        return True

    def _choose_path(
        self, flight: flights.Flight, suspected: list[str]
    ) -> tuple[search.Hop, ...] | None:
        """Choose a path on which a stalled run can continue.

        Returns
        -------
        tuple of search.Hop or None
            None when the run can't keep its first engine or no path exists.
        """
        exchange = flight.exchange
        excluded = self._service.paths.list_avoided(flight)
        first_hop = flight.hops[0]
        if first_hop.server.id in excluded:
            return None
        situation = self._service.paths.describe(exchange.service, excluded)
        if situation is None:
            return None
        hops = choice.choose_repair(
            situation, flight.need, flight.hops, frozenset(suspected)
        )
        if hops is not None or self._service.may_retry(flight):
            return hops
        tail = choice.choose_rest(situation, flight.need, first_hop)
        return None if tail is None else (first_hop, *tail.hops)
