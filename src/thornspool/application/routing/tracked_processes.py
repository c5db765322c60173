"""Processes of servers with runs, and records that claim their places.

A claim is the record of a later process under the id or at the address of one
that has runs. Any program may write such a record.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from thornspool.application.routing import crash_detection
    from thornspool.domain.fleet import messages as fleet

Key = tuple[str, int | None]
"""Id and start of a server, which identify one of its processes."""


@attrs.define(eq=False)
class Claim:
    """Record of a later process in the place of a server.

    Attributes
    ----------
    key : tuple of str and int or None
        Identifies the later process.
    since : int
        Time in milliseconds at which it was first found.
    is_refuted : bool
        Whether the process of the server has answered since.
    """

    key: Key
    since: int
    is_refuted: bool = False


@attrs.define(eq=False)
class Process:
    """One process of a server, with the runs that may have ended it.

    Attributes
    ----------
    server : fleet.Server
        Record of the server when it got the first of these runs.
    running, doubtful : set of crash_detection.TrackedRun
        Runs in progress, and runs that ended without a response.
    checks : int
        Checks since a run broke.
    checked_at : int
        Time of the last check in milliseconds.
    is_checking : bool
        Whether a check is in progress.
    claim : Claim or None
        Record of a later process in its place, if there is one.
    has_doubted_start : bool
        Whether the record may state a start that is too early, so that a
        later one shows no other process.
    """

    server: fleet.Server
    running: set[crash_detection.TrackedRun] = attrs.field(factory=set)
    doubtful: set[crash_detection.TrackedRun] = attrs.field(factory=set)
    checks: int = 0
    checked_at: int = 0
    is_checking: bool = False
    claim: Claim | None = None
    has_doubted_start: bool = False

    @property
    def is_claimed(self) -> bool:
        """Whether a later record is neither proven nor refuted."""
        return not self.has_doubted_start and (
            self.claim is not None and not self.claim.is_refuted
        )

    def has_successor(self, started_at: int | None) -> bool:
        """Return whether a start that is stated is that of a later process."""
        return not self.has_doubted_start and is_later(
            started_at, self.server.started_at
        )


def get_key(server: fleet.Server) -> Key:
    """Return what identifies one process of a server.

    Parameters
    ----------
    server : fleet.Server
        The server.
    """
    return server.id, server.started_at


def is_later(found: int | None, known: int | None) -> bool:
    """Return whether a start is later than one that is known.

    Parameters
    ----------
    found, known : int or None
        Unix milliseconds; None for a start that is not stated.
    """
    return found is not None and known is not None and found > known


def update_claims(
    processes: Iterable[Process], listed: Collection[fleet.Server], now: int
) -> None:
    """Find the processes in whose place a later one is listed.

    Parameters
    ----------
    processes : iterable of Process
        The processes, whose claims are updated.
    listed : collection of fleet.Server
        The listed servers.
    now : int
        Current time in milliseconds.
    """
    latest: dict[str, fleet.Server] = {}
    for server in listed:
        for name in (server.id, server.address):
            known = latest.get(name)
            if known is None or is_later(
                server.started_at, known.started_at or 0
            ):
                latest[name] = server
    for process in processes:
        later = [
            get_key(one)
            for name in (process.server.id, process.server.address)
            if (one := latest.get(name)) is not None
            and is_later(one.started_at, process.server.started_at)
        ]
        if not later:
            process.claim = None
        elif process.claim is None or process.claim.key not in later:
            process.claim = Claim(later[0], now)
            process.checks = 0
