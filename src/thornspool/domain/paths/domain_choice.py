"""Decision to serve requests in another failure domain.

Traffic between failure domains costs money, yet the engines of one domain are
at times too few for its callers. Each entry decides for its own requests, from
the reservations that all entries report: a request leaves its domain only if
it would be late there and on time in the other one.

The amount is the demand of the domain beyond its own capacity, divided over
the domains with spare capacity. Each request draws its domain, so that
entries with the same information do not all choose the same one.
"""

from __future__ import annotations

import enum
import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import reservations

HIGH_SHARE = 0.65
"""Reserved share of a domain's memory from which requests may leave it.

Reports are up to 0.8 s old, a quarter of the time of a stream. Engines with a
reserved share of 0.9 refuse requests, so the remaining 0.25 covers what may
have been reserved since.
"""

LOW_SHARE = 0.5
"""Reserved share below which requests stay in their domain again.

The distance to ``HIGH_SHARE`` is twice the standard deviation of a share that
some hundred streams reserve at random.
"""

RECEIVING_SHARE = 0.6
"""Reserved share up to which a domain receives requests of other domains.

The remaining memory covers bursts of its own callers. It is below
``HIGH_SHARE``, so that a domain does not send requests away because of those
that it receives.
"""

EVEN_MARGIN = 0.1
"""Difference of reserved shares below which domains are equally loaded; a
share that some hundred streams reserve at random varies by this much."""

FULL_SHARE = 0.7
"""Reserved share at which a domain counts as full in the estimated wait.

Engines fill unevenly, so some requests find no path before all memory of the
domain is reserved. With 0.8, requests left their domain only once it had no
path.
"""

MAX_UTILIZATION = 0.99
"""Largest utilization for which a wait is estimated; it is unbounded at 1."""

MAX_REPORT_AGE_MS = 1_500
"""Age of reports from which the decision falls back to fixed costs: twice the
time in which a report reaches all entries."""

EXPORT_DECAY_MS = 2_500.0
"""Time constant of the share that a domain is assumed to export.

Reserved memory follows a change of the share with the time of a stream.
"""

MAX_EXPORT_SHARE = 0.8
"""Largest share of its demand that a domain exports."""

TOKENS_PER_EVENT = 3.0
"""Tokens that a pass over a path adds to a response in one event."""

RESPONSE_BYTES_PER_TOKEN = 57.0
"""Bytes of events for each token: 10 kB for a usual response of 174 tokens."""

GAIN_MS_PER_KB = 5.0
"""Minimum gain that pays for 1,000 bytes between domains.

A usual request sends 13 kB, so it has to be late by 65 ms, an eighth of a
target of 500 ms.
"""

_BYTES_PER_KB = 1_000.0
_MS_PER_S = 1_000.0


class Reason(enum.Enum):
    """Reason for a decision."""

    NO_INFORMATION = 'no_information'
    """Reports are old or missing: the fixed cost applies."""
    EVEN = 'even'
    """Late here, and no domain is less loaded: the fixed cost applies."""
    SLOW = 'slow'
    """Late here although there is memory: the fixed cost applies."""
    IN_TIME = 'in_time'
    """On time in the own domain: the request stays."""
    NO_GAIN = 'no_gain'
    """No domain with spare capacity would be on time: the request stays."""
    LATE = 'late'
    """Late here and on time there: a share of the requests leaves."""


FIXED_COST_REASONS = frozenset(
    {Reason.NO_INFORMATION, Reason.EVEN, Reason.SLOW}
)
"""Decisions that leave the fixed cost of other domains in force."""


