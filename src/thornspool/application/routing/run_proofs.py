"""Proof that a run can't continue, as opposed to the lack of an answer."""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.application.routing import run_permits
    from thornspool.domain.fleet import messages as fleet


class Proof(enum.Enum):
    """Proof that a run has ended."""

    NONE = 'none'
    """The servers only do not answer."""

    NOT_SENT = 'not_sent'
    """The request has reached no server."""

    REFUSED = 'refused'
    """The server states that it has not run the request."""

    CLOSED = 'connection_closed'
    """The connection to the server has ended."""

    SERVER_ENDED = 'server_ended'
    """Nothing listens at the address of a server any more."""

    REPLACED = 'replaced'
    """Another process has the place of a server."""


def find_server_proof(
    routing_state: routing_state_module.RoutingState,
    permits: run_permits.RunPermits,
    servers: Iterable[fleet.Server],
) -> Proof:
    """Find the proof that a server of an open run has ended.

    Parameters
    ----------
    routing_state : routing_state_module.RoutingState
        The listed servers.
    permits : run_permits.RunPermits
        Knows the servers that have ended.
    servers : iterable of fleet.Server
        Servers of the run.
    """
    listed = list(servers)
    if any(routing_state.has_later_process(server) for server in listed):
        return Proof.REPLACED
    if permits.count_ended(listed):
        return Proof.SERVER_ENDED
    return Proof.NONE
