"""Selects a plain server by load, recent failures and failure domain."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable
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
"""Cost of a server in another failure domain, as a share of its slots."""

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


@attrs.define
class ServerScores:
    """Load and recent failures of all servers, by id."""

    servers: dict[str, ServerScore] = attrs.field(factory=dict)

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

    def choose(
        self,
        servers: Sequence[messages.Server],
        domain: str,
        now: int,
        noise: Callable[[], float],
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

        Returns
        -------
        messages.Server or None
            None for an empty sequence.
        """
        if not servers:
            return None
        return min(
            servers,
            key=lambda one: (
                self._compute_cost(one, domain, now) + 0.1 * noise()
            ),
        )

    def _compute_cost(
        self, server: messages.Server, domain: str, now: int
    ) -> float:
        score = self._get_or_add(server.id)
        load = score.in_flight
        if score.load_at is not None and now - score.load_at < LOAD_VALID_MS:
            load = max(load, score.load)
        cost = load / max(1, server.slots) + _decay_failures(score, now)
        if server.failure_domain != domain:
            cost += REMOTE_WEIGHT
        return cost

    def _get_or_add(self, name: str) -> ServerScore:
        score = self.servers.get(name)
        if score is None:
            score = self.servers[name] = ServerScore()
        return score


def _decay_failures(score: ServerScore, now: int) -> float:
    age = max(0, now - score.failures_at)
    return score.failures * float(0.5 ** (age / FAILURE_HALF_LIFE_MS))
