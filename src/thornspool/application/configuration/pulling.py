"""Pulling of heads and buckets from peers and the platform."""

from __future__ import annotations

import asyncio
import typing

import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.configuration import contents as contents_module
from thornspool.domain.configuration import (
    exceptions as configuration_exceptions,
)
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import messages
from thornspool.domain.configuration import storage

if typing.TYPE_CHECKING:
    import random

    from thornspool import clock as clocks
    from thornspool.application.configuration import (
        store as configuration_store,
    )

MAX_CONCURRENT_PULLS = 8
MAX_PEERS_BEFORE_PLATFORM = 2
MAX_PEERS_AFTER_PLATFORM = 3
PEER_TIMEOUT_MS = 500

logger = structlog.get_logger(__name__)


class PullFailed(exceptions.ApplicationError):
    """A version could not be pulled completely from any source."""


class Puller:
    """Pulls versions of the configuration from peers and the platform.

    Parameters
    ----------
    clock : Clock
        Source of time.
    platform : Platform
        Store of the accepted versions.
    peers : Peers
        Sends messages to other entries.
    members : MemberView
        Entries of the fleet and the versions that they report.
    store : Store
        Holds the version in force at this entry.
    rng : random.Random
        Source of randomness for the choice of peers.
    incarnation : str
        Incarnation of the local entry, which is excluded from the peers.
    isolation_timeout_ms : int
        Time since the last contact after which a response alone no longer
        counts as a contact, in milliseconds.

    Attributes
    ----------
    last_contact : int or None
        Monotonic milliseconds of the last contact with the platform or a
        peer; None before the first contact.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        platform: ports.Platform,
        peers: ports.Peers,
        members: ports.MemberView,
        store: configuration_store.Store,
        rng: random.Random,
        incarnation: str,
        isolation_timeout_ms: int,
    ) -> None:
        self._isolation_timeout_ms = isolation_timeout_ms
        self._clock = clock
        self._platform = platform
        self._peers = peers
        self._members = members
        self._store = store
        self._rng = rng
        self._incarnation = incarnation
        self.last_contact: int | None = None

    def record_current(self) -> None:
        """Record that the local version was just compared and is current."""
        self.last_contact = self._clock.now()

    def record_response(self) -> None:
        """Record a response that may be old or announce a later version.

        A process that was suspended for a long time finds old responses in
        its sockets, and receives the numbers of new versions before it has
        pulled them. If such a response ended its isolation, it would serve
        requests under a configuration that operators have replaced.
        """
        last = self.last_contact
        if last is None:
            return
        if self._clock.now() - last <= self._isolation_timeout_ms:
            self.last_contact = self._clock.now()

    async def read_platform_head(self) -> ports.Versioned:
        """Read the head from the platform.

        Raises
        ------
        PlatformError
            If the platform does not respond.
        """
        stored = await self._platform.get(heads.HEAD_KEY)
        self.record_response()
        return stored

    async def sync_with_platform(self) -> None:
        """Compare versions with the platform and pull a later one.

        Raises
        ------
        PlatformError
            If the platform does not respond.
        PullFailed
            If the later version cannot be pulled completely.
        """
        stored = await self.read_platform_head()
        if stored.value:
            await self.apply_head(stored.value)
        self.record_current()

    async def sync_with_any_peer(self) -> None:
        """Compare versions with a random peer and pull a later one.

        Raises
        ------
        PeerUnreachable
            If the peer does not respond or there is no peer.
        PullFailed
            If the later version cannot be pulled completely.
        """
        addresses = self._list_peers()
        if not addresses:
            raise exceptions.PeerUnreachable('This entry has no peers.')
        await self.sync_with_peer(self._rng.choice(addresses))

    async def sync_with_peer(self, address: str) -> None:
        """Compare versions with a peer and pull a later one.

        Raises
        ------
        PeerUnreachable, PullFailed
            As for ``sync_with_any_peer``.
        """
        request = messages.FetchHead(self._store.version)
        reply: messages.HeadReply = await self._peers.request(
            address, request, PEER_TIMEOUT_MS
        )
        self.record_response()
        if reply.value:
            await self.apply_head(reply.value, address)
        self.record_current()

    async def apply_head(self, value: bytes, preferred: str = '') -> None:
        """Pull the buckets of an encoded head and apply its version.

        A head that is not later than the version in force is ignored.

        Parameters
        ----------
        value : bytes
            Encoded head that the platform accepted.
        preferred : str, optional
            Address of the peer to pull from first.

        Raises
        ------
        PullFailed
            If the head or a bucket is invalid, or a bucket cannot be
            pulled from any source.
        """
        try:
            head = heads.decode_head(value)
            if head.version <= self._store.version:
                return
            contents = self._store.contents
            pulled = await self._pull_missing(contents, head, preferred)
            new_contents = contents_module.advance_contents(
                contents, head, pulled
            )
        except configuration_exceptions.ConfigurationError as error:
            raise PullFailed(error.message, error.hint) from error
        self._store.apply(new_contents)

    async def _pull_missing(
        self,
        contents: contents_module.Contents,
        head: heads.Head,
        preferred: str,
    ) -> dict[str, bytes]:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_PULLS)
        first_peers = self._list_first_peers(head.version, preferred)

        async def pull(digest: str) -> tuple[str, bytes]:
            async with semaphore:
                return digest, await self._pull_bucket(digest, first_peers)

        missing = contents_module.list_missing(contents, head)
        return dict(await asyncio.gather(*map(pull, missing)))

    async def _pull_bucket(self, digest: str, first_peers: list[str]) -> bytes:
        """Pull a bucket from some peers, the platform, then other peers."""
        for address in first_peers:
            value = await self._fetch_from_peer(address, digest)
            if value:
                return value
        value = await self._fetch_from_platform(digest)
        if value:
            return value
        remaining = [
            one for one in self._list_peers() if one not in first_peers
        ]
        self._rng.shuffle(remaining)
        for address in remaining[:MAX_PEERS_AFTER_PLATFORM]:
            value = await self._fetch_from_peer(address, digest)
            if value:
                return value
        raise PullFailed(
            f'Bucket {digest} could not be pulled from any source.',
            'The next attempt starts from the latest head.',
        )

    async def _fetch_from_peer(self, address: str, digest: str) -> bytes:
        try:
            reply: messages.BucketReply = await self._peers.request(
                address, messages.FetchBucket(digest), PEER_TIMEOUT_MS
            )
        except exceptions.PeerUnreachable:
            return b''
        self.record_response()
        return _check_digest(digest, reply.value, address)

    async def _fetch_from_platform(self, digest: str) -> bytes:
        key = storage.format_bucket_key(digest)
        try:
            stored = await self._platform.get(key)
        except exceptions.PlatformError:
            return b''
        self.record_response()
        return _check_digest(digest, stored.value, 'platform')

    def _list_first_peers(self, version: int, preferred: str) -> list[str]:
        """Return the peers to pull from before the platform is read.

        When all entries learn of a version at the same time, no peer has
        reported it yet; one peer is tried nevertheless.
        """
        holders = self._list_peers(version)
        candidates = holders or self._list_peers()
        self._rng.shuffle(candidates)
        first_peers = candidates[: MAX_PEERS_BEFORE_PLATFORM if holders else 1]
        if not preferred:
            return first_peers
        return [preferred, *(one for one in first_peers if one != preferred)]

    def _list_peers(self, version: int = 0) -> list[str]:
        return [
            member.peer_address
            for member in self._members.list_members()
            if member.incarnation != self._incarnation
            and member.state is not ports.MemberState.DEAD
            and member.configuration_version >= version
        ]


def _check_digest(digest: str, value: bytes, source: str) -> bytes:
    """Return the bytes, or empty bytes if they do not match the digest.

    Otherwise, a peer that returns wrong bytes, or a bucket that was cleared
    after it was retired, could put documents in force that were never
    accepted. A mismatch is logged, and the next source is used.
    """
    if value and storage.compute_digest(value) == digest:
        return value
    if value:
        logger.warning(
            'configuration_bucket_refused', digest=digest, source=source
        )
    return b''
