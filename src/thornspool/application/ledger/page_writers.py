"""The writers of ledger pages on this entry, with platform calls."""

from __future__ import annotations

import asyncio
import collections
import itertools
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.actions import breaker
from thornspool.domain.actions import exceptions as actions_exceptions
from thornspool.domain.actions import keys
from thornspool.domain.actions import messages
from thornspool.domain.actions import pages
from thornspool.domain.actions import records
from thornspool.domain.actions import writer

if typing.TYPE_CHECKING:
    from collections.abc import Coroutine

    from thornspool import clock

logger = structlog.get_logger(__name__)

_MALFORMED_WAIT_MS = 5_000


@attrs.define
class _OpenPage:
    """A page writer with the futures of its open proposals."""

    address: keys.PageAddress
    writer: writer.PageWriter
    replies: dict[int, asyncio.Future[messages.Verdict]] = attrs.field(
        factory=dict
    )


class Ledger:
    """Writers of the ledger pages on this entry, with a limit on idle ones.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    platform : ports.Platform
        The platform's key-value service.
    layout : keys.Layout
        Dimensions of the ring of pages.
    limits : writer.WriteLimits
        Limits on the writes of each page.
    max_pages : int
        Number of pages in memory above which idle ones are dropped.
    max_page_bytes : int
        Page size in bytes above which no grant is accepted.
    """

    def __init__(
        self,
        clock: clock.Clock,
        platform: ports.Platform,
        layout: keys.Layout,
        limits: writer.WriteLimits,
        max_pages: int = 32,
        max_page_bytes: int = pages.MAX_PAGE_BYTES,
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._layout = layout
        self._limits = limits
        self._max_pages = max_pages
        self._max_page_bytes = max_page_bytes
        self._breaker = breaker.Breaker()
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_pages: collections.OrderedDict[
            keys.PageAddress, _OpenPage
        ] = collections.OrderedDict()

    async def propose(self, proposal: messages.Proposal) -> messages.Verdict:
        """Have a proposal decided on its page.

        Returns
        -------
        messages.Verdict
            ``LedgerUnavailable`` immediately while the platform is down.
        """
        now = self._clock.now()
        if not self._breaker.admit(now):
            wait_ms = self._breaker.compute_wait(now)
            return messages.LedgerUnavailable(proposal.attempt, wait_ms, False)
        address = keys.PageAddress(proposal.bucket, proposal.slot)
        open_page = self._get_open_page(address)
        number = next(self._numbers)
        reply: asyncio.Future[messages.Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        open_page.replies[number] = reply
        self._handle(open_page, writer.ProposalReceived(number, proposal))
        try:
            return await reply
        finally:
            self._breaker.end_probe()

    def record_platform_recovery(self) -> None:
        """Admit proposals again after the platform has recovered."""
        self._breaker.record_success()

    async def read(self, address: keys.PageAddress) -> records.Page:
        """Read the current version of a page from the platform.

        Parameters
        ----------
        address : keys.PageAddress
            Address of the page.

        Returns
        -------
        records.Page
            The page.

        Raises
        ------
        PlatformError
            When the platform did not answer or the value is not a page.
        """
        page, _ = await self._fetch(address)
        return page

    def _get_open_page(self, address: keys.PageAddress) -> _OpenPage:
        open_page = self._open_pages.get(address)
        if open_page is None:
            open_page = _OpenPage(
                address,
                writer.PageWriter(
                    address.slot, self._limits, self._max_page_bytes
                ),
            )
            self._open_pages[address] = open_page
        self._open_pages.move_to_end(address)
        self._close_idle()
        return open_page

    def _close_idle(self) -> None:
        """Drop the least recently used idle pages; they can be read again."""
        excess = len(self._open_pages) - self._max_pages
        if excess <= 0:
            return
        oldest = list(self._open_pages.items())[:excess]
        for address, open_page in oldest:
            if open_page.writer.idle and not open_page.replies:
                del self._open_pages[address]

    def _handle(self, open_page: _OpenPage, event: writer.WriterEvent) -> None:
        for command in open_page.writer.handle(event, self._clock.now()):
            self._execute(open_page, command)

    def _execute(
        self, open_page: _OpenPage, command: writer.WriterCommand
    ) -> None:
        if isinstance(command, writer.Reply):
            reply = open_page.replies.pop(command.number)
            if not reply.done():
                reply.set_result(command.verdict)
        elif isinstance(command, writer.ReadPage):
            self._start_task(self._read_page(open_page))
        elif isinstance(command, writer.WritePage):
            self._start_task(self._write_page(open_page, command))
        else:
            delay = max(command.at - self._clock.now(), 0) / 1000
            loop = asyncio.get_running_loop()
            loop.call_later(
                delay, self._handle, open_page, writer.TimerExpired()
            )

    def _start_task(
        self, coroutine: Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(
        self, address: keys.PageAddress
    ) -> tuple[records.Page, int]:
        key = keys.format_page_key(address, self._layout)
        versioned = await self._platform.get(key)
        try:
            return records.decode_page(versioned.value), versioned.version
        except actions_exceptions.PageMalformed as error:
            raise exceptions.LedgerMalformed(
                f'The value of {key} is not a ledger page.', str(error)
            ) from error

    async def _read_page(self, open_page: _OpenPage) -> None:
        try:
            page, version = await self._fetch(open_page.address)
        except exceptions.LedgerMalformed as error:
            # One malformed value must not affect the actions of other pages.
            logger.error('ledger_page_malformed', reason=str(error))
            self._handle(open_page, writer.ReadFailed(_MALFORMED_WAIT_MS))
        except exceptions.PlatformCallNotSent as error:
            now = self._clock.now()
            self._breaker.record_not_sent(now, error.retry_after_ms)
            wait_ms = self._breaker.compute_wait(now)
            self._handle(open_page, writer.ReadFailed(wait_ms))
        except Exception as error:
            # Unexpected errors are handled too: a read that never completes
            # would block all later actions of the page.
            now = self._clock.now()
            self._breaker.record_failure(now)
            logger.warning('ledger_read_failed', reason=str(error))
            wait_ms = self._breaker.compute_wait(now)
            self._handle(open_page, writer.ReadFailed(wait_ms))
        else:
            self._breaker.record_success()
            self._handle(open_page, writer.PageRead(page, version))

    async def _write_page(
        self, open_page: _OpenPage, command: writer.WritePage
    ) -> None:
        key = keys.format_page_key(open_page.address, self._layout)
        value = records.encode_page(command.page)
        try:
            result = await self._platform.put(
                key, value, command.expected_version
            )
        except Exception as error:
            # Unexpected errors are handled as for a read; the write may have
            # been sent.
            logger.warning('ledger_write_failed', reason=str(error))
            result = ports.WriteUnknown()
        if not isinstance(result, ports.WriteUnknown):
            self._breaker.record_success()
        self._handle(open_page, _build_event(result))


def _build_event(result: ports.WriteResult) -> writer.WriterEvent:
    if isinstance(result, ports.WriteDone):
        return writer.WriteAccepted(result.version)
    if isinstance(result, ports.WriteConflict):
        return writer.WriteConflicted()
    logger.warning('ledger_write_unanswered')
    return writer.WriteUnanswered()
