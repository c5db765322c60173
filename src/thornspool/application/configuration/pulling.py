"""Pulling of heads and buckets from peers and from the platform."""

from __future__ import annotations

import asyncio
import typing

import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.configuration import contents as whole
from thornspool.domain.configuration import exceptions as rule_errors
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import messages
from thornspool.domain.configuration import storage

if typing.TYPE_CHECKING:
    import random

    from thornspool import clock as clocks
    from thornspool.application.configuration import (
        store as configuration_store,
    )

PARALLEL_PULLS = 8
LIKELY_PEERS = 2
FALLBACK_PEERS = 3
ASK_TIMEOUT_MS = 500

logger = structlog.get_logger(__name__)


class PullFailed(exceptions.ApplicationError):
    """A version could not be pulled whole from any source."""


class Puller:
    """Reader of configuration from wherever it can be had.

    Parameters
    ----------
    clock : Clock
        Source of time.
    platform : Platform
        Where versions are accepted.
    peers : Peers
        Messages to other entries.
    members : MemberView
        Who they are.
    store : Store
        The version in force here.
    rng : random.Random
        For the choice among peers.
    incarnation : str
        This entry's own, which is not asked.
    isolation_ms : int
        Silence after which an answer alone no longer shows that the
        version in force here is the latest.

    Attributes
    ----------
    last_contact : int or None
        Monotonic milliseconds when the platform or a peer last answered;
        None before the first answer.
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
        isolation_ms: int,
    ) -> None:
        self._isolation_ms = isolation_ms
        self._clock = clock
        self._platform = platform
        self._peers = peers
        self._members = members
        self._store = store
        self._rng = rng
        self._incarnation = incarnation
        self.last_contact: int | None = None

    def note_current(self) -> None:
        """Note that the version in force here was the latest just now."""
        self.last_contact = self._clock.now()

    def note_answer(self) -> None:
        """Note an answer that may be old or tell of a later version.

        A process that was stopped for long finds old answers in its
        sockets, and learns of publications before it has pulled them. Were
        that enough to end its isolation, it would run requests under a
        configuration that operators had replaced long ago.
        """
        last = self.last_contact
        if last is None:
            return
        if self._clock.now() - last <= self._isolation_ms:
            self.last_contact = self._clock.now()

    async def read_platform_head(self) -> ports.Versioned:
        """Read the head from the platform."""
        answer = await self._platform.get(heads.HEAD_KEY)
        self.note_answer()
        return answer

    async def follow_platform(self) -> None:
        """Compare versions with the platform and pull if it is ahead.

        Raises
        ------
        PlatformError
            If it does not answer.
        PullFailed
            If its version cannot be had whole.
        """
        answer = await self.read_platform_head()
        if answer.value:
            await self.adopt(answer.value)
        self.note_current()

    async def ask_any_peer(self) -> None:
        """Compare versions with one peer and pull if it is ahead.

        Raises
        ------
        PeerUnreachable
            If it does not answer or there is none.
        PullFailed
            If it is ahead and its version cannot be had whole.
        """
        addresses = self._list_peers()
        if not addresses:
            raise exceptions.PeerUnreachable('No peer is known.')
        await self.ask_peer(self._rng.choice(addresses))

    async def ask_peer(self, address: str) -> None:
        """Compare versions with a peer and pull if it is ahead.

        Raises
        ------
        PeerUnreachable, PullFailed
            As of ``ask_any_peer``.
        """
        question = messages.FetchHead(self._store.version)
        reply: messages.HeadReply = await self._peers.ask(
            address, question, ASK_TIMEOUT_MS
        )
        self.note_answer()
        if reply.value:
            await self.adopt(reply.value, address)
        self.note_current()

    async def adopt(self, value: bytes, preferred: str = '') -> None:
        """Pull what an encoded head refers to and put it in force.

        Nothing happens if the head is not past the version in force.

        Parameters
        ----------
        value : bytes
            An encoded head that the platform accepted.
        preferred : str, optional
            Peer address to ask first.

        Raises
        ------
        PullFailed
            If the head or a bucket cannot be used or had.
        """
        try:
            head = heads.decode_head(value)
            if head.version <= self._store.version:
                return
            contents = self._store.contents
            pulled = await self._pull_missing(contents, head, preferred)
            advanced = whole.advance_contents(contents, head, pulled)
        except rule_errors.ConfigurationError as error:
            raise PullFailed(error.message, error.hint) from error
        self._store.apply(advanced)

    async def _pull_missing(
        self, contents: whole.Contents, head: heads.Head, preferred: str
    ) -> dict[str, bytes]:
        gate = asyncio.Semaphore(PARALLEL_PULLS)
        likely = self._list_likely_peers(head.version, preferred)

        async def pull(digest: str) -> tuple[str, bytes]:
            async with gate:
                return digest, await self._pull_bucket(digest, likely)

        missing = whole.list_missing(contents, head)
        return dict(await asyncio.gather(*map(pull, missing)))

    async def _pull_bucket(self, digest: str, likely: list[str]) -> bytes:
        """Ask likely peers, then the platform, then some other peers."""
        for address in likely:
            value = await self._ask_bucket(address, digest)
            if value:
                return value
        value = await self._read_bucket(digest)
        if value:
            return value
        others = [one for one in self._list_peers() if one not in likely]
        self._rng.shuffle(others)
        for address in others[:FALLBACK_PEERS]:
            value = await self._ask_bucket(address, digest)
            if value:
                return value
        raise PullFailed(
            f'Bucket {digest} could not be had.',
            'The next round asks again, starting from the latest head.',
        )

    async def _ask_bucket(self, address: str, digest: str) -> bytes:
        try:
            reply: messages.BucketReply = await self._peers.ask(
                address, messages.FetchBucket(digest), ASK_TIMEOUT_MS
            )
        except exceptions.PeerUnreachable:
            return b''
        self.note_answer()
        return _verify(digest, reply.value, address)

    async def _read_bucket(self, digest: str) -> bytes:
        key = storage.format_bucket_key(digest)
        try:
            answer = await self._platform.get(key)
        except exceptions.PlatformError:
            return b''
        self.note_answer()
        return _verify(digest, answer.value, 'platform')

    def _list_likely_peers(self, version: int, preferred: str) -> list[str]:
        """Return the peers to ask before the platform.

        When every entry hears of a version at the same moment, no peer is
        known to hold it yet, and one is tried all the same.
        """
        holders = self._list_peers(version)
        candidates = holders or self._list_peers()
        self._rng.shuffle(candidates)
        likely = candidates[: LIKELY_PEERS if holders else 1]
        if not preferred:
            return likely
        return [preferred, *(one for one in likely if one != preferred)]

    def _list_peers(self, version: int = 0) -> list[str]:
        return [
            member.peer_address
            for member in self._members.list_members()
            if member.incarnation != self._incarnation
            and member.state is not ports.MemberState.DEAD
            and member.configuration_version >= version
        ]


def _verify(digest: str, value: bytes, source: str) -> bytes:
    """Return the bytes, or none if they are not those of the digest.

    A peer that answers with other bytes, or a bucket that was emptied after
    it was retired, would otherwise put documents in force that nobody
    accepted. It shows as this line; the next source is asked.
    """
    if value and storage.compute_digest(value) == digest:
        return value
    if value:
        logger.warning(
            'configuration_bucket_refused', digest=digest, source=source
        )
    return b''
