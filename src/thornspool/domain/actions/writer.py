"""Group commit of proposals into one ledger page.

One write is in flight at a time; the proposals that arrive meanwhile leave
together when it has been answered and the pace allows. Any number of entries
may write the same page: the platform's compare-and-swap decides, and a
writer that lost reads the page again and decides each proposal anew.

A write whose answer was lost needs no rule of its own. The page is read
back and every proposal of the batch is decided again: an attempt that is in
the page is confirmed; one that is not is proposed again with the version
just read. If the lost write lands after the read, that next write fails by
version, and the page is read once more. Nothing is ever concluded from an
attempt's absence.
"""

from __future__ import annotations

import enum

import attrs

from thornspool.domain.actions import batches
from thornspool.domain.actions import messages
from thornspool.domain.actions import pages
from thornspool.domain.actions import records


@attrs.frozen
class Pace:
    """How fast a page may be written.

    Attributes
    ----------
    write_ms : int
        Least time from the start of one write to the next.
    lazy_ms : int
        Longest time that outcomes and releases wait for a grant to share
        its write.
    max_age_ms : int
        Longest time that a proposal is kept.
    max_queue : int
        Most proposals kept.
    """

    write_ms: int = 50
    lazy_ms: int = 500
    max_age_ms: int = 5_000
    max_queue: int = 4_096


@attrs.frozen
class ProposalReceived:
    """Somebody wants a proposal decided."""

    number: int
    proposal: messages.Proposal


@attrs.frozen
class PageRead:
    """The platform answered a read."""

    page: records.Page
    version: int


@attrs.frozen
class ReadFailed:
    """The platform did not answer a read.

    Attributes
    ----------
    retry_after_ms : int
        When it makes sense to ask again.
    """

    retry_after_ms: int


@attrs.frozen
class WriteAccepted:
    """The write took effect."""

    version: int


@attrs.frozen
class WriteRefused:
    """The page's version was not the expected one."""


@attrs.frozen
class WriteUnanswered:
    """The write may have taken effect, or may yet."""


@attrs.frozen
class TimePassed:
    """A wake-up that was asked for."""


WriterEvent = (
    ProposalReceived
    | PageRead
    | ReadFailed
    | WriteAccepted
    | WriteRefused
    | WriteUnanswered
    | TimePassed
)


@attrs.frozen
class ReadPage:
    """Read the page and hand in the answer."""


@attrs.frozen
class WritePage:
    """Write the page with compare-and-swap and hand in the answer."""

    page: records.Page
    expected_version: int


@attrs.frozen
class Reply:
    """Tell a proposal's sender its verdict."""

    number: int
    verdict: messages.Verdict


@attrs.frozen
class Wake:
    """Hand in ``TimePassed`` at a monotonic time in milliseconds."""

    at: int


WriterCommand = ReadPage | WritePage | Reply | Wake


class _Phase(enum.Enum):
    IDLE = 'idle'
    READING = 'reading'
    WRITING = 'writing'


