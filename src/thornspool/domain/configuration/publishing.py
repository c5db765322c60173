"""State machine of a publication, from the first read to the outcome.

The publisher reads the head, plans the next one, writes its buckets and then
replaces the head by compare-and-swap. If the response to the write of the head
is lost, only the history of a later head shows whether it took effect.
"""

from __future__ import annotations

import attrs

from thornspool.domain.configuration import contents as contents_module
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications


@attrs.frozen
class Attempt:
    """A plan and the platform version of the head that it replaces."""

    plan: publications.Plan
    expected_version: int


@attrs.frozen
class Progress:
    """State of a publication.

    Attributes
    ----------
    publication : Publication
        Publication to be accepted.
    conflicts : callable
        Returns the documents of a publication that are in conflict.
    attempt : Attempt or None
        Current attempt; its outcome is unknown once its head was sent.
    head_sent : bool
        Whether a write of the attempt's head was sent.
    garbage : tuple of str
        Digests of buckets that no version refers to or will refer to.
    """

    publication: publications.Publication
    conflicts: publications.FindConflicts = publications.find_conflicts
    attempt: Attempt | None = None
    head_sent: bool = False
    garbage: tuple[str, ...] = ()


@attrs.frozen
class HeadRead:
    """The head was read and its buckets were pulled.

    Attributes
    ----------
    contents : Contents
        Contents of the head's version.
    platform_version : int
        Version that the platform assigns to the head's key; 0 if the key
        does not exist.
    wall : int
        Time of the read, in milliseconds since the Unix epoch.
    """

    contents: contents_module.Contents
    platform_version: int
    wall: int


@attrs.frozen
class BucketsWritten:
    """The platform stores every bucket of the attempt."""


@attrs.frozen
class HeadWritten:
    """The platform confirmed the write of the head."""


@attrs.frozen
class HeadUnconfirmed:
    """The write of the head was rejected, or its response was lost."""


@attrs.frozen
class StepFailed:
    """The platform did not respond, or returned an old head."""


Event = HeadRead | BucketsWritten | HeadWritten | HeadUnconfirmed | StepFailed


@attrs.frozen
class ReadHead:
    """Read the head, after a delay if the previous step failed."""

    delayed: bool = False


@attrs.frozen
class WriteBuckets:
    """Write the buckets of the attempt."""

    values: dict[str, bytes]


@attrs.frozen
class WriteHead:
    """Replace the head by compare-and-swap.

    Attributes
    ----------
    value : bytes
        The encoded head.
    expected_version : int
        Platform version of the head that is replaced.
    delayed : bool
        Whether to delay the write, because it is a retry.
    """

    value: bytes
    expected_version: int
    delayed: bool = False


@attrs.frozen
class Finish:
    """The outcome is known.

    Attributes
    ----------
    outcome : Confirmed, Conflict, Invalid or Undecided
        Outcome to return to the publisher.
    garbage : tuple of str
        Digests of buckets to clear in the platform.
    """

    outcome: Outcome
    garbage: tuple[str, ...] = ()


@attrs.frozen
class Confirmed:
    """The publication is accepted.

    Attributes
    ----------
    version : int
        Version that contains it.
    """

    version: int


@attrs.frozen
class Undecided:
    """It is unknown whether the publication is or will be accepted.

    Attributes
    ----------
    head_sent : bool
        Whether a sent write may still take effect. If False, the publication
        is not accepted.
    reason : str
        Why the outcome is unknown.
    """

    head_sent: bool
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
        Result of the previous command.

    Returns
    -------
    tuple of Progress and Command
        Next state and the command to execute.
    """
    if isinstance(event, HeadRead):
        return _handle_head(progress, event)
    if isinstance(event, StepFailed):
        return progress, ReadHead(delayed=True)
    if isinstance(event, HeadUnconfirmed):
        return progress, ReadHead()
    if progress.attempt is None:
        return progress, ReadHead()
    plan = progress.attempt.plan
    if isinstance(event, BucketsWritten):
        return attrs.evolve(progress, head_sent=True), _build_head_write(
            progress.attempt
        )
    return progress, _finish_confirmed(progress, plan.head.version)


def expire(progress: Progress, reason: str) -> Undecided:
    """Return the outcome of a publication that timed out."""
    return Undecided(progress.head_sent, reason)


def _finish_confirmed(progress: Progress, version: int) -> Finish:
    """Finish; buckets without a reference in the accepted head are garbage."""
    garbage = progress.garbage
    attempt = progress.attempt
    if attempt is not None and attempt.plan.head.version == version:
        garbage = (*garbage, *attempt.plan.garbage)
    return Finish(Confirmed(version), garbage)


def _build_head_write(attempt: Attempt) -> WriteHead:
    return WriteHead(
        heads.encode_head(attempt.plan.head), attempt.expected_version
    )


def _handle_head(
    progress: Progress, event: HeadRead
) -> tuple[Progress, Command]:
    head = event.contents.head
    record = head.find_record(progress.publication.id)
    if record is not None:
        return progress, _finish_confirmed(progress, record.version)
    if progress.attempt is not None and progress.head_sent:
        return _handle_unconfirmed_attempt(progress, progress.attempt, event)
    return _plan_attempt(progress, event)


def _handle_unconfirmed_attempt(
    progress: Progress, attempt: Attempt, event: HeadRead
) -> tuple[Progress, Command]:
    """Handle an unconfirmed write of a head that the history does not show.

    A head older than the attempt's is inconclusive: the write may still be in
    transit. A second plan could then be accepted as well, or be reported as
    failed while the first write takes effect. Therefore the same write is
    retried; compare-and-swap lets at most one of the two succeed. A head of
    the attempt's version or a later one means that neither can.
    """
    head = event.contents.head
    if head.version < attempt.plan.head.version:
        return progress, attrs.evolve(_build_head_write(attempt), delayed=True)
    if head.history_base_version >= attempt.plan.head.version:
        reason = 'The history no longer covers the attempt.'
        return progress, Finish(Undecided(True, reason))
    return _plan_attempt(progress, event)


def _discard_attempt(progress: Progress, head: heads.Head) -> Progress:
    """Discard an attempt that cannot take effect; its buckets are garbage.

    A bucket contains the version that it was built for, so no other version
    will refer to it. While the head is older than the attempt's, its buckets
    are no garbage, because the next plan may produce the same bytes.
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
        head_sent=False,
        garbage=(*progress.garbage, *orphans),
    )


def _plan_attempt(
    progress: Progress, event: HeadRead
) -> tuple[Progress, Command]:
    progress = _discard_attempt(progress, event.contents.head)
    if event.contents.head.version < progress.publication.base_version:
        return progress, ReadHead(delayed=True)
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
        attrs.evolve(progress, attempt=attempt, head_sent=False),
        WriteBuckets(planned.values),
    )
