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
    from thornspool.application.routing import in_flight as in_flight_module
    from thornspool.application.routing import streams
    from thornspool.domain.paths import search

REORDER_PAUSE_MS = 100
"""Time after a refused path change before the next one is ordered.

Suspected engines are checked every few milliseconds, while an engine that has
no capacity for the new layers refuses until another request has ended.
"""

logger = structlog.get_logger(__name__)


class Rerouter:
    """Changes the paths of running streams.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    service : streams.StreamService
        Service whose streams are rerouted.
    servers : ports.ServerClient
        Client for calls to engines.
    start_task : callable
        Runs a coroutine as a background task.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        service: streams.StreamService,
        servers: ports.ServerClient,
        start_task: Callable[[Coroutine[typing.Any, typing.Any, None]], None],
    ) -> None:
        self._clock = clock
        self._service = service
        self._servers = servers
        self._start_task = start_task

    def reroute(
        self, in_flight: in_flight_module.InFlightRequest, suspected: list[str]
    ) -> None:
        """Reroute a stream around suspected engines.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            In-flight request to reroute.
        suspected : list of str
            Ids of the engines to exclude.
        """
        in_flight.exchange.exclude(suspected, self._clock.now())
        may_retry = self._service.may_retry(in_flight)
        run = in_flight.current
        hops = None
        if (
            run is not None
            and in_flight.second is None
            and (run.head is not None or not may_retry)
            and self._clock.now() >= in_flight.reroute_at
            and self._service.may_reroute(in_flight)
        ):
            # A new run costs little before the engine has answered.
            hops = self._choose_path(in_flight, run, suspected)
        if hops is not None and self._service.limits.try_acquire(
            hops[0].server.id
        ):
            in_flight.rerouting = True
            self._service.reserve(in_flight, hops)
            self._start_task(self._change_path(in_flight, hops))
        elif may_retry:
            self._service.fail_over(in_flight, 'engine_lost')

    async def _change_path(
        self,
        in_flight: in_flight_module.InFlightRequest,
        hops: tuple[search.Hop, ...],
    ) -> None:
        try:
            changed = await self._order_path_change(in_flight, hops)
        finally:
            in_flight.rerouting = False
            self._service.release(in_flight, hops)
        if not changed:
            in_flight.reroute_at = self._clock.now() + REORDER_PAUSE_MS
        if not changed and self._service.may_retry(in_flight):
            self._service.fail_over(in_flight, 'engine_lost')

    async def _order_path_change(
        self,
        in_flight: in_flight_module.InFlightRequest,
        hops: tuple[search.Hop, ...],
    ) -> bool:
        """Order the first engine of a stream to use another path.

        Returns
        -------
        bool
            False when the stream has to resume in a new run instead.
        """
        run = in_flight.current
        result = await self._servers.reroute(
            in_flight.exchange.request.id, hops
        )
        if in_flight.exchange.ended or in_flight.current is not run:
            return True
        logger.info(
            'path_mended',
            id=in_flight.exchange.request.id,
            result=result.value,
            after=in_flight.events.last_id,
        )
        if result not in {ports.OrderResult.BEGUN, ports.OrderResult.DONE}:
            return False
        self._service.apply_path_change(in_flight, hops)
        return True

    def _choose_path(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        suspected: list[str],
    ) -> tuple[search.Hop, ...] | None:
        """Choose a path on which a stalled run can continue.

        Returns
        -------
        tuple of search.Hop or None
            None when the run can't keep its first engine or no path exists.
        """
        exchange = in_flight.exchange
        excluded = self._service.paths.list_excluded(in_flight)
        first_hop = run.hops[0]
        if first_hop.server.id in excluded:
            return None
        fleet_snapshot = self._service.paths.describe(
            exchange.service, excluded
        )
        if fleet_snapshot is None:
            return None
        hops = choice.choose_repair(
            fleet_snapshot,
            in_flight.request_size,
            run.hops,
            frozenset(suspected),
        )
        if hops is not None or self._service.may_retry(in_flight):
            return hops
        tail = choice.choose_remainder(
            fleet_snapshot, in_flight.request_size, first_hop
        )
        return None if tail is None else (first_hop, *tail.hops)