@attrs.frozen
class DomainLoad:
    """Load of the engines of one failure domain.

    Attributes
    ----------
    domain : str
        Failure domain.
    capacity : float
        Tokens for which the layer with the highest reserved share has memory.
    reserved : float
        Tokens reserved for this layer.
    first_event_ms : float
        Estimated time to the first event of a request.
    pause_ms : float
        Estimated time between two events.
    """

    domain: str
    capacity: float
    reserved: float
    first_event_ms: float = 0.0
    pause_ms: float = 0.0

    @property
    def share(self) -> float:
        """Reserved share of the memory."""
        return self.reserved / self.capacity


@attrs.frozen
class Target:
    """Target of a request.

    Attributes
    ----------
    first_event_ms, pause_ms : float
        Target of the first event and of the time between two events; 0 for
        none.
    min_gain_ms : float
        Minimum gain that pays for the bytes between the domains.
    """

    first_event_ms: float
    pause_ms: float = 0.0
    min_gain_ms: float = 0.0


@attrs.frozen
class Export:
    """Shares of the requests of a domain that leave it.

    Attributes
    ----------
    reason : Reason
        Reason for the decision.
    shares : mapping of str to float
        Shares by failure domain; empty if all requests stay.
    """

    reason: Reason
    shares: Mapping[str, float] = attrs.field(factory=dict)

    def choose(self, drawn: float) -> str | None:
        """Choose the domain of a request.

        Parameters
        ----------
        drawn : float
            Random number of the request, from 0 to less than 1.

        Returns
        -------
        str or None
            None for a request that stays.
        """
        for domain in sorted(self.shares):
            drawn -= self.shares[domain]
            if drawn < 0:
                return domain
        return None


@attrs.define
class ExportState:
    """Hysteresis of a domain, and the shares that it has exported recently.

    Attributes
    ----------
    is_overloaded : bool
        Whether the reserved share has exceeded the high watermark and not yet
        fallen below the low one.
    exported : dict of str to float
        Smoothed shares by receiving domain.
    updated_at : int or None
        Time of the last update in milliseconds.
    in_force : mapping of str to float
        Shares in force since the last update.
    """

    is_overloaded: bool = False
    exported: dict[str, float] = attrs.field(factory=dict)
    updated_at: int | None = None
    in_force: Mapping[str, float] = attrs.field(factory=dict)

    def update_share(self, reserved_share: float) -> None:
        """Apply the current reserved share of the domain."""
        if reserved_share >= HIGH_SHARE:
            self.is_overloaded = True
        elif reserved_share < LOW_SHARE:
            self.is_overloaded = False

    def record_export(self, shares: Mapping[str, float], now: int) -> None:
        """Record the shares in force from now on.

        The smoothed shares follow those that were in force until now. A
        decision is not assumed to have lasted longer than the reports on
        which it was based.

        Parameters
        ----------
        shares : mapping of str to float
            Shares by receiving domain.
        now : int
            Milliseconds of the clock.
        """
        elapsed_ms = 0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        weight = 1.0 - math.exp(-elapsed_ms / EXPORT_DECAY_MS)
        if elapsed_ms > MAX_REPORT_AGE_MS:
            self.in_force = {}
        self.exported = {
            domain: previous
            + weight * (self.in_force.get(domain, 0.0) - previous)
            for domain in {*self.in_force, *self.exported}
            for previous in (self.exported.get(domain, 0.0),)
        }
        self.in_force = shares


