"""Selects a plain server by load, recent failures and failure domain."""

from __future__ import annotations

import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from thornspool.domain.fleet import messages


class ReportedLoad(typing.Protocol):
    """Load that a server reports with a response."""

    @property
    def running(self) -> int:
        """Number of running requests."""

    @property
    def waiting(self) -> int:
        """Number of queued requests."""


FAILURE_HALF_LIFE_MS = 2_000
"""Half-life of the weight of a failure.

Servers fail for several seconds at a time; with this value, one call every few
seconds detects that a server has recovered.
"""

LOAD_VALID_MS = 500
"""Time for which a reported load is valid: some five calls."""

REMOTE_WEIGHT = 0.15
"""Cost of a server in another failure domain, as a share of its slots.

It applies where the loads of the own servers are not known.
"""

INITIAL_WORK_SHARE = 0.2
"""Share of the target that a response takes until responses were observed."""

WORK_WEIGHT = 0.1
"""Weight of a new response in the mean time of work."""

ERROR_WEIGHT = 0.15
"""Weight of an error response; one in seven reads fails at healthy servers."""

REFUSED_WEIGHT = 0.5
"""Weight of a refusal by a server that is overloaded or failing."""

BROKEN_WEIGHT = 1.0
"""Weight of a lost or corrupt response."""

TIMEOUT_WEIGHT = 1.0
"""Weight of a call that timed out."""


@attrs.define
class ServerScore:
    """Load and recent failures of a server."""

    in_flight: int = 0
    failures: float = 0.0
    failures_at: int = 0
    load: int = 0
    load_at: int | None = None


@attrs.frozen
class Need:
    """What a call needs of its server.

    Attributes
    ----------
    target_ms : float
        Target time to the response.
    min_gain_ms : float
        Minimum gain that pays for the bytes between failure domains.
    drawn : float
        Random number of the call, from 0 to less than 1.
    """

    target_ms: float
    min_gain_ms: float
    drawn: float


