"""Demand of all entries for the memory of engines, and what follows from it.

Each entry reports what its requests need, by service and rank, with its state
updates. From the sums it decides which part of the memory a request may use,
whether a request that waits is served in time, and when a refused caller
returns.
"""

from __future__ import annotations

import collections
import copy
import functools
import typing

import attrs
import xxhash

from thornspool.application.routing import workspace_demand
from thornspool.domain.admission import claims
from thornspool.domain.admission import headroom
from thornspool.domain.admission import queueing
from thornspool.domain.admission import rates

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool import clock as clock_module

RANKS = 20
"""Ranks of requests: ten priorities, each with requests within the share of
their workspace and behind them those beyond it."""

MAX_SERVICES = 64
"""Services with a model whose demand an entry records."""

HASH_BITS = 31
"""Bits of the key of a measure; keys of workspaces begin above.

With 24 bits, one deployment of 61 with 12 services and all ranks had two
measures with the same key, for as long as the names stay: a rank then keeps
memory and refuses requests for the demand of another service. Keys of 31 bits
take the same five bytes, and one deployment of 7,770 has such a pair.
"""

CACHED_KEYS = 8_192
"""Size of the cache of keys: all measures of the services of an entry."""

START_MS = 1_500
"""Time in which most streams end that start after an idle time.

The releases of the last 3 s are too few until this time and their window have
passed. Until then the tokens of the streams that have started count; under
scarcity as many end as start.
"""

_MS_PER_S = 1000.0


@attrs.define
class Demand:
    """Demand of some entries for the engines of one service.

    Attributes
    ----------
    arrived_tokens, arrivals : list of float
        Tokens and number of the requests per second, by rank.
    queued_tokens : list of float
        Tokens of the requests that wait, by rank.
    released_tokens : list of float
        One element: tokens that requests release per second.
    refused_tokens : list of float
        One element: tokens of the requests that were refused for lack of
        memory, per second.
    starting_tokens : list of float
        One element: tokens per second that entries will release beyond those
        above, as they were idle until a moment ago.
    """

    arrived_tokens: list[float] = attrs.field(factory=lambda: [0.0] * RANKS)
    arrivals: list[float] = attrs.field(factory=lambda: [0.0] * RANKS)
    queued_tokens: list[float] = attrs.field(factory=lambda: [0.0] * RANKS)
    released_tokens: list[float] = attrs.field(factory=lambda: [0.0])
    refused_tokens: list[float] = attrs.field(factory=lambda: [0.0])
    starting_tokens: list[float] = attrs.field(factory=lambda: [0.0])

    @property
    def served_tokens(self) -> float:
        """Tokens per second by which waits are estimated.

        They are 0 until the first release, as nothing shows before it that
        engines serve.
        """
        if self.released_tokens[0] <= 0:
            return 0.0
        return self.released_tokens[0] + self.starting_tokens[0]


@attrs.frozen
class RankState:
    """State of the requests of one rank, for metrics.

    Attributes
    ----------
    service : str
        Their service.
    rank : int
        Their rank.
    queued_tokens : float
        Tokens of those that wait at all entries.
    kept_tokens : float
        Tokens that are kept for more urgent requests.
    released_tokens : float
        Tokens that those of this entry have released since it started.
    """

    service: str
    rank: int
    queued_tokens: float
    kept_tokens: float
    released_tokens: float


@attrs.define
class _ServiceRecord:
    """What this entry has observed of one service."""

    workspaces: workspace_demand.WorkspaceShares
    arrived_tokens: dict[int, rates.Rate] = attrs.field(
        factory=lambda: collections.defaultdict(rates.Rate)
    )
    arrivals: dict[int, rates.Rate] = attrs.field(
        factory=lambda: collections.defaultdict(rates.Rate)
    )
    queued_tokens: dict[int, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )
    released: rates.Rate = attrs.field(
        factory=lambda: rates.Rate(rates.RELEASE_WINDOW_MS)
    )
    claimed: dict[int, rates.Rate] = attrs.field(
        factory=lambda: collections.defaultdict(
            lambda: rates.Rate(round(headroom.REPORT_AGE_MS))
        )
    )
    refused: rates.Rate = attrs.field(factory=rates.Rate)
    started: rates.Rate = attrs.field(
        factory=lambda: rates.Rate(rates.RELEASE_WINDOW_MS)
    )
    busy_since: int = 0
    used_at: int | None = None
    others: Demand | None = None
    released_totals: dict[int, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )
    drawn: float = 0.0
    drawn_until: int = 0
    returns: queueing.ReturnSchedule = attrs.field(
        factory=queueing.ReturnSchedule
    )


