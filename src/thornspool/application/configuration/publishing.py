"""Execution of publications against the platform."""

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
from thornspool.domain.configuration import contents as contents_module
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

MAX_CONCURRENT_WRITES = 8
RETRY_DELAY_MS = 150

logger = structlog.get_logger(__name__)


class Publisher:
    """Publishes one publication at a time.

    Concurrent publications at one entry are serialized, because they would
    only make each other's compare-and-swap fail.

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
    conflicts : callable
        Returns the documents of a publication that are in conflict.
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
        self._lock = asyncio.Lock()
        self._cleanup_tasks: set[asyncio.Task[None]] = set()

    async def publish(
        self, publication: publications.Publication, timeout_ms: int
    ) -> publishing.Outcome:
        """Publish until the outcome is known or the timeout expires.

        Parameters
        ----------
        publication : Publication
            Publication to be accepted.
        timeout_ms : int
            Timeout in milliseconds, including the wait for other
            publications at this entry.

        Returns
        -------
        Confirmed, Conflict, Invalid or Undecided
            Outcome of the publication.
        """
        run = _PublicationRun(
            publishing.Progress(publication, self._conflicts)
        )
        try:
            async with asyncio.timeout(timeout_ms / 1000), self._lock:
                finish = await self._execute_commands(run)
        except TimeoutError:
            return publishing.expire(run.progress, run.reason)
        self._apply_locally(run.progress, finish.outcome)
        self._start_cleanup(finish.garbage)
        return finish.outcome

    async def plan(
        self, publication: publications.Publication
    ) -> publications.PlanResult:
        """Plan a publication on the latest version without writing it.

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
        """Cancel the background cleanup of buckets."""
        for task in self._cleanup_tasks:
            task.cancel()

    async def _execute_commands(
        self, run: _PublicationRun
    ) -> publishing.Finish:
        command: publishing.Command = publishing.ReadHead()
        while not isinstance(command, publishing.Finish):
            event = await self._execute(run, command)
            run.progress, command = publishing.decide(run.progress, event)
        return command

    async def _execute(
        self, run: _PublicationRun, command: publishing.Command
    ) -> publishing.Event:
        try:
            match command:
                case publishing.ReadHead(delayed=delayed):
                    return await self._read_head(delayed)
                case publishing.WriteBuckets(values=values):
                    return await self._write_buckets(values)
                case publishing.WriteHead():
                    return await self._write_head(command)
        except exceptions.ApplicationError as error:
            run.reason = error.message
        return publishing.StepFailed()

    async def _read_head(self, delayed: bool) -> publishing.Event:
        if delayed:
            await self._delay()
        version = await self._read_contents()
        return publishing.HeadRead(
            self._store.contents, version, self._clock.wall()
        )

    async def _read_contents(self) -> int:
        """Update the store to the platform's head.

        Returns
        -------
        int
            Platform version of the head.

        Raises
        ------
        PlatformError
            If the head cannot be read.
        PullFailed
            If its buckets cannot be pulled, or it is older than the store's
            version, so that a plan would be based on an outdated version.
        """
        stored = await self._puller.read_platform_head()
        await self._puller.apply_head(stored.value)
        head = heads.decode_head(stored.value)
        if head.version != self._store.version:
            raise configuration_pulling.PullFailed(
                f'The platform returned version {head.version}, but '
                f'version {self._store.version} is in force.',
                'Publish again with the same id.',
            )
        return stored.version

    async def _write_buckets(
        self, values: dict[str, bytes]
    ) -> publishing.Event:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_WRITES)

        async def write(digest: str, value: bytes) -> bool:
            async with semaphore:
                return await self._write_bucket(digest, value)

        written = await asyncio.gather(
            *(write(digest, value) for digest, value in values.items())
        )
        if all(written):
            return publishing.BucketsWritten()
        return publishing.StepFailed()

    async def _write_bucket(self, digest: str, value: bytes) -> bool:
        """Write a bucket unless it exists; return whether it is stored.

        No entry could pull a head that refers to a missing bucket, so a
        write without a response counts only if a read finds the bucket.
        """
        key = storage.format_bucket_key(digest)
        result = await self._platform.put(key, value, 0)
        if isinstance(result, ports.WriteDone):
            return True
        stored = await self._platform.get(key)
        return stored.value == value

    async def _write_head(
        self, command: publishing.WriteHead
    ) -> publishing.Event:
        if command.delayed:
            await self._delay()
        result = await self._platform.put(
            heads.HEAD_KEY, command.value, command.expected_version
        )
        if isinstance(result, ports.WriteDone):
            return publishing.HeadWritten()
        return publishing.HeadUnconfirmed()

    async def _delay(self) -> None:
        await asyncio.sleep(
            RETRY_DELAY_MS * self._rng.uniform(0.5, 1.5) / 1000
        )

    def _apply_locally(
        self, progress: publishing.Progress, outcome: publishing.Outcome
    ) -> None:
        """Apply an accepted plan to the store without reading it back."""
        attempt = progress.attempt
        if attempt is None or not isinstance(outcome, publishing.Confirmed):
            return
        head = attempt.plan.head
        if self._store.version != head.version - 1:
            return
        self._store.apply(
            contents_module.advance_contents(
                self._store.contents, head, attempt.plan.values
            )
        )

    def _start_cleanup(self, digests: tuple[str, ...]) -> None:
        if not digests:
            return
        task = asyncio.create_task(self._clear_buckets(digests))
        self._cleanup_tasks.add(task)
        task.add_done_callback(self._cleanup_tasks.discard)

    async def _clear_buckets(self, digests: tuple[str, ...]) -> None:
        """Clear buckets that no version will refer to again.

        A failure only leaves some kilobytes of unused data in the platform.
        """
        for digest in digests:
            key = storage.format_bucket_key(digest)
            try:
                stored = await self._platform.get(key)
                if stored.value:
                    await self._platform.put(key, b'', stored.version)
            except exceptions.PlatformError:
                logger.info('configuration_bucket_kept', digest=digest)


@attrs.define
class _PublicationRun:
    """State of a publication, from which a timeout builds the outcome."""

    progress: publishing.Progress
    reason: str = 'The publication timed out.'
