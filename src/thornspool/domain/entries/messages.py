"""Records of entries in the store, and state updates between entries."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.fleet import named_limits
    from thornspool.domain.retries import histories


class State(enum.Enum):
    """State of an entry towards callers."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'


class Scope(enum.Enum):
    """Entries whose amounts a state update sums."""

    ENTRY = 'entry'
    """The sender alone."""

    DOMAIN = 'domain'
    """All entries of the sender's failure domain."""

    REST = 'rest'
    """All entries except the receiver."""


@attrs.frozen
class Record:
    """Registration of an entry in the store.

    Attributes
    ----------
    host : str
        Host of the entry.
    incarnation : str
        Identifies the process.
    failure_domain : str
        Failure domain of the host.
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
class FailureNotice:
    """New suspicions and retractions of an entry, which go to all peers.

    It is separate from the state update, which is built for each peer: with
    100 entries that took so long that the sender's own streams and probes
    seemed to stall meanwhile, and it suspected further servers.

    Attributes
    ----------
    host, incarnation : str
        Sender and its process.
    suspects : tuple of str
        Servers that the sender has just seen fail.
    retracted : tuple of str
        Servers that the sender had named as suspects and no longer suspects.
    """

    host: str
    incarnation: str
    suspects: tuple[str, ...]
    retracted: tuple[str, ...]


@attrs.frozen
class StateUpdate:
    """State update that an entry sends to a peer several times a second.

    Attributes
    ----------
    host, incarnation : str
        Sender and its process.
    state : State
        Sender's state towards callers.
    stamp : int
        Sender's clock at the time of sending, in milliseconds.
    echoed_stamp : int
        Last stamp that the sender had received from the receiver; 0 for
        none.
    revision : int
        Revision of the store that the sender's copy has reached.
    proof_age_ms : int
        Age of the sender's copy of the store, in milliseconds; negative while
        the copy is unconfirmed.
    reserved : dict of int to float
        Token-layers that requests reserve, by server hash of the engine.
    request_counts : dict of int to float
        Requests and retries of services in the last window, by hash. Like
        ``admission``, it includes the number of entries that it counts, by
        ``totals.ENTRIES_KEY``.
    suspects : tuple of str
        Servers that the sender has just seen fail.
    scope : Scope
        Entries whose requests ``reserved`` and ``request_counts`` count.
    absent_hosts : tuple of str
        Hosts in the scope that are registered and do not serve.
    slowdowns : dict of int to float
        Slowdown factors of slow engines, by server hash.
    refusing : tuple of int
        Hashes of engines that have just refused a request.
    failing : tuple of int
        Hashes of engines that have just broken a run of the sender.
    retained_ranges : dict of int to tuple of int
        Retained ranges (first layer and end) of engines that release layers,
        by server hash.
    limits : dict of int to named_limits.ReportedLimit
        Limits that servers name, and recent ends of limits, by server hash.
    departures : tuple of int
        Hashes of servers' processes that leave, as they state or their
        records show.
    removals : dict of int to int
        Hashes of servers' processes that the sender's copy of the list lacks,
        with the revision of the copy.
    retracted : tuple of str
        Servers that the sender had named as suspects and no longer suspects.
    links_lost : bool
        Whether the sender reaches no server.
    configuration_version : int
        Version of the configuration in force at the sender; 0 for none.
    admission : dict of int to float
        Demand for the memory of engines, by hash of service, rank and
        measure.
    rejection_ms : int
        Milliseconds for which the sender should not collect, as the store
        rejects it; 0 for an entry that may collect.
    retries : dict of int to dict of int to histories.Report
        Retries of the last window by hash of the service and id of the
        process that sent them; processes that have ended are included.
    retries_known_ms : int
        Age in milliseconds up to which ``retries`` includes all processes of
        the fleet; 0 where it does not.
    knows_retries : bool
        Whether the sender knows all retries of the last window, so that the
        receiver need only send it the latest ones.
    """

    host: str
    incarnation: str
    state: State
    stamp: int
    echoed_stamp: int
    revision: int
    proof_age_ms: int
    reserved: dict[int, float]
    suspects: tuple[str, ...]
    scope: Scope = Scope.ENTRY
    absent_hosts: tuple[str, ...] = ()
    slowdowns: dict[int, float] = attrs.field(factory=dict)
    refusing: tuple[int, ...] = ()
    request_counts: dict[int, float] = attrs.field(factory=dict)
    failing: tuple[int, ...] = ()
    retained_ranges: dict[int, tuple[int, int]] = attrs.field(factory=dict)
    rejection_ms: int = 0
    limits: dict[int, named_limits.ReportedLimit] = attrs.field(factory=dict)
    departures: tuple[int, ...] = ()
    removals: dict[int, int] = attrs.field(factory=dict)
    retracted: tuple[str, ...] = ()
    links_lost: bool = False
    configuration_version: int = 0
    admission: dict[int, float] = attrs.field(factory=dict)
    retries: dict[int, dict[int, histories.Report]] = attrs.field(factory=dict)
    retries_known_ms: int = 0
    knows_retries: bool = False
