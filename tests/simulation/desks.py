"""Simulated entries in front of plain servers, with a store that fails."""

from __future__ import annotations

import asyncio
import math
import random

import attrs

from standins import kv_fleet
from tests import engine_rules
from tests.application.routing import builders
from tests.simulation import engines
from tests.simulation import loops
from tests.simulation import stores
from thornspool import metrics
from thornspool.application.routing import calls
from thornspool.application.routing import intake
from thornspool.application.routing import membership
from thornspool.application.routing import ports
from thornspool.application.routing import retry_pools
from thornspool.application.routing import (
    routing_state as routing_state_module,
)
from thornspool.domain.entries import leadership
from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module
from thornspool.domain.freshness import age_limits
from thornspool.domain.paths import reservations
from thornspool.platform import follower
from thornspool.platform import peers

DOMAINS = ('a', 'b', 'c')
SERVERS = 4
SERVING_MS = 30_000
"""Time for which a server that leaves continues to serve."""

REQUEST_INTERVAL_MS = 20
DRAIN_MS = 2_000
CONTACT_MS = 3_000
RUN_MS = 45
LATENCY_MS = 1
CONFIGURATION_MS = 2_000
LIMITS = age_limits.compute_limits(5_000, CONFIGURATION_MS)
FRAGMENT_BYTES = 1_472
"""Payload of one packet; a datagram is lost with any of its fragments."""
KEPT = 12
"""Number of added routes and keys that a version allows."""
FIRST_TARGETS = frozenset({'/read/', '/hold/', '/brief/'})
MAX_LATE_MS = 1_500


@attrs.define(eq=False)
class Server:
    """A plain server.

    Attributes
    ----------
    id : str
        Its id.
    started_at : int
        Start of its process, in milliseconds.
    is_leaving : bool
        Whether its record shows that it leaves.
    is_unlisted : bool
        Whether it has left the list for good.
    """

    id: str
    started_at: int
    is_leaving: bool = False
    is_unlisted: bool = False

    def describe(self):
        """Return its record in the store."""
        return {
            'service': kv_fleet.PLAIN_SERVICE,
            'address': f'{self.id}:1',
            'zone': self.id.split('-')[0],
            'slots': 16,
            'state': 'draining' if self.is_leaving else 'ready',
            'born': self.started_at,
        }


class Client:
    """Calls of one entry to the servers."""

    def __init__(self, desk, host):
        self._desk = desk
        self._host = host

    def send(self, run, listener):
        task = self._desk.start_task(self._run(run, listener))
        return task.cancel

    async def _run(self, run, listener):
        await loops.sleep_ms(LATENCY_MS)
        self._desk.arrivals.append(
            engine_rules.Arrival(
                self._desk.clock.now(),
                run.server.id,
                self._host,
                attempt=run.request.id,
            )
        )
        await loops.sleep_ms(RUN_MS)
        listener.handle_head(ports.ResponseHead(200, (), True, '', None, True))
        listener.handle_completion(ports.Completion.COMPLETE)

    async def check(self, server, wait_ms=ports.CHECK_MS):
        return ports.ProcessCheck(True)


