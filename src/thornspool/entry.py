"""One entry: its listeners, its loops, its start and its drain."""

from __future__ import annotations

import asyncio
import contextlib
import typing
from urllib import parse

import attrs
import structlog
from tornado import web

from thornspool import identifiers
from thornspool import metrics as metrics_module
from thornspool import parts
from thornspool import readings
from thornspool.adapters import servers
from thornspool.adapters.callers import context
from thornspool.adapters.callers import routes as caller_routes
from thornspool.adapters.operators import handlers as operator_handlers
from thornspool.adapters.operators import scrapes
from thornspool.adapters.peers import node
from thornspool.adapters.store import client as store_client
from thornspool.adapters.store import memory
from thornspool.application import objectives
from thornspool.application import outages
from thornspool.application import ports
from thornspool.domain.actions import messages as action_messages
from thornspool.domain.configuration import messages as configuration_messages
from thornspool.domain.limits import messages as limit_messages
from thornspool.domain.quarantine import messages as quarantine_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    import random

    from thornspool import clock as clock_module
    from thornspool import settings as settings_module

REPLY_TYPES = (
    *action_messages.MESSAGE_TYPES,
    configuration_messages.HeadReply,
    configuration_messages.BucketReply,
    limit_messages.GrantReply,
    quarantine_messages.QuarantineNews,
    quarantine_messages.ReservationReply,
    objectives.CountsReply,
)
"""Replies have no handler that would register them with the codec."""

SETTLE_TIMEOUT_MS = 10_000

logger = structlog.get_logger(__name__)


@attrs.frozen
class Addresses:
    """Where an entry listens.

    Attributes
    ----------
    callers, operators : str
        URLs.
    peers : str
        ``tcp://ip:port`` that is bound.
    incarnation : str
        Names this process.
    """

    callers: str
    operators: str
    peers: str
    incarnation: str


