"""An entry of the router: its listeners, background loops and lifecycle."""

from __future__ import annotations

import asyncio
import contextlib
import typing
from urllib import parse

import attrs
import structlog
from tornado import web

from thornspool import composition
from thornspool import identifiers
from thornspool import metrics as metrics_module
from thornspool import state_metrics
from thornspool.adapters import connections
from thornspool.adapters import problems
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
from thornspool.domain.clients import limits
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
"""Types of replies, which no message handler registers with the codec."""

OPERATOR_SHARE = 0.1
"""Share of all connections that operators and scrapes may have open."""

OUTCOME_TIMEOUT_MS = 10_000
"""Time to record the outcomes of actions during a drain."""

logger = structlog.get_logger(__name__)


@attrs.frozen
class Addresses:
    """Addresses that an entry listens on.

    Attributes
    ----------
    callers, operators : str
        URLs of the interfaces for callers and operators.
    peers : str
        ``tcp://ip:port`` that is bound for messages from other entries.
    incarnation : str
        Name of this process, unique to each start.
    """

    callers: str
    operators: str
    peers: str
    incarnation: str


class Entry:
    """One process of the router.

    Parameters
    ----------
    settings : settings_module.Settings
        Validated settings.
    clock : clock_module.Clock
        Source of time.
    random_source : random.Random
        Source of every random choice.
    request_stop : callable
        Called when an operator requests a drain.
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
        """Bind the listeners, join the other entries and start the loops.

        Returns
        -------
        Addresses
            Addresses that the entry listens on, with the ports that the
            system chose for port 0.

        Raises
        ------
        servers.ListenError, node.PeersError
            If an address can't be bound.
        """
        settings = self._settings
        self._connections = connections.ConnectionManager(
            self._clock,
            limits.compute_capacity(
                settings.host_limits.memory_mb,
                limits.find_descriptors(settings.host_limits.descriptors),
            ),
        )
        self._caller_listener = servers.Listener(
            settings.callers.listen,
            settings.callers.tls,
            settings.callers.body_limit_bytes,
            manager=self._connections,
            format_refusal=problems.format_refusal,
        )
        self._operator_listener = servers.Listener(
            settings.operators.listen,
            settings.operators.tls,
            name='operators',
            manager=self._connections,
            share=OPERATOR_SHARE,
            format_refusal=problems.format_refusal,
        )
        incarnation = f'{settings.host}-{self._make_identifier()}'
        self._peers = node.PeerNode(
            self._clock,
            incarnation,
            f'tcp://{settings.peers.listen}',
            REPLY_TYPES,
            advertised_address=_format_advertised_address(settings.peers),
        )
        addresses = Addresses(
            self._caller_listener.read_url(),
            self._operator_listener.read_url(),
            await self._peers.start(),
            incarnation,
        )
        self._metrics = metrics_module.Metrics()
        dependencies = self._build_dependencies(addresses)
        self._services = composition.EntryServices(dependencies)
        self._create_outage_service(dependencies)
        state_metrics.add_state_metrics(
            self._metrics,
            self._clock,
            self._services,
            dependencies.platform,
            self._peers.traffic,
        )
        state_metrics.add_client_metrics(self._metrics, self._connections)
        self._start_listeners()
        await self._services.members.start(settings.peers.seeds)
        await self._services.targets.start()
        self._start_loop(self._services.configuration.run())
        self._start_loop(self._services.admission.run())
        self._start_loop(self._services.quarantine.run())
        return addresses

    async def stop(self) -> None:
        """Reject new requests, complete those in flight and shut down.

        Callers that still use this address are referred to other entries
        during the drain. Outcomes of actions are recorded before the
        departure of this process is announced, since only this process can
        record them.
        """
        self._services.drain.begin()
        self._caller_listener.disable_keep_alive()
        await self._services.drain.wait_drained()
        if not await self._services.actions.drain(OUTCOME_TIMEOUT_MS):
            logger.warning('outcomes_not_recorded')
        await self._services.generation.close()
        await self._caller_listener.stop()
        await self._operator_listener.stop()
        await self._services.targets.stop()
        await self._services.members.stop()
        if self._outages is not None:
            await self._outages.stop()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._peers.stop()
        await self._services.close()

    def _build_dependencies(
        self, addresses: Addresses
    ) -> composition.Dependencies:
        """Build the dependencies of the services of this entry."""
        settings = self._settings
        local_member = ports.Member(
            incarnation=addresses.incarnation,
            host=settings.host,
            failure_domain=settings.failure_domain,
            region=settings.region,
            peer_address=self._peers.address,
            caller_url=addresses.callers,
        )
        return composition.Dependencies(
            self._clock,
            self._random,
            self._create_platform_client(),
            self._peers,
            local_member,
            self._metrics,
        )

    def _start_listeners(self) -> None:
        """Start to serve callers and operators."""
        self._caller_listener.start(
            caller_routes.make_application(
                context.CallerContext(
                    requests=self._services.build_intake(
                        self._list_alternatives
                    ),
                    list_entries=self._services.members.list_entries,
                    make_request_id=self._make_identifier,
                    is_ready=self._services.is_ready,
                )
            )
        )
        routes = operator_handlers.make_handlers(
            self._clock,
            self._services.configuration,
            self._services.members,
            self._settings.operators.tokens,
            self._request_drain,
            self._services.actions.look_up,
            self._services.objectives.report,
        )
        self._operator_listener.start(
            web.Application(
                [scrapes.make_route(self._metrics), *routes],
                log_function=lambda handler: None,
            )
        )

    def _start_loop(
        self, loop: Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Start a background loop, which runs until the entry stops."""
        task = asyncio.get_running_loop().create_task(loop)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)

    def _create_platform_client(self) -> ports.Platform:
        """Create the client of the platform that is configured."""
        if self._settings.platform.kind == 'memory':
            return memory.MemoryPlatform(self._clock)
        address = parse.urlsplit(self._settings.platform.url).netloc
        return store_client.StorePlatform(
            store_client.StoreSettings(address),
            self._clock,
            self._random.random,
        )

    def _create_outage_service(
        self, dependencies: composition.Dependencies
    ) -> None:
        """Create the service that announces the end of platform outages."""
        if not isinstance(dependencies.platform, store_client.StorePlatform):
            return
        self._outages = outages.OutageService(
            self._clock,
            dependencies.platform,
            dependencies.peers,
            self._services.members,
            dependencies.local_member.incarnation,
            self._random,
            self._services.actions.record_platform_recovery,
        )

    def _make_identifier(self) -> str:
        """Create a time-ordered identifier."""
        random_bits = self._random.getrandbits(74)
        return str(identifiers.make_uuid7(self._clock.wall(), random_bits))

    def _list_alternatives(self) -> tuple[str, ...]:
        """Return the caller URLs of the other entries."""
        local_url = self._caller_listener.read_url()
        listed = self._services.members.list_entries().entries
        return tuple(entry.url for entry in listed if entry.url != local_url)

    async def _request_drain(self) -> None:
        """Start the drain that an operator requested."""
        self._request_stop()


def _format_advertised_address(peers: settings_module.Peers) -> str:
    """Return the address to announce to peers; empty for the bound one."""
    return f'tcp://{peers.advertise}' if peers.advertise else ''


def _log_failure(task: asyncio.Task[typing.Any]) -> None:
    """Log the exception that ended a background loop.

    Without this log line, an entry whose configuration loop failed, for
    example, would serve an outdated version unnoticed.
    """
    if task.cancelled() or task.exception() is None:
        return
    logger.error('loop_failed', exc_info=task.exception())
