"""Which requests are in flight on which target, to tell who saw it die."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable


def ignore_death(target: str, fingerprints: tuple[str, ...]) -> None:
    """Take note of nothing."""


@attrs.frozen
class Flight:
    """One attempt in flight.

    Attributes
    ----------
    number : int
        Grows with each flight of this entry.
    fingerprint : str
        Names the request's content.
    targets : tuple of str
        Targets that it runs on.
    """

    number: int
    fingerprint: str
    targets: tuple[str, ...]


class Flights:
    """Attempts in flight by target.

    Parameters
    ----------
    note_death : callable
        Told a target and the fingerprints in flight on it.
    """

    def __init__(
        self, note_death: Callable[[str, tuple[str, ...]], None]
    ) -> None:
        self._note_death = note_death
        self._by_target: dict[str, dict[int, Flight]] = {}
        self._died_at: dict[str, int] = {}
        self._number = 0

    def start(self, fingerprint: str, targets: tuple[str, ...]) -> Flight:
        """Add an attempt that is about to be sent."""
        self._number += 1
        flight = Flight(self._number, fingerprint, targets)
        for target in targets:
            self._by_target.setdefault(target, {})[flight.number] = flight
        return flight

    def end(self, flight: Flight) -> None:
        """Take off an attempt that is over."""
        for target in flight.targets:
            on_target = self._by_target.get(target, {})
            on_target.pop(flight.number, None)
            if not on_target:
                self._by_target.pop(target, None)

    def report_death(self, target: str, flight: Flight) -> None:
        """Report that a target died under an attempt, once a death.

        All attempts on a target fail when it dies. Told once for each of
        them, one death would look like many and condemn requests that only
        shared the target; so only attempts sent after the last death count.
        """
        if flight.number <= self._died_at.get(target, 0):
            return
        self._died_at[target] = self._number
        on_target = self._by_target.get(target, {}).values()
        prints = {known.fingerprint for known in on_target}
        prints.add(flight.fingerprint)
        self._note_death(target, tuple(sorted(prints)))
