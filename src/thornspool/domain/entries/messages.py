"""What entries leave in the store and tell each other."""

from __future__ import annotations

import enum

import attrs


class State(enum.Enum):
    """What callers may expect of an entry."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'


class Scope(enum.Enum):
    """Whose amounts news tell."""

    ENTRY = 'entry'
    """The sender's own."""

    DOMAIN = 'domain'
    """Those of all entries of the sender's failure domain."""

    REST = 'rest'
    """Those of all entries but the receiver."""


@attrs.frozen
class Record:
    """An entry as it registered itself.

    Attributes
    ----------
    host : str
        Its host.
    incarnation : str
        Names this process.
    failure_domain : str
        Where it stands.
    callers : str
        ``ip:port`` for callers.
    peers : str
        ``ip:port`` for other entries.
    """

    host: str
    incarnation: str
    failure_domain: str
    callers: str
    peers: str


@attrs.frozen
class News:
    """What an entry tells a peer, several times a second.

    Attributes
    ----------
    host, incarnation : str
        Who tells it.
    state : State
        What callers may expect of it.
    stamp : int
        Its clock when it was told, in milliseconds.
    heard_stamp : int
        Last stamp that it had heard from the receiver; 0 for none.
    revision : int
        Revision of the store that its copy has reached.
    proof_age_ms : int
        Age of the proof that its copy is current; negative for none.
    taken : dict of int to float
        Token-layers that requests hold, by the mark of the engine.
    work : dict of int to float
        Requests and repeats of services in the last window, by mark.
    suspects : tuple of str
        Servers that it has seen fail just now.
    scope : Scope
        Whose requests ``taken`` and ``work`` count.
    absent : tuple of str
        Hosts in the scope that are registered and do not serve.
    slow : dict of int to float
        Paces of slow engines, by mark.
    refusing : tuple of int
        Marks of engines that have just refused work.
    breaking : tuple of int
        Marks of engines that have just broken a run of the sender.
    moving : dict of int to tuple of int
        First layer and end of what engines keep that give up others, by
        mark.
    shut_out_ms : int
        Time for which the sender should not collect, as the store turns it
        away; 0 for an entry that may.
    """

    host: str
    incarnation: str
    state: State
    stamp: int
    heard_stamp: int
    revision: int
    proof_age_ms: int
    taken: dict[int, float]
    suspects: tuple[str, ...]
    scope: Scope = Scope.ENTRY
    absent: tuple[str, ...] = ()
    slow: dict[int, float] = attrs.field(factory=dict)
    refusing: tuple[int, ...] = ()
    work: dict[int, float] = attrs.field(factory=dict)
    breaking: tuple[int, ...] = ()
    moving: dict[int, tuple[int, int]] = attrs.field(factory=dict)
    shut_out_ms: int = 0
