"""Admission of model requests to engine memory that all entries share."""

from __future__ import annotations

import typing

from thornspool.domain.admission import headroom
from thornspool.domain.admission import queueing
from thornspool.domain.paths import reservations

if typing.TYPE_CHECKING:
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import in_flight as in_flight_module
    from thornspool.application.routing import path_finding


MAX_SEARCH_INTERVAL_MS = 100
"""Longest time between two searches of a request that waits.

A search without success costs milliseconds, and a tick is only 25 ms. Between
releases of memory it succeeds only after a change of the headroom or of what
is excluded.
"""


class MemoryAdmission:
    """Applies the decisions on scarce memory to the requests of this entry.

    Where the deployment does not share memory by demand, each request may use
    all free memory, waits for at most ``queueing.MAX_USEFUL_WAIT_MS`` and
    returns after a short random time.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    paths : path_finding.PathFinder
        Knows the memory of the engines and the demand for it.
    random_source : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        paths: path_finding.PathFinder,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._control = paths.control
        self._reservations = paths.reservations
        self._paths = paths
        self._random = random_source

    def record_arrival(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """Record the demand of a request that has arrived.

        While memory is scarce, the part of the requests of a workspace that
        exceeds its share ranks behind those within shares.
        """
        if not self._control.is_enabled:
            return
        exchange = in_flight.exchange
        share = self._control.record_workspace(
            exchange.service,
            exchange.workspace_name,
            in_flight.request_size.tokens,
        )
        if share is not None:
            exchange.share_tokens = share.share
            in_flight.is_over_share = exchange.is_over_share = (
                share.excess > 0 and self._random.random() < share.excess
            )
        self._control.record_arrival(
            exchange.service,
            in_flight.admission_rank,
            in_flight.request_size.tokens,
        )
        # The part within the share prevents starvation. Callers that return
        # at once would draw until they compete equally.
        if (
            not in_flight.is_over_share
            and self._random.random() < headroom.EQUAL_RANK_SHARE
        ):
            in_flight.rank_limit = self._control.find_most_urgent(
                exchange.service
            )

    def prepare(self, in_flight: in_flight_module.InFlightRequest) -> bool:
        """Set the memory that a request may reserve now.

        A stream that has started may use all of it, as a wait would end it.

        Returns
        -------
        bool
            False if the memory that is free now belongs to the requests of
            other entries.
        """
        exchange = in_flight.exchange
        in_flight.max_reserved_share = reservations.MAX_RESERVED_SHARE
        if exchange.response_started or not self._control.is_enabled:
            return True
        kept_tokens = self._control.compute_kept_tokens(
            exchange.service, in_flight.admission_rank
        )
        exchange.kept_tokens = kept_tokens
        memory = self._paths.measure_memory(exchange.service)
        in_flight.max_reserved_share = headroom.compute_reserved_limit(
            kept_tokens, memory.capacity_tokens
        )
        return self._control.fits_claim(
            exchange.service,
            in_flight.admission_rank,
            in_flight.request_size.tokens,
            memory.free_tokens,
        )

    def is_search_due(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> bool:
        """Return whether a waiting request may find a path now."""
        return (
            in_flight.queued_rank is None
            or in_flight.searched_at is None
            or in_flight.searched_releases != self._reservations.release_count
            or self._clock.now() - in_flight.searched_at
            >= MAX_SEARCH_INTERVAL_MS
        )

    def enter_queue(self, in_flight: in_flight_module.InFlightRequest) -> None:
        """Record that a request waits after a search without success."""
        if not self._control.is_enabled:
            return
        in_flight.searched_at = self._clock.now()
        in_flight.searched_releases = self._reservations.release_count
        if in_flight.queued_rank is None:
            in_flight.queued_rank = in_flight.admission_rank
            self._control.enter_queue(
                in_flight.exchange.service,
                in_flight.queued_rank,
                in_flight.request_size.tokens,
            )

    def leave_queue(self, in_flight: in_flight_module.InFlightRequest) -> None:
        """Record that a request no longer waits."""
        if in_flight.queued_rank is not None:
            rank, in_flight.queued_rank = in_flight.queued_rank, None
            self._control.leave_queue(
                in_flight.exchange.service, rank, in_flight.request_size.tokens
            )

    def record_claim(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """Record that a request has reserved memory."""
        if not self._control.is_enabled:
            return
        self._control.record_claim(
            in_flight.exchange.service,
            in_flight.admission_rank,
            in_flight.request_size.tokens,
        )

    def record_release(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """Record that a request has released its memory."""
        if not self._control.is_enabled:
            return
        self._control.record_release(
            in_flight.exchange.service,
            in_flight.own_rank,
            in_flight.request_size.tokens,
        )

    def is_served_in_time(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> bool:
        """Return whether a waiting request is probably served in time."""
        exchange = in_flight.exchange
        waited_ms = self._clock.now() - exchange.request.arrived_at
        if waited_ms >= queueing.MAX_USEFUL_WAIT_MS:
            return False
        if not self._control.is_enabled:
            return True
        exchange.estimated_wait_ms = self._control.estimate_wait_ms(
            exchange.service, in_flight.admission_rank, waited_ms
        )
        return (
            waited_ms + exchange.estimated_wait_ms
            < queueing.MAX_USEFUL_WAIT_MS
        )

    def schedule_return(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> int:
        """Return when a refused caller should come back, in milliseconds."""
        if not self._control.is_enabled:
            return self._random.randint(*queueing.DEFAULT_RETURN_MS)
        exchange = in_flight.exchange
        self._control.record_refusal(
            exchange.service, in_flight.request_size.tokens
        )
        return self._control.schedule_return(
            exchange.service,
            in_flight.admission_rank,
            in_flight.request_size.tokens,
            exchange.compute_remaining_ms(self._clock.now()),
        )
