"""Who the entries are: the gossip machine run over the ports."""

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

TICK_MS = 100
READERS = 3
READER_MS = 3000
MIN_READ_MS = 10_000
READ_MS_PER_MEMBER = 100
KEEP_MS = 15_000
FRESH_MS = 3000
WAKE_MS = 500

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
        Where it stands.
    """

    url: str
    failure_domain: str


@attrs.frozen
class EntriesAnswer:
    """What callers are told about addresses.

    Attributes
    ----------
    entries : tuple of Entry
        Entries to use, sorted by URL.
    keep_ms : int
        How long the answer may be kept; 0 while no other entry is heard.
    leaving : tuple of str
        URLs of entries that leave; not to be used for new requests.
    """

    entries: tuple[Entry, ...]
    keep_ms: int
    leaving: tuple[str, ...]


class MembershipService:
    """The port ``MemberView``, kept by gossip.

    Parameters
    ----------
    clock : Clock
        Source of time.
    peers : Peers
        Messages to the other entries.
    platform : Platform
        Its host list says where entries may be found; it lags, so it only
        gives addresses to try and never decides who is alive.
    own : Member
        This entry.
    random : random.Random
        Source of every choice.
    read_version : callable
        Returns the configuration version in force here.
    on_version : callable
        Called with a peer address and a version when an entry has a higher
        version in force than this one; called again, twice a second at
        most, while that stays so.
    settings : Settings, optional
        Periods, timeouts and bounds of gossip.
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
        self._own = ports.Host(
            own.host,
            own.failure_domain,
            ports.HostState.LIVE,
            own.peer_address,
        )
        self._random = random
        self._read_version = read_version
        self._on_version = on_version
        self._host_watchers: list[HostWatcher] = []
        self._machine = machine.Machine(
            _identify(own), clock.now(), random, settings
        )
        self._listed: tuple[ports.Member, ...] = ()
        self._listed_revision = -1
        self._heard_at = clock.now()
        self._running_at = clock.now()
        self._woke_at = clock.now() - WAKE_MS
        self._tasks: list[asyncio.Task[None]] = []
        for message_type in messages.MESSAGE_TYPES:
            peers.handle(message_type, self._receive)

    def watch_hosts(self, watcher: HostWatcher) -> None:
        """Have every host list that is read handed on."""
        self._host_watchers.append(watcher)

    async def start(self, seeds: Iterable[str] = ()) -> None:
        """Join and start to probe.

        Parameters
        ----------
        seeds : iterable of str, optional
            Peer addresses to try beside those of the platform's list.
        """
        self._machine.set_seeds(seeds)
        self._tasks = [
            asyncio.create_task(self._run_ticks()),
            asyncio.create_task(self._run_reads(tuple(seeds))),
        ]

    async def stop(self) -> None:
        """Tell the others that this entry is gone, and stop."""
        self._carry_out(self._machine.quit())
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._tasks = []

    def announce_leaving(self) -> None:
        """Tell the others that this entry leaves; cannot be taken back."""
        logger.info('membership_leaving', entry=self._machine.own.incarnation)
        self._carry_out(self._machine.leave())

    def announce_version(self) -> None:
        """Spread the version in force here at once instead of shortly."""
        self._carry_out(self._machine.set_version(self._read_version()))

    def poll_versions(self, version: int) -> None:
        """Ask entries not known to have a version in force.

        Gossip tells of all of them after some seconds; who waits for it,
        as a publication does, calls this twice a second meanwhile.
        """
        commands = self._machine.poll_versions(version, self._clock.now())
        self._carry_out(commands)

    def tick(self) -> None:
        """Do what is due; the loop calls it ten times a second."""
        self._note_running()
        self.announce_version()
        self._carry_out(self._machine.tick(self._clock.now()))

    def list_members(self) -> tuple[ports.Member, ...]:
        """Return the members believed alive, this entry included.

        The same tuple is returned until something changes.
        """
        view = self._machine.view
        if view.revision != self._listed_revision:
            found = (view.find(name) for name in view.list_live())
            self._listed = tuple(_describe(r) for r in found if r)
            self._listed_revision = view.revision
        return self._listed

    def list_all(self) -> tuple[ports.Member, ...]:
        """Return every remembered member, the dead ones too."""
        return tuple(
            sorted(
                (_describe(record) for record in self._machine.view),
                key=lambda member: member.incarnation,
            )
        )

    def find(self, incarnation: str) -> ports.Member | None:
        """Return a member by incarnation; None when gone or unknown."""
        record = self._machine.view.find(incarnation)
        if record is None or not record.is_live:
            return None
        return _describe(record)

    def list_entries(self) -> EntriesAnswer:
        """Return the addresses that callers may use, and for how long."""
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
        # A host that was replaced in a hurry may be listed under its old
        # and its new process at once; its address is in use again.
        leaving.difference_update(entry.url for entry in staying)
        return EntriesAnswer(
            tuple(sorted(staying, key=lambda entry: entry.url)),
            self._choose_keep(len(members)),
            tuple(sorted(leaving)),
        )

    def _choose_keep(self, members: int) -> int:
        # An entry that leaves stays for as long as callers may keep a list
        # that was true when it began to. A process that was stopped
        # meanwhile wakes with an older list; kept as long, it would lead
        # callers to an address that refuses them.
        self._note_running()
        silent_ms = self._clock.now() - self._heard_at
        if members > 1 and silent_ms > FRESH_MS:
            return 0
        return KEEP_MS

    async def refresh_seeds(self, seeds: tuple[str, ...] = ()) -> None:
        """Read the platform's list and take its addresses as seeds.

        This entry is announced first, so that others find it by the list.
        """
        try:
            await self._platform.announce(self._own)
            hosts = await self._platform.list_hosts()
        except exceptions.PlatformError as error:
            logger.warning('host_list_not_read', reason=str(error))
            return
        listed = [h.peer_address for h in hosts if h.peer_address]
        self._machine.set_seeds(dict.fromkeys([*seeds, *listed]))
        for watcher in self._host_watchers:
            watcher(hosts)

    async def _receive(self, sender: str, message: typing.Any) -> None:
        now = self._clock.now()
        self._note_running()
        if now - self._woke_at >= WAKE_MS:
            self._heard_at = now
        self._carry_out(self._machine.receive(sender, message, now))

    def _note_running(self) -> None:
        """Notice that this process was stopped for a while.

        Messages that waited in its sockets are read first when it wakes.
        They tell of the time before; taken for news, the old list would be
        given out to be kept.
        """
        now = self._clock.now()
        if now - self._running_at > FRESH_MS:
            self._woke_at = now
        self._running_at = now

    def _carry_out(self, commands: Iterable[messages.Command]) -> None:
        for command in commands:
            match command:
                case messages.Send():
                    self._peers.tell(command.address, command.message)
                case messages.ReportVersion():
                    self._on_version(command.address, command.version)

    async def _run_ticks(self) -> None:
        while True:
            await _guard(self._tick_once, 'membership_tick_failed')
            await asyncio.sleep(TICK_MS / 1000)

    async def _tick_once(self) -> None:
        self.tick()

    async def _run_reads(self, seeds: tuple[str, ...]) -> None:
        while True:
            await _guard(lambda: self.refresh_seeds(seeds), 'host_list_failed')
            await asyncio.sleep(self._choose_read_interval() / 1000)

    def _choose_read_interval(self) -> float:
        # The platform counts every call and its rate grows more slowly than
        # the fleet, so a few members read often, and all the others
        # together ten times a second at most, whatever their number.
        live = self._machine.view.list_live()
        interval = max(MIN_READ_MS, READ_MS_PER_MEMBER * len(live))
        readers = rendezvous.choose('host list', live, READERS)
        if self._machine.own.incarnation in readers:
            interval = READER_MS
        return interval * self._random.uniform(0.75, 1.25)


async def _guard(work: Callable[[], Awaitable[None]], event: str) -> None:
    # An error in one round must not end the loop: the entry would go on
    # serving, but drop out of every list without a word.
    try:
        await work()
    except Exception:
        logger.exception(event)


def _identify(member: ports.Member) -> messages.Identity:
    return messages.Identity(
        member.incarnation,
        member.host,
        member.failure_domain,
        member.region,
        member.peer_address,
        member.caller_url,
    )


def _describe(record: records.Record) -> ports.Member:
    state = _STATES[record.status]
    if record.is_live and record.leaving:
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