def decide_export(
    own: DomainLoad | None,
    others: Sequence[DomainLoad],
    target: Target,
    state: ExportState,
) -> Export:
    """Decide which share of the requests leaves the own domain.

    Parameters
    ----------
    own : DomainLoad or None
        Load of the own domain; None without valid reports, or if its engines
        do not hold all layers.
    others : sequence of DomainLoad
        Loads of the other domains with valid reports.
    target : Target
        Target of the request.
    state : ExportState
        Hysteresis and recent exports of the own domain.

    Returns
    -------
    Export
        Shares by domain, which sum to less than 1, and the reason.
    """
    if own is None or not others:
        return Export(Reason.NO_INFORMATION)
    if compute_delay(own, target) <= target.min_gain_ms:
        return Export(Reason.IN_TIME)
    if own.share - min(one.share for one in others) < EVEN_MARGIN:
        return Export(Reason.EVEN)
    if not state.is_overloaded:
        return Export(Reason.SLOW)
    spare = {
        one.domain: _compute_spare(own, others, one, state)
        for one in others
        if compute_delay(one, target) <= 0.0
    }
    total_spare = sum(spare.values())
    if total_spare <= 0.0:
        return Export(Reason.NO_GAIN)
    demand = _compute_demand(own, state)
    excess = max(0.0, demand - own.capacity * LOW_SHARE)
    exported = min(excess, total_spare, demand * MAX_EXPORT_SHARE)
    return Export(
        Reason.LATE,
        {
            domain: exported * amount / total_spare / demand
            for domain, amount in spare.items()
            if amount > 0.0
        },
    )


def compute_delay(load: DomainLoad, target: Target) -> float:
    """Compute by how much a request would miss its target in a domain.

    Parameters
    ----------
    load : DomainLoad
        Load of the domain.
    target : Target
        Target of the request.

    Returns
    -------
    float
        Milliseconds; 0 if it would be on time.
    """
    delay_ms = 0.0
    if target.first_event_ms > 0:
        delay_ms = max(0.0, load.first_event_ms - target.first_event_ms)
    if target.pause_ms > 0:
        delay_ms = max(delay_ms, load.pause_ms - target.pause_ms)
    return delay_ms


def _compute_demand(own: DomainLoad, state: ExportState) -> float:
    """Return the tokens that the domain would reserve without exports."""
    exported = min(MAX_EXPORT_SHARE, sum(state.exported.values()))
    return own.reserved / (1.0 - exported)


def _compute_spare(
    own: DomainLoad,
    others: Sequence[DomainLoad],
    receiver: DomainLoad,
    state: ExportState,
) -> float:
    """Return the tokens that a domain can receive from the own domain.

    Its spare capacity is divided over all overloaded domains in proportion to
    what they reserve beyond the high watermark. What the own domain has sent
    there counts as available to it.
    """
    sent = _compute_demand(own, state) * state.exported.get(
        receiver.domain, 0.0
    )
    free = receiver.capacity * RECEIVING_SHARE - receiver.reserved
    excess = _compute_excess(own)
    competing = sum(
        _compute_excess(one)
        for one in others
        if one.share >= HIGH_SHARE and one is not receiver
    )
    return max(0.0, free * excess / (excess + competing) + sent)


def _compute_excess(load: DomainLoad) -> float:
    """Return the tokens beyond the low watermark, and at least one."""
    return max(1.0, load.reserved - load.capacity * LOW_SHARE)


def estimate_bytes(request_bytes: float, output_tokens: float) -> float:
    """Estimate the bytes of a model request and its response.

    Parameters
    ----------
    request_bytes : float
        Bytes of the body of the request.
    output_tokens : float
        Expected tokens of its response.
    """
    return request_bytes + output_tokens * RESPONSE_BYTES_PER_TOKEN


def compute_min_gain(link_bytes: float) -> float:
    """Compute the minimum gain that pays for bytes between domains.

    Parameters
    ----------
    link_bytes : float
        Bytes of the request and its response.

    Returns
    -------
    float
        Milliseconds.
    """
    return link_bytes / _BYTES_PER_KB * GAIN_MS_PER_KB


