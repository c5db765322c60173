"""When an entry that leaves may exit."""

from __future__ import annotations

import enum

import attrs


class Phase(enum.Enum):
    """How far an entry is on its way out."""

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
        Requests that have not got their whole answer.
    """

    began_at: int | None = None
    in_flight: int = 0


def begin(drain: Drain, now: int) -> Drain:
    """Start to leave.

    A second order changes nothing: neither is the wait begun again, nor is
    anything in flight cut off.
    """
    if drain.began_at is not None:
        return drain
    return attrs.evolve(drain, began_at=now)


def decide_phase(drain: Drain, linger_ms: int, now: int) -> Phase:
    """Decide how far an entry is.

    Parameters
    ----------
    drain : Drain
        State.
    linger_ms : int
        How long callers may still come with the address. An entry that
        exits sooner leaves them with a refused connection, of which they
        cannot tell whether it is a fault, instead of "not run, use these".
    now : int
        Monotonic milliseconds.

    Returns
    -------
    Phase
        ``DRAINED`` only when nothing is in flight. No time limit overrules
        this: each request has its own deadline, and that bounds the wait.
    """
    if drain.began_at is None:
        return Phase.SERVING
    if drain.in_flight > 0 or now < drain.began_at + linger_ms:
        return Phase.UNLISTED
    return Phase.DRAINED
