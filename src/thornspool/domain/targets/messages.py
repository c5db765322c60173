"""Messages about targets."""

from __future__ import annotations

import enum
import typing

import attrs


class Readiness(enum.Enum):
    """Whether a target may receive new requests."""

    READY = 'ready'
    LEAVING = 'leaving'
    UNREACHABLE = 'unreachable'


@attrs.frozen
class LoadReport:
    """Load that a target reports of itself; it lags behind the actual load.

    Attributes
    ----------
    target : str
        Name of the target.
    received_at : int
        Monotonic milliseconds at which this entry received the report.
    readiness : Readiness
        Readiness that the target reports.
    running : int
        Requests in its batch.
    waiting : int
        Requests in its queue.
    max_batch : int
        Maximum number of requests in its batch.
    step_ms : float
        Duration of one step of its batch, in milliseconds.
    """

    target: str
    received_at: int
    readiness: Readiness
    running: int = 0
    waiting: int = 0
    max_batch: int = 1
    step_ms: float = 1.0


class TargetView(typing.Protocol):
    """Readiness and load of targets as this entry observes them."""

    def read_readiness(self, target: str) -> Readiness:
        """Return whether a target may receive new requests now."""
        ...

    def read_load(self, target: str) -> LoadReport | None:
        """Return the last load report of a target; None before the first."""
        ...


@attrs.frozen
class TargetNews:
    """State update between entries: readiness that targets reported.

    Attributes
    ----------
    leaving : tuple of str
        Names of the targets that reported that they are leaving.
    ready : tuple of str
        Names of the targets that are ready again.
    """

    leaving: tuple[str, ...] = ()
    ready: tuple[str, ...] = ()


@attrs.frozen
class HostNews:
    """State update between entries: the platform's host list has changed.

    Attributes
    ----------
    leaving : tuple of str
        All hosts that the list marks as leaving, sorted.
    """

    leaving: tuple[str, ...] = ()


MESSAGE_TYPES: tuple[type, ...] = (TargetNews, HostNews)