class Entry:
    """One entry.

    Parameters
    ----------
    settings : settings_module.Settings
        Checked settings.
    clock : clock_module.Clock
        Source of time.
    random_source : random.Random
        Source of every random choice.
    request_stop : callable
        Called when an operator asks for a drain.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        clock: clock_module.Clock,
        random_source: random.Random,
        request_stop: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random_source
        self._request_stop = request_stop
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._outages: outages.OutageService | None = None

    async def start(self) -> Addresses:
        """Listen, join the other entries and take the configuration.

        Returns
        -------
        Addresses
            Where the entry listens, with the ports that were chosen.

        Raises
        ------
        servers.ListenError, node.PeersError
            An address can't be bound.
        """
        settings = self._settings
        self._callers = servers.Listener(
            settings.callers.listen,
            settings.callers.tls,
            settings.callers.body_limit_bytes,
        )
        self._operators = servers.Listener(
            settings.operators.listen,
            settings.operators.tls,
            name='operators',
        )
        incarnation = f'{settings.host}-{self._make_identifier()}'
        self._peers = node.PeerNode(
            self._clock,
            incarnation,
            f'tcp://{settings.peers.listen}',
            REPLY_TYPES,
            advertised_address=_choose_advertised(settings.peers),
        )
        addresses = Addresses(
            self._callers.read_url(),
            self._operators.read_url(),
            await self._peers.start(),
            incarnation,
        )
        self._metrics = metrics_module.Metrics()
        outside = self._describe_outside(addresses)
        self._parts = parts.Parts(outside)
        self._follow_outages(outside)
        readings.add_readings(
            self._metrics,
            self._clock,
            self._parts,
            outside.platform,
            self._peers.traffic,
        )
        self._answer()
        await self._parts.members.start(settings.peers.seeds)
        await self._parts.targets.start()
        self._run(self._parts.configuration.run())
        self._run(self._parts.admission.run())
        self._run(self._parts.quarantine.run())
        return addresses

    async def stop(self) -> None:
        """Drain: take no new work, finish what is in flight, then close.

        New callers are sent elsewhere for as long as they may hold this
        address. Outcomes of actions are recorded before the others are told
        that this process is gone, since nobody else can record them.
        """
        self._parts.drain.begin()
        self._callers.send_away()
        await self._parts.drain.wait_drained()
        if not await self._parts.actions.drain(SETTLE_TIMEOUT_MS):
            logger.warning('outcomes_not_recorded')
        await self._parts.generation.close()
        await self._callers.stop()
        await self._operators.stop()
        await self._parts.targets.stop()
        await self._parts.members.stop()
        if self._outages is not None:
            await self._outages.stop()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._peers.stop()
        await self._parts.close()

    def _describe_outside(self, addresses: Addresses) -> parts.Outside:
        """Gather what the use cases are built on."""
        settings = self._settings
        own = ports.Member(
            incarnation=addresses.incarnation,
            host=settings.host,
            failure_domain=settings.failure_domain,
            region=settings.region,
            peer_address=self._peers.address,
            caller_url=addresses.callers,
        )
        return parts.Outside(
            self._clock,
            self._random,
            self._make_platform(),
            self._peers,
            own,
            self._metrics,
        )

    def _answer(self) -> None:
        """Start to answer callers and operators."""
        self._callers.start(
            caller_routes.make_application(
                context.CallerContext(
                    requests=self._parts.build_intake(self._list_others),
                    list_entries=self._parts.members.list_entries,
                    make_request_id=self._make_identifier,
                    is_ready=self._parts.is_ready,
                )
            )
        )
        routes = operator_handlers.make_handlers(
            self._clock,
            self._parts.configuration,
            self._parts.members,
            self._settings.operators.tokens,
            self._begin_drain,
            self._parts.actions.look_up,
            self._parts.objectives.report,
        )
        self._operators.start(
            web.Application(
                [scrapes.make_route(self._metrics), *routes],
                log_function=lambda handler: None,
            )
        )

    def _run(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a loop of the entry until it stops."""
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(_log_end)
        self._tasks.append(task)

    def _make_platform(self) -> ports.Platform:
        """Make the client of the platform that the settings name."""
        if self._settings.platform.kind == 'memory':
            return memory.MemoryPlatform(self._clock)
        address = parse.urlsplit(self._settings.platform.url).netloc
        return store_client.StorePlatform(
            store_client.StoreSettings(address),
            self._clock,
            self._random.random,
        )

    def _follow_outages(self, outside: parts.Outside) -> None:
        """Have outages of the platform end at all entries together."""
        if not isinstance(outside.platform, store_client.StorePlatform):
            return
        self._outages = outages.OutageService(
            self._clock,
            outside.platform,
            outside.peers,
            self._parts.members,
            outside.own.incarnation,
            self._random,
            self._parts.actions.note_platform_back,
        )

    def _make_identifier(self) -> str:
        """Make an identifier that carries its time."""
        bits = self._random.getrandbits(74)
        return str(identifiers.make_uuid7(self._clock.wall(), bits))

    def _list_others(self) -> tuple[str, ...]:
        """Return the URLs of entries to use instead of this one."""
        own = self._callers.read_url()
        listed = self._parts.members.list_entries().entries
        return tuple(one.url for one in listed if one.url != own)

    async def _begin_drain(self) -> None:
        """Start the drain that an operator asked for."""
        self._request_stop()


def _choose_advertised(peers: settings_module.Peers) -> str:
    """Return the address that peers are told, empty for the bound one."""
    return f'tcp://{peers.advertise}' if peers.advertise else ''


def _log_end(task: asyncio.Task[typing.Any]) -> None:
    """Log a loop that ended by an error.

    Without it an entry goes on without, say, its configuration loop: it
    serves an old version and nobody is told.
    """
    if task.cancelled() or task.exception() is None:
        return
    logger.error('loop_failed', exc_info=task.exception())
