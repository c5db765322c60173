"""Following of the latest version by watch, by hints and by asking."""

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
    """Times of the configuration service, in milliseconds.

    Attributes
    ----------
    decide : int
        Longest time until a publication's outcome is told.
    in_force : int
        Longest wait for all entries to report an accepted version.
    report_interval : int
        Time between two looks at what they report.
    ask_interval : int
        Time between two rounds of asking those that do not report yet.
    watch : int
        Longest wait of one watch at the platform.
    backoff, backoff_limit : int
        First and longest pause after the platform failed.
    hint_delay : int
        Longest wait before a peer is asked for a version that it was heard
        to have; usually the watch has brought it by then.
    probe_interval : int
        Time between two looks whether a peer has to be asked.
    probe_after : int
        Silence after which a peer is asked.
    isolation : int
        Silence after which this entry counts as isolated.
    """

    decide: int = 10_000
    in_force: int = 4_000
    report_interval: int = 100
    ask_interval: int = 500
    watch: int = 20_000
    backoff: int = 200
    backoff_limit: int = 5_000
    hint_delay: int = 200
    probe_interval: int = 500
    probe_after: int = 2_000
    isolation: int = 5_000


class Follower:
    """Keeper of an entry's configuration at the latest version.

    Parameters
    ----------
    clock : Clock
        Source of time.
    platform : Platform
        Where versions are accepted.
    puller : Puller
        Reader of configuration.
    store : Store
        The version in force here.
    rng : random.Random
        For the length of pauses.
    timing : Timing
        Times to keep.
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
        self._heard: dict[str, int] = {}
        self._hint = asyncio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            for loop in (self._watch, self._follow_hints, self._keep_contact):
                group.create_task(self._keep_running(loop))

    async def _keep_running(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Begin a loop again when an error that nobody expected ends it.

        The entry would otherwise go on serving the version it has, and
        publishers would see it as a straggler until somebody restarts it.
        """
        while True:
            try:
                await loop()
            except Exception:
                logger.exception('configuration_loop_failed')
            await asyncio.sleep(self._timing.backoff / 1000)

    def hear_version(self, peer_address: str, version: int) -> None:
        """Note the version that a peer says is in force there."""
        if version <= self._store.version:
            return
        self._heard[peer_address] = version
        self._hint.set()

    async def _watch(self) -> None:
        """Wait at the platform for the next head, again and again."""
        while True:
            try:
                seen = await self._platform.watch(
                    heads.HEAD_KEY, self._platform_version, self._timing.watch
                )
                self._puller.note_answer()
                if seen is not None:
                    await self._puller.adopt(seen.value)
                    self._platform_version = seen.version
                    self._puller.note_current()
            except exceptions.ApplicationError as error:
                await self._back_off(error)
            else:
                self._failures = 0

    async def _back_off(self, error: exceptions.ApplicationError) -> None:
        logger.info('configuration_watch_failed', reason=str(error))
        pause = min(
            self._timing.backoff << min(self._failures, 16),
            self._timing.backoff_limit,
        )
        self._failures += 1
        await asyncio.sleep(pause * self._rng.uniform(0.5, 1) / 1000)

    async def _follow_hints(self) -> None:
        """Pull versions that peers were heard to have.

        A hint is dropped after one try; every later message of the peer
        carries its version again.
        """
        while True:
            await self._hint.wait()
            delay = self._rng.uniform(0, self._timing.hint_delay)
            await asyncio.sleep(delay / 1000)
            # Cleared where the hints are taken: one that came during the
            # pause is among them and must not wake the loop again.
            self._hint.clear()
            heard, self._heard = self._heard, {}
            address = max(heard, key=heard.__getitem__)
            if heard[address] > self._store.version:
                await self._ask(address)

    async def _keep_contact(self) -> None:
        """Ask a peer, or else the platform, when nobody has answered.

        The watch alone cannot tell a platform that has no news from one
        that is gone, and it ends for as long as the platform is down.
        """
        while True:
            if self._is_silent() and not await self._ask(''):
                with contextlib.suppress(exceptions.ApplicationError):
                    await self._puller.follow_platform()
            await asyncio.sleep(self._timing.probe_interval / 1000)

    def _is_silent(self) -> bool:
        last = self._puller.last_contact
        if last is None:
            return True
        return self._clock.now() - last >= self._timing.probe_after

    async def _ask(self, address: str) -> bool:
        """Ask one peer, or any; tell whether it went well."""
        try:
            if address:
                await self._puller.ask_peer(address)
            else:
                await self._puller.ask_any_peer()
        except exceptions.ApplicationError as error:
            logger.debug('configuration_ask_failed', reason=str(error))
            return False
        return True
