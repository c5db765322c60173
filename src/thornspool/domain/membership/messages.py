"""Membership messages between entries, and commands of the protocol.

Every message carries a :class:`Gossip`: the sender's state and a bounded
number of updates.
"""

from __future__ import annotations

import enum

import attrs


class Status(enum.IntEnum):
    """Status of a member; the higher one wins at equal counters."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class Identity:
    """Constant attributes of one process.

    Attributes
    ----------
    incarnation : str
        Unique name of the process.
    host, failure_domain, region : str
        Where the process runs.
    peer_address : str
        ``tcp://ip:port`` for messages between entries.
    caller_url : str
        ``http://ip:port`` or ``https://ip:port`` for callers.
    """

    incarnation: str
    host: str
    failure_domain: str
    region: str
    peer_address: str
    caller_url: str


@attrs.frozen
class Update:
    """State update of one member.

    Attributes
    ----------
    incarnation : str
        Incarnation of the member.
    status : Status
        Its status.
    counter : int
        Raised only by the member itself, to refute a suspicion.
    leaving : bool
        Whether it has announced that it leaves; never reset.
    version : int
        Highest configuration version known to be in force there.
    identity : Identity or None
        Set when receivers may have no record of the member.
    """

    incarnation: str
    status: Status
    counter: int
    leaving: bool = False
    version: int = 0
    identity: Identity | None = None


@attrs.frozen
class Applied:
    """Which members have a configuration version in force.

    Entries with the same list of live members need only one bit a member,
    so the size of a message hardly grows with the fleet.

    Attributes
    ----------
    version : int
        Highest version that, as far as the sender knows, is in force on
        any member.
    view : int
        Digest of the sender's sorted live members, 64 bits.
    bits : bytes
        Bit ``i % 8`` of byte ``i // 8`` stands for member ``i``; empty when
        the version is in force on all of them.
    """

    version: int
    view: int
    bits: bytes


@attrs.frozen
class Gossip:
    """State that every message carries.

    Attributes
    ----------
    counter : int
        The sender's own counter.
    version : int
        Configuration version in force at the sender.
    applied : Applied
        Members on which the highest version is in force.
    updates : tuple of Update
        A bounded number, the least often sent first.
    """

    counter: int
    version: int
    applied: Applied
    updates: tuple[Update, ...] = ()


@attrs.frozen
class Ping:
    """Probe: requests an :class:`Ack` to ``address`` from one process.

    Attributes
    ----------
    sequence : int
        Sequence number of the probe.
    address : str
        Peer address for the response.
    target : int
        Short digest of the probed incarnation. A restarted process has the
        address of its predecessor; if it answered probes of that one, the
        predecessor would never be removed.
    gossip : Gossip
        As in every message.
    """

    sequence: int
    address: str
    target: int
    gossip: Gossip


@attrs.frozen
class Ack:
    """Response to the ping with that sequence number."""

    sequence: int
    gossip: Gossip


@attrs.frozen
class PingRequest:
    """Requests that a member probe another and relay its Ack."""

    sequence: int
    address: str
    target: str
    gossip: Gossip


@attrs.frozen
class News:
    """State updates sent immediately instead of with the next probe."""

    gossip: Gossip


@attrs.frozen
class SyncRequest:
    """Requests all records that differ.

    Attributes
    ----------
    address : str
        Peer address for the response.
    digests : bytes
        Digests of the sender's live records by bucket, 8 bytes each.
    gossip : Gossip
        Includes the sender's own record.
    """

    address: str
    digests: bytes
    gossip: Gossip


@attrs.frozen
class SyncReply:
    """Records of the buckets that differ.

    Attributes
    ----------
    buckets : tuple of int
        Buckets whose records the sender requests from the receiver.
    records : tuple of Update
        The sender's records of the buckets that differ, with identities.
    gossip : Gossip
        As in every message.
    """

    buckets: tuple[int, ...]
    records: tuple[Update, ...]
    gossip: Gossip


Message = Ping | Ack | PingRequest | News | SyncRequest | SyncReply

MESSAGE_TYPES: tuple[type, ...] = (
    Ping,
    Ack,
    PingRequest,
    News,
    SyncRequest,
    SyncReply,
)


@attrs.frozen
class Send:
    """Command: send a message; it may be lost."""

    address: str
    message: Message


@attrs.frozen
class ReportVersion:
    """Command: report a higher configuration version in force elsewhere.

    Attributes
    ----------
    address : str
        Peer address of a member with that version.
    version : int
        The version.
    """

    address: str
    version: int


Command = Send | ReportVersion
