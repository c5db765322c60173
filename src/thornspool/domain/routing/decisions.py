"""Decisions whether the configuration allows a request.

A denial needs the same proof as a permission: a copy of the configuration that
may lack a newer version does not show that a route or a key does not exist.
"""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.freshness import age_limits
    from thornspool.domain.routing import messages as routing


class Verdict(enum.Enum):
    """What the local copy of the configuration proves about a request."""

    ALLOWED = 'allowed'
    DENIED = 'denied'
    UNKNOWN = 'unknown'


@attrs.frozen
class Copy:
    """The local copy of the configuration.

    Attributes
    ----------
    configuration : routing.Configuration or None
        None before the first one.
    age_ms : int or None
        Time since the copy was last known to be current, in milliseconds;
        None for never.
    newest_version : int
        Newest version that any entry has announced.
    """

    configuration: routing.Configuration | None
    age_ms: int | None
    newest_version: int = 0

    def is_within(self, age_ms: float) -> bool:
        """Return whether the age of the copy is within a limit."""
        return self.age_ms is not None and self.age_ms <= age_ms


@attrs.frozen
class Decision:
    """Decision on one request.

    Attributes
    ----------
    verdict : Verdict
        What the copy proves.
    reason : str
        Why the request is not allowed; empty for one that is.
    route : routing.Route or None
        Route of the request, as far as it is known.
    workspace : routing.Workspace or None
        Owner of the key; None for an anonymous caller.
    """

    verdict: Verdict
    reason: str = ''
    route: routing.Route | None = None
    workspace: routing.Workspace | None = None


def decide(
    copy: Copy,
    limits: age_limits.AgeLimits,
    host: str,
    path: str,
    key: str | None,
) -> Decision:
    """Decide whether the configuration allows a request.

    Parameters
    ----------
    copy : Copy
        The local copy of the configuration.
    limits : age_limits.AgeLimits
        Ages up to which the copy supports a decision.
    host, path : str
        What the caller requests.
    key : str or None
        Key of the caller; None for no key.

    Returns
    -------
    Decision
        Denied or unknown with a reason, or allowed with the route.
    """
    configuration = copy.configuration
    if configuration is None:
        return Decision(Verdict.UNKNOWN, 'no_configuration')
    route = configuration.find_route(host, path)
    if route is None:
        if _may_lack_changes(copy, configuration, limits):
            return Decision(Verdict.UNKNOWN, 'route_not_confirmed')
        return Decision(Verdict.DENIED, 'no_route')
    if route.anonymous or not configuration.needs_keys:
        return Decision(Verdict.ALLOWED, route=route)
    workspace = configuration.workspaces.get(key or '')
    # A withdrawn key must be rejected even when the store no longer answers
    # this host, so keys need a recent configuration.
    if not copy.is_within(limits.key_ms):
        return Decision(Verdict.UNKNOWN, 'not_current', route)
    if workspace is None:
        if _may_lack_changes(copy, configuration, limits):
            return Decision(Verdict.UNKNOWN, 'key_not_confirmed', route)
        return Decision(Verdict.DENIED, 'unknown_key', route)
    return Decision(Verdict.ALLOWED, route=route, workspace=workspace)


def _may_lack_changes(
    copy: Copy,
    configuration: routing.Configuration,
    limits: age_limits.AgeLimits,
) -> bool:
    return (
        not copy.is_within(limits.denial_ms)
        or configuration.version < copy.newest_version
    )
