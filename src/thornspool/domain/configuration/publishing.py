"""Decisions of one publication from its first read to its outcome.

The head is read, a plan is made on it, its buckets are written and then the
head by compare-and-swap. A write of the head whose answer was lost is settled
by the history of a later head and by nothing else.
"""

from __future__ import annotations

import attrs

from thornspool.domain.configuration import contents as whole
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications


@attrs.frozen
class Attempt:
    """A plan and the platform's version of the head that it replaces."""

    plan: publications.Plan
    expected_version: int


@attrs.frozen
class Progress:
    """State of one publication.

    Attributes
    ----------
    publication : Publication
        What is published.
    conflicts : callable
        The conflict relation.
    attempt : Attempt or None
        The plan under way; its fate is open from its first write on.
    written : bool
        Whether a write of the attempt's head has left.
    garbage : tuple of str
        Digests of buckets that nothing refers to, nor ever will.
    """

    publication: publications.Publication
    conflicts: publications.FindConflicts = publications.find_conflicts
    attempt: Attempt | None = None
    written: bool = False
    garbage: tuple[str, ...] = ()


@attrs.frozen
class HeadRead:
    """The head was read and its contents pulled.

    Attributes
    ----------
    contents : Contents
        All that the head refers to.
    platform_version : int
        The platform's version of the head's key, 0 before it exists.
    wall : int
        Milliseconds since the Unix epoch.
    """

    contents: whole.Contents
    platform_version: int
    wall: int


@attrs.frozen
class BucketsWritten:
    """Every bucket of the attempt is in the platform."""


@attrs.frozen
class HeadWritten:
    """The write of the head is known to have taken effect."""


@attrs.frozen
class HeadOpen:
    """The write of the head was refused, or its answer was lost."""


@attrs.frozen
class StepFailed:
    """The platform did not answer, or answered with an old head."""


Event = HeadRead | BucketsWritten | HeadWritten | HeadOpen | StepFailed


@attrs.frozen
class ReadHead:
    """Read the head; after a pause if the last step failed."""

    pause: bool = False


@attrs.frozen
class WriteBuckets:
    """Write the attempt's buckets."""

    values: dict[str, bytes]


@attrs.frozen
class WriteHead:
    """Write the attempt's head by compare-and-swap.

    Attributes
    ----------
    value : bytes
        The encoded head.
    expected_version : int
        The platform's version that it replaces.
    pause : bool
        Whether to wait first, since the same write was sent before.
    """

    value: bytes
    expected_version: int
    pause: bool = False


@attrs.frozen
class Finish:
    """The outcome is known.

    Attributes
    ----------
    outcome : Confirmed, Conflict, Invalid or Undecided
        What to tell the publisher.
    garbage : tuple of str
        Digests of buckets to empty.
    """

    outcome: Outcome
    garbage: tuple[str, ...] = ()


@attrs.frozen
class Confirmed:
    """The publication is accepted.

    Attributes
    ----------
    version : int
        Version that holds it.
    """

    version: int


@attrs.frozen
class Undecided:
    """Nobody can tell yet whether the publication is accepted.

    Attributes
    ----------
    written : bool
        Whether a write may still land. If not, it is not accepted.
    reason : str
        What kept it from being settled.
    """

    written: bool
    reason: str


Outcome = Confirmed | publications.Conflict | publications.Invalid | Undecided
Command = ReadHead | WriteBuckets | WriteHead | Finish


def decide(progress: Progress, event: Event) -> tuple[Progress, Command]:
    """Return the next state and command.

    Parameters
    ----------
    progress : Progress
        State before the event.
    event : Event
        What happened.
    """
    if isinstance(event, HeadRead):
        return _decide_on_head(progress, event)
    if isinstance(event, StepFailed):
        return progress, ReadHead(pause=True)
    if isinstance(event, HeadOpen):
        return progress, ReadHead()
    if progress.attempt is None:
        return progress, ReadHead()
    plan = progress.attempt.plan
    if isinstance(event, BucketsWritten):
        return attrs.evolve(progress, written=True), _write_head(
            progress.attempt
        )
    return progress, _confirm(progress, plan.head.version)


def give_up(progress: Progress, reason: str) -> Undecided:
    """Return the outcome of a publication whose time is up."""
    return Undecided(progress.written, reason)


def _confirm(progress: Progress, version: int) -> Finish:
    """Finish with what the accepted head no longer refers to as garbage."""
    garbage = progress.garbage
    attempt = progress.attempt
    if attempt is not None and attempt.plan.head.version == version:
        garbage = (*garbage, *attempt.plan.garbage)
    return Finish(Confirmed(version), garbage)


def _write_head(attempt: Attempt) -> WriteHead:
    return WriteHead(
        heads.encode_head(attempt.plan.head), attempt.expected_version
    )


def _decide_on_head(
    progress: Progress, event: HeadRead
) -> tuple[Progress, Command]:
    head = event.contents.head
    record = head.find_record(progress.publication.id)
    if record is not None:
        return progress, _confirm(progress, record.version)
    if progress.attempt is not None and progress.written:
        return _decide_on_open_attempt(progress, progress.attempt, event)
    return _plan(progress, event)


def _decide_on_open_attempt(
    progress: Progress, attempt: Attempt, event: HeadRead
) -> tuple[Progress, Command]:
    """Settle a write whose fate is open by a head that lacks its record.

    An old head proves nothing: the write may still be on its way, and a new
    plan beside it could be accepted as well, or be told to have failed while
    the old one lands. So the same write is sent again, which at most one of
    the two can win. A later head rules both out.
    """
    head = event.contents.head
    if head.version < attempt.plan.head.version:
        return progress, attrs.evolve(_write_head(attempt), pause=True)
    if head.horizon >= attempt.plan.head.version:
        reason = 'The history no longer reaches back to the attempt.'
        return progress, Finish(Undecided(True, reason))
    return _plan(progress, event)


def _drop_attempt(progress: Progress, head: heads.Head) -> Progress:
    """Forget an attempt that cannot land and note its buckets as garbage.

    A bucket holds the version that it was made for, so no other version
    will ever refer to it. While the head is older, the next plan may come
    to the same bytes again.
    """
    orphans: tuple[str, ...] = ()
    attempt = progress.attempt
    if attempt and attempt.plan.head.version <= head.version:
        orphans = tuple(
            digest
            for digest in attempt.plan.values
            if digest not in head.buckets and digest not in head.retired
        )
    return attrs.evolve(
        progress,
        attempt=None,
        written=False,
        garbage=(*progress.garbage, *orphans),
    )


def _plan(progress: Progress, event: HeadRead) -> tuple[Progress, Command]:
    progress = _drop_attempt(progress, event.contents.head)
    if event.contents.head.version < progress.publication.base_version:
        return progress, ReadHead(pause=True)
    planned = publications.plan_publication(
        event.contents,
        progress.publication,
        event.wall,
        progress.conflicts,
    )
    if isinstance(planned, publications.Unchanged):
        outcome = Confirmed(planned.version)
        return progress, Finish(outcome, progress.garbage)
    if not isinstance(planned, publications.Plan):
        return progress, Finish(planned, progress.garbage)
    attempt = Attempt(planned, event.platform_version)
    return (
        attrs.evolve(progress, attempt=attempt, written=False),
        WriteBuckets(planned.values),
    )
