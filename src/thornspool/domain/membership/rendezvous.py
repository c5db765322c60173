"""Rendezvous hashing: assigns tasks to members without communication.

Thaler and Ravishankar: "Using Name-Based Mappings to Increase Hit Rates",
1998. While member lists differ, a task may have several owners or none.
"""

from __future__ import annotations

import heapq
import typing

import xxhash

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

_WEIGHT_RANGE = 2**64


def compute_weight(key: str, incarnation: str) -> int:
    """Return the 64-bit weight of a member for a task."""
    return xxhash.xxh3_64_intdigest(f'{key} {incarnation}'.encode())


def compute_fraction(key: str, incarnation: str) -> float:
    """Return a number from 0 to 1 that is the same on every entry."""
    return compute_weight(key, incarnation) / _WEIGHT_RANGE


def choose(
    key: str, incarnations: Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the members assigned to a task, by descending weight."""
    return tuple(
        heapq.nlargest(
            count, incarnations, key=lambda i: compute_weight(key, i)
        )
    )


class Assignment:
    """Assignment of many tasks, updated as members change.

    Computing all assignments anew at each change would take some hundred
    milliseconds at 350 members and 690 tasks, during which the event loop
    relays no token. A new member is compared with the assigned ones only,
    and only the tasks of a removed member are assigned anew.

    Parameters
    ----------
    count : int
        Number of members for each task.
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._members: frozenset[str] = frozenset()
        self._assigned: dict[str, tuple[str, ...]] = {}

    def set_tasks(self, keys: Iterable[str]) -> None:
        """Replace the tasks."""
        wanted = set(keys)
        for key in self._assigned.keys() - wanted:
            del self._assigned[key]
        for key in wanted - self._assigned.keys():
            self._assigned[key] = choose(key, self._members, self._count)

    def set_members(self, incarnations: Iterable[str]) -> frozenset[str]:
        """Replace the members.

        Returns
        -------
        frozenset of str
            The added members.
        """
        members = frozenset(incarnations)
        added = members - self._members
        removed = self._members - members
        self._members = members
        for key, chosen in self._assigned.items():
            if removed.intersection(chosen):
                self._assigned[key] = choose(key, members, self._count)
            elif added:
                candidates = (*chosen, *added)
                self._assigned[key] = choose(key, candidates, self._count)
        return added

    def list_tasks(self, incarnation: str) -> set[str]:
        """Return the tasks assigned to a member."""
        return {
            key
            for key, chosen in self._assigned.items()
            if incarnation in chosen
        }
