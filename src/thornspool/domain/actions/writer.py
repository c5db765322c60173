"""Group commit of proposals into one ledger page.

One write is in flight at a time. Proposals that arrive meanwhile share the
next write, which starts once the current one is answered and the minimum
time between writes has passed. Any number of entries may write the same
page: the platform's compare-and-swap accepts one write for each version, and
a writer whose write failed reads the page again and decides each proposal
anew.

A write whose answer was lost needs no special rule. The page is read again
and all proposals of the batch are decided again: an attempt that is in the
page is confirmed; any other is written again with the version just read. If
the lost write takes effect after the read, that next write fails by version
and the page is read once more. The absence of an attempt from the page never
proves that its write failed.
"""

from __future__ import annotations

import enum

import attrs

from thornspool.domain.actions import batches
from thornspool.domain.actions import messages
from thornspool.domain.actions import pages
from thornspool.domain.actions import records


@attrs.frozen
class WriteLimits:
    """Limits on the writes of a page and on its queue.

    Attributes
    ----------
    write_ms : int
        Minimum time from the start of one write to the next.
    max_deferral_ms : int
        Maximum time that outcomes and releases wait to share the write of
        a grant.
    max_age_ms : int
        Maximum time that a proposal stays in the queue.
    max_queue : int
        Maximum number of proposals in the queue.
    """

    write_ms: int = 50
    max_deferral_ms: int = 500
    max_age_ms: int = 5_000
    max_queue: int = 4_096


@attrs.frozen
class ProposalReceived:
    """A proposal was received."""

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
        Milliseconds after which to retry.
    """

    retry_after_ms: int


@attrs.frozen
class WriteAccepted:
    """The write took effect."""

    version: int


@attrs.frozen
class WriteConflicted:
    """The page's version was not the expected one."""


@attrs.frozen
class WriteUnanswered:
    """The write may have taken effect, or still may."""


@attrs.frozen
class TimerExpired:
    """A timer that the writer set has expired."""


WriterEvent = (
    ProposalReceived
    | PageRead
    | ReadFailed
    | WriteAccepted
    | WriteConflicted
    | WriteUnanswered
    | TimerExpired
)


@attrs.frozen
class ReadPage:
    """Read the page and pass the result to the writer as an event."""


@attrs.frozen
class WritePage:
    """Write the page with compare-and-swap and pass the result as an event."""

    page: records.Page
    expected_version: int


@attrs.frozen
class Reply:
    """Send its verdict to the sender of a proposal."""

    number: int
    verdict: messages.Verdict


@attrs.frozen
class SetTimer:
    """Pass ``TimerExpired`` at a monotonic time in milliseconds."""

    at: int


WriterCommand = ReadPage | WritePage | Reply | SetTimer


class _Phase(enum.Enum):
    IDLE = 'idle'
    READING = 'reading'
    WRITING = 'writing'


