"""Rendezvous hashing: members agree who does a task without talking.

Thaler and Ravishankar: "Using Name-Based Mappings to Increase Hit Rates",
1998. Members whose lists differ may both take a task, or for a moment none.
"""

from __future__ import annotations

import heapq
import typing

import xxhash

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

_WEIGHTS = 2**64


def weigh(key: str, incarnation: str) -> int:
    """Return the weight of a member for a task, 64 bits."""
    return xxhash.xxh3_64_intdigest(f'{key} {incarnation}'.encode())


def draw(key: str, incarnation: str) -> float:
    """Return a number from 0 to 1 that is the same wherever it is drawn."""
    return weigh(key, incarnation) / _WEIGHTS


def choose(
    key: str, incarnations: Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the members that do a task, the first choice first."""
    return tuple(
        heapq.nlargest(count, incarnations, key=lambda i: weigh(key, i))
    )


class Assignment:
    """Who does each of many tasks, kept up to date as members change.

    Working everything out again at each change would take some hundred
    milliseconds at 350 members and 690 tasks, in which the loop relays no
    token. A member that comes is weighed against those in place, and only
    the tasks of one that goes are chosen anew.

    Parameters
    ----------
    count : int
        Members for each task.
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._members: frozenset[str] = frozenset()
        self._chosen: dict[str, tuple[str, ...]] = {}

    def set_tasks(self, keys: Iterable[str]) -> None:
        """Replace the tasks."""
        wanted = set(keys)
        for key in self._chosen.keys() - wanted:
            del self._chosen[key]
        for key in wanted - self._chosen.keys():
            self._chosen[key] = choose(key, self._members, self._count)

    def set_members(self, incarnations: Iterable[str]) -> frozenset[str]:
        """Replace the members.

        Returns
        -------
        frozenset of str
            Members that are new.
        """
        members = frozenset(incarnations)
        added = members - self._members
        gone = self._members - members
        self._members = members
        for key, chosen in self._chosen.items():
            if gone.intersection(chosen):
                self._chosen[key] = choose(key, members, self._count)
            elif added:
                candidates = (*chosen, *added)
                self._chosen[key] = choose(key, candidates, self._count)
        return added

    def list_tasks(self, incarnation: str) -> set[str]:
        """Return the tasks of a member."""
        return {
            key
            for key, chosen in self._chosen.items()
            if incarnation in chosen
        }
