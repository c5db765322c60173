"""Membership by gossip: probing, suspicion, refutation and broadcast.

Based on SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002). The differences
and their reasons are described in docs/design/membership.md.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.membership import messages
from thornspool.domain.membership import partners
from thornspool.domain.membership import probes
from thornspool.domain.membership import records
from thornspool.domain.membership import settings as settings_module
from thornspool.domain.membership import state
from thornspool.domain.membership import views

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random as randoms


_MAX_POLLED_MEMBERS = 64


class GossipMember:
    """Gossip protocol of one member, without I/O.

    Methods return the commands to execute.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    now : int
        Monotonic milliseconds.
    random : random.Random
        Source of all random choices.
    settings : Settings, optional
        Periods, timeouts and limits.
    """

    def __init__(
        self,
        identity: messages.Identity,
        now: int,
        random: randoms.Random,
        settings: settings_module.Settings | None = None,
    ) -> None:
        self.settings = settings or settings_module.Settings()
        self._state = state.MembershipState(identity, self.settings)
        self._random = random
        self._probes = probes.Probes(self.settings, random)
        self._seeds: tuple[str, ...] = ()
        self._join_tries = self.settings.join_tries
        self._last_tick = now
        # The first probe is sent at a random point of the period; otherwise
        # members that start together would all send at the same moments.
        self._probe_at = now + random.randrange(self.settings.period_ms)
        self._sync_at = now
        self._compare_at = now
        self._push_at: int | None = None
        self._pushed_at = now - self.settings.push_interval_ms
        self._last_report = (0, now)
        self._commands: list[messages.Command] = []

    @property
    def view(self) -> views.View:
        """The member table."""
        return self._state.view

    @property
    def is_settled(self) -> bool:
        """Whether no update is waiting to be broadcast."""
        return self._state.is_settled

    @property
    def own(self) -> records.Record:
        """Record of this process."""
        return self._state.own

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the addresses at which other members may run."""
        own = self.own.identity.peer_address
        self._seeds = tuple(a for a in addresses if a != own)

    def set_version(self, version: int) -> list[messages.Command]:
        """Record the configuration version in force and broadcast it."""
        if version <= self.own.version:
            return []
        self._state.set_version(version)
        self._push(partners.list_behind(self.view, version))
        return self._pop_commands()

    def request_versions(
        self, version: int, now: int
    ) -> list[messages.Command]:
        """Probe members not known to have a version, at most 64 a call."""
        behind = partners.list_behind(self.view, version)
        for record in partners.sample(
            behind, _MAX_POLLED_MEMBERS, self._random
        ):
            self._ping(record, self._probes.start(record.incarnation, now))
        return self._pop_commands()

    def announce_leaving(self) -> list[messages.Command]:
        """Announce that this process leaves; it remains a member."""
        self._state.leave(messages.Status.ALIVE)
        self._push(partners.list_live_others(self.view))
        return self._pop_commands()

    def announce_exit(self) -> list[messages.Command]:
        """Announce the exit of this process, to save its detection."""
        self._state.leave(messages.Status.LEFT)
        self._push(partners.list_live_others(self.view))
        return self._pop_commands()

    def tick(self, now: int) -> list[messages.Command]:
        """Run the work that is due; called several times a period."""
        if not self.own.is_listed:
            return []
        self._handle_suspension(now)
        self._relay_slow_probes(now)
        for incarnation in self._probes.pop_failed(now):
            self._state.suspect(incarnation, now)
        self._state.expire(now)
        if now >= self._probe_at:
            self._probe_at = now + self.settings.period_ms
            self._probe(now)
        if now >= self._sync_at:
            self._sync(now)
        self._push_updates(now)
        return self._pop_commands()

    def receive(
        self, sender: str, message: messages.Message, now: int
    ) -> list[messages.Command]:
        """Handle a message.

        Parameters
        ----------
        sender : str
            Incarnation of the sending process.
        message : Message
            The message.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        list of Command
            Commands to execute.
        """
        if not self.own.is_listed or sender == self.own.incarnation:
            return []
        live_count = len(self.view.list_live())
        self._apply_gossip(sender, message.gossip, now)
        match message:
            case messages.Ping():
                self._answer_ping(sender, message)
            case messages.Ack():
                self._relay_ack(message)
            case messages.PingRequest():
                self._probe_on_behalf(message, now)
            case messages.SyncRequest():
                self._answer_sync(sender, message)
            case messages.SyncReply():
                self._apply_sync(sender, message, live_count, now)
        return self._pop_commands()

    # Receiving.

    def _apply_gossip(
        self, sender: str, gossip: messages.Gossip, now: int
    ) -> None:
        own_update = messages.Update(
            sender,
            messages.Status.ALIVE,
            gossip.counter,
            version=gossip.version,
        )
        self._state.merge(own_update, now)
        for update in gossip.updates:
            self._state.merge(update, now)
        self._state.apply_versions(gossip.applied)
        self._report_version(sender, gossip, now)
        self._compare_views(sender, gossip, now)

    def _compare_views(
        self, sender: str, gossip: messages.Gossip, now: int
    ) -> None:
        """Request a sync from a member whose list of live members differs.

        Gossip reaches nearly all members. The few that miss an update would
        keep an outdated list until the next periodic sync, seconds later.
        While updates are still being broadcast the lists differ in any
        case, so no sync is requested then.
        """
        view = self.view.summarize_versions().view
        if gossip.applied.view == view or not self._state.is_settled:
            return
        record = self.view.find(sender)
        if record is None or now < self._compare_at:
            return
        self._compare_at = now + self.settings.compare_ms
        self._request_sync(record.identity.peer_address)

    def _report_version(
        self, sender: str, gossip: messages.Gossip, now: int
    ) -> None:
        version = max(gossip.version, gossip.applied.version)
        if version <= self.own.version:
            return
        reported, reported_at = self._last_report
        was_recent = now - reported_at < self.settings.renotify_ms
        if version <= reported and was_recent:
            return
        source = self._find_source(sender, gossip, version)
        if source is None:
            return
        self._last_report = (version, now)
        address = source.identity.peer_address
        self._commands.append(messages.ReportVersion(address, version))

    def _find_source(
        self, sender: str, gossip: messages.Gossip, version: int
    ) -> records.Record | None:
        if gossip.version >= version:
            return self.view.find(sender)
        others = partners.list_live_others(self.view)
        holders = [record for record in others if record.version >= version]
        return self._random.choice(holders) if holders else None

    # Probing.

    def _probe(self, now: int) -> None:
        record = self._probes.choose_target(self.view)
        if record is not None:
            self._ping(record, self._probes.start(record.incarnation, now))

    def _ping(self, record: records.Record, sequence: int) -> None:
        gossip = self._state.build_gossip(record.incarnation)
        address = self.own.identity.peer_address
        target = views.compute_short_digest(record.incarnation)
        self._send(record, messages.Ping(sequence, address, target, gossip))

    def _answer_ping(self, sender: str, ping: messages.Ping) -> None:
        if ping.target != views.compute_short_digest(self.own.incarnation):
            return
        ack = messages.Ack(ping.sequence, self._state.build_gossip(sender))
        self._send_to(ping.address, ack)
        if self.view.find(sender) is None:
            self._request_sync(ping.address)

    def _relay_ack(self, ack: messages.Ack) -> None:
        relay = self._probes.complete(ack.sequence)
        if relay is None:
            return
        relayed = messages.Ack(relay.sequence, self._state.build_gossip())
        self._send_to(relay.address, relayed)

    def _probe_on_behalf(
        self, request: messages.PingRequest, now: int
    ) -> None:
        record = self.view.find(request.target)
        if record is None:
            return
        sequence = self._probes.start_relay(
            request.address, request.sequence, now
        )
        self._ping(record, sequence)

    def _relay_slow_probes(self, now: int) -> None:
        address = self.own.identity.peer_address
        for sequence, probe in self._probes.list_slow(now):
            others = partners.list_live_others(self.view, probe.target)
            for relay in partners.sample(
                others, self.settings.relays, self._random
            ):
                gossip = self._state.build_gossip(relay.incarnation)
                request = messages.PingRequest(
                    sequence, address, probe.target, gossip
                )
                self._send(relay, request)

    def _handle_suspension(self, now: int) -> None:
        """Extend all timers by the time that this process was suspended.

        A process that was suspended finds all its timers overdue when it
        resumes, while acknowledgements and refutations are still unread in
        its sockets. Without the extension it would declare healthy members
        dead and broadcast that. After a suspension so long that others may
        have removed their dead members, it would even bring those back, so
        it then drops all records and keeps only the addresses.
        """
        elapsed_ms = now - self._last_tick
        self._last_tick = now
        if elapsed_ms < self.settings.pause_ms:
            return
        self._probes.clear()
        self._state.postpone_expiry(elapsed_ms)
        self._sync_at = now
        if elapsed_ms >= self.settings.dead_memory_ms:
            addresses = self._state.reset()
            self.set_seeds(dict.fromkeys([*self._seeds, *addresses]))
            self._join_tries = self.settings.join_tries

    # Sync of whole tables.

    def _sync(self, now: int) -> None:
        period = self.settings.sync_period_ms
        is_joining = self._is_joining()
        if is_joining:
            self._join_tries -= 1
            period = self.settings.period_ms
        jitter = self._random.randrange(period // 2)
        self._sync_at = now + period * 3 // 4 + jitter
        address = partners.choose_sync_address(
            self.view, self._seeds, self._random, prefers_lost=is_joining
        )
        if address is not None:
            self._request_sync(address)

    def _is_joining(self) -> bool:
        # Entries that start together find each other first and would remain
        # in small separate groups, each with its own list, until the next
        # periodic sync. So a new member syncs with its seeds repeatedly.
        if len(self.view.list_live()) == 1:
            return True
        if self._join_tries <= 0:
            return False
        return bool(partners.list_lost_addresses(self.view, self._seeds))

    def _request_sync(self, address: str) -> None:
        own_update = records.describe(self.own, with_identity=True)
        gossip = self._state.build_gossip()
        gossip = attrs.evolve(gossip, updates=(own_update, *gossip.updates))
        request = messages.SyncRequest(
            self.own.identity.peer_address, self.view.pack_digests(), gossip
        )
        self._send_to(address, request)

    def _answer_sync(self, sender: str, request: messages.SyncRequest) -> None:
        buckets = self.view.compare_digests(request.digests)
        self._send_records(sender, request.address, buckets, buckets)

    def _apply_sync(
        self, sender: str, reply: messages.SyncReply, live_count: int, now: int
    ) -> None:
        # A member that has just joined receives records that all others
        # already have; broadcasting them would send each of them many times.
        should_broadcast = 2 * live_count > len(reply.records)
        for update in reply.records:
            self._state.merge(update, now, should_broadcast)
        record = self.view.find(sender)
        if record is not None:
            address = record.identity.peer_address
            self._send_records(sender, address, reply.buckets, ())

    def _send_records(
        self,
        receiver: str,
        address: str,
        buckets: tuple[int, ...],
        wanted: tuple[int, ...],
    ) -> None:
        if not buckets:
            return
        updates = tuple(
            records.describe(record, with_identity=True)
            for record in self.view.list_bucket_records(buckets)
        )
        gossip = self._state.build_gossip(receiver)
        reply = messages.SyncReply(wanted, updates, gossip)
        self._send_to(address, reply)

    # Sending.

    def _push_updates(self, now: int) -> None:
        if self._state.has_updates and self._push_at is None:
            earliest = self._pushed_at + self.settings.push_interval_ms
            delayed = now + self.settings.push_delay_ms
            self._push_at = max(delayed, earliest)
        if self._push_at is None or now < self._push_at:
            return
        self._state.has_updates = False
        self._push_at = None
        self._pushed_at = now
        self._push(partners.list_live_others(self.view))

    def _push(self, members: Sequence[records.Record]) -> None:
        count = self.settings.push_fanout
        for record in partners.sample(members, count, self._random):
            gossip = self._state.build_gossip(record.incarnation)
            self._send(record, messages.News(gossip))

    def _send(self, record: records.Record, message: messages.Message) -> None:
        self._send_to(record.identity.peer_address, message)

    def _send_to(self, address: str, message: messages.Message) -> None:
        self._commands.append(messages.Send(address, message))

    def _pop_commands(self) -> list[messages.Command]:
        commands, self._commands = self._commands, []
        return commands
