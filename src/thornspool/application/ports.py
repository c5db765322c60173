"""Ports of the use cases, as typed protocols that adapters implement."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


@attrs.frozen
class Versioned:
    """A value of the platform's key-value store with its version.

    Attributes
    ----------
    value : bytes
        At most one megabyte.
    version : int
        Version of the key, which increases by any positive amount with each
        write; 0 for a key that does not exist.
    """

    value: bytes
    version: int


@attrs.frozen
class WriteDone:
    """The write took effect and created this version."""

    version: int


@attrs.frozen
class WriteConflict:
    """The write did not and will not take effect: the version differs."""


@attrs.frozen
class WriteUnknown:
    """The outcome is unknown: the write may have taken or still take effect.

    Reading the old version back is not conclusive, since the write may still
    be in transit. Only a later version without it shows that it was lost.
    """


WriteResult = WriteDone | WriteConflict | WriteUnknown


class HostState(enum.Enum):
    """State of a host in the platform's list, which is updated late."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Host:
    """A host in the platform's host list.

    Attributes
    ----------
    name : str
        Name of the host.
    failure_domain : str
        Failure domain of the host.
    state : HostState
        State of the host, delayed by some seconds.
    peer_address : str
        ``tcp://ip:port`` of the entry on it; empty for a target host.
    """

    name: str
    failure_domain: str
    state: HostState
    peer_address: str = ''


class Platform(typing.Protocol):
    """The platform's key-value store and host list.

    Every method raises ``PlatformError`` of ``application.exceptions`` when
    the platform does not respond within the adapter's timeout. As an
    exception, a write whose outcome is unknown returns ``WriteUnknown``.
    """

    async def get(self, key: str) -> Versioned:
        """Read a key; version 0 and no bytes if it does not exist."""
        ...

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> WriteResult:
        """Write a key if it still has the expected version."""
        ...

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> Versioned | None:
        """Wait for a version after the given one; None after the timeout."""
        ...

    async def announce(self, own: Host) -> None:
        """Add an entry to the host list, or renew it there.

        The entry expires from the list unless it is announced again.
        """
        ...

    async def list_hosts(self) -> tuple[Host, ...]:
        """Return the live and leaving hosts."""
        ...


@attrs.frozen
class Envelope:
    """A message between entries, with its body still encoded.

    Attributes
    ----------
    sender : str
        Incarnation of the sending process.
    kind : str
        Registered name of the body's type.
    body : bytes
        The encoded message.
    """

    sender: str
    kind: str
    body: bytes


Handler = typing.Callable[[str, typing.Any], 'Awaitable[typing.Any]']
"""Takes the sender's incarnation and a message, and returns the reply."""


class OutageSource(typing.Protocol):
    """Client of the platform that detects outages and reports them."""

    def set_outage_callbacks(
        self,
        count_entries: Callable[[], int],
        on_outage: Callable[[], None],
        on_recovery: Callable[[], None],
    ) -> None:
        """Register the callbacks for outages.

        Parameters
        ----------
        count_entries : callable
            Returns the number of entries.
        on_outage : callable
            Called when the client starts to reject calls.
        on_recovery : callable
            Called at the first response of the platform after that.
        """
        ...

    def compute_backoff_ms(self) -> int | None:
        """Return the milliseconds until a call may be sent.

        None while calls are not rejected.
        """
        ...

    def end_backoff(self) -> None:
        """Allow the next call to be sent immediately."""
        ...

    async def probe(self) -> None:
        """Call the platform only to check that it responds."""
        ...


class Peers(typing.Protocol):
    """Messaging between entries; delivery is at most once and unordered.

    Messages and replies are frozen ``attrs`` classes. ``request`` raises
    ``PeerUnreachable`` of ``application.exceptions`` when no reply arrives
    in time; the peer may nevertheless have handled the message, or may
    still do so.
    """

    async def request(
        self, peer_address: str, message: typing.Any, timeout_ms: int
    ) -> typing.Any:
        """Send a message and wait for its reply."""
        ...

    def send(self, peer_address: str, message: typing.Any) -> None:
        """Send a message without waiting for a reply; it may be lost."""
        ...

    def handle(
        self,
        message_type: type,
        handler: Callable[[str, typing.Any], Awaitable[typing.Any]],
    ) -> None:
        """Register a coroutine as the handler of one type of message.

        The handler returns the reply, or None if the sender expects none.
        """
        ...


class MemberView(typing.Protocol):
    """The entries, as known to the local entry; views of entries differ."""

    def list_members(self) -> tuple[Member, ...]:
        """Return the live members, including the local entry.

        They are sorted by incarnation and include leaving members.
        """
        ...

    def find(self, incarnation: str) -> Member | None:
        """Return a live member by incarnation; None if there is none."""
        ...


class MemberState(enum.Enum):
    """State of a member, as known to the local entry."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@attrs.frozen
class Member:
    """An entry, as known to the other entries.

    Attributes
    ----------
    incarnation : str
        Identifies one process from its start to its end; a restarted entry
        has a new one.
    host : str
        Host on which the entry runs.
    failure_domain : str
        Failure domain of the host.
    region : str
        Region of the failure domain.
    peer_address : str
        ``tcp://ip:port`` for messages between entries.
    caller_url : str
        ``http://ip:port`` or ``https://ip:port`` for callers.
    state : MemberState
        State of the member, as known to the local entry.
    configuration_version : int
        Last configuration version that the member reported as in force.
    """

    incarnation: str
    host: str
    failure_domain: str
    region: str
    peer_address: str
    caller_url: str
    state: MemberState = MemberState.ALIVE
    configuration_version: int = 0


@attrs.frozen
class ServiceCall:
    """One call to a target of a plain service.

    Attributes
    ----------
    url : str
        ``http://ip:port`` of the target.
    service : str
        Service of the target.
    operation : str
        Operation to call.
    workspace : str
        Workspace of the caller.
    key : str
        Idempotency key; empty for idempotent operations.
    fencing_token : int
        Token that increases with each grant of a key; 0 if there is none.
    body : bytes
        Request body, JSON.
    timeout_ms : int
        Time limit for the complete response, in milliseconds.
    target : str
        Name of the target.
    fingerprint : str
        Hash of the content of the request, without its key; empty if unknown.
    """

    url: str
    service: str
    operation: str
    workspace: str
    key: str
    fencing_token: int
    body: bytes
    timeout_ms: int
    target: str = ''
    fingerprint: str = ''


@attrs.frozen
class ServiceResponse:
    """A complete response of a plain service.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : bytes
        Body of the response.
    """

    status: int
    content_type: str
    body: bytes


class Services(typing.Protocol):
    """Calls to plain services.

    ``call`` raises ``TargetUnreachable`` when no byte was written. It raises
    ``TargetResponseLost`` when a byte may have been written and no complete
    response arrived, and its subclass ``TargetConnectionBroken`` when the
    connection closed during the call.
    """

    async def call(self, call: ServiceCall) -> ServiceResponse:
        """Call an operation once; never retries it."""
        ...
