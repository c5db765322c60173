"""Configuration that is in force everywhere and never reverts."""

from __future__ import annotations

import asyncio
import random
import typing

import structlog

from thornspool.application import ports
from thornspool.application.configuration import (
    following as configuration_following,
)
from thornspool.application.configuration import (
    publishing as configuration_publishing,
)
from thornspool.application.configuration import (
    pulling as configuration_pulling,
)
from thornspool.application.configuration import (
    results as configuration_results,
)
from thornspool.application.configuration import store as configuration_store
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import messages
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import publishing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clocks
    from thornspool.domain.configuration import contents as whole
    from thornspool.domain.configuration import documents

logger = structlog.get_logger(__name__)


def _wait_for_gossip(version: int) -> None:
    """Ask nobody."""


class ConfigurationService:
    """Publishes configuration and keeps this entry's up to date.

    Parameters
    ----------
    clock : Clock
        Source of time.
    platform : Platform
        Where versions are accepted and kept.
    peers : Peers
        Messages to other entries; two handlers are registered with it.
    members : MemberView
        Who the entries are and which version each reports.
    incarnation : str
        This entry's own incarnation.
    rng : random.Random, optional
        For pauses and for the choice among peers.
    timing : Timing, optional
        Times to keep.
    conflicts : callable, optional
        The conflict relation between publications.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        platform: ports.Platform,
        peers: ports.Peers,
        members: ports.MemberView,
        incarnation: str = '',
        rng: random.Random | None = None,
        timing: configuration_following.Timing | None = None,
        conflicts: publications.FindConflicts = publications.find_conflicts,
    ) -> None:
        self._ask_versions: Callable[[int], None] = _wait_for_gossip
        self._clock = clock
        self._platform = platform
        self._members = members
        self._incarnation = incarnation
        self._rng = rng or random.Random()
        self._timing = timing or configuration_following.Timing()
        self._store = configuration_store.Store()
        self._puller = configuration_pulling.Puller(
            clock,
            platform,
            peers,
            members,
            self._store,
            self._rng,
            incarnation,
            self._timing.isolation,
        )
        self._publisher = configuration_publishing.Publisher(
            clock,
            platform,
            self._puller,
            self._store,
            self._rng,
            conflicts,
        )
        self._follower = configuration_following.Follower(
            clock,
            platform,
            self._puller,
            self._store,
            self._rng,
            self._timing,
        )
        peers.handle(messages.FetchHead, self._answer_head)
        peers.handle(messages.FetchBucket, self._answer_bucket)

    def ask_stragglers_with(self, ask: Callable[[int], None]) -> None:
        """Have entries asked that do not report a version yet.

        Parameters
        ----------
        ask : callable
            Takes the version; called twice a second while a publisher
            waits, since gossip alone tells only after some seconds.
        """
        self._ask_versions = ask

    def snapshot(self) -> documents.Snapshot:
        """Return the documents in force here."""
        return self._store.contents.snapshot

    def version(self) -> int:
        """Return the version in force here; 0 before any."""
        return self._store.version

    def history(self) -> tuple[heads.Record, ...]:
        """Return the latest publications, oldest first."""
        return self._store.contents.head.history

    def contents(self) -> whole.Contents:
        """Return the version in force here with the change of each."""
        return self._store.contents

    def subscribe(
        self, callback: Callable[[documents.Snapshot], None]
    ) -> None:
        """Have a function called with each snapshot that comes in force."""
        self._store.subscribe(callback)

    def is_isolated(self, now: int) -> bool:
        """Tell whether neither platform nor any peer answered of late.

        An entry that nobody answers cannot know whether its configuration
        still is the one in force, so it takes no new work then.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.
        """
        last = self._puller.last_contact
        return last is None or now - last > self._timing.isolation

    def hear_version(self, peer_address: str, version: int) -> None:
        """Note the version that a peer says is in force there.

        Parameters
        ----------
        peer_address : str
            ``tcp://ip:port`` of the peer.
        version : int
            Its version; if it is past this entry's, it is pulled soon.
        """
        self._follower.hear_version(peer_address, version)

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        try:
            await self._follower.run()
        finally:
            self._publisher.stop()

    async def publish(
        self, publication: publications.Publication
    ) -> configuration_results.PublishResult:
        """Publish, and wait until it is in force at every member.

        Parameters
        ----------
        publication : Publication
            What to publish; sending it again with its id is safe.

        Returns
        -------
        Accepted, Conflict, Invalid or Undecided
            After at most the times ``decide`` and ``in_force`` together.
        """
        outcome = await self._publisher.decide(
            publication, self._timing.decide
        )
        logger.info(
            'configuration_published',
            publication=publication.id,
            author=publication.author,
            outcome=type(outcome).__name__,
        )
        if not isinstance(outcome, publishing.Confirmed):
            return outcome
        return await self._await_in_force(outcome.version)

    async def plan(
        self, publication: publications.Publication
    ) -> publications.Planned:
        """Say what a publication would come to, and write nothing.

        Raises
        ------
        PlatformError, PullFailed
            If the latest version cannot be read.
        """
        return await self._publisher.plan(publication)

    def report(self, version: int) -> configuration_results.Accepted:
        """Say where a version is in force, as members reported last."""
        current: list[str] = []
        stragglers: list[configuration_results.Straggler] = []
        for member in self._members.list_members():
            if member.state is ports.MemberState.DEAD:
                continue
            reported = self._read_version(member)
            if reported >= version:
                current.append(member.incarnation)
                continue
            stragglers.append(
                configuration_results.Straggler(
                    member.host, member.incarnation, reported
                )
            )
        return configuration_results.Accepted(
            version, tuple(current), tuple(stragglers)
        )

    def _read_version(self, member: ports.Member) -> int:
        if member.incarnation == self._incarnation:
            return self._store.version
        return member.configuration_version

    async def _await_in_force(
        self, version: int
    ) -> configuration_results.Accepted:
        now = self._clock.now()
        deadline = now + self._timing.in_force
        ask_at = now + self._timing.ask_interval
        report = self.report(version)
        while report.stragglers and now < deadline:
            await asyncio.sleep(self._timing.report_interval / 1000)
            now = self._clock.now()
            if now >= ask_at:
                self._ask_versions(version)
                ask_at = now + self._timing.ask_interval
            report = self.report(version)
        return report

    async def _answer_head(
        self, _sender: str, message: messages.FetchHead
    ) -> messages.HeadReply:
        head = self._store.contents.head
        if head.version <= message.after_version:
            return messages.HeadReply(head.version, b'')
        return messages.HeadReply(head.version, heads.encode_head(head))

    async def _answer_bucket(
        self, _sender: str, message: messages.FetchBucket
    ) -> messages.BucketReply:
        value = self._store.contents.values.get(message.digest, b'')
        return messages.BucketReply(message.digest, value)