def measure_loads(
    model: fleet.Model,
    engines: Iterable[fleet.Server],
    reserved: reservations.Reservations,
    get_slowdown: Callable[[str], float],
) -> dict[str, DomainLoad]:
    """Measure the load of each failure domain that holds all layers.

    Parameters
    ----------
    model : fleet.Model
        Sizes, speeds and usual requests.
    engines : iterable of fleet.Server
        Engines that paths may use.
    reserved : reservations.Reservations
        Memory that requests of all entries reserve.
    get_slowdown : callable
        Returns the slowdown factor of an engine; 1 without one.

    Returns
    -------
    dict of str to DomainLoad
        By failure domain.
    """
    layers: dict[str, list[_Layer]] = {}
    for engine in engines:
        held = engine.layers
        accelerator = model.accelerators.get(engine.kind)
        if held is None or accelerator is None or held.end > model.layers:
            continue
        capacity = model.compute_free_capacity(engine.kind, held.count)
        if capacity <= 0:
            continue
        taken = reserved.compute_reserved(engine.id)
        backlog = reserved.prefill_backlog.get(engine.id, 0.0) / held.count
        slowdown = get_slowdown(engine.id)
        for layer in layers.setdefault(
            engine.failure_domain, [_Layer() for _ in range(model.layers)]
        )[held.first : held.end]:
            layer.add(
                capacity / held.count,
                taken / held.count,
                accelerator.read_factor * slowdown,
                accelerator.step_factor * slowdown,
                backlog,
            )
    return {
        domain: _summarize(model, domain, held_layers)
        for domain, held_layers in layers.items()
        if all(layer.capacity > 0 for layer in held_layers)
    }


@attrs.define
class _Layer:
    """Engines of a domain that hold one layer.

    The factors are those of the fastest engine that has memory for requests,
    which all entries prefer; of the fastest one if none has memory.
    """

    capacity: float = 0.0
    reserved: float = 0.0
    read_factor: float = math.inf
    step_factor: float = math.inf
    backlog: float = 0.0
    is_full: bool = True

    def add(
        self,
        capacity: float,
        reserved: float,
        read_factor: float,
        step_factor: float,
        backlog: float,
    ) -> None:
        """Add an engine."""
        self.capacity += capacity
        self.reserved += reserved
        is_full = reserved >= capacity * FULL_SHARE
        if (is_full, step_factor) < (self.is_full, self.step_factor):
            self.is_full = is_full
            self.read_factor = read_factor
            self.step_factor = step_factor
            self.backlog = backlog


def _summarize(
    model: fleet.Model, domain: str, layers: Sequence[_Layer]
) -> DomainLoad:
    """Summarize the layers of a domain."""
    read_ms = sum(
        (model.usual_prompt + layer.backlog) * layer.read_factor
        for layer in layers
    ) * (_MS_PER_S / model.read_per_s / model.layers)
    step_ms = (
        sum(layer.step_factor for layer in layers)
        * model.step_ms
        / model.layers
    )
    fullest = max(layers, key=lambda layer: layer.reserved / layer.capacity)
    wait_ms = estimate_wait(
        fullest.reserved / fullest.capacity,
        fullest.capacity / (model.usual_prompt + model.usual_answer),
        read_ms + step_ms * model.usual_answer,
    )
    pause_ms = step_ms * TOKENS_PER_EVENT
    return DomainLoad(
        domain,
        fullest.capacity,
        fullest.reserved,
        wait_ms + read_ms + pause_ms,
        pause_ms,
    )


def estimate_wait(
    reserved_share: float, concurrent: float, stream_ms: float
) -> float:
    """Estimate how long a request waits for memory in a domain.

    The domain is treated as a queue with as many servers as requests fit into
    its memory (approximation by Sakasegawa).

    Parameters
    ----------
    reserved_share : float
        Reserved share of the memory.
    concurrent : float
        Requests that fit into the memory.
    stream_ms : float
        Time for which a request reserves its memory.

    Returns
    -------
    float
        Milliseconds.
    """
    count = max(1.0, concurrent * FULL_SHARE)
    utilization = min(MAX_UTILIZATION, reserved_share / FULL_SHARE)
    exponent = math.sqrt(2.0 * (count + 1.0)) - 1.0
    factor: float = utilization**exponent / (count * (1.0 - utilization))
    return stream_ms * factor