@attrs.define
class ServerScores:
    """Load and recent failures of all servers, by id.

    Attributes
    ----------
    servers : dict of str to ServerScore
        Scores by server.
    work_ms : dict of str to float
        Mean time of a response without queue, by service.
    """

    servers: dict[str, ServerScore] = attrs.field(factory=dict)
    work_ms: dict[str, float] = attrs.field(factory=dict)

    def begin(self, name: str) -> None:
        """Record the start of a call."""
        self._get_or_add(name).in_flight += 1

    def finish(self, name: str) -> None:
        """Record the end of a call."""
        score = self._get_or_add(name)
        score.in_flight = max(0, score.in_flight - 1)

    def record_failure(self, name: str, weight: float, now: int) -> None:
        """Record a failure with its weight."""
        score = self._get_or_add(name)
        score.failures = _decay_failures(score, now) + weight
        score.failures_at = now

    def record_load(
        self, name: str, load: ReportedLoad | None, now: int
    ) -> None:
        """Record the load that a server reports; None is ignored."""
        if load is None:
            return
        score = self._get_or_add(name)
        score.load = load.running + load.waiting
        score.load_at = now

    def record_response(
        self, server: messages.Server, took_ms: float, now: int
    ) -> None:
        """Record the time of a response whose server reported its load.

        Parameters
        ----------
        server : messages.Server
            The server.
        took_ms : float
            Milliseconds from the send to the response.
        now : int
            Milliseconds of the clock.
        """
        load = self._get_valid_load(server, now)
        if load is None:
            return
        work_ms = took_ms / max(1.0, load / max(1, server.slots))
        mean_ms = self.work_ms.get(server.service, work_ms)
        self.work_ms[server.service] = mean_ms + WORK_WEIGHT * (
            work_ms - mean_ms
        )

    def compute_remote_weights(
        self,
        servers: Sequence[messages.Server],
        domain: str,
        now: int,
        need: Need,
    ) -> dict[str, float]:
        """Compute the costs of the other failure domains for a call.

        A call that would be on time in its own domain does not leave it for a
        lower load. If it would be late there, the share that exceeds what the
        own servers complete in time may leave for a domain with a server at
        which it is on time.

        Parameters
        ----------
        servers : sequence of messages.Server
            Servers to choose from.
        domain : str
            Local failure domain.
        now : int
            Milliseconds of the clock.
        need : Need
            What the call needs.

        Returns
        -------
        dict of str to float
            Costs by domain as shares of the slots; empty if there are no own
            servers, or if the loads that decide are not known, so that
            ``REMOTE_WEIGHT`` applies.
        """
        loads = [
            (server, self._get_valid_load(server, now)) for server in servers
        ]
        own = [one for one in loads if one[0].failure_domain == domain]
        if not own or any(load is None for _, load in own):
            return {}
        work_ms = self.work_ms.get(
            own[0][0].service, need.target_ms * INITIAL_WORK_SHARE
        )
        shares = [(load or 0) / max(1, one.slots) for one, load in own]
        response_ms = estimate_response(work_ms, min(shares))
        remote = {one.failure_domain for one in servers} - {domain}
        stay = dict.fromkeys(remote, REMOTE_WEIGHT + min(shares))
        if response_ms <= need.target_ms + need.min_gain_ms:
            return stay
        on_time = {
            one.failure_domain
            for one, load in loads
            if load is not None
            and one.failure_domain != domain
            and estimate_response(work_ms, load / max(1, one.slots))
            <= need.target_ms
        }
        if not on_time:
            is_known = all(load is not None for _, load in loads)
            return stay if is_known else {}
        if need.drawn >= 1.0 - need.target_ms / response_ms:
            return stay
        return stay | dict.fromkeys(on_time, 0.0)

    def choose(
        self,
        servers: Sequence[messages.Server],
        domain: str,
        now: int,
        noise: Callable[[], float],
        remote_weights: Mapping[str, float] | None = None,
    ) -> messages.Server | None:
        """Choose the server with the lowest cost.

        Parameters
        ----------
        servers : sequence of messages.Server
            Servers to choose from.
        domain : str
            Local failure domain.
        now : int
            Milliseconds of the clock.
        noise : callable
            Returns a random number from 0 to 1, of which a tenth is added to
            each cost.
        remote_weights : mapping of str to float, optional
            Costs of other failure domains; ``REMOTE_WEIGHT`` for a domain that
            is not listed.

        Returns
        -------
        messages.Server or None
            None for an empty sequence.
        """
        if not servers:
            return None
        weights = remote_weights or {}
        return min(
            servers,
            key=lambda one: (
                self.compute_cost(one, domain, now, weights) + 0.1 * noise()
            ),
        )

    def compute_cost(
        self,
        server: messages.Server,
        domain: str,
        now: int,
        remote_weights: Mapping[str, float],
    ) -> float:
        """Compute the cost of a server, without jitter.

        Parameters
        ----------
        server : messages.Server
            The server.
        domain : str
            Local failure domain.
        now : int
            Milliseconds of the clock.
        remote_weights : mapping of str to float
            Costs of other failure domains; ``REMOTE_WEIGHT`` for a domain that
            is not listed.
        """
        score = self._get_or_add(server.id)
        load = self._get_valid_load(server, now)
        if load is None:
            load = score.in_flight
        cost = load / max(1, server.slots) + _decay_failures(score, now)
        if server.failure_domain != domain:
            cost += remote_weights.get(server.failure_domain, REMOTE_WEIGHT)
        return cost

    def _get_valid_load(self, server: messages.Server, now: int) -> int | None:
        """Return the load of a server; None without a recent report."""
        score = self._get_or_add(server.id)
        if score.load_at is None or now - score.load_at >= LOAD_VALID_MS:
            return None
        return max(score.in_flight, score.load)

    def _get_or_add(self, name: str) -> ServerScore:
        score = self.servers.get(name)
        if score is None:
            score = self.servers[name] = ServerScore()
        return score


def _decay_failures(score: ServerScore, now: int) -> float:
    age = max(0, now - score.failures_at)
    return score.failures * float(0.5 ** (age / FAILURE_HALF_LIFE_MS))


def estimate_response(work_ms: float, load_share: float) -> float:
    """Estimate the time to the response of a server.

    Parameters
    ----------
    work_ms : float
        Time of a response without queue.
    load_share : float
        Running and queued requests, as a share of the slots.

    Returns
    -------
    float
        Milliseconds. A new request waits for one round of work for each full
        set of slots before it.
    """
    return work_ms * (1.0 + max(0, math.floor(load_share)))
