"""Carrying out of one publication against the platform."""

from __future__ import annotations

import asyncio
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application.configuration import (
    pulling as configuration_pulling,
)
from thornspool.domain.configuration import contents as whole
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import publishing
from thornspool.domain.configuration import storage

if typing.TYPE_CHECKING:
    import random

    from thornspool import clock as clocks
    from thornspool.application.configuration import (
        store as configuration_store,
    )

PARALLEL_WRITES = 8
PAUSE_MS = 150

logger = structlog.get_logger(__name__)


class Publisher:
    """Writer of publications, one after the other.

    Publications that come in at one entry at the same time wait for each
    other, since they could only make each other's compare-and-swap fail.

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
    conflicts : callable
        The conflict relation.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        platform: ports.Platform,
        puller: configuration_pulling.Puller,
        store: configuration_store.Store,
        rng: random.Random,
        conflicts: publications.FindConflicts,
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._puller = puller
        self._store = store
        self._rng = rng
        self._conflicts = conflicts
        self._turn = asyncio.Lock()
        self._emptying: set[asyncio.Task[None]] = set()

    async def decide(
        self, publication: publications.Publication, timeout_ms: int
    ) -> publishing.Outcome:
        """Publish until the outcome is known or time is up.

        Parameters
        ----------
        publication : Publication
            What to publish.
        timeout_ms : int
            Longest time for it.
        """
        run = _Run(publishing.Progress(publication, self._conflicts))
        try:
            async with asyncio.timeout(timeout_ms / 1000), self._turn:
                finish = await self._run(run)
        except TimeoutError:
            return publishing.give_up(run.progress, run.reason)
        self._apply_own(run.progress, finish.outcome)
        self._start_emptying(finish.garbage)
        return finish.outcome

    async def plan(
        self, publication: publications.Publication
    ) -> publications.Planned:
        """Say what a publication would come to, and write nothing.

        Raises
        ------
        PlatformError, PullFailed
            If the latest version cannot be read.
        """
        await self._read_contents()
        return publications.plan_publication(
            self._store.contents,
            publication,
            self._clock.wall(),
            self._conflicts,
        )

    def stop(self) -> None:
        """Give up what still runs in the background."""
        for task in self._emptying:
            task.cancel()

    async def _run(self, run: _Run) -> publishing.Finish:
        command: publishing.Command = publishing.ReadHead()
        while not isinstance(command, publishing.Finish):
            event = await self._carry_out(run, command)
            run.progress, command = publishing.decide(run.progress, event)
        return command

    async def _carry_out(
        self, run: _Run, command: publishing.Command
    ) -> publishing.Event:
        try:
            match command:
                case publishing.ReadHead(pause=pause):
                    return await self._read_head(pause)
                case publishing.WriteBuckets(values=values):
                    return await self._write_buckets(values)
                case publishing.WriteHead():
                    return await self._write_head(command)
        except exceptions.ApplicationError as error:
            run.reason = error.message
        return publishing.StepFailed()

    async def _read_head(self, pause: bool) -> publishing.Event:
        if pause:
            await self._pause()
        version = await self._read_contents()
        return publishing.HeadRead(
            self._store.contents, version, self._clock.wall()
        )

    async def _read_contents(self) -> int:
        """Bring the store up to the platform's head.

        Returns
        -------
        int
            The platform's version of the head.

        Raises
        ------
        PlatformError, PullFailed
            If it cannot be read, or what was read is older than the store,
            which would make a plan on a version that has passed.
        """
        answer = await self._puller.read_platform_head()
        await self._puller.adopt(answer.value)
        head = heads.decode_head(answer.value)
        if head.version != self._store.version:
            raise configuration_pulling.PullFailed(
                f'The platform answered with version {head.version}, and '
                f'version {self._store.version} is in force.',
                'Publish again with the same id.',
            )
        return answer.version

    async def _write_buckets(
        self, values: dict[str, bytes]
    ) -> publishing.Event:
        gate = asyncio.Semaphore(PARALLEL_WRITES)

        async def write(digest: str, value: bytes) -> bool:
            async with gate:
                return await self._write_bucket(digest, value)

        written = await asyncio.gather(
            *(write(digest, value) for digest, value in values.items())
        )
        if all(written):
            return publishing.BucketsWritten()
        return publishing.StepFailed()

    async def _write_bucket(self, digest: str, value: bytes) -> bool:
        """Write a bucket unless it is there; tell whether it is.

        A head that refers to a bucket which is not there could not be
        pulled by anyone, so a lost answer counts as not written.
        """
        key = storage.format_bucket_key(digest)
        result = await self._platform.put(key, value, 0)
        if isinstance(result, ports.WriteDone):
            return True
        answer = await self._platform.get(key)
        return answer.value == value

    async def _write_head(
        self, command: publishing.WriteHead
    ) -> publishing.Event:
        if command.pause:
            await self._pause()
        result = await self._platform.put(
            heads.HEAD_KEY, command.value, command.expected_version
        )
        if isinstance(result, ports.WriteDone):
            return publishing.HeadWritten()
        return publishing.HeadOpen()

    async def _pause(self) -> None:
        await asyncio.sleep(PAUSE_MS * self._rng.uniform(0.5, 1.5) / 1000)

    def _apply_own(
        self, progress: publishing.Progress, outcome: publishing.Outcome
    ) -> None:
        """Put an accepted plan in force without reading it back."""
        attempt = progress.attempt
        if attempt is None or not isinstance(outcome, publishing.Confirmed):
            return
        head = attempt.plan.head
        if self._store.version != head.version - 1:
            return
        self._store.apply(
            whole.advance_contents(
                self._store.contents, head, attempt.plan.values
            )
        )

    def _start_emptying(self, digests: tuple[str, ...]) -> None:
        if not digests:
            return
        task = asyncio.create_task(self._empty_buckets(digests))
        self._emptying.add(task)
        task.add_done_callback(self._emptying.discard)

    async def _empty_buckets(self, digests: tuple[str, ...]) -> None:
        """Free the space of buckets that nothing will refer to again.

        If it fails, some kilobytes stay in the platform; nothing else.
        """
        for digest in digests:
            key = storage.format_bucket_key(digest)
            try:
                answer = await self._platform.get(key)
                if answer.value:
                    await self._platform.put(key, b'', answer.version)
            except exceptions.PlatformError:
                logger.info('configuration_bucket_kept', digest=digest)


@attrs.define
class _Run:
    """State of a publication, kept for when its time is up."""

    progress: publishing.Progress
    reason: str = 'Time was up.'