class PageWriter:
    """State of one page's writer on one entry.

    Parameters
    ----------
    slot : int
        Slot that the page is written for.
    pace : Pace
        How fast it may be written.
    max_bytes : int
        Size past which no grant is accepted.
    """

    def __init__(
        self,
        slot: int,
        pace: Pace,
        max_bytes: int = pages.MAX_PAGE_BYTES,
    ) -> None:
        self._slot = slot
        self._pace = pace
        self._max_bytes = max_bytes
        self._phase = _Phase.IDLE
        self._page: records.Page | None = None
        self._version = 0
        self._queue: list[batches.Waiting] = []
        self._batch: list[batches.Verdict] = []
        self._draft_page = records.EMPTY_PAGE
        self._stale = False
        self._next_write_at = 0
        self._wake_at: int | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing is waiting or in flight."""
        return self._phase is _Phase.IDLE and not self._queue

    def handle(self, event: WriterEvent, now: int) -> list[WriterCommand]:
        """Take one event.

        Parameters
        ----------
        event : WriterEvent
            What happened.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        list of WriterCommand
            What to do, in order.
        """
        if isinstance(event, ProposalReceived):
            return self._receive(event, now)
        if isinstance(event, ReadFailed):
            return self._fail(event)
        if isinstance(event, TimePassed):
            self._wake_at = None
            return self._advance(now)
        self._settle(event)
        if isinstance(event, WriteAccepted):
            return self._confirm() + self._advance(now)
        return self._advance(now)

    def _receive(
        self, event: ProposalReceived, now: int
    ) -> list[WriterCommand]:
        if len(self._queue) >= self._pace.max_queue:
            verdict = messages.LedgerUnavailable(
                event.proposal.attempt, self._pace.max_age_ms, False
            )
            return [Reply(event.number, verdict)]
        self._queue.append(batches.Waiting(event.number, event.proposal, now))
        return self._advance(now)

    def _settle(self, event: WriterEvent) -> None:
        """Take in what the platform said."""
        self._phase = _Phase.IDLE
        if isinstance(event, PageRead):
            self._page = event.page
            self._version = event.version
            return
        if isinstance(event, WriteAccepted):
            self._page = None if self._stale else self._draft_page
            self._version = event.version
            return
        # Refused or unanswered: the page has another version now or may
        # get one, so all of the batch is decided again after a read.
        self._page = None
        self._queue = [one.waiting for one in self._batch] + self._queue
        self._batch = []

    def _confirm(self) -> list[WriterCommand]:
        replies: list[WriterCommand] = [
            Reply(one.waiting.number, one.verdict) for one in self._batch
        ]
        self._batch = []
        return replies

    def _fail(self, event: ReadFailed) -> list[WriterCommand]:
        """Refuse everything at once while the platform is down."""
        self._phase = _Phase.IDLE
        self._page = None
        queue, self._queue = self._queue, []
        return [_give_up(waiting, event.retry_after_ms) for waiting in queue]

    def _advance(self, now: int) -> list[WriterCommand]:
        if self._phase is not _Phase.IDLE or not self._queue:
            return []
        commands = self._drop_old(now)
        if not self._queue:
            return commands
        if self._page is None:
            self._phase = _Phase.READING
            for waiting in self._queue:
                waiting.read = True
            return [*commands, ReadPage()]
        return commands + self._decide(self._page, now)

    def _drop_old(self, now: int) -> list[WriterCommand]:
        oldest = now - self._pace.max_age_ms
        old = [waiting for waiting in self._queue if waiting.since < oldest]
        if not old:
            return []
        self._queue = [w for w in self._queue if w.since >= oldest]
        return [_give_up(waiting, self._pace.write_ms) for waiting in old]

    def _decide(self, page: records.Page, now: int) -> list[WriterCommand]:
        """Answer what needs no write, and write the rest when it is time."""
        write_at = self._plan_write()
        if now < write_at:
            return self._wake(write_at)
        batch = batches.decide(self._queue, page, self._slot, self._max_bytes)
        replies: list[WriterCommand] = [
            Reply(one.waiting.number, one.verdict) for one in batch.settled
        ]
        self._queue = batch.stale
        self._stale = bool(batch.stale)
        if not batch.written:
            self._page = None if batch.stale else page
            return replies + self._advance(now)
        return replies + self._write(batch, now)

    def _write(self, batch: batches.Batch, now: int) -> list[WriterCommand]:
        self._phase = _Phase.WRITING
        self._batch = batch.written
        for one in batch.written:
            one.waiting.written = True
        self._draft_page = batch.page
        self._next_write_at = now + self._pace.write_ms
        return [WritePage(self._draft_page, self._version)]

    def _plan_write(self) -> int:
        """Return when the queue has to be written."""
        for waiting in self._queue:
            if isinstance(waiting.proposal, messages.GrantRequest):
                return self._next_write_at
        since = min(waiting.since for waiting in self._queue)
        return max(self._next_write_at, since + self._pace.lazy_ms)

    def _wake(self, at: int) -> list[WriterCommand]:
        if self._wake_at is not None and self._wake_at <= at:
            return []
        self._wake_at = at
        return [Wake(at)]


def _give_up(waiting: batches.Waiting, retry_after_ms: int) -> Reply:
    verdict = messages.LedgerUnavailable(
        waiting.proposal.attempt, retry_after_ms, waiting.written
    )
    return Reply(waiting.number, verdict)
