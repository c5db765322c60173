"""Queue of updates for broadcast, each sent a bounded number of times."""

from __future__ import annotations

import heapq
import math

import attrs


@attrs.define
class _Broadcast:
    sent: int = 0
    with_identity: bool = False


class Broadcasts:
    """Members whose state is queued for broadcast.

    The update is built from the member table when it is sent, so a newer
    state replaces an older one that is still queued.

    Parameters
    ----------
    transmissions : int
        How often an update is sent, for each decimal digit of the number
        of members.
    """

    def __init__(self, transmissions: int) -> None:
        self._transmissions = transmissions
        self._waiting: dict[str, _Broadcast] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, incarnation: str, with_identity: bool) -> None:
        """Queue the state of a member, with its send count at zero.

        Parameters
        ----------
        incarnation : str
            Incarnation of the member.
        with_identity : bool
            Whether the identity is sent, for receivers that lack it.
        """
        queued = self._waiting.get(incarnation)
        if queued is not None:
            with_identity = with_identity or queued.with_identity
        self._waiting[incarnation] = _Broadcast(0, with_identity)

    def record_duplicate(self, incarnation: str) -> None:
        """Record that another member sent an update already held here.

        It counts as one more transmission, so that a broadcast stops sooner
        when most members have it (Demers et al.: "Epidemic Algorithms for
        Replicated Database Maintenance", 1987, section 1.4).
        """
        queued = self._waiting.get(incarnation)
        if queued is not None:
            queued.sent += 1

    def select(self, count: int, members: int) -> list[tuple[str, bool]]:
        """Select the updates that were sent least often.

        Each selected update counts as sent once more, and is removed when
        it reaches its number of transmissions.

        Parameters
        ----------
        count : int
            Maximum number of updates.
        members : int
            Number of live members.

        Returns
        -------
        list of tuple of str and bool
            Incarnation, and whether its identity has to be sent.
        """
        if not self._waiting:
            return []
        limit = self._transmissions * math.ceil(math.log10(members + 1))
        chosen = heapq.nsmallest(
            count, self._waiting.items(), key=lambda item: item[1].sent
        )
        for incarnation, broadcast in chosen:
            broadcast.sent += 1
            if broadcast.sent >= limit:
                del self._waiting[incarnation]
        return [(name, item.with_identity) for name, item in chosen]
