"""An entry on the platform: put together, started, drained."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import functools
import random
import signal
import sys
import typing

import structlog

from thornspool import clock as clock_module
from thornspool import exceptions
from thornspool import logs
from thornspool import metrics as metrics_module
from thornspool.adapters import servers as listeners
from thornspool.adapters import transfers
from thornspool.application.routing import beliefs as beliefs_module
from thornspool.application.routing import calls
from thornspool.application.routing import detection
from thornspool.application.routing import intake as intake_module
from thornspool.application.routing import membership
from thornspool.application.routing import placement
from thornspool.application.routing import registration
from thornspool.application.routing import repeats
from thornspool.application.routing import streams
from thornspool.domain.entries import leadership
from thornspool.domain.entries import messages
from thornspool.domain.entries import view as view_module
from thornspool.domain.fleet import refusals
from thornspool.domain.freshness import proofs
from thornspool.domain.paths import reservations
from thornspool.platform import callers
from thornspool.platform import engines
from thornspool.platform import follower
from thornspool.platform import peers
from thornspool.platform import readings
from thornspool.platform import registry
from thornspool.platform import settings as settings_module
from thornspool.platform import store as store_module

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from tornado import httputil

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

QUICK_MS = 25
"""Interval at which waiting requests are tried and deadlines are looked at."""

DETECT_MS = 100
"""Interval at which silent streams are looked for; a third of the shortest
silence that counts."""

NEWS_MS = 200
"""Interval of news to peers; the engines' own reports lag as much."""

PLAN_MS = 100
"""Interval at which placement is planned."""

REGISTER_MS = 200
"""Interval at which registration and lead are looked at."""

FORGET_MS = 200
"""Interval at which servers that left and old suspicions are forgotten."""

USAGE_MS = 10_000
"""Interval of the log line that counts the calls to the store."""

TAKE_NEW_MS = 2_500
"""Time after the order to stop in which requests are still taken.

Callers hold this address for up to two lookups; a request that comes later
could not end within the grace period.
"""

LINGER_MS = 3_500
"""Least time for which a stopping entry answers, so that callers who still
hold its address are told where else to go in place of a broken connection."""

MAX_LEFT_NAMED = 10
"""Requests named in the line that tells the end of a drain."""

FLUSH_MS = 200
"""Longest wait for callers to read the end of their answers."""

EXIT_MARGIN_MS = 500
"""Time before the end of the grace period at which the entry exits; closing
takes some 250 ms."""

