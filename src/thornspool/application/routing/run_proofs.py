"""Proof that a run can't continue, as opposed to the lack of an answer."""

from __future__ import annotations

import enum
import typing

from thornspool.application.routing import crash_detection

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from thornspool.application.routing import in_flight
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
    """Nothing listens at the address of a server any more, or another process
    has its place."""


def find_server_proof(
    permits: run_permits.RunPermits,
    run: in_flight.OpenRun,
    servers: Iterable[fleet.Server],
) -> Proof:
    """Find the proof that a server of an open run has ended.

    Parameters
    ----------
    permits : run_permits.RunPermits
        Knows the servers that have ended.
    run : in_flight.OpenRun
        The run. Its own events show that its servers have not ended before.
    servers : iterable of fleet.Server
        Servers of the run.
    """
    if run.tracked is None:
        return Proof.NONE
    active_at = run.tracked.active_at
    if permits.count_ended(
        crash_detection.ServerUse(server, active_at) for server in servers
    ):
        return Proof.SERVER_ENDED
    return Proof.NONE