class PageWriter:
    """State machine that writes one page from one entry.

    Parameters
    ----------
    slot : int
        Slot that the page is written for.
    limits : WriteLimits
        Limits on writes and on the queue.
    max_bytes : int
        Page size in bytes above which no grant is accepted.
    """

    def __init__(
        self,
        slot: int,
        limits: WriteLimits,
        max_bytes: int = pages.MAX_PAGE_BYTES,
    ) -> None:
        self._slot = slot
        self._limits = limits
        self._max_bytes = max_bytes
        self._phase = _Phase.IDLE
        self._page: records.Page | None = None
        self._version = 0
        self._queue: list[batches.PendingProposal] = []
        self._batch: list[batches.DecidedProposal] = []
        self._draft_page = records.EMPTY_PAGE
        self._read_after_write = False
        self._next_write_at = 0
        self._timer_at: int | None = None

    @property
    def idle(self) -> bool:
        """Whether no proposal is queued and no read or write is in flight."""
        return self._phase is _Phase.IDLE and not self._queue

    def handle(self, event: WriterEvent, now: int) -> list[WriterCommand]:
        """Handle one event.

        Parameters
        ----------
        event : WriterEvent
            The event.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        list of WriterCommand
            Commands to execute, in order.
        """
        if isinstance(event, ProposalReceived):
            return self._receive(event, now)
        if isinstance(event, ReadFailed):
            return self._reject_queue(event)
        if isinstance(event, TimerExpired):
            self._timer_at = None
            return self._advance(now)
        self._apply_result(event)
        if isinstance(event, WriteAccepted):
            return self._confirm_batch() + self._advance(now)
        return self._advance(now)

    def _receive(
        self, event: ProposalReceived, now: int
    ) -> list[WriterCommand]:
        if len(self._queue) >= self._limits.max_queue:
            verdict = messages.LedgerUnavailable(
                event.proposal.attempt, self._limits.max_age_ms, False
            )
            return [Reply(event.number, verdict)]
        self._queue.append(
            batches.PendingProposal(event.number, event.proposal, now)
        )
        return self._advance(now)

    def _apply_result(self, event: WriterEvent) -> None:
        """Apply the result of a read or a write."""
        self._phase = _Phase.IDLE
        if isinstance(event, PageRead):
            self._page = event.page
            self._version = event.version
            return
        if isinstance(event, WriteAccepted):
            self._page = None if self._read_after_write else self._draft_page
            self._version = event.version
            return
        # Conflicting or unanswered: the version of the page has changed or
        # may change, so the whole batch is decided again after a read.
        self._page = None
        self._queue = [
            decided.pending for decided in self._batch
        ] + self._queue
        self._batch = []

    def _confirm_batch(self) -> list[WriterCommand]:
        replies: list[WriterCommand] = [
            Reply(decided.pending.number, decided.verdict)
            for decided in self._batch
        ]
        self._batch = []
        return replies

    def _reject_queue(self, event: ReadFailed) -> list[WriterCommand]:
        """Reject all queued proposals immediately after a failed read."""
        self._phase = _Phase.IDLE
        self._page = None
        queue, self._queue = self._queue, []
        return [
            _build_unavailable(pending, event.retry_after_ms)
            for pending in queue
        ]

    def _advance(self, now: int) -> list[WriterCommand]:
        if self._phase is not _Phase.IDLE or not self._queue:
            return []
        commands = self._drop_expired(now)
        if not self._queue:
            return commands
        if self._page is None:
            self._phase = _Phase.READING
            for pending in self._queue:
                pending.page_read = True
            return [*commands, ReadPage()]
        return commands + self._decide(self._page, now)

    def _drop_expired(self, now: int) -> list[WriterCommand]:
        earliest = now - self._limits.max_age_ms
        expired = [
            pending
            for pending in self._queue
            if pending.received_at < earliest
        ]
        if not expired:
            return []
        self._queue = [
            pending
            for pending in self._queue
            if pending.received_at >= earliest
        ]
        return [
            _build_unavailable(pending, self._limits.write_ms)
            for pending in expired
        ]

    def _decide(self, page: records.Page, now: int) -> list[WriterCommand]:
        """Decide the queue; reply where no write is needed, write the rest."""
        write_at = self._compute_write_time()
        if now < write_at:
            return self._set_timer(write_at)
        batch = batches.decide(self._queue, page, self._slot, self._max_bytes)
        replies: list[WriterCommand] = [
            Reply(decided.pending.number, decided.verdict)
            for decided in batch.settled
        ]
        self._queue = batch.needs_read
        self._read_after_write = bool(batch.needs_read)
        if not batch.written:
            self._page = None if batch.needs_read else page
            return replies + self._advance(now)
        return replies + self._write(batch, now)

    def _write(self, batch: batches.Batch, now: int) -> list[WriterCommand]:
        self._phase = _Phase.WRITING
        self._batch = batch.written
        for decided in batch.written:
            decided.pending.maybe_written = True
        self._draft_page = batch.page
        self._next_write_at = now + self._limits.write_ms
        return [WritePage(self._draft_page, self._version)]

    def _compute_write_time(self) -> int:
        """Return the monotonic time at which to write the queue."""
        for pending in self._queue:
            if isinstance(pending.proposal, messages.GrantRequest):
                return self._next_write_at
        received_at = min(pending.received_at for pending in self._queue)
        return max(
            self._next_write_at, received_at + self._limits.max_deferral_ms
        )

    def _set_timer(self, at: int) -> list[WriterCommand]:
        if self._timer_at is not None and self._timer_at <= at:
            return []
        self._timer_at = at
        return [SetTimer(at)]


def _build_unavailable(
    pending: batches.PendingProposal, retry_after_ms: int
) -> Reply:
    verdict = messages.LedgerUnavailable(
        pending.proposal.attempt, retry_after_ms, pending.maybe_written
    )
    return Reply(pending.number, verdict)
