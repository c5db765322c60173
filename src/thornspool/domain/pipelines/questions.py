"""What an entry asks engines to tell along with an answer, and how often."""

from __future__ import annotations

import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Sequence

_REMEMBERED = 4_096
_MS_PER_S = 1000


@attrs.frozen
class Tell:
    """What the engines of a route are asked to tell.

    Attributes
    ----------
    loads : bool
        The loads of the route's stages, at the end.
    hops : bool
        The times of the ways between them, once.
    """

    loads: bool = False
    hops: bool = False


NOTHING = Tell()


@attrs.frozen
class Limits:
    """How often an entry asks, over all answers.

    Attributes
    ----------
    loads_per_s, hops_per_s : float
        Answers a second that bring loads, and that bring times of links.
    """

    loads_per_s: float = 0.25
    hops_per_s: float = 3.0


_LOADS_PER_S_OF_ALL = 87.5
_MOST_LOADS_PER_S = 2.0


def compute_limits(entries: int) -> Limits:
    """Compute how often an entry asks, by the number of entries.

    Admission counts the queues that were told lately. Few entries ask more
    often, since less of what control may spend goes to limits there.
    """
    usual = Limits()
    loads_per_s = min(_MOST_LOADS_PER_S, _LOADS_PER_S_OF_ALL / max(1, entries))
    return attrs.evolve(usual, loads_per_s=max(usual.loads_per_s, loads_per_s))


class Asking:
    """Decides which answers bring something along.

    Parameters
    ----------
    age_ms : int
        Age from which what is known is asked for again.
    """

    def __init__(self, age_ms: int) -> None:
        self._age_ms = age_ms
        self._next_at = -math.inf
        self._asked: dict[Hashable, int] = {}

    def ask(
        self,
        known: Sequence[tuple[Hashable, int | None]],
        per_s: float,
        now: int,
    ) -> bool:
        """Decide whether an answer is to tell of some subjects.

        Parameters
        ----------
        known : sequence of (hashable, int or None)
            The subjects and when each was heard of last.
        per_s : float
            Most answers a second that are asked to bring it.
        now : int
            Monotonic milliseconds.
        """
        if now < self._next_at:
            return False
        if not any(self._is_due(*each, now) for each in known):
            return False
        self._next_at = now + _MS_PER_S / per_s
        self._drop_old(now)
        for subject, _ in known:
            self._asked[subject] = now
        return True

    def _is_due(
        self, subject: Hashable, heard_at: int | None, now: int
    ) -> bool:
        # An answer takes many seconds, and may never come; until it is
        # overdue, asking others for the same is wasted.
        times = (heard_at, self._asked.get(subject))
        last = max((time for time in times if time is not None), default=None)
        return last is None or now - last >= self._age_ms

    def _drop_old(self, now: int) -> None:
        if len(self._asked) <= _REMEMBERED:
            return
        self._asked = {
            subject: asked_at
            for subject, asked_at in self._asked.items()
            if now - asked_at < self._age_ms
        }
