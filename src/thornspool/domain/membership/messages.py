"""Messages between entries about who is alive, and the commands that result.

Every message carries a :class:`Gossip`: the sender's state and a bounded
number of updates.
"""

from __future__ import annotations

import enum

import attrs


class Status(enum.IntEnum):
    """What is believed of a member; a higher one wins at equal counters."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class Identity:
    """What never changes during the life of one process.

    Attributes
    ----------
    incarnation : str
        Names the process.
    host, failure_domain, region : str
        Where it runs.
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
    """News of one member.

    Attributes
    ----------
    incarnation : str
        The member.
    status : Status
        What is believed of it.
    counter : int
        Raised by the member itself, and by nobody else, to refute.
    leaving : bool
        Whether it has said that it leaves; never taken back.
    version : int
        Configuration version last known to be in force there.
    identity : Identity or None
        Given where receivers may not know the member.
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

    One bit a member is enough for those that hold the same list of live
    members, so the cost of a message hardly grows with the fleet.

    Attributes
    ----------
    version : int
        Highest version that the sender knows to be in force anywhere.
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
    """What every message carries.

    Attributes
    ----------
    counter : int
        The sender's own counter.
    version : int
        Configuration version in force at the sender.
    applied : Applied
        Where the highest version is in force.
    updates : tuple of Update
        Bounded, the least often sent first.
    """

    counter: int
    version: int
    applied: Applied
    updates: tuple[Update, ...] = ()


@attrs.frozen
class Ping:
    """Asks one process for an :class:`Ack` to ``address``.

    Attributes
    ----------
    sequence : int
        Number of the probe.
    address : str
        Where to answer.
    target : int
        Short digest of the incarnation that is probed. A process that
        restarts keeps its address; were it to answer for its predecessor,
        that one would be listed for ever.
    gossip : Gossip
        As in every message.
    """

    sequence: int
    address: str
    target: int
    gossip: Gossip


@attrs.frozen
class Ack:
    """Answers the ping of that sequence number."""

    sequence: int
    gossip: Gossip


@attrs.frozen
class PingRequest:
    """Asks a member to probe another and to pass its Ack on."""

    sequence: int
    address: str
    target: str
    gossip: Gossip


@attrs.frozen
class News:
    """Updates sent at once instead of with the next probe."""

    gossip: Gossip


@attrs.frozen
class SyncRequest:
    """Asks for all that differs.

    Attributes
    ----------
    address : str
        Where to answer.
    digests : bytes
        Digests of the sender's live records by bucket, 8 bytes each.
    gossip : Gossip
        Holds the sender's own record.
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
        Buckets of which the sender wants the receiver's records.
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
    """Command: a higher configuration version is in force elsewhere.

    Attributes
    ----------
    address : str
        Peer address of a member that has it.
    version : int
        The version.
    """

    address: str
    version: int


Command = Send | ReportVersion
