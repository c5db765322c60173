"""Replication of the latest version of the configuration to an entry.

An entry watches the platform, pulls versions that peers report, and polls a
peer or the platform when no source confirmed its version recently.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.domain.configuration import head as heads

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from thornspool import clock as clocks
    from thornspool.application import ports
    from thornspool.application.configuration import (
        pulling as configuration_pulling,
    )
    from thornspool.application.configuration import (
        store as configuration_store,
    )

logger = structlog.get_logger(__name__)


@attrs.frozen
class Timing:
    """Timeouts and intervals of the configuration service, in milliseconds.

    Attributes
    ----------
    decision_timeout_ms : int
        Maximum time until the outcome of a publication is returned.
    in_force_timeout_ms : int
        Maximum time to wait until all entries report an accepted version.
    report_interval_ms : int
        Time between two checks of the reported versions.
    poll_interval_ms : int
        Time between two polls of entries that do not report the version.
    watch_timeout_ms : int
        Maximum duration of one watch request to the platform.
    backoff_ms, backoff_limit_ms : int
        Initial and maximum delay after a failure of the platform.
    pull_delay_ms : int
        Maximum delay before a version that a peer reported is pulled from
        it; the watch usually delivers the version earlier.
    contact_check_interval_ms : int
        Time between two checks of the time since the last contact.
    contact_timeout_ms : int
        Time since the last contact after which a peer is polled.
    isolation_timeout_ms : int
        Time since the last contact after which this entry is isolated.
    """

    decision_timeout_ms: int = 10_000
    in_force_timeout_ms: int = 4_000
    report_interval_ms: int = 100
    poll_interval_ms: int = 500
    watch_timeout_ms: int = 20_000
    backoff_ms: int = 200
    backoff_limit_ms: int = 5_000
    pull_delay_ms: int = 200
    contact_check_interval_ms: int = 500
    contact_timeout_ms: int = 2_000
    isolation_timeout_ms: int = 5_000


class Follower:
    """Background loops that keep an entry at the latest version.

    Parameters
    ----------
    clock : Clock
        Source of time.
    platform : Platform
        Store of the accepted versions.
    puller : Puller
        Pulls versions from peers and the platform.
    store : Store
        Holds the version in force at this entry.
    rng : random.Random
        Source of jitter for the delays.
    timing : Timing
        Timeouts and intervals.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        platform: ports.Platform,
        puller: configuration_pulling.Puller,
        store: configuration_store.Store,
        rng: random.Random,
        timing: Timing,
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._puller = puller
        self._store = store
        self._rng = rng
        self._timing = timing
        self._platform_version = 0
        self._failures = 0
        self._reported_versions: dict[str, int] = {}
        self._version_reported = asyncio.Event()

    async def run(self) -> None:
        """Run the loops until cancelled."""
        async with asyncio.TaskGroup() as task_group:
            for loop in (
                self._watch,
                self._pull_reported_versions,
                self._maintain_contact,
            ):
                task_group.create_task(self._restart_on_error(loop))

    async def _restart_on_error(
        self, loop: Callable[[], Awaitable[None]]
    ) -> None:
        """Restart a loop after an unexpected error.

        Otherwise the entry would keep its current version, and publishers
        would see it as a straggler until it is restarted.
        """
        while True:
            try:
                await loop()
            except Exception:
                logger.exception('configuration_loop_failed')
            await asyncio.sleep(self._timing.backoff_ms / 1000)

    def record_reported_version(self, peer_address: str, version: int) -> None:
        """Record a version that a peer reports, to be pulled if later."""
        if version <= self._store.version:
            return
        self._reported_versions[peer_address] = version
        self._version_reported.set()

    async def _watch(self) -> None:
        """Watch the platform for new heads and apply them."""
        while True:
            try:
                stored = await self._platform.watch(
                    heads.HEAD_KEY,
                    self._platform_version,
                    self._timing.watch_timeout_ms,
                )
                self._puller.record_response()
                if stored is not None:
                    await self._puller.apply_head(stored.value)
                    self._platform_version = stored.version
                    self._puller.record_current()
            except exceptions.ApplicationError as error:
                await self._back_off(error)
            else:
                self._failures = 0

    async def _back_off(self, error: exceptions.ApplicationError) -> None:
        logger.info('configuration_watch_failed', reason=str(error))
        delay_ms = min(
            self._timing.backoff_ms << min(self._failures, 16),
            self._timing.backoff_limit_ms,
        )
        self._failures += 1
        await asyncio.sleep(delay_ms * self._rng.uniform(0.5, 1) / 1000)

    async def _pull_reported_versions(self) -> None:
        """Pull versions that peers reported.

        A reported version is dropped after one attempt, because every later
        message of the peer contains its version again.
        """
        while True:
            await self._version_reported.wait()
            delay = self._rng.uniform(0, self._timing.pull_delay_ms)
            await asyncio.sleep(delay / 1000)
            # Clear the event together with the reported versions: one that
            # arrived during the delay is handled below and must not wake
            # the loop again, which would find no version to pull.
            self._version_reported.clear()
            reported, self._reported_versions = self._reported_versions, {}
            address = max(reported, key=reported.__getitem__)
            if reported[address] > self._store.version:
                await self._sync_with_peer(address)

    async def _maintain_contact(self) -> None:
        """Poll a peer, then the platform, when the last contact is overdue.

        A watch without a result does not show whether the platform has no
        new version or is unreachable, and watches fail during an outage.
        """
        while True:
            if self._is_contact_overdue() and not await self._sync_with_peer(
                ''
            ):
                with contextlib.suppress(exceptions.ApplicationError):
                    await self._puller.sync_with_platform()
            await asyncio.sleep(self._timing.contact_check_interval_ms / 1000)

    def _is_contact_overdue(self) -> bool:
        last = self._puller.last_contact
        if last is None:
            return True
        return self._clock.now() - last >= self._timing.contact_timeout_ms

    async def _sync_with_peer(self, address: str) -> bool:
        """Synchronize with a peer, a random one if the address is empty.

        Returns
        -------
        bool
            Whether it succeeded.
        """
        try:
            if address:
                await self._puller.sync_with_peer(address)
            else:
                await self._puller.sync_with_any_peer()
        except exceptions.ApplicationError as error:
            logger.debug('configuration_ask_failed', reason=str(error))
            return False
        return True
