"""Drain of an entry: when it may exit."""

from __future__ import annotations

import enum

import attrs


class Phase(enum.Enum):
    """Phase of a drain."""

    SERVING = 'serving'
    UNLISTED = 'unlisted'
    DRAINED = 'drained'


@attrs.frozen
class Drain:
    """State of a drain.

    Attributes
    ----------
    began_at : int or None
        Monotonic milliseconds; None while the entry serves.
    in_flight : int
        Requests whose response is not complete.
    """

    began_at: int | None = None
    in_flight: int = 0


def begin(drain: Drain, now: int) -> Drain:
    """Start the drain.

    A second call changes nothing: it neither restarts the wait nor aborts
    in-flight requests.
    """
    if drain.began_at is not None:
        return drain
    return attrs.evolve(drain, began_at=now)


def decide_phase(drain: Drain, linger_ms: int, now: int) -> Phase:
    """Decide the phase of a drain.

    Parameters
    ----------
    drain : Drain
        State of the drain.
    linger_ms : int
        How long callers may still use the address, in milliseconds. If the
        entry exits sooner they get a refused connection, which looks like a
        fault, instead of the response "not run, use these".
    now : int
        Monotonic milliseconds.

    Returns
    -------
    Phase
        ``DRAINED`` only when no request is in flight. There is no further
        time limit: the deadline of each request bounds the wait.
    """
    if drain.began_at is None:
        return Phase.SERVING
    if drain.in_flight > 0 or now < drain.began_at + linger_ms:
        return Phase.UNLISTED
    return Phase.DRAINED
