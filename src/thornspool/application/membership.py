"""Membership of entries: runs the gossip state machine over the ports."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.membership import machine
from thornspool.domain.membership import messages
from thornspool.domain.membership import rendezvous
from thornspool.domain.membership import settings as settings_module

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable
    import random as randoms

    from thornspool import clock
    from thornspool.domain.membership import records

TICK_INTERVAL_MS = 100
HOST_LIST_READERS = 3
READER_INTERVAL_MS = 3000
MIN_READ_INTERVAL_MS = 10_000
READ_INTERVAL_PER_MEMBER_MS = 100
CALLER_CACHE_MS = 15_000
MAX_MESSAGE_AGE_MS = 3000
RESUME_SETTLING_MS = 500

logger = structlog.get_logger(__name__)

HostWatcher = typing.Callable[[tuple[ports.Host, ...]], None]

_STATES = {
    messages.Status.ALIVE: ports.MemberState.ALIVE,
    messages.Status.SUSPECT: ports.MemberState.SUSPECT,
    messages.Status.DEAD: ports.MemberState.DEAD,
    messages.Status.LEFT: ports.MemberState.DEAD,
}


@attrs.frozen
class Entry:
    """An entry that callers may use.

    Attributes
    ----------
    url : str
        ``http://ip:port`` or ``https://ip:port``.
    failure_domain : str
        Failure domain of its host.
    """

    url: str
    failure_domain: str


@attrs.frozen
class EntriesResponse:
    """Addresses of entries for callers.

    Attributes
    ----------
    entries : tuple of Entry
        Entries to use, sorted by URL.
    keep_ms : int
        Time for which callers may cache the addresses, in milliseconds; 0
        while no message of another entry arrives.
    leaving : tuple of str
        URLs of entries that are leaving; not to be used for new requests.
    """

    entries: tuple[Entry, ...]
    keep_ms: int
    leaving: tuple[str, ...]


class MembershipService:
    """Implements the port ``MemberView`` by gossip.

    Parameters
    ----------
    clock : Clock
        Source of time.
    peers : Peers
        Messaging between entries.
    platform : Platform
        Platform with the host list. The list is updated late, so it is used
        only as a source of addresses and never decides who is alive.
    own : Member
        The local entry.
    random : random.Random
        Source of all random choices.
    read_version : callable
        Returns the configuration version in force at the local entry.
    on_version : callable
        Called with the peer address and the version of an entry that has a
        higher version in force than the local one. The call is repeated, at
        most twice a second, while that is the case.
    settings : Settings, optional
        Intervals, timeouts and limits of gossip.
    """

    def __init__(
        self,
        clock: clock.Clock,
        peers: ports.Peers,
        platform: ports.Platform,
        own: ports.Member,
        random: randoms.Random,
        read_version: Callable[[], int],
        on_version: Callable[[str, int], None],
        settings: settings_module.Settings | None = None,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._platform = platform
        self._local_host = ports.Host(
            own.host,
            own.failure_domain,
            ports.HostState.LIVE,
            own.peer_address,
        )
        self._random = random
        self._read_version = read_version
        self._on_version = on_version
        self._host_watchers: list[HostWatcher] = []
        self._gossip_member = machine.GossipMember(
            _build_identity(own), clock.now(), random, settings
        )
        self._members: tuple[ports.Member, ...] = ()
        self._members_revision = -1
        self._last_message_at = clock.now()
        self._last_active_at = clock.now()
        self._resumed_at = clock.now() - RESUME_SETTLING_MS
        self._tasks: list[asyncio.Task[None]] = []
        for message_type in messages.MESSAGE_TYPES:
            peers.handle(message_type, self._receive)

    def watch_hosts(self, watcher: HostWatcher) -> None:
        """Register a callback for every host list that is read."""
        self._host_watchers.append(watcher)

    async def start(self, seeds: Iterable[str] = ()) -> None:
        """Join the other entries and start to probe them.

        Parameters
        ----------
        seeds : iterable of str, optional
            Peer addresses to try in addition to the platform's host list.
        """
        self._gossip_member.set_seeds(seeds)
        self._tasks = [
            asyncio.create_task(self._run_ticks()),
            asyncio.create_task(self._run_reads(tuple(seeds))),
        ]

    async def stop(self) -> None:
        """Announce that this entry is gone, and stop."""
        self._execute(self._gossip_member.announce_exit())
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._tasks = []

    def announce_leaving(self) -> None:
        """Announce that this entry is leaving; this can't be revoked."""
        logger.info(
            'membership_leaving', entry=self._gossip_member.own.incarnation
        )
        self._execute(self._gossip_member.announce_leaving())

    def announce_version(self) -> None:
        """Announce the local configuration version immediately."""
        self._execute(self._gossip_member.set_version(self._read_version()))

    def request_versions(self, version: int) -> None:
        """Request the versions of entries not known to have a version.

        Gossip reports the versions of all entries after some seconds. A
        publication, which waits for them, calls this twice a second.
        """
        commands = self._gossip_member.request_versions(
            version, self._clock.now()
        )
        self._execute(commands)

    def tick(self) -> None:
        """Run the periodic work; called ten times a second."""
        self._detect_suspension()
        self.announce_version()
        self._execute(self._gossip_member.tick(self._clock.now()))

    def list_members(self) -> tuple[ports.Member, ...]:
        """Return the live members, including this entry.

        The same tuple object is returned until a member changes.
        """
        view = self._gossip_member.view
        if view.revision != self._members_revision:
            found = (view.find(name) for name in view.list_live())
            self._members = tuple(_build_member(r) for r in found if r)
            self._members_revision = view.revision
        return self._members

    def list_all(self) -> tuple[ports.Member, ...]:
        """Return all recorded members, including dead ones."""
        return tuple(
            sorted(
                (_build_member(record) for record in self._gossip_member.view),
                key=lambda member: member.incarnation,
            )
        )

    def find(self, incarnation: str) -> ports.Member | None:
        """Return a live member by incarnation; None if there is none."""
        record = self._gossip_member.view.find(incarnation)
        if record is None or not record.is_listed:
            return None
        return _build_member(record)

    def list_entries(self) -> EntriesResponse:
        """Return the addresses for callers, with their cache lifetime."""
        members = self.list_members()
        staying = {
            Entry(member.caller_url, member.failure_domain)
            for member in members
            if member.state is not ports.MemberState.LEAVING
        }
        leaving = {
            member.caller_url
            for member in members
            if member.state is ports.MemberState.LEAVING
        }
        # After a quick restart, the old and the new process of a host may
        # both be members. The address is then in use again.
        leaving.difference_update(entry.url for entry in staying)
        return EntriesResponse(
            tuple(sorted(staying, key=lambda entry: entry.url)),
            self._choose_cache_ms(len(members)),
            tuple(sorted(leaving)),
        )

    def _choose_cache_ms(self, members: int) -> int:
        # A leaving entry continues to respond for as long as callers may
        # cache a list from before it began to leave. A process that was
        # suspended meanwhile holds an older list. Cached for the same time,
        # that list would direct callers to an address that refuses them.
        self._detect_suspension()
        message_age_ms = self._clock.now() - self._last_message_at
        if members > 1 and message_age_ms > MAX_MESSAGE_AGE_MS:
            return 0
        return CALLER_CACHE_MS

    async def refresh_seeds(self, seeds: tuple[str, ...] = ()) -> None:
        """Read the platform's host list and use its addresses as seeds.

        This entry is announced first, so that others find it in the list.

        Parameters
        ----------
        seeds : tuple of str, optional
            Peer addresses to use in addition.
        """
        try:
            await self._platform.announce(self._local_host)
            hosts = await self._platform.list_hosts()
        except exceptions.PlatformError as error:
            logger.warning('host_list_not_read', reason=str(error))
            return
        addresses = [h.peer_address for h in hosts if h.peer_address]
        self._gossip_member.set_seeds(dict.fromkeys([*seeds, *addresses]))
        for watcher in self._host_watchers:
            watcher(hosts)

    async def _receive(self, sender: str, message: typing.Any) -> None:
        now = self._clock.now()
        self._detect_suspension()
        if now - self._resumed_at >= RESUME_SETTLING_MS:
            self._last_message_at = now
        self._execute(self._gossip_member.receive(sender, message, now))

    def _detect_suspension(self) -> None:
        """Detect that this process was suspended.

        When it resumes, it first reads the messages buffered in its sockets.
        They describe the time before. If they counted as recent, callers
        would be allowed to cache an outdated list.
        """
        now = self._clock.now()
        if now - self._last_active_at > MAX_MESSAGE_AGE_MS:
            self._resumed_at = now
        self._last_active_at = now

    def _execute(self, commands: Iterable[messages.Command]) -> None:
        for command in commands:
            match command:
                case messages.Send():
                    self._peers.send(command.address, command.message)
                case messages.ReportVersion():
                    self._on_version(command.address, command.version)

    async def _run_ticks(self) -> None:
        while True:
            await _log_errors(self._tick_once, 'membership_tick_failed')
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    async def _tick_once(self) -> None:
        self.tick()

    async def _run_reads(self, seeds: tuple[str, ...]) -> None:
        while True:
            await _log_errors(
                lambda: self.refresh_seeds(seeds), 'host_list_failed'
            )
            await asyncio.sleep(self._choose_read_interval() / 1000)

    def _choose_read_interval(self) -> float:
        # The platform limits the rate of calls, and that limit grows more
        # slowly than the fleet. A few members therefore read the list often,
        # and all others together at most ten times a second, regardless of
        # their number.
        live = self._gossip_member.view.list_live()
        interval = max(
            MIN_READ_INTERVAL_MS, READ_INTERVAL_PER_MEMBER_MS * len(live)
        )
        readers = rendezvous.choose('host list', live, HOST_LIST_READERS)
        if self._gossip_member.own.incarnation in readers:
            interval = READER_INTERVAL_MS
        return interval * self._random.uniform(0.75, 1.25)


async def _log_errors(work: Callable[[], Awaitable[None]], event: str) -> None:
    # An error in one round must not end the loop. The entry would continue
    # to serve, but disappear from all lists of entries without any log line.
    try:
        await work()
    except Exception:
        logger.exception(event)


def _build_identity(member: ports.Member) -> messages.Identity:
    return messages.Identity(
        member.incarnation,
        member.host,
        member.failure_domain,
        member.region,
        member.peer_address,
        member.caller_url,
    )


def _build_member(record: records.Record) -> ports.Member:
    state = _STATES[record.status]
    if record.is_listed and record.leaving:
        state = ports.MemberState.LEAVING
    identity = record.identity
    return ports.Member(
        identity.incarnation,
        identity.host,
        identity.failure_domain,
        identity.region,
        identity.peer_address,
        identity.caller_url,
        state,
        record.version,
    )
