"""Typed messages about targets."""

from __future__ import annotations

import enum
import typing

import attrs


class Readiness(enum.Enum):
    """Whether a target may be given new work."""

    READY = 'ready'
    LEAVING = 'leaving'
    UNREACHABLE = 'unreachable'


@attrs.frozen
class LoadReport:
    """What a target says of its own load; it lags.

    Attributes
    ----------
    target : str
        Name of the target.
    received_at : int
        Monotonic milliseconds at which this entry received it.
    readiness : Readiness
        What the target says of itself.
    running : int
        Requests in its batch.
    waiting : int
        Requests in its queue.
    max_batch : int
        Largest batch.
    step_ms : float
        Time of one step of its batch, in milliseconds.
    """

    target: str
    received_at: int
    readiness: Readiness
    running: int = 0
    waiting: int = 0
    max_batch: int = 1
    step_ms: float = 1.0


class TargetView(typing.Protocol):
    """What this entry believes of targets."""

    def read_readiness(self, target: str) -> Readiness:
        """Return whether a target may be given new work now."""
        ...

    def read_load(self, target: str) -> LoadReport | None:
        """Return the last load report of a target, None before the first."""
        ...


@attrs.frozen
class TargetNews:
    """Told between entries: what targets have said of themselves.

    Attributes
    ----------
    leaving : tuple of str
        Names of targets that said they leave.
    ready : tuple of str
        Names of targets that are ready again.
    """

    leaving: tuple[str, ...] = ()
    ready: tuple[str, ...] = ()


@attrs.frozen
class HostNews:
    """Told between entries: the platform's list has changed.

    Attributes
    ----------
    leaving : tuple of str
        All hosts that the list has as leaving, sorted.
    """

    leaving: tuple[str, ...] = ()


MESSAGE_TYPES: tuple[type, ...] = (TargetNews, HostNews)
