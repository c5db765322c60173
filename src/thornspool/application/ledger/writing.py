"""The ledger pages that this entry writes, carried out on the platform."""

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
class _Desk:
    """A page writer and the proposals that wait for its replies."""

    address: keys.PageAddress
    writer: writer.PageWriter
    replies: dict[int, asyncio.Future[messages.Verdict]] = attrs.field(
        factory=dict
    )


class Ledger:
    """Writers of ledger pages on this entry, with a bound on their number.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    platform : ports.Platform
        The platform's key-value service.
    layout : keys.Layout
        Shape of the ring of pages.
    pace : writer.Pace
        How fast a page may be written.
    max_pages : int
        Most pages kept in memory while nothing waits for them.
    max_page_bytes : int
        Size of a page past which no grant is accepted.
    """

    def __init__(
        self,
        clock: clock.Clock,
        platform: ports.Platform,
        layout: keys.Layout,
        pace: writer.Pace,
        max_pages: int = 32,
        max_page_bytes: int = pages.MAX_PAGE_BYTES,
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._layout = layout
        self._pace = pace
        self._max_pages = max_pages
        self._max_page_bytes = max_page_bytes
        self._breaker = breaker.Breaker()
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._desks: collections.OrderedDict[keys.PageAddress, _Desk] = (
            collections.OrderedDict()
        )

    async def propose(self, proposal: messages.Proposal) -> messages.Verdict:
        """Have a proposal decided by its page.

        Returns
        -------
        messages.Verdict
            ``LedgerUnavailable`` at once while the platform is down.
        """
        now = self._clock.now()
        if not self._breaker.admit(now):
            wait = self._breaker.read_wait(now)
            return messages.LedgerUnavailable(proposal.attempt, wait, False)
        address = keys.PageAddress(proposal.bucket, proposal.slot)
        desk = self._open(address)
        number = next(self._numbers)
        reply: asyncio.Future[messages.Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        desk.replies[number] = reply
        self._feed(desk, writer.ProposalReceived(number, proposal))
        try:
            return await reply
        finally:
            self._breaker.end_probe()

    def note_platform_back(self) -> None:
        """Let proposals through again: the platform answered somebody."""
        self._breaker.record_success()

    async def read(self, address: keys.PageAddress) -> records.Page:
        """Read a page as the platform has it now.

        Raises
        ------
        PlatformError
            When the platform did not answer, or not with a page.
        """
        page, _ = await self._read(address)
        return page

    def _open(self, address: keys.PageAddress) -> _Desk:
        desk = self._desks.get(address)
        if desk is None:
            desk = _Desk(
                address,
                writer.PageWriter(
                    address.slot, self._pace, self._max_page_bytes
                ),
            )
            self._desks[address] = desk
        self._desks.move_to_end(address)
        self._close_idle()
        return desk

    def _close_idle(self) -> None:
        """Forget the pages used longest ago; they can be read again."""
        spare = len(self._desks) - self._max_pages
        if spare <= 0:
            return
        oldest = list(self._desks.items())[:spare]
        for address, desk in oldest:
            if desk.writer.idle and not desk.replies:
                del self._desks[address]

    def _feed(self, desk: _Desk, event: writer.WriterEvent) -> None:
        for command in desk.writer.handle(event, self._clock.now()):
            self._carry_out(desk, command)

    def _carry_out(self, desk: _Desk, command: writer.WriterCommand) -> None:
        if isinstance(command, writer.Reply):
            reply = desk.replies.pop(command.number)
            if not reply.done():
                reply.set_result(command.verdict)
        elif isinstance(command, writer.ReadPage):
            self._start(self._carry_out_read(desk))
        elif isinstance(command, writer.WritePage):
            self._start(self._carry_out_write(desk, command))
        else:
            delay = max(command.at - self._clock.now(), 0) / 1000
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._feed, desk, writer.TimePassed())

    def _start(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(
        self, address: keys.PageAddress
    ) -> tuple[records.Page, int]:
        key = keys.format_page_key(address, self._layout)
        found = await self._platform.get(key)
        try:
            return records.decode_page(found.value), found.version
        except actions_exceptions.PageMalformed as error:
            raise exceptions.LedgerMalformed(
                f'The value of {key} is not a ledger page.', str(error)
            ) from error

    async def _carry_out_read(self, desk: _Desk) -> None:
        try:
            page, version = await self._read(desk.address)
        except exceptions.LedgerMalformed as error:
            # One bad value must not stop the actions of all other pages.
            logger.error('ledger_page_malformed', reason=str(error))
            self._feed(desk, writer.ReadFailed(_MALFORMED_WAIT_MS))
        except exceptions.PlatformHeldBack as error:
            now = self._clock.now()
            self._breaker.record_held_back(now, error.retry_after_ms)
            wait = self._breaker.read_wait(now)
            self._feed(desk, writer.ReadFailed(wait))
        except Exception as error:
            # Also of errors that nobody expected: a read without an end
            # would hold every later action of the page for good.
            now = self._clock.now()
            self._breaker.record_failure(now)
            logger.warning('ledger_read_failed', reason=str(error))
            wait = self._breaker.read_wait(now)
            self._feed(desk, writer.ReadFailed(wait))
        else:
            self._breaker.record_success()
            self._feed(desk, writer.PageRead(page, version))

    async def _carry_out_write(
        self, desk: _Desk, command: writer.WritePage
    ) -> None:
        key = keys.format_page_key(desk.address, self._layout)
        value = records.encode_page(command.page)
        try:
            written = await self._platform.put(
                key, value, command.expected_version
            )
        except Exception as error:
            # As with a read, and the write may have been sent before.
            logger.warning('ledger_write_failed', reason=str(error))
            written = ports.WriteUnknown()
        if not isinstance(written, ports.WriteUnknown):
            self._breaker.record_success()
        self._feed(desk, _name_event(written))


def _name_event(written: ports.WriteResult) -> writer.WriterEvent:
    if isinstance(written, ports.WriteDone):
        return writer.WriteAccepted(written.version)
    if isinstance(written, ports.WriteConflict):
        return writer.WriteRefused()
    logger.warning('ledger_write_unanswered')
    return writer.WriteUnanswered()
