"""Second runs of requests whose engines do not respond.

A run that stalls may still end well, so it stays open until another one has
delivered the next event. Only a proof that it can't continue ends it earlier.
"""

from __future__ import annotations

import typing

import structlog

from thornspool.application.routing import run_permits
from thornspool.application.routing import run_proofs
from thornspool.domain.paths import search

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module
    from thornspool.application.routing import in_flight as in_flight_module
    from thornspool.application.routing import path_finding
    from thornspool.application.routing import retry_pools
    from thornspool.application.routing import server_evidence

RECHECK_MS = 50
"""Interval of the attempts to find a path for a second run."""

SPREAD_MS = 100
"""Time for which an engine that has received a second run gets no other one
while there are more engines.

The streams of a lost engine stall together, and the next engine may be lost
as well.
"""

logger = structlog.get_logger(__name__)


class RunOwner(typing.Protocol):
    """Sends and closes the runs of requests."""

    def may_retry(self, in_flight: in_flight_module.InFlightRequest) -> bool:
        """Return whether a request that may have run may run again."""

    def would_be_cut(
        self,
        in_flight: in_flight_module.InFlightRequest,
        path: search.Path,
        now: int,
    ) -> bool:
        """Return whether a run would be cut by the end of this entry."""

    def send(
        self,
        in_flight: in_flight_module.InFlightRequest,
        hops: tuple[search.Hop, ...],
    ) -> None:
        """Send a request on a path."""

    def close_run(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
    ) -> None:
        """Cancel a run."""


class SecondRuns:
    """Starts second runs, and ends the run that a request no longer needs.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    paths : path_finding.PathFinder
        Finds paths, within the limits that servers name.
    permits : run_permits.RunPermits
        Decides which requests may run, as far as they may crash engines.
    evidence : server_evidence.ServerEvidence
        What is known about the links of this entry.
    budget : retry_pools.RetryPools
        Retry budget.
    owner : RunOwner
        Sends and closes runs.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        paths: path_finding.PathFinder,
        permits: run_permits.RunPermits,
        evidence: server_evidence.ServerEvidence,
        budget: retry_pools.RetryPools,
        owner: RunOwner,
    ) -> None:
        self._clock = clock
        self._paths = paths
        self._permits = permits
        self._evidence = evidence
        self._budget = budget
        self._owner = owner
        self._used_at: dict[str, int] = {}

    def start(
        self, in_flight: in_flight_module.InFlightRequest, reason: str
    ) -> bool:
        """Start a second run of a stalled request, if that is possible now.

        Path, retry and reservation are taken here and at once, so that the
        next of several stalled requests finds only what is left.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        reason : str
            Reason for the log.

        Returns
        -------
        bool
            False if the request stays as it is.
        """
        now = self._clock.now()
        exchange = in_flight.exchange
        stalled = in_flight.latest
        if (
            stalled is None
            or now < in_flight.second_at
            or not self._is_allowed(in_flight)
        ):
            return False
        in_flight.second_at = now + RECHECK_MS
        path = self._find_path(in_flight, now)
        if path is None or not self._budget.acquire(
            exchange.service, exchange.response_started
        ):
            return False
        proof = self._find_proof(stalled)
        if in_flight.second is not None:
            self._owner.close_run(in_flight, self._choose_surplus(in_flight))
        exchange.outcome_reason = reason
        exchange.timing.record_disruption(reason)
        logger.info(
            'run_repeated',
            id=exchange.request.id,
            reason=reason,
            proof=proof.value,
            idle_ms=now - stalled.active_at,
            sends=exchange.sends,
            after=in_flight.events.last_id,
        )
        self._used_at[path.hops[0].server.id] = now
        self._owner.send(in_flight, path.hops)
        return True

    def _is_allowed(self, in_flight: in_flight_module.InFlightRequest) -> bool:
        """Return whether a request may have another run beside its own."""
        exchange = in_flight.exchange
        if (
            exchange.ended
            or in_flight.rerouting
            or in_flight.withdraw_offer is not None
            # It may soon be clear that no engine can be reached.
            or self._evidence.is_checking
            or self._evidence.links.are_lost
            or not self._owner.may_retry(in_flight)
            or not self._budget.can_acquire(
                exchange.service, exchange.response_started
            )
        ):
            return False
        if any(
            run.tracked is not None and run.tracked.is_on_trial
            for run in in_flight.open_runs
        ):
            return False
        permit = self._permits.check(exchange.fingerprint, exchange.parts)
        return permit is run_permits.Permit.GRANTED

    def _find_path(
        self, in_flight: in_flight_module.InFlightRequest, now: int
    ) -> search.Path | None:
        """Find a path that begins at an engine without a run of a request.

        Engines know the runs that they receive by the request.
        """
        self._used_at = {
            server_id: at
            for server_id, at in self._used_at.items()
            if now - at < SPREAD_MS
        }
        own = {run.first_server.id for run in in_flight.open_runs}
        found = self._paths.find(in_flight, own.union(self._used_at))
        if self._used_at and not isinstance(found, search.Path):
            self._used_at.clear()
            found = self._paths.find(in_flight, own)
        if not isinstance(found, search.Path):
            return None
        if self._owner.would_be_cut(in_flight, found, now):
            return None
        return found

    def _find_proof(self, run: in_flight_module.OpenRun) -> run_proofs.Proof:
        return run_proofs.find_server_proof(self._permits, run, run.servers)

    def _choose_surplus(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> in_flight_module.OpenRun:
        """Choose the one of two stalled runs that a third one replaces.

        The older one has more of its work done.
        """
        assert in_flight.current is not None
        assert in_flight.second is not None
        if (
            self._find_proof(in_flight.current) is not run_proofs.Proof.NONE
            and self._find_proof(in_flight.second) is run_proofs.Proof.NONE
        ):
            return in_flight.current
        return in_flight.second

    def settle(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
    ) -> None:
        """End the other run of a request, as one has gone on.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        run : in_flight_module.OpenRun
            The run that has delivered the next event or the end.
        """
        for other in in_flight.open_runs:
            if other is not run:
                logger.info(
                    'second_run_settled',
                    id=in_flight.exchange.request.id,
                    kept='first' if run is in_flight.current else 'second',
                    waited_ms=self._clock.now()
                    - max(run.sent_at, other.sent_at),
                )
                self._owner.close_run(in_flight, other)
                in_flight.exchange.path = search.describe_path(run.hops)