class AdmissionControl:
    """Decides on scarce engine memory by the demand of all entries.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    count_entries : callable
        Returns the number of entries.
    random_source : random.Random
        Source of all random choices.
    is_enabled : bool, optional
        Whether the deployment shares memory by demand.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        count_entries: Callable[[], int],
        random_source: random.Random,
        is_enabled: bool = True,
    ) -> None:
        self.is_enabled = is_enabled
        self._clock = clock
        self._count_entries = count_entries
        self._random = random_source
        self._records: dict[str, _ServiceRecord] = {}

    def detach(self, random_source: random.Random) -> AdmissionControl:
        """Copy the records for a dry run, which changes only the copy."""
        detached = copy.copy(self)
        detached._random = random_source
        detached._records = copy.deepcopy(self._records)
        return detached

    def record_arrival(self, service: str, rank: int, tokens: float) -> None:
        """Record a request that needs memory.

        Parameters
        ----------
        service : str
            Service of the request.
        rank : int
            Its rank; the most urgent is 0.
        tokens : float
            Tokens for which it needs memory.
        """
        now = self._clock.now()
        record = self._get_record(service)
        if (
            record.used_at is None
            or now - record.used_at >= rates.RELEASE_WINDOW_MS
        ):
            record.busy_since = now
        record.used_at = now
        record.arrived_tokens[rank].add(tokens, now)
        record.arrivals[rank].add(1.0, now)

    def record_workspace(
        self, service: str, workspace: str, tokens: float
    ) -> workspace_demand.WorkspaceShare | None:
        """Record a request of a workspace.

        Parameters
        ----------
        service : str
            Service of the request.
        workspace : str
            Name of its workspace; empty for all anonymous callers.
        tokens : float
            Tokens for which it needs memory.

        Returns
        -------
        workspace_demand.WorkspaceShare or None
            Share of the workspace; None unless memory is scarce and several
            workspaces need it.
        """
        shares = self._get_record(service).workspaces
        shares.record_arrival(workspace, tokens, self._clock.now())
        self._update_shares(service)
        return shares.get_share(workspace)

    def record_refusal(self, service: str, tokens: float) -> None:
        """Record that a request was refused for lack of memory."""
        self._get_record(service).refused.add(tokens, self._clock.now())

    def enter_queue(self, service: str, rank: int, tokens: float) -> None:
        """Record that a request waits for memory."""
        self._get_record(service).queued_tokens[rank] += tokens

    def leave_queue(self, service: str, rank: int, tokens: float) -> None:
        """Record that a request no longer waits for memory."""
        queued = self._get_record(service).queued_tokens
        left = queued[rank] - tokens
        # The sum of fractions may leave a residue, which would be reported
        # as a token and keep memory without any request.
        queued[rank] = left if left >= 1.0 else 0.0

    def record_claim(self, service: str, rank: int, tokens: float) -> None:
        """Record that a request has reserved memory."""
        record = self._get_record(service)
        record.claimed[rank].add(tokens, self._clock.now())
        record.started.add(tokens, self._clock.now())

    def record_release(self, service: str, rank: int, tokens: float) -> None:
        """Record that a request has released its memory."""
        record = self._get_record(service)
        record.used_at = self._clock.now()
        record.released.add(tokens, record.used_at)
        record.released_totals[rank] += tokens

    def describe(self) -> list[RankState]:
        """Describe what is known of each rank that has been in use here."""
        states: list[RankState] = []
        for service, record in list(self._records.items()):
            queued = self._estimate_total(service).queued_tokens
            states.extend(
                RankState(
                    service,
                    rank,
                    queued[rank],
                    self.compute_kept_tokens(service, rank),
                    record.released_totals.get(rank, 0.0),
                )
                for rank in sorted(record.arrivals)
            )
        return states

    def list_amounts(self) -> dict[int, float]:
        """List the demand of this entry by hash, for state updates."""
        amounts: dict[int, float] = {}
        for service, record in self._records.items():
            self._update_shares(service)
            amounts.update(record.workspaces.list_amounts(self._clock.now()))
            demand = self._measure(service)
            for measure, values in _list_measures(demand):
                for rank, value in enumerate(values):
                    if value > 0:
                        amounts[_hash_measure(service, measure, rank)] = value
        return amounts

    def apply_others(
        self, amounts: dict[int, float], known: int | None = None
    ) -> None:
        """Apply the sums of the demand of the other entries.

        Entries that the sums lack are assumed to have the mean demand of
        those that they include.

        Parameters
        ----------
        amounts : dict of int to float
            Sums by hash.
        known : int, optional
            Number of other entries that the sums include; None for all.
        """
        if known == 0:
            self.forget_others()
            return
        missing = max(1, self._count_entries()) - 1 - (known or 0)
        if known and missing > 0:
            factor = 1.0 + missing / known
            amounts = {key: factor * one for key, one in amounts.items()}
        groups = workspace_demand.group_by_service(amounts)
        for service, record in self._records.items():
            record.workspaces.apply_others(
                groups.get(workspace_demand.find_group(service), {})
            )
            others = Demand()
            for measure, values in _list_measures(others):
                for rank in range(len(values)):
                    values[rank] = amounts.get(
                        _hash_measure(service, measure, rank), 0.0
                    )
            record.others = others

    def forget_others(self) -> None:
        """Record that no report of another entry is valid."""
        for record in self._records.values():
            record.others = None

    def compute_kept_tokens(self, service: str, rank: int) -> float:
        """Compute the tokens that are kept for more urgent requests."""
        if rank == 0:
            return 0.0
        demand = self._estimate_total(service)
        return headroom.compute_kept_tokens(
            headroom.UrgentDemand(
                sum(demand.queued_tokens[:rank]),
                sum(demand.arrived_tokens[:rank]),
                sum(demand.arrivals[:rank]),
                demand.released_tokens[0],
            )
        )

    def fits_claim(
        self, service: str, rank: int, tokens: float, free_tokens: float
    ) -> bool:
        """Return whether a request fits into this entry's share.

        More urgent ranks are shared out first: an urgent request does not
        wait for a share while there is memory for all as urgent as it is.

        Parameters
        ----------
        service : str
            Service of the request.
        rank : int
            Its rank.
        tokens : float
            Tokens for which it needs memory.
        free_tokens : float
            Tokens for which the engines have free memory as far as this entry
            knows.
        """
        now = self._clock.now()
        record = self._get_record(service)
        total = self._estimate_total(service)
        claimed = {
            one: claim.sum(now) for one, claim in record.claimed.items()
        }
        supply = claims.Supply(
            # Own claims are already part of the known reservations.
            free_tokens + sum(claimed.values()),
            total.released_tokens[0],
            headroom.REPORT_AGE_MS,
            sum(_estimate_need(total, one) for one in range(rank)),
        )
        claimable = claims.compute_claimable(
            supply,
            _estimate_need(self._measure(service), rank),
            _estimate_need(total, rank),
        )
        if now >= record.drawn_until:
            record.drawn = self._random.random()
            record.drawn_until = now + round(headroom.REPORT_AGE_MS)
        return claims.fits_claim(
            claimable, claimed.get(rank, 0.0), tokens, record.drawn
        )

    def estimate_wait_ms(
        self, service: str, rank: int, waited_ms: float = 0.0
    ) -> float:
        """Estimate how long a request of a rank still waits for memory.

        Parameters
        ----------
        service : str
            Service of the request.
        rank : int
            Its rank.
        waited_ms : float, optional
            Time that it has waited.
        """
        demand = self._estimate_total(service)
        released = demand.served_tokens
        urgent = sum(demand.queued_tokens[:rank])
        equal_ms = queueing.estimate_wait_ms(
            demand.queued_tokens[rank], released
        )
        return queueing.estimate_wait_ms(urgent, released) + max(
            0.0, equal_ms - waited_ms
        )

    def find_most_urgent(self, service: str) -> int | None:
        """Return the most urgent rank that has arrived in the last second."""
        arrivals = self._estimate_total(service).arrivals
        return next(
            (rank for rank in range(RANKS) if arrivals[rank] > 0), None
        )

    def schedule_return(
        self, service: str, rank: int, tokens: float, remaining_ms: float
    ) -> int:
        """Return when a refused caller should come back, in milliseconds.

        Parameters
        ----------
        service : str
            Service of the request.
        rank : int
            Its rank.
        tokens : float
            Tokens for which it needs memory.
        remaining_ms : float
            Time until the deadline of the caller.
        """
        demand = self._estimate_total(service)
        released = demand.served_tokens
        share = released / max(1, self._count_entries())
        interval_ms = tokens / share * _MS_PER_S if share > 0 else 0.0
        wait_ms = self._get_record(service).returns.schedule(
            self.estimate_wait_ms(service, rank),
            interval_ms,
            remaining_ms,
            self._clock.now(),
        )
        return round(
            queueing.add_jitter(wait_ms, remaining_ms, self._random.random())
        )

    def list_sharings(self) -> dict[str, workspace_demand.Sharing | None]:
        """List by service how scarce memory is shared by workspaces now."""
        for service in self._records:
            self._update_shares(service)
        return {
            service: record.workspaces.sharing
            for service, record in self._records.items()
        }

    def _update_shares(self, service: str) -> None:
        """Update the shares of the workspaces of a service when due."""
        now = self._clock.now()
        record = self._get_record(service)
        if not record.workspaces.needs_update(now):
            return
        total = self._estimate_total(service)
        is_known = record.others is not None
        record.workspaces.update(
            workspace_demand.ServiceDemand(
                sum(total.arrived_tokens),
                sum(total.arrivals),
                sum(total.queued_tokens) + total.refused_tokens[0],
                total.released_tokens[0],
                None if is_known else max(1, self._count_entries()) - 1.0,
            ),
            now,
        )

    def _estimate_total(self, service: str) -> Demand:
        """Estimate the demand of all entries.

        Without valid reports, all other entries are assumed to have the same
        demand as this one.
        """
        own = self._measure(service)
        others = self._get_record(service).others
        if others is None:
            factor = float(max(1, self._count_entries()))
            return _combine(own, own, factor - 1.0)
        return _combine(own, others, 1.0)

    def _measure(self, service: str) -> Demand:
        """Measure the demand of this entry."""
        now = self._clock.now()
        record = self._get_record(service)
        demand = Demand(
            released_tokens=[record.released.compute(now)],
            refused_tokens=[record.refused.compute(now)],
        )
        busy_ms = now - record.busy_since
        if busy_ms < rates.RELEASE_WINDOW_MS + START_MS:
            window_ms = min(rates.RELEASE_WINDOW_MS, max(START_MS, busy_ms))
            started = record.started.sum(now) * _MS_PER_S / window_ms
            demand.starting_tokens[0] = max(
                0.0, started - demand.released_tokens[0]
            )
        for rank, rate in record.arrived_tokens.items():
            demand.arrived_tokens[rank] = rate.compute(now)
        for rank, rate in record.arrivals.items():
            demand.arrivals[rank] = rate.compute(now)
        for rank, tokens in record.queued_tokens.items():
            demand.queued_tokens[rank] = tokens
        return demand

    def _get_record(self, service: str) -> _ServiceRecord:
        record = self._records.get(service)
        if record is None:
            if len(self._records) >= MAX_SERVICES:
                self._records.pop(next(iter(self._records)))
            record = self._records[service] = _ServiceRecord(
                workspace_demand.WorkspaceShares(service)
            )
        return record


def _list_measures(demand: Demand) -> list[tuple[str, list[float]]]:
    return [
        ('arrived', demand.arrived_tokens),
        ('arrivals', demand.arrivals),
        ('queued', demand.queued_tokens),
        ('released', demand.released_tokens),
        ('refused', demand.refused_tokens),
        ('starting', demand.starting_tokens),
    ]


def _combine(own: Demand, others: Demand, factor: float) -> Demand:
    """Add the demand of others, multiplied by a factor."""
    combined = Demand()
    for (_, sums), (_, first), (_, second) in zip(
        _list_measures(combined),
        _list_measures(own),
        _list_measures(others),
        strict=True,
    ):
        for rank in range(len(sums)):
            sums[rank] = first[rank] + factor * second[rank]
    return combined


def _estimate_need(demand: Demand, rank: int) -> float:
    """Estimate the tokens of a rank that wait or arrive until a report."""
    arriving = demand.arrived_tokens[rank] * headroom.REPORT_AGE_MS / _MS_PER_S
    return demand.queued_tokens[rank] + arriving


@functools.lru_cache(CACHED_KEYS)
def _hash_measure(service: str, measure: str, rank: int) -> int:
    name = f'{measure} {rank} of {service}'
    return xxhash.xxh32_intdigest(name.encode()) >> (32 - HASH_BITS)