class Entry:
    """One entry with its copy of the store."""

    def __init__(self, desk, host, domain, incarnation=1):
        self.host, self.domain, self.incarnation = host, domain, incarnation
        self._desk = desk
        self.is_up = True
        clock = desk.clock
        source = random.Random(f'{desk.seed} {host} {incarnation}')
        self.view = view_module.View(
            messages.Record(
                host, f'{host}-{incarnation}', domain, host, f'{host}:90'
            )
        )
        self.routing_state = routing_state_module.RoutingState()
        budget = retry_pools.RetryPools(
            clock, 0.2, 200.0, 10_000, self.view.count_entries, 1
        )
        self.membership = membership.MembershipService(
            clock,
            self.view,
            self.routing_state,
            reservations.Reservations(),
            budget,
            self._send_update,
            lambda: self.follower.revision,
            self._send_missed,
        )
        self.membership.limits = LIMITS
        self.follower = follower.Follower(
            clock,
            stores.Client(desk.store, host),
            self.routing_state,
            self.view,
            leadership.Leadership(f'{host}-{incarnation}'),
            LIMITS,
            follower.Coordination(
                self.membership.is_feed_current,
                self.membership.is_collector_cut_off,
                self._send_feed,
                self.membership.is_follower,
                self.membership.awaits_change_feed,
                self.membership.hand_over_collecting,
                source.random,
            ),
        )
        servers = Client(desk, host)
        self.calls = calls.CallService(
            clock,
            self.routing_state,
            builders.build_limits(clock, self.routing_state),
            builders.build_permits(clock, self.routing_state, servers),
            builders.build_evidence(clock, self.routing_state, servers),
            budget,
            domain,
            source,
        )
        self.intake = intake.Intake(
            clock,
            self.routing_state,
            None,
            self.calls,
            metrics.Metrics(),
            LIMITS,
            source,
            lambda age_ms: self.view.has_current_peer(age_ms, clock.now()),
        )
        self.intake.find_newest_version = lambda: self.view.newest_version
        self.intake.confirm_copy = self.follower.request_confirmation

    def start(self):
        desk = self._desk
        self._tasks = [
            desk.start_task(self.follower.run()),
            desk.start_task(self.follower.run_confirmations()),
            desk.start_task(loops.run_periodically(25, self._tick)),
            desk.start_task(loops.run_periodically(100, self._purge)),
            desk.start_task(loops.run_periodically(200, self._update)),
        ]

    def stop(self):
        self.is_up = False
        for task in self._tasks:
            task.cancel()

    def _tick(self):
        self.calls.tick()
        self.membership.broadcast_failures()

    def _purge(self):
        self.routing_state.purge_expired(self._desk.clock.now())

    def _update(self):
        self.membership.update_state(
            self.routing_state.configuration is not None, 4_250
        )
        self.membership.tick()

    def _send_update(self, address, update):
        self._desk.deliver(
            address, lambda one: one.membership.apply_update(update)
        )

    def _send_feed(self, change_set):
        receivers = self.membership.list_follower_addresses()
        for address in receivers:
            self._send_change_set(address, change_set)
        return len(receivers)

    def _send_missed(self, address, since):
        change_set = self.follower.find_changes_since(since)
        if change_set is not None:
            self._send_change_set(address, change_set)

    def _send_change_set(self, address, change_set):
        size = len(peers.encode_change_set(change_set))
        if size <= self._desk.max_change_set_bytes:
            self._desk.deliver(
                address,
                lambda one: one.follower.apply_change_set(change_set),
                math.ceil(size / FRAGMENT_BYTES),
            )


