"""Service that publishes configuration and keeps entries up to date."""

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
    from thornspool.domain.configuration import contents as contents_module
    from thornspool.domain.configuration import documents

logger = structlog.get_logger(__name__)


def _rely_on_gossip(version: int) -> None:
    """Wait for versions to arrive by gossip; the default poll function."""


class ConfigurationService:
    """Publishes configuration and keeps the local version up to date.

    Parameters
    ----------
    clock : Clock
        Source of time.
    platform : Platform
        Store of the accepted versions.
    peers : Peers
        Sends messages to other entries; two handlers are registered with it.
    members : MemberView
        Entries of the fleet and the versions that they report.
    incarnation : str
        Incarnation of the local entry.
    rng : random.Random, optional
        Source of jitter and of the choice of peers.
    timing : Timing, optional
        Timeouts and intervals.
    conflicts : callable, optional
        Returns the documents of a publication that are in conflict.
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
        self._poll_versions: Callable[[int], None] = _rely_on_gossip
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
            self._timing.isolation_timeout_ms,
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
        peers.handle(messages.FetchHead, self._handle_fetch_head)
        peers.handle(messages.FetchBucket, self._handle_fetch_bucket)

    def set_version_poll(self, poll: Callable[[int], None]) -> None:
        """Set the function that polls entries for their version.

        Parameters
        ----------
        poll : callable
            Called with the published version every ``poll_interval_ms``
            (twice per second by default) while entries do not report it,
            because gossip alone takes some seconds.
        """
        self._poll_versions = poll

    def snapshot(self) -> documents.Snapshot:
        """Return the documents in force at this entry."""
        return self._store.contents.snapshot

    def version(self) -> int:
        """Return the version in force at this entry; 0 if there is none."""
        return self._store.version

    def history(self) -> tuple[heads.Record, ...]:
        """Return the records of the latest publications, oldest first."""
        return self._store.contents.head.history

    def contents(self) -> contents_module.Contents:
        """Return the contents in force, with each document's last change."""
        return self._store.contents

    def subscribe(
        self, callback: Callable[[documents.Snapshot], None]
    ) -> None:
        """Register a function to call with each snapshot put in force."""
        self._store.subscribe(callback)

    def is_isolated(self, now: int) -> bool:
        """Return whether neither the platform nor a peer responded recently.

        An entry without contact to the platform and its peers cannot
        determine whether its configuration is current, so it accepts no new
        requests.

        Parameters
        ----------
        now : int
            Current time in monotonic milliseconds.
        """
        last = self._puller.last_contact
        return last is None or now - last > self._timing.isolation_timeout_ms

    def record_reported_version(self, peer_address: str, version: int) -> None:
        """Record the version that a peer reports.

        Parameters
        ----------
        peer_address : str
            Address of the peer in the form ``tcp://ip:port``.
        version : int
            Version of the peer; pulled soon if it is later than the local
            one.
        """
        self._follower.record_reported_version(peer_address, version)

    async def run(self) -> None:
        """Keep the local version up to date until cancelled."""
        try:
            await self._follower.run()
        finally:
            self._publisher.stop()

    async def publish(
        self, publication: publications.Publication
    ) -> configuration_results.PublishResult:
        """Publish, and wait until all members report the version.

        Parameters
        ----------
        publication : Publication
            Publication to be accepted; retrying with its id is safe.

        Returns
        -------
        Accepted, Conflict, Invalid or Undecided
            Returned after at most the timeouts ``decision_timeout_ms`` plus
            ``in_force_timeout_ms`` of the timing.
        """
        outcome = await self._publisher.publish(
            publication, self._timing.decision_timeout_ms
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
    ) -> publications.PlanResult:
        """Plan a publication on the latest version without writing it.

        Raises
        ------
        PlatformError, PullFailed
            If the latest version cannot be read.
        """
        return await self._publisher.plan(publication)

    def report_stragglers(
        self, version: int
    ) -> configuration_results.Accepted:
        """Return which members reported a version and which did not."""
        current: list[str] = []
        stragglers: list[configuration_results.Straggler] = []
        for member in self._members.list_members():
            if member.state is ports.MemberState.DEAD:
                continue
            reported = self._get_reported_version(member)
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

    def _get_reported_version(self, member: ports.Member) -> int:
        if member.incarnation == self._incarnation:
            return self._store.version
        return member.configuration_version

    async def _await_in_force(
        self, version: int
    ) -> configuration_results.Accepted:
        now = self._clock.now()
        deadline = now + self._timing.in_force_timeout_ms
        next_poll_at = now + self._timing.poll_interval_ms
        report = self.report_stragglers(version)
        while report.stragglers and now < deadline:
            await asyncio.sleep(self._timing.report_interval_ms / 1000)
            now = self._clock.now()
            if now >= next_poll_at:
                self._poll_versions(version)
                next_poll_at = now + self._timing.poll_interval_ms
            report = self.report_stragglers(version)
        return report

    async def _handle_fetch_head(
        self, _sender: str, message: messages.FetchHead
    ) -> messages.HeadReply:
        head = self._store.contents.head
        if head.version <= message.after_version:
            return messages.HeadReply(head.version, b'')
        return messages.HeadReply(head.version, heads.encode_head(head))

    async def _handle_fetch_bucket(
        self, _sender: str, message: messages.FetchBucket
    ) -> messages.BucketReply:
        value = self._store.contents.values.get(message.digest, b'')
        return messages.BucketReply(message.digest, value)
