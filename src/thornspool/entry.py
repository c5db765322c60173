"""Puts the parts of one entry together, starts them and drains them."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import structlog
from tornado import web

from thornspool import identifiers
from thornspool import metrics as metrics_module
from thornspool.adapters import servers
from thornspool.adapters.callers import context
from thornspool.adapters.callers import routes as caller_routes
from thornspool.adapters.operators import handlers as operator_handlers
from thornspool.adapters.operators import scrapes
from thornspool.adapters.peers import node
from thornspool.adapters.platform import http as http_platform
from thornspool.adapters.platform import memory
from thornspool.adapters.targets import engines
from thornspool.adapters.targets import services
from thornspool.application import actions
from thornspool.application import admission
from thornspool.application import calls
from thornspool.application import configuration
from thornspool.application import gates
from thornspool.application import generation
from thornspool.application import generation_attempts
from thornspool.application import generation_planning
from thornspool.application import intake
from thornspool.application import membership
from thornspool.application import objectives
from thornspool.application import ports
from thornspool.domain.actions import messages as action_messages
from thornspool.domain.configuration import messages as configuration_messages
from thornspool.domain.limits import messages as limit_messages
from thornspool.domain.retries import budget
from thornspool.domain.targets import messages as target_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    import random

    from thornspool import clock as clock_module
    from thornspool import settings as settings_module
    from thornspool.domain.configuration import documents

MESSAGE_TYPES = (
    *action_messages.MESSAGE_TYPES,
    configuration_messages.HeadReply,
    configuration_messages.BucketReply,
    limit_messages.GrantReply,
    objectives.CountsReply,
)

logger = structlog.get_logger(__name__)


@attrs.frozen
class Addresses:
    """Where an entry listens.

    Attributes
    ----------
    callers, operators : str
        URLs.
    peers : str
        ``tcp://ip:port``.
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
        self.metrics = metrics_module.Metrics()

    async def start(self) -> Addresses:
        """Listen, join the other entries and take the configuration.

        Returns
        -------
        Addresses
            Where the entry listens, with the ports that were chosen.
        """
        settings = self._settings
        self._callers = servers.Listener(
            settings.callers.listen,
            settings.callers.tls,
            settings.callers.body_limit_bytes,
        )
        self._operators = servers.Listener(
            settings.operators.listen, settings.operators.tls
        )
        incarnation = f'{settings.host}-{self._make_identifier()}'
        self._peers = node.PeerNode(
            self._clock,
            incarnation,
            f'tcp://{settings.peers.listen}',
            MESSAGE_TYPES,
        )
        addresses = Addresses(
            self._callers.read_url(),
            self._operators.read_url(),
            await self._peers.start(),
            incarnation,
        )
        self._build(addresses)
        self._answer()
        await self._members.start(settings.peers.seeds)
        self._run(self._configuration.run())
        self._run(self._admission.run())
        return addresses

    async def stop(self) -> None:
        """Drain: take no new work, finish what is in flight, then close."""
        self._members.announce_leaving()
        await self._generation.close()
        await self._actions.drain(60_000)
        await self._members.stop()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._callers.stop()
        await self._operators.stop()
        await self._peers.stop()

    def _build(self, addresses: Addresses) -> None:
        """Build the use cases, from the platform outwards."""
        settings, clock = self._settings, self._clock
        self._own = ports.Member(
            incarnation=addresses.incarnation,
            host=settings.host,
            failure_domain=settings.failure_domain,
            region=settings.region,
            peer_address=addresses.peers,
            caller_url=addresses.callers,
        )
        self._platform = self._make_platform()
        self._members = membership.MembershipService(
            clock,
            self._peers,
            self._platform,
            self._own,
            self._random,
            lambda: self._configuration.version(),
            lambda address, version: self._configuration.hear_version(
                address, version
            ),
        )
        self._configuration = configuration.ConfigurationService(
            clock,
            self._platform,
            self._peers,
            self._members,
            addresses.incarnation,
            self._random,
        )
        self._objectives = objectives.ObjectiveService(
            clock,
            self._configuration.snapshot,
            self._peers,
            self._members,
            addresses.incarnation,
        )
        self._admission = admission.AdmissionService(
            self._configuration.snapshot,
            self._members,
            addresses.incarnation,
            self._peers,
            clock,
            self._random.random,
        )
        self._targets = _ConfiguredTargets(self._configuration.snapshot)
        self._build_runners()

    def _build_runners(self) -> None:
        """Build what runs requests."""
        clock, snapshot = self._clock, self._configuration.snapshot
        self._budgets: dict[str, budget.RetryBudget] = {}
        plain_services = services.HttpServices()
        self._actions = actions.ActionService(
            clock,
            self._platform,
            self._peers,
            plain_services,
            self._members,
            self._own,
            self._random,
        )
        self._calls = calls.CallService(
            clock,
            plain_services,
            self._targets,
            self._random,
            self._take_retry,
            lambda name: self._find_budget(name).record_success(clock.now()),
            lambda target, reason: None,
        )
        self._generation = generation.GenerationService(
            clock,
            engines.CurlEngines(),
            generation_planning.Planning(
                self._settings.host, snapshot, self._targets, self._random
            ),
            generation_attempts.Hooks(
                take_retry=lambda: self._take_retry('generation')
            ),
        )

    def _answer(self) -> None:
        """Start to answer callers and operators."""
        taking = intake.Intake(
            self._clock,
            self._configuration.snapshot,
            intake.Gates(
                admit=gates.Gatekeeper(self._clock, self._admission).admit,
                is_accepting=lambda: True,
                is_isolated=lambda: self._configuration.is_isolated(
                    self._clock.now()
                ),
                list_instead=self._list_others,
            ),
            intake.Runners(self._actions, self._calls, self._generation),
            contextlib.nullcontext,
            self.metrics,
            self._objectives,
        )
        self._callers.start(
            caller_routes.make_application(
                context.CallerContext(
                    requests=taking,
                    list_entries=self._members.list_entries,
                    make_request_id=self._make_identifier,
                    is_ready=lambda: self._configuration.version() > 0,
                )
            )
        )
        self._operators.start(
            web.Application(
                [
                    scrapes.make_route(self.metrics),
                    *operator_handlers.make_handlers(
                        self._clock,
                        self._configuration,
                        self._members,
                        self._settings.operators.tokens,
                        self._begin_drain,
                        self._actions.look_up,
                        self._objectives.report,
                    ),
                ],
                log_function=lambda handler: None,
            )
        )

    def _run(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a loop of the entry until it stops."""
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _make_platform(self) -> ports.Platform:
        """Make the client of the platform that the settings name."""
        if self._settings.platform.kind == 'memory':
            return memory.MemoryPlatform(self._clock)
        return http_platform.HttpPlatform(
            http_platform.PlatformSettings(self._settings.platform.url),
            self._clock,
            self._random.random,
        )

    def _make_identifier(self) -> str:
        """Make an identifier that carries its time."""
        bits = self._random.getrandbits(74)
        return str(identifiers.make_uuid7(self._clock.wall(), bits))

    def _find_budget(self, name: str) -> budget.RetryBudget:
        """Return the retry budget of a target group."""
        found = self._budgets.get(name)
        if found is None:
            found = budget.build_budget(self._clock.now())
            self._budgets[name] = found
        return found

    def _take_retry(self, name: str) -> bool:
        """Take one retry from a budget and count it."""
        taken = self._find_budget(name).spend(self._clock.now())
        self.metrics.count_event('retry' if taken else 'retry_refused')
        return taken

    def _list_others(self) -> tuple[str, ...]:
        """Return the URLs of entries to use instead of this one."""
        own = self._callers.read_url()
        listed = self._members.list_entries().entries
        return tuple(one.url for one in listed if one.url != own)

    async def _begin_drain(self) -> None:
        """Start the drain that an operator asked for."""
        self._request_stop()


class _ConfiguredTargets:
    """Readiness as the configuration says it."""

    def __init__(self, snapshot: Callable[[], documents.Snapshot]) -> None:
        self._snapshot = snapshot

    def read_readiness(self, target: str) -> target_messages.Readiness:
        """Return whether a target may be given new work."""
        found = self._snapshot().targets.get(target)
        if found is None or found.leaving:
            return target_messages.Readiness.LEAVING
        return target_messages.Readiness.READY

    def read_load(self, target: str) -> target_messages.LoadReport | None:
        """Return nothing: no load is read yet."""
        return None
