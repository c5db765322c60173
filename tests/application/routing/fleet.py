"""A fleet of entries that exchange state updates without a network."""

from __future__ import annotations

import random

import attrs

from tests import builders as common
from thornspool.application.routing import admission_control
from thornspool.application.routing import membership
from thornspool.application.routing import retry_pools
from thornspool.application.routing import (
    routing_state as routing_state_module,
)
from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module
from thornspool.domain.paths import reservations

TICK_MS = 200
FRESHNESS_BOUND_MS = 4_250.0
ENGINE = 'a-1'


@attrs.define(eq=False)
class Member:
    """One entry with its local copy of the store."""

    record: messages.Record
    view: view_module.View
    routing_state: routing_state_module.RoutingState
    reserved: reservations.Reservations
    budget: retry_pools.RetryPools
    service: membership.MembershipService
    control: admission_control.AdmissionControl
    revision: int = 1
    up: bool = True


class Fleet:
    """Entries of several failure domains, in the order of their names."""

    def __init__(self, domains=3, hosts=10, loss=0.0):
        self.clock = common.FakeClock(10_000)
        self.source = random.Random(3)
        self.loss = loss
        self.members = {}
        self.sent = 0
        self.launches = 0
        self.cut = set()
        self.separates_domains = False
        self.store_rejected = set()
        self.handing_over = set()
        self.resends = False
        self.chooses_states = False
        for domain in 'abcdefgh'[:domains]:
            for number in range(hosts):
                self.add(f'{domain}-{number:02}', domain)
        self.settle()

    def add(self, host, domain):
        """Start an entry whose registration all others see at once."""
        self.launches += 1
        record = messages.Record(
            host,
            f'{host}-{self.launches}',
            domain,
            f'{host}:80',
            f'{host}:90',
        )
        view = view_module.View(record)
        reserved = reservations.Reservations()
        state = routing_state_module.RoutingState()
        budget = retry_pools.RetryPools(
            self.clock,
            0.2,
            300.0,
            10_000,
            view.count_entries,
            self.launches,
            is_past_known=self.launches == 1,
        )
        control = admission_control.AdmissionControl(
            self.clock, view.count_entries, random.Random(host)
        )
        member = Member(record, view, state, reserved, budget, None, control)
        member.service = membership.MembershipService(
            self.clock,
            view,
            state,
            reserved,
            budget,
            self.deliver,
            lambda: member.revision,
            self.send_missed,
        )
        member.service.exchange_admission(control)
        for other in self.members.values():
            other.view.apply_record(record, self.clock.now())
            view.apply_record(other.record, self.clock.now())
        self.members[host] = member

    def settle(self):
        for member in self.members.values():
            member.service.set_state(messages.State.SERVING)

    def deliver(self, address, update):
        """Deliver a state update, or drop it."""
        self.sent += 1
        receiver = self.members[address.removesuffix(':90')]
        if self.cut & {update.host, receiver.record.host}:
            return
        if self.separates_domains and update.host[0] != address[0]:
            return
        if receiver.up and self.source.random() >= self.loss:
            receiver.service.apply_update(update)

    def send_missed(self, address, since):
        """Update the copy of an entry to the newest revision."""
        member = self.members[address.removesuffix(':90')]
        if self.resends and member.revision == since:
            member.revision = max(
                other.revision for other in self.members.values()
            )

    def kill(self, host):
        """Stop an entry without notice; its registration stays for now."""
        self.members[host].up = False

    def restart(self, hosts):
        """Kill entries at once and start new processes on their hosts."""
        killed = [self.members.pop(host) for host in hosts]
        for member in killed:
            self.add(member.record.host, member.record.failure_domain)
        self.settle()

    def register(self, host):
        """Register a running entry again, as after the end of its lease."""
        for member in self.members.values():
            member.view.apply_record(
                self.members[host].record, self.clock.now()
            )

    def unregister(self, host):
        """Remove the registration of an entry from all other entries."""
        for member in self.members.values():
            member.view.remove(host, self.clock.now())

    def cut_off(self, host):
        """Drop all datagrams from and to an entry."""
        self.cut.add(host)

    def rejoin(self, host):
        """Deliver the datagrams of an entry again."""
        self.cut.discard(host)

    def play(self, milliseconds, confirm=True):
        """Advance the clock and call the periodic methods.

        The store confirms the copies of collectors, except for entries that it
        rejects. Those in `handing_over` hand over to other collectors.
        """
        for _ in range(0, milliseconds, TICK_MS):
            self.clock.advance(TICK_MS)
            for member in self.members.values():
                if not member.up:
                    continue
                rejected = self.store_rejected | self.handing_over
                confirmed = confirm and member.record.host not in rejected
                if confirmed and member.view.is_collector:
                    member.routing_state.freshness.confirm(self.clock.now())
                elif member.record.host in self.handing_over:
                    member.service.hand_over_collecting()
                if self.chooses_states:
                    member.service.update_state(True, FRESHNESS_BOUND_MS)
                member.service.tick()

    def reserve(self, host, amount):
        """Reserve engine memory for requests of an entry."""
        self.members[host].reserved.local = {ENGINE: amount}
