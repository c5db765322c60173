"""Entries with their own copy of everything, before virtual engines."""

from __future__ import annotations

import random

import attrs

from tests.application.routing import builders
from tests.domain.fleet import builders as fleet_builders
from tests.player import engines as engines_module
from tests.player import loops
from thornspool import metrics
from thornspool.application.routing import beliefs
from thornspool.application.routing import calls
from thornspool.application.routing import detection
from thornspool.application.routing import intake
from thornspool.application.routing import membership
from thornspool.application.routing import placement
from thornspool.application.routing import repeats
from thornspool.application.routing import streams
from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module
from thornspool.domain.fleet import refusals
from thornspool.domain.paths import reservations
from thornspool.domain.placement import orders as orders_module
from thornspool.domain.placement import planning
from thornspool.domain.routing import messages as routing

QUICK_MS = 25
DETECT_MS = 100
NEWS_MS = 200
DATAGRAM_MS = 1
SLACK = 340.0
WINDOW_MS = 10_000
KEY_MS = 5_000


@attrs.frozen
class Mix:
    """A load, and the fleet that it is played on.

    Attributes
    ----------
    entries : int
        Entries in each failure domain.
    kinds : tuple of tuple of str
        Kinds of the engines of each failure domain.
    requests_per_s : float
        Over all entries.
    prompt, answer : float
        Median tokens.
    spread : float
        Standard deviation of their logarithms.
    first_ms, gap_ms : int
        What callers are owed.
    scale : float
        Factor of all times of the engines.
    """

    entries: int
    kinds: tuple[tuple[str, ...], ...]
    requests_per_s: float
    prompt: float
    answer: float
    spread: float
    first_ms: int
    gap_ms: int
    scale: float = 1.0


class Entry:
    """One entry with its use cases."""

    def __init__(self, world, host, domain, number):
        self.host, self.domain = host, domain
        self.clock = world.clock
        source = random.Random(f'{world.seed} {host}')
        clock = self.clock
        self.view = view_module.View(
            messages.Record(
                host, f'{host}-1', domain, f'{host}:80', f'{host}:90'
            )
        )
        self.beliefs = beliefs.Beliefs()
        self.beliefs.refusals.patience = source.uniform(
            1.0, refusals.MOST_PATIENCE
        )
        taken = reservations.Reservations()
        self.budget = repeats.Repeats(
            clock, 0.2, SLACK, WINDOW_MS, self.view.count_entries, number
        )
        servers = world.engines
        self.membership = membership.MembershipService(
            clock,
            self.view,
            self.beliefs,
            taken,
            self.budget,
            world.deliver,
            lambda: 1,
        )
        self.streams = streams.StreamService(
            clock, self.beliefs, taken, servers, self.budget, domain, source
        )
        self.calls = calls.CallService(
            clock, self.beliefs, servers, self.budget, domain, source
        )
        self.detector = detection.Detector(
            clock,
            self.beliefs,
            self.streams,
            servers,
            source,
            self.view.count_entries,
            self.membership.tell_failures,
        )
        self.placement = placement.PlacementService(
            clock, self.beliefs, servers, lambda: number == 0
        )
        self.intake = intake.Intake(
            clock,
            self.beliefs,
            self.streams,
            self.calls,
            metrics.Metrics(),
            KEY_MS,
            source,
        )

    def work_quickly(self):
        self.streams.work()
        self.detector.look()
        self.membership.tell_failures()

    def take_news(self, news):
        self.membership.take_news(news)
        if news.suspects:
            self.detector.leave_suspects()

    def detect(self):
        self.detector.work()
        self.beliefs.forget_left(self.clock.now())

    def tell_news(self):
        self.beliefs.proof.renew(self.clock.now())
        self.membership.work()


class World:
    """Entries and engines of a mix."""

    def __init__(self, loop, mix, seed):
        self.mix, self.seed = mix, seed
        self.clock = loops.LoopClock(loop)
        self._loop = loop
        self.model = build_model(mix)
        names = [chr(97 + number) for number in range(len(mix.kinds))]
        empty = [
            fleet_builders.build_engine(f'{name}-{number}', kind)
            for name, kinds in zip(names, mix.kinds, strict=True)
            for number, kind in enumerate(kinds)
        ]
        placed = lay_out(self.model, empty)
        self.engines = engines_module.Engines(
            self.clock, self.model, placed, self._list
        )
        self.entries = {}
        for number in range(mix.entries * len(names)):
            domain = names[number % len(names)]
            host = f'{domain}-{number:03}'
            self.entries[host] = Entry(self, host, domain, number)
        self._join(placed)

    def _join(self, placed):
        configuration = build_configuration(self.mix, self.model)
        now = self.clock.now()
        for entry in self.entries.values():
            for other in self.entries.values():
                entry.view.take_record(other.view.own, now)
            entry.beliefs.take_configuration(configuration)
            entry.beliefs.proof.renew(now)
            entry.membership.set_state(messages.State.SERVING)
            for server in placed:
                entry.beliefs.take_server(server, now)

    def deliver(self, address, news):
        receiver = self.entries[address.removesuffix(':90')]
        self._loop.call_later(DATAGRAM_MS / 1000.0, receiver.take_news, news)

    def _list(self, change):
        now = self.clock.now()
        for entry in self.entries.values():
            if isinstance(change, str):
                entry.beliefs.remove_server(change, now)
            else:
                entry.beliefs.take_server(change, now)

    def count_seconds(self):
        """Return the seconds since the world began."""
        return self._loop.time()

    def start(self):
        """Start the regular work of all entries."""
        source = random.Random(f'{self.seed} phases')
        for entry in self.entries.values():
            for interval, work in (
                (QUICK_MS, entry.work_quickly),
                (DETECT_MS, entry.detect),
                (NEWS_MS, entry.tell_news),
            ):
                self.engines.run(
                    loops.repeat(interval, work, source.uniform(0, interval))
                )
        lead = next(iter(self.entries.values()))
        self.engines.run(loops.repeat(DETECT_MS, lead.placement.work))


def lay_out(model, empty):
    """Give engines the layers that the entry which leads orders first."""
    holdings = [orders_module.Holding(one) for one in empty]
    return [
        attrs.evolve(order.server, layers=order.layers)
        for order in planning.plan_orders(holdings, model)
    ]


def build_model(mix):
    """Build the model of a mix; all times of engines follow its scale."""
    return fleet_builders.build_model(
        token_bytes=786_000.0,
        step_ms=0.85 * mix.scale,
        per_sequence_ms=0.0051 * mix.scale,
        read_per_s=294_000.0 / mix.scale,
        usual_prompt=mix.prompt,
        usual_answer=mix.answer,
    )


def build_configuration(mix, model):
    """Build the configuration of a mix."""
    route = builders.build_route(
        '/brief/',
        routing.Kind.STREAMING,
        'drafting',
        resumable=True,
        target_latency_ms=mix.first_ms,
        target_gap_ms=mix.gap_ms,
    )
    return builders.build_configuration(
        routes=routing.group_routes([route]),
        services={'drafting': routing.Service('drafting', model)},
    )
