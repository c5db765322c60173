"""What one write of a ledger page holds, and what needs no write."""

from __future__ import annotations

import attrs

from thornspool.domain.actions import messages
from thornspool.domain.actions import pages
from thornspool.domain.actions import records


@attrs.define
class Waiting:
    """A proposal that has no verdict yet.

    Attributes
    ----------
    number : int
        Names the proposal to whoever waits for it.
    proposal : messages.Proposal
        What is wanted.
    since : int
        When it came, in monotonic milliseconds.
    written : bool
        Whether a write held it that may have taken effect.
    read : bool
        Whether the page was read after it came.
    """

    number: int
    proposal: messages.Proposal
    since: int
    written: bool = False
    read: bool = False


@attrs.frozen
class Verdict:
    """A proposal with its verdict."""

    waiting: Waiting
    verdict: messages.Verdict


@attrs.frozen
class Batch:
    """Proposals of a queue, decided on one page.

    Attributes
    ----------
    page : records.Page
        The page with all changes.
    written : list of Verdict
        Those whose verdict is true once the page is written.
    settled : list of Verdict
        Those that need no write.
    stale : list of Waiting
        Those that need a page which is read after they came.
    """

    page: records.Page
    written: list[Verdict]
    settled: list[Verdict]
    stale: list[Waiting]


def decide(
    queue: list[Waiting], page: records.Page, slot: int, max_bytes: int
) -> Batch:
    """Decide each proposal of a queue, in order.

    Parameters
    ----------
    queue : list of Waiting
        Proposals without a verdict.
    page : records.Page
        The page as last read or written.
    slot : int
        Slot that the page is written for.
    max_bytes : int
        Size past which no grant is accepted.
    """
    draft = pages.Draft(page, slot, max_bytes)
    written: list[Verdict] = []
    settled: list[Verdict] = []
    stale: list[Waiting] = []
    drafted: set[str] = set()
    for waiting in queue:
        name = waiting.proposal.name
        decision = draft.apply(waiting.proposal)
        decided = Verdict(waiting, decision.verdict)
        # The verdict on a second request for a key of the same batch is
        # true only once the batch is written.
        if decision.changed or name in drafted:
            drafted.add(name)
            written.append(decided)
        elif not (waiting.read or _is_final(decision.verdict)):
            stale.append(waiting)
        else:
            settled.append(decided)
    return Batch(draft.build_page(), written, settled, stale)


def _is_final(verdict: messages.Verdict) -> bool:
    """Return whether a verdict holds on every later page, too.

    The page in memory may be older than what other entries wrote. An
    outcome whose grant is missing there would be confirmed, be forgotten by
    its runner and be nowhere: the next sender would be told "never ran" and
    run it again. A grant that is long released would still be found there,
    and its key be held for good. So every verdict that no write proves and
    that may change needs a page that was read after its proposal came.
    """
    if isinstance(verdict, messages.RecordFound):
        return verdict.record.state is records.RecordState.DONE
    return isinstance(verdict, messages.GrantGiven | messages.RecordDropped)
