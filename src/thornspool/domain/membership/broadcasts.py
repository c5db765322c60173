"""Updates waiting to be sent along, each a bounded number of times."""

from __future__ import annotations

import heapq
import math

import attrs


@attrs.define
class _Broadcast:
    sent: int = 0
    with_identity: bool = False


class Broadcasts:
    """Members with news to spread.

    The news itself is made from the table when it is sent, so a newer state
    replaces an older one that still waits.

    Parameters
    ----------
    transmissions : int
        Times that an update is sent, for each decimal digit of the number
        of members.
    """

    def __init__(self, transmissions: int) -> None:
        self._transmissions = transmissions
        self._waiting: dict[str, _Broadcast] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, incarnation: str, with_identity: bool) -> None:
        """Spread news of a member from the start.

        Parameters
        ----------
        incarnation : str
            The member.
        with_identity : bool
            Whether receivers may not know it.
        """
        waiting = self._waiting.get(incarnation)
        if waiting is not None:
            with_identity = with_identity or waiting.with_identity
        self._waiting[incarnation] = _Broadcast(0, with_identity)

    def note_heard(self, incarnation: str) -> None:
        """Note that another member knew the news already.

        It counts as sent once more, so that news stops sooner when most
        have it (Demers et al.: "Epidemic Algorithms for Replicated Database
        Maintenance", 1987, section 1.4).
        """
        waiting = self._waiting.get(incarnation)
        if waiting is not None:
            waiting.sent += 1

    def take(self, count: int, members: int) -> list[tuple[str, bool]]:
        """Take the news that was sent least often.

        Parameters
        ----------
        count : int
            Most to take.
        members : int
            Number of live members.

        Returns
        -------
        list of tuple of str and bool
            Incarnation, and whether its identity has to be told.
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
