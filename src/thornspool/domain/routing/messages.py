"""The operators' configuration, and the matching of requests with it."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.clients import limits
    from thornspool.domain.fleet import messages as fleet


class Kind(enum.Enum):
    """Kind of request, which determines what may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@attrs.frozen
class Share:
    """Weight of a service in the traffic of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Route of the requests with one host and path prefix.

    Attributes
    ----------
    name : str
        Name of the route.
    host, prefix : str
        Host and path prefix of the matched requests.
    kind : Kind
        Kind of the requests.
    shares : tuple of Share
        Services that serve the requests, with their weights.
    timeout_ms : int
        Maximum time for which a caller may wait, in milliseconds.
    target_latency_ms : int
        Target time to the answer or to the first event, in milliseconds.
    target_gap_ms : int
        Target for the longest event interval, in milliseconds; 0 for none.
    priority : int
        Priority; 0 is the highest.
    attempts : int
        Maximum number of servers on which one request may run.
    anonymous : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may be resumed at another server.
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
    def is_streamed(self) -> bool:
        """Whether the response is a series of events.

        This depends on the route alone: any service may serve any kind.
        """
        return self.kind is Kind.STREAMING

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        if self.is_streamed:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT


@attrs.frozen
class Workspace:
    """Owner of a key.

    Attributes
    ----------
    name : str
        Name of the workspace.
    priority : int or None
        Priority that overrides the route's; None for the route's.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class Service:
    """A group of servers that serve the same requests.

    Attributes
    ----------
    name : str
        Name of the service.
    model : fleet.Model or None
        The model that its engines share; None for a plain service.
    """

    name: str
    model: fleet.Model | None = None


@attrs.frozen
class Configuration:
    """One complete version of the configuration.

    Attributes
    ----------
    version : int
        Number that increases with each change.
    routes : dict of str to tuple of Route
        Routes by host, longest prefix first.
    services : dict of str to Service
        Services by name.
    workspaces : dict of str to Workspace
        Workspaces by key.
    needs_keys : bool
        Whether requests of routes that are not anonymous need a key.
    client_limits : limits.ClientLimits
        Limits on the requests and connections of clients.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    needs_keys: bool
    client_limits: limits.ClientLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that matches a path."""
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
        Random number from 0 to less than 1.

    Returns
    -------
    str
        Name of the service.
    """
    total = sum(one.weight for one in route.shares)
    remaining = point * total
    for one in route.shares:
        remaining -= one.weight
        if remaining < 0:
            return one.service
    return route.shares[-1].service
