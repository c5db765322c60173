"""Batches of proposals that are decided on one version of a ledger page."""

from __future__ import annotations

import attrs

from thornspool.domain.actions import messages
from thornspool.domain.actions import pages
from thornspool.domain.actions import records


@attrs.define
class PendingProposal:
    """A proposal that has no verdict yet.

    Attributes
    ----------
    number : int
        Identifies the proposal in the reply to its sender.
    proposal : messages.Proposal
        The proposed change.
    received_at : int
        When it was received, in monotonic milliseconds.
    maybe_written : bool
        Whether a write with this proposal may have taken effect.
    page_read : bool
        Whether the page was read after the proposal was received.
    """

    number: int
    proposal: messages.Proposal
    received_at: int
    maybe_written: bool = False
    page_read: bool = False


@attrs.frozen
class DecidedProposal:
    """A proposal with its verdict."""

    pending: PendingProposal
    verdict: messages.Verdict


@attrs.frozen
class Batch:
    """Proposals of a queue, decided on one version of a page.

    Attributes
    ----------
    page : records.Page
        The page with all changes.
    written : list of DecidedProposal
        Proposals whose verdict holds once the page is written.
    settled : list of DecidedProposal
        Proposals that need no write.
    needs_read : list of PendingProposal
        Proposals that need a page read after they were received.
    """

    page: records.Page
    written: list[DecidedProposal]
    settled: list[DecidedProposal]
    needs_read: list[PendingProposal]


def decide(
    queue: list[PendingProposal], page: records.Page, slot: int, max_bytes: int
) -> Batch:
    """Decide each proposal of a queue, in order.

    Parameters
    ----------
    queue : list of PendingProposal
        Proposals without a verdict.
    page : records.Page
        The page as last read or written.
    slot : int
        Slot that the page is written for.
    max_bytes : int
        Page size in bytes above which no grant is accepted.

    Returns
    -------
    Batch
        The changed page, and the proposals by what they need next.
    """
    draft = pages.Draft(page, slot, max_bytes)
    written: list[DecidedProposal] = []
    settled: list[DecidedProposal] = []
    needs_read: list[PendingProposal] = []
    drafted: set[str] = set()
    for pending in queue:
        name = pending.proposal.name
        decision = draft.apply(pending.proposal)
        decided = DecidedProposal(pending, decision.verdict)
        # A later verdict on a key that this batch changes holds only once
        # the batch is written, so it is confirmed with the batch.
        if decision.changed or name in drafted:
            drafted.add(name)
            written.append(decided)
        elif not (pending.page_read or _is_final(decision.verdict)):
            needs_read.append(pending)
        else:
            settled.append(decided)
    return Batch(draft.build_page(), written, settled, needs_read)


def _is_final(verdict: messages.Verdict) -> bool:
    """Return whether a verdict also holds on every later version.

    The page in memory may be older than what other entries wrote. If it
    lacks a grant, the outcome of that grant would be confirmed without being
    stored: its runner would drop it, and the next call with the key would
    run the action again. If it still has a released grant, the key would be
    held forever. A verdict that is not confirmed by a write and may change
    therefore needs a page that was read after its proposal was received.
    """
    if isinstance(verdict, messages.RecordFound):
        return verdict.record.state is records.RecordState.DONE
    return isinstance(verdict, messages.GrantGiven | messages.RecordDropped)
