"""Which plain server takes a call: by load, recent failures and place."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from thornspool.domain.fleet import messages


class ReportedLoad(typing.Protocol):
    """What a server told of itself with an answer."""

    @property
    def running(self) -> int:
        """Requests that run."""

    @property
    def waiting(self) -> int:
        """Requests that wait."""


HALF_LIFE_MS = 2_000
"""Time after which a failure counts half.

Servers that fail do so for seconds; one call every few seconds finds out
whether it is over.
"""

LOAD_AGE_MS = 500
"""Time for which a reported load is believed: some five calls."""

REMOTE_WEIGHT = 0.15
"""Cost of a server in another failure domain, in shares of its slots."""

ERROR_WEIGHT = 0.15
"""Weight of an error that a server answers itself; one in seven reads fails
at sound servers."""

REFUSED_WEIGHT = 0.5
"""Weight of a refusal: full now, or failing."""

BROKEN_WEIGHT = 1.0
"""Weight of an answer that was lost or spoiled."""

SILENT_WEIGHT = 1.0
"""Weight of a call without an answer in its time."""


@attrs.define
class Standing:
    """What is known of a server."""

    in_flight: int = 0
    failures: float = 0.0
    failures_at: int = 0
    load: int = 0
    load_at: int | None = None


@attrs.define
class Standings:
    """What is known of all servers, by id."""

    servers: dict[str, Standing] = attrs.field(factory=dict)

    def begin(self, name: str) -> None:
        """Note a call on its way."""
        self._find(name).in_flight += 1

    def finish(self, name: str) -> None:
        """Note that a call has ended."""
        found = self._find(name)
        found.in_flight = max(0, found.in_flight - 1)

    def note_failure(self, name: str, weight: float, now: int) -> None:
        """Note a failure with its weight."""
        found = self._find(name)
        found.failures = _decay(found, now) + weight
        found.failures_at = now

    def note_load(
        self, name: str, load: ReportedLoad | None, now: int
    ) -> None:
        """Note the load that a server told."""
        if load is None:
            return
        found = self._find(name)
        found.load = load.running + load.waiting
        found.load_at = now

    def choose(
        self,
        servers: Sequence[messages.Server],
        domain: str,
        now: int,
        noise: Callable[[], float],
    ) -> messages.Server | None:
        """Choose the server with the least cost; None among none."""
        if not servers:
            return None
        return min(
            servers,
            key=lambda one: self._measure(one, domain, now) + 0.1 * noise(),
        )

    def _measure(
        self, server: messages.Server, domain: str, now: int
    ) -> float:
        found = self._find(server.id)
        load = found.in_flight
        if found.load_at is not None and now - found.load_at < LOAD_AGE_MS:
            load = max(load, found.load)
        cost = load / max(1, server.slots) + _decay(found, now)
        if server.failure_domain != domain:
            cost += REMOTE_WEIGHT
        return cost

    def _find(self, name: str) -> Standing:
        found = self.servers.get(name)
        if found is None:
            found = self.servers[name] = Standing()
        return found


def _decay(found: Standing, now: int) -> float:
    age = max(0, now - found.failures_at)
    return found.failures * float(0.5 ** (age / HALF_LIFE_MS))