class Desk:
    """Entries, plain servers and their store in virtual time.

    Parameters
    ----------
    loop : loops.VirtualLoop
        Loop in which it runs.
    count : int
        Number of entries.
    seed : int
        Seed of all choices.
    """

    def __init__(self, loop, count, seed):
        self.seed = seed
        self.clock = loops.LoopClock(loop)
        self.store = stores.SimulatedStore()
        self.source = random.Random(f'{seed} desk')
        self.late_share = self.lost_share = 0.0
        self.arrivals, self.departures = [], []
        self.unstable, self.excuses = [], []
        self.sent_at, self.statuses = {}, []
        self.max_change_set_bytes = peers.MAX_DATAGRAM_BYTES
        self.versions, self.denials, self.disturbances = [], [], []
        self.applied = []
        self.targets = ['/read/']
        self._loop = loop
        self._tasks = set()
        self.servers = {}
        self.entries = {}
        for number in range(SERVERS):
            self.add_server(f'{DOMAINS[number % len(DOMAINS)]}-{number}')
        self.publish_configuration(FIRST_TARGETS)
        for number in range(count):
            domain = DOMAINS[number % len(DOMAINS)]
            self.add_entry(Entry(self, f'{domain}-{number:02}', domain))

    def publish_configuration(self, targets):
        """Publish a version that allows requests with these targets.

        A target is the prefix of a route, or a key of the route ``/keyed/``.
        """
        version = len(self.versions) + 1
        keys = [one for one in targets if not one.startswith('/')]
        document = kv_fleet.build_configuration(version, ('first', *keys))
        plain = next(
            one for one in document['routes'] if one['prefix'] == '/read/'
        )
        document['routes'] = [
            {**route, 'anonymous': True} for route in document['routes']
        ]
        document['routes'] += [
            {**plain, 'name': one, 'prefix': one, 'anonymous': True}
            for one in targets
            if one.startswith('/') and one not in FIRST_TARGETS
        ]
        document['routes'].append(
            {**plain, 'name': 'keyed', 'prefix': '/keyed/', 'anonymous': False}
        )
        now = self.clock.now()
        self.store.put('op/config', document)
        self.versions.append(
            engine_rules.Version(version, now, now, frozenset(targets))
        )

    async def change_configuration(self, count, interval_ms):
        """Add a route and a key, and remove older ones, again and again.

        Callers use what was just added, what was removed, and what was never
        there.
        """
        never = ['/never/', 'key-never']
        added = []
        for number in range(count):
            pair = [f'/added-{number}/', f'key-{number}']
            added.append(pair)
            allowed = [one for two in added[-KEPT:] for one in two]
            self.publish_configuration(FIRST_TARGETS.union(allowed))
            recent = [one for two in added[-KEPT - 2 :] for one in two]
            self.targets = ['/read/', *recent, *pair, *never]
            await loops.sleep_ms(interval_ms)

    def start_task(self, coroutine):
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def add_entry(self, entry):
        self.entries[entry.host] = entry
        for other in list(self.entries.values()):
            now = self.clock.now()
            other.view.apply_record(entry.view.local, now)
            entry.view.apply_record(other.view.local, now)
        entry.start()

    def add_server(self, name):
        server = Server(name, self.clock.now())
        self.servers[name] = server
        self.publish(server)

    def publish(self, server):
        """Write the record of a server, unless it has left the list."""
        if not server.is_unlisted:
            self.store.put(f'servers/{server.id}', server.describe())

    def depart(self, name, is_announced):
        """Let a server leave, with or without a record that shows it."""
        server = self.servers[name]
        if is_announced:
            server.is_leaving = True
            self.publish(server)
        else:
            server.is_unlisted = True
            self.store.delete(f'servers/{name}')
        self.departures.append(engine_rules.Departure(self.clock.now(), name))

    async def interrupt(self, length_ms, hosts=None, lapses=True):
        """Make the store unavailable, to all hosts or to some of them.

        The records of servers lapse meanwhile, and return afterwards.
        """
        began_at = self.clock.now()
        self.store.is_silent = self.source.random() < 0.5
        if hosts is None:
            self.store.is_down = True
        else:
            self.store.shut_out |= set(hosts)
        await loops.sleep_ms(length_ms)
        if hosts is None and lapses:
            for server in self.servers.values():
                self.store.delete(f'servers/{server.id}')
                if not server.is_unlisted:
                    self.start_task(self._return(server))
        self.store.is_down = False
        self.store.shut_out -= set(hosts or ())
        self.unstable.append(
            engine_rules.Excuse('', began_at, self.clock.now())
        )
        self.disturbances += [
            engine_rules.Excuse(host, began_at, self.clock.now())
            for host in ([''] if hosts is None else hosts)
        ]

    async def _return(self, server):
        await loops.sleep_ms(self.source.uniform(*stores.RETURN_MS))
        self.publish(server)

    async def restart(self, host):
        """Kill an entry and start it again."""
        began_at = self.clock.now()
        old = self.entries[host]
        old.stop()
        await loops.sleep_ms(self.source.uniform(200, 1_000))
        self.add_entry(Entry(self, host, old.domain, old.incarnation + 1))
        self.excuses.append(
            engine_rules.Excuse(host, began_at, self.clock.now() + CONTACT_MS)
        )
        self.disturbances.append(
            engine_rules.Excuse(host, began_at, self.clock.now())
        )

    def deliver(self, address, apply, fragments=1):
        """Deliver a datagram to an entry, late or never for some of them."""
        drawn = self.source.random()
        if drawn < 1.0 - (1.0 - self.lost_share) ** fragments:
            return
        delay_ms = LATENCY_MS
        if drawn < self.lost_share + self.late_share:
            delay_ms = self.source.uniform(0, MAX_LATE_MS)

        def receive():
            entry = self.entries[address.removesuffix(':90')]
            if entry.is_up:
                apply(entry)

        self._loop.call_later(delay_ms / 1000, receive)

    async def send_requests(self):
        """Send calls to the entries in turn until cancelled."""
        number = 0
        while True:
            await loops.sleep_ms(REQUEST_INTERVAL_MS)
            number += 1
            hosts = sorted(self.entries)
            entry = self.entries[hosts[number % len(hosts)]]
            if entry.is_up:
                target = self.source.choice(self.targets)
                self.start_task(
                    self._send(entry, f'{entry.host}.{number}', target)
                )

    async def _send(self, entry, name, target):
        self.sent_at[name] = sent_at = self.clock.now()
        reply = builders.FakeResponseWriter()
        is_key = not target.startswith('/')
        entry.intake.serve(
            builders.build_request(
                '/keyed/x' if is_key else f'{target}x',
                id=name,
                host=kv_fleet.HOST,
                key=target if is_key else None,
                timeout_ms=2_000,
                arrived_at=self.clock.now(),
            ),
            reply,
        )
        while not (reply.whole or reply.aborted):
            await loops.sleep_ms(5)
        now = self.clock.now()
        self.statuses.append((now, entry.host, reply.status))
        if reply.status in {401, 404}:
            self.denials.append(
                engine_rules.Denial(
                    sent_at, now, entry.host, target, reply.status
                )
            )

    def record_versions(self):
        """Record which version each entry applies."""
        now = self.clock.now()
        self.applied += [
            engine_rules.InForce(
                now, host, entry.routing_state.configuration_version
            )
            for host, entry in self.entries.items()
            if entry.is_up
        ]

    def find_late_versions(self):
        """Find entries that apply a version for too long."""
        return engine_rules.find_late_versions(
            self.applied,
            self.versions,
            CONFIGURATION_MS,
            CONTACT_MS,
            self.disturbances,
        )

    def find_denial_violations(self):
        """Find requests that were denied although they are proper."""
        return engine_rules.find_denial_violations(
            self.denials,
            self.versions,
            len(self.sent_at),
            CONFIGURATION_MS,
            CONTACT_MS,
            self.disturbances,
        )

    def find_violations(self):
        """Find requests that reached servers that had left."""
        return engine_rules.find_listing_violations(
            self.arrivals,
            self.departures,
            self.sent_at,
            DRAIN_MS,
            CONTACT_MS,
            self.unstable,
            self.excuses,
        )


def simulate(count, seed, fault, seconds):
    """Simulate entries for a time; return the desk with what it saw.

    Parameters
    ----------
    count, seed : int
        Number of entries, and seed of all choices.
    fault : callable
        Coroutine function that disturbs the desk.
    seconds : float
        Virtual seconds of the simulation.
    """
    with engines.virtual_loop() as loop:
        asyncio.set_event_loop(loop)
        desk = Desk(loop, count, seed)

        async def run():
            await loops.sleep_ms(3_000)
            desk.start_task(desk.send_requests())
            desk.start_task(loops.run_periodically(50, desk.record_versions))
            desk.start_task(fault(desk))
            await loops.sleep_ms(seconds * 1000)

        loop.run_until_complete(run())
        return desk
