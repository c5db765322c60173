"""The operators' configuration, and how a request is matched with it."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.fleet import messages as fleet


class Kind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@attrs.frozen
class Share:
    """A service's part of the traffic of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go.

    Attributes
    ----------
    name : str
        Its name.
    host, prefix : str
        What it matches.
    kind : Kind
        What may be repeated.
    shares : tuple of Share
        Services that take its requests.
    timeout_ms : int
        Longest time that a caller may be kept waiting.
    target_latency_ms : int
        Time to an answer, or to the first event, that callers aim at.
    target_gap_ms : int
        Longest pause between events that callers aim at; 0 for none.
    priority : int
        Rank; 0 goes first.
    attempts : int
        Most servers that one request may run on.
    anonymous : bool
        Whether it needs no key.
    resumable : bool
        Whether a stream may go on at another server.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_ms: int
    target_latency_ms: int
    target_gap_ms: int = 0
    priority: int = 5
    attempts: int = 1
    anonymous: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is Kind.STREAMING:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT


@attrs.frozen
class Workspace:
    """Whom a key belongs to.

    Attributes
    ----------
    name : str
        Its name.
    priority : int or None
        Takes precedence over a route's.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class Service:
    """A group of equal servers.

    Attributes
    ----------
    name : str
        Its name.
    model : fleet.Model or None
        The model that its engines share; None for a plain service.
    """

    name: str
    model: fleet.Model | None = None


@attrs.frozen
class Configuration:
    """One version of the configuration, whole.

    Attributes
    ----------
    version : int
        Grows with each change.
    routes : dict of str to tuple of Route
        By host, longest prefix first.
    services : dict of str to Service
        By name.
    workspaces : dict of str to Workspace
        By key.
    needs_keys : bool
        Whether requests of routes that are not anonymous carry a key.
    max_body_bytes : int
        Largest request body.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    needs_keys: bool
    max_body_bytes: int

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that begins a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def group_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda one: -len(one.prefix)))
        for host, found in grouped.items()
    }


def choose_service(route: Route, point: float) -> str:
    """Choose a service by weight.

    Parameters
    ----------
    route : Route
        A route with at least one share.
    point : float
        Random number from 0 to under 1.
    """
    total = sum(one.weight for one in route.shares)
    left = point * total
    for one in route.shares:
        left -= one.weight
        if left < 0:
            return one.service
    return route.shares[-1].service
