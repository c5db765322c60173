"""Configuration that is in force everywhere and never reverts."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing

import attrs
import structlog

from thornspool.application import configuration_publishing
from thornspool.application import configuration_pulling
from thornspool.application import configuration_store
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import messages
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import publishing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clocks
    from thornspool.domain.configuration import documents

logger = structlog.get_logger(__name__)


@attrs.frozen
class Timing:
    """Times of the configuration service, in milliseconds.

    Attributes
    ----------
    decide : int
        Longest time until a publication's outcome is told.
    in_force : int
        Longest wait for all entries to report an accepted version.
    report_interval : int
        Time between two looks at what they report.
    watch : int
        Longest wait of one watch at the platform.
    backoff, backoff_limit : int
        First and longest pause after the platform failed.
    hint_delay : int
        Longest wait before a peer is asked for a version that it was heard
        to have; usually the watch has brought it by then.
    probe_interval : int
        Time between two looks whether a peer has to be asked.
    probe_after : int
        Silence after which a peer is asked.
    isolation : int
        Silence after which this entry counts as isolated.
    """

    decide: int = 10_000
    in_force: int = 4_000
    report_interval: int = 100
    watch: int = 20_000
    backoff: int = 200
    backoff_limit: int = 5_000
    hint_delay: int = 200
    probe_interval: int = 500
    probe_after: int = 2_000
    isolation: int = 5_000


@attrs.frozen
class Straggler:
    """An entry where a version was not in force in time.

    Attributes
    ----------
    host : str
        Host that it runs on.
    incarnation : str
        The process.
    version : int
        Version that it reported last.
    """

    host: str
    incarnation: str
    version: int


@attrs.frozen
class Accepted:
    """The publication is accepted and will never be undone by itself.

    Attributes
    ----------
    version : int
        Version that holds it.
    in_force : tuple of str
        Incarnations that report this version or a later one.
    stragglers : tuple of Straggler
        Those that do not, yet.
    """

    version: int
    in_force: tuple[str, ...]
    stragglers: tuple[Straggler, ...]


PublishResult = (
    Accepted
    | publications.Conflict
    | publications.Invalid
    | publishing.Undecided
)


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
        timing: Timing | None = None,
        conflicts: publications.FindConflicts = publications.find_conflicts,
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._members = members
        self._incarnation = incarnation
        self._rng = rng or random.Random()
        self._timing = timing or Timing()
        self._store = configuration_store.Store()
        self._puller = configuration_pulling.Puller(
            clock,
            platform,
            peers,
            members,
            self._store,
            self._rng,
            incarnation,
        )
        self._publisher = configuration_publishing.Publisher(
            clock,
            platform,
            self._puller,
            self._store,
            self._rng,
            conflicts,
        )
        self._platform_version = 0
        self._failures = 0
        self._heard: dict[str, int] = {}
        self._hint = asyncio.Event()
        peers.handle(messages.FetchHead, self._answer_head)
        peers.handle(messages.FetchBucket, self._answer_bucket)

    def snapshot(self) -> documents.Snapshot:
        """Return the documents in force here."""
        return self._store.contents.snapshot

    def version(self) -> int:
        """Return the version in force here; 0 before any."""
        return self._store.version

    def history(self) -> tuple[heads.Record, ...]:
        """Return the latest publications, oldest first."""
        return self._store.contents.head.history

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
        if version <= self._store.version:
            return
        self._heard[peer_address] = version
        self._hint.set()

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watch())
                group.create_task(self._follow_hints())
                group.create_task(self._keep_contact())
        finally:
            self._publisher.stop()

    async def publish(
        self, publication: publications.Publication
    ) -> PublishResult:
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

    def report(self, version: int) -> Accepted:
        """Say where a version is in force, as members reported last."""
        current: list[str] = []
        stragglers: list[Straggler] = []
        for member in self._members.list_members():
            if member.state is ports.MemberState.DEAD:
                continue
            reported = self._read_version(member)
            if reported >= version:
                current.append(member.incarnation)
                continue
            stragglers.append(
                Straggler(member.host, member.incarnation, reported)
            )
        return Accepted(version, tuple(current), tuple(stragglers))

    def _read_version(self, member: ports.Member) -> int:
        if member.incarnation == self._incarnation:
            return self._store.version
        return member.configuration_version

    async def _await_in_force(self, version: int) -> Accepted:
        deadline = self._clock.now() + self._timing.in_force
        report = self.report(version)
        while report.stragglers and self._clock.now() < deadline:
            await asyncio.sleep(self._timing.report_interval / 1000)
            report = self.report(version)
        return report

    async def _watch(self) -> None:
        """Wait at the platform for the next head, again and again."""
        while True:
            try:
                seen = await self._platform.watch(
                    heads.HEAD_KEY, self._platform_version, self._timing.watch
                )
                self._puller.note_contact()
                if seen is not None:
                    await self._puller.adopt(seen.value)
                    self._platform_version = seen.version
            except exceptions.ApplicationError as error:
                await self._back_off(error)
            else:
                self._failures = 0

    async def _back_off(self, error: exceptions.ApplicationError) -> None:
        logger.info('configuration_watch_failed', reason=str(error))
        pause = min(
            self._timing.backoff << min(self._failures, 16),
            self._timing.backoff_limit,
        )
        self._failures += 1
        await asyncio.sleep(pause * self._rng.uniform(0.5, 1) / 1000)

    async def _follow_hints(self) -> None:
        """Pull versions that peers were heard to have.

        A hint is dropped after one try; every later message of the peer
        carries its version again.
        """
        while True:
            await self._hint.wait()
            self._hint.clear()
            delay = self._rng.uniform(0, self._timing.hint_delay)
            await asyncio.sleep(delay / 1000)
            heard, self._heard = self._heard, {}
            address = max(heard, key=heard.__getitem__)
            if heard[address] > self._store.version:
                await self._ask(address)

    async def _keep_contact(self) -> None:
        """Ask a peer, or else the platform, when nobody has answered.

        The watch alone cannot tell a platform that has no news from one
        that is gone, and it ends for as long as the platform is down.
        """
        while True:
            await asyncio.sleep(self._timing.probe_interval / 1000)
            last = self._puller.last_contact
            silence = self._timing.probe_after
            if last is not None and self._clock.now() - last < silence:
                continue
            if not await self._ask(''):
                with contextlib.suppress(exceptions.ApplicationError):
                    await self._puller.read_platform_head()

    async def _ask(self, address: str) -> bool:
        """Ask one peer, or any; tell whether it went well."""
        try:
            if address:
                await self._puller.ask_peer(address)
            else:
                await self._puller.ask_any_peer()
        except exceptions.ApplicationError as error:
            logger.debug('configuration_ask_failed', reason=str(error))
            return False
        return True

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