_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='thornspoold',
        description='Run one entry of the router on the platform. Its '
        f'settings file is named by {settings_module.FILE_VARIABLE}.',
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    parser.add_argument(
        '--log-level',
        default='info',
        choices=('debug', 'info', 'warning', 'error'),
        help='least level of log lines (default: info)',
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        0 after a drain, 1 when the entry failed, 2 for wrong settings.
    """
    options = make_parser().parse_args(arguments)
    try:
        read = settings_module.read_settings(settings_module.find_file())
    except exceptions.ThornspoolError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        return EXIT_OK
    logs.configure_logs(options.log_level, read.host, to_output=True)
    try:
        asyncio.run(_run(read))
    except exceptions.ThornspoolError as error:
        logger.error('entry_failed', reason=str(error))
        return EXIT_FAILED
    return EXIT_OK


async def _run(settings: settings_module.NodeSettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload, settings)
    seed = random.SystemRandom().getrandbits(64)
    entry = Entry(settings, clock_module.Clock(), random.Random(seed))
    await entry.start()
    logger.info(
        'entry_started',
        seed=seed,
        callers=settings.callers,
        store=settings.store,
    )
    await stopping.wait()
    await entry.stop()
    logger.info('entry_stopped')


def _note_reload(settings: settings_module.NodeSettings) -> None:
    """Check a changed settings file; addresses change only by a restart."""
    try:
        read = settings_module.read_settings(settings_module.find_file())
    except exceptions.ThornspoolError as error:
        logger.error('settings_refused', reason=str(error))
        return
    logger.info('settings_reloaded', changed=read != settings)


class Entry:
    """One entry.

    Parameters
    ----------
    settings : settings_module.NodeSettings
        Checked settings.
    clock : clock_module.Clock
        Source of time.
    random_source : random.Random
        Source of every random choice.
    """

    def __init__(
        self,
        settings: settings_module.NodeSettings,
        clock: clock_module.Clock,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random_source
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[listeners.Listener] = []

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        self._build()
        await self._datagrams.open(self._settings.ip, self._settings.peer_port)
        self._listen()
        self._run(self._follower.run())
        self._repeat(REGISTER_MS, self._register)
        self._repeat(QUICK_MS, self._work_quickly)
        self._repeat(DETECT_MS, self._detect)
        self._repeat(NEWS_MS, self._tell_news)
        self._repeat(PLAN_MS, self._plan)
        self._repeat(USAGE_MS, self._log_usage)

    async def stop(self) -> None:
        """Drain: leave lookups, finish what is in flight, then close."""
        began = self._clock.now()
        last = began + self._settings.bounds.grace_ms - EXIT_MARGIN_MS
        self._membership.set_state(messages.State.LEAVING)
        logger.info('drain_began', in_flight=self._intake.in_flight)
        self._front.send_away()
        self._streams.set_end(last)
        await self._registration.step_down()
        while True:
            now = self._clock.now()
            waited = now - began
            if waited >= TAKE_NEW_MS:
                self._intake.refuses_new = True
            idle = self._intake.in_flight == 0
            if now >= last or (idle and waited >= LINGER_MS):
                break
            await asyncio.sleep(0.05)
        logger.info(
            'drain_ended',
            in_flight=self._intake.in_flight,
            left=self._describe_left(),
        )
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            await listener.stop(timeout_ms=FLUSH_MS)
        self._registration.leave()
        self._datagrams.close()
        self._session.close()

    def _describe_left(self) -> str:
        """Name the requests that are still in flight, with their ages."""
        now = self._clock.now()
        exchanges = [one.exchange for one in self._streams.flights]
        exchanges += [one.exchange for one in self._calls.calls]
        return ','.join(
            f'{one.inquiry.id}:{now - one.inquiry.arrived_at}ms'
            for one in exchanges[:MAX_LEFT_NAMED]
        )

    def is_ready(self) -> bool:
        """Tell whether callers may come."""
        return (
            self._membership.state is messages.State.SERVING
            and self._intake.is_fresh()
        )

    def _build(self) -> None:
        """Put the parts together."""
        settings, clock = self._settings, self._clock
        bounds = settings.bounds
        own = messages.Record(
            settings.host,
            f'{settings.host}-{self._random.getrandbits(48):012x}',
            settings.failure_domain,
            settings.callers,
            f'{settings.ip}:{settings.peer_port}',
        )
        self._metrics = metrics_module.Metrics()
        self._session = transfers.Session()
        store = store_module.Store(self._session, settings.store)
        self._store = store
        self._beliefs = beliefs_module.Beliefs()
        self._beliefs.refusals.patience = self._random.uniform(
            1.0, refusals.MOST_PATIENCE
        )
        self._view = view_module.View(own)
        self._lead = leadership.Leadership(own.incarnation)
        self._follower = follower.Follower(
            clock,
            store,
            self._beliefs,
            self._view,
            self._lead,
            follower.compute_watch_ms(
                bounds.withdrawn_key_ms * proofs.KEY_AGE_SHARE
            ),
            follower.Sharing(
                lambda: self._membership.is_fed(),
                lambda: self._membership.shares_outage(),
                self._feed,
                lambda: self._membership.has_collector(),
                lambda: self._membership.may_catch_up(),
                lambda: self._membership.hand_over(),
                self._random.random,
            ),
        )
        taken = reservations.Reservations()
        self._datagrams = peers.Datagrams(
            self._take_news,
            self._follower.take_update,
        )
        budget = repeats.Repeats(
            clock,
            bounds.repeat_ratio,
            bounds.repeat_slack,
            bounds.repeat_window_ms,
            self._view.count_entries,
            self._random.getrandbits(32),
        )
        self._membership = membership.MembershipService(
            clock,
            self._view,
            self._beliefs,
            taken,
            budget,
            self._datagrams.send,
            lambda: self._follower.revision,
            self._send_missed,
        )
        self._registration = registration.RegistrationService(
            clock,
            self._view,
            self._lead,
            registry.Registry(store),
            lambda: self._follower.old_lease,
        )
        servers = engines.Servers(self._session)
        self._streams = streams.StreamService(
            clock,
            self._beliefs,
            taken,
            servers,
            budget,
            settings.failure_domain,
            self._random,
        )
        self._calls = calls.CallService(
            clock,
            self._beliefs,
            servers,
            budget,
            settings.failure_domain,
            self._random,
        )
        self._detector = detection.Detector(
            clock,
            self._beliefs,
            self._streams,
            servers,
            self._random,
            self._view.count_entries,
            self._membership.tell_failures,
        )
        self._placement = placement.PlacementService(
            clock,
            self._beliefs,
            servers,
            lambda: self._lead.may_act(clock.now()),
        )
        self._intake = intake_module.Intake(
            clock,
            self._beliefs,
            self._streams,
            self._calls,
            self._metrics,
            bounds.withdrawn_key_ms,
            self._random,
            lambda: self._view.is_anyone_current(
                self._intake.key_bound_ms, clock.now()
            ),
        )
        readings.add_readings(
            self._metrics,
            readings.Sources(
                clock,
                store,
                self._beliefs,
                self._view,
                self._lead,
                taken,
                budget,
                self._membership,
                self._placement,
                self._intake,
            ),
        )

    def _take_news(self, news: messages.News) -> None:
        """Take what a peer tells, and leave engines that it has lost."""
        self._membership.take_news(news)
        if news.suspects:
            self._detector.leave_suspects()

    def _feed(self, update: follower.Update) -> int:
        """Pass changes on to the entries that rely on this one."""
        fed = self._membership.list_fed()
        if fed and update.until > update.since:
            self._datagrams.send_update(fed, update)
        return len(fed)

    def _send_missed(self, address: str, since: int) -> None:
        """Send an entry the changes that it missed, if they are kept."""
        update = self._follower.find_since(since)
        if update is not None:
            self._datagrams.send_update([address], update)

    def _listen(self) -> None:
        settings = self._settings
        self._front = self._open(
            settings.callers, callers.Front(self._clock, self._intake.serve)
        )
        self._open(
            settings.lookups,
            callers.Questions(
                {
                    callers.LOOKUP_PATH: functools.partial(
                        callers.answer_lookup,
                        self._membership.list_addresses,
                        settings.bounds.max_address_ttl_s,
                    )
                }
            ),
        )
        self._open(
            settings.readiness,
            callers.Questions(
                {
                    callers.READINESS_PATH: functools.partial(
                        callers.answer_readiness, self.is_ready
                    )
                }
            ),
        )
        self._open(
            f'{settings.ip}:{settings.metrics_port}',
            callers.Questions({'/metrics': self._answer_metrics}),
        )

    def _open(
        self, address: str, delegate: httputil.HTTPServerConnectionDelegate
    ) -> listeners.Listener:
        listener = listeners.Listener(address, None)
        listener.start(delegate)
        self._listeners.append(listener)
        return listener

    def _answer_metrics(
        self, _query: dict[str, str]
    ) -> tuple[int, bytes, str]:
        body, kind = self._metrics.render()
        return 200, body, kind

    async def _register(self) -> None:
        await self._registration.work()

    async def _work_quickly(self) -> None:
        self._streams.work()
        self._calls.work()
        self._detector.look()
        if self._membership.state is messages.State.STARTING:
            # Callers get no address while all entries start.
            self._update_state()
        self._membership.tell_failures()

    async def _detect(self) -> None:
        self._detector.work()
        self._beliefs.forget_left(self._clock.now())

    async def _tell_news(self) -> None:
        self._update_state()
        self._membership.work()

    def _update_state(self) -> None:
        self._membership.update_state(
            self._beliefs.configuration is not None, self._intake.key_bound_ms
        )

    async def _plan(self) -> None:
        self._placement.work()

    async def _log_usage(self) -> None:
        """Log what the store was asked since the start, by kind of call."""
        calls = {
            kind.replace('-', '_'): count
            for kind, count in self._store.calls.items()
        }
        logger.info('store_used', collects=self._view.collects, **calls)

    def _repeat(
        self, interval_ms: int, work: Callable[[], Awaitable[None]]
    ) -> None:
        self._run(_repeat_forever(interval_ms, work))

    def _run(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))


async def _repeat_forever(
    interval_ms: int, work: Callable[[], Awaitable[None]]
) -> None:
    """Run a piece of work again and again, whatever one run of it meets."""
    while True:
        try:
            await work()
        except Exception:
            # A loop that ended would leave, say, the lease to lapse, and
            # nobody would be told.
            logger.exception('work_failed', work=work.__name__)
        await asyncio.sleep(interval_ms / _MS_PER_S)


if __name__ == '__main__':
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(main())
