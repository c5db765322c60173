"""Record of one member, and how updates are merged into it.

The merge takes the greater of two states in a fixed order, so the order and
the number of times in which updates arrive do not matter: members that have
received the same updates hold the same state. The one exception is that a
member may still be suspected in one table and already dead in another, until
the timer of the first expires too.
"""

from __future__ import annotations

import attrs

from thornspool.domain.membership import messages

Status = messages.Status


@attrs.frozen
class Record:
    """State of one member.

    Attributes
    ----------
    identity : Identity
        Identity of the member.
    status : Status
        Its status.
    counter : int
        The member's counter that the status refers to.
    leaving : bool
        Whether it is leaving; never reset.
    version : int
        Highest configuration version known to be in force there.
    """

    identity: messages.Identity
    status: Status = Status.ALIVE
    counter: int = 0
    leaving: bool = False
    version: int = 0

    @property
    def incarnation(self) -> str:
        """Incarnation of the process."""
        return self.identity.incarnation

    @property
    def is_listed(self) -> bool:
        """Whether it is alive or suspected."""
        return self.status <= Status.SUSPECT


def merge(current: Record, update: messages.Update) -> Record:
    """Merge an update into a record.

    A reported death counts as a suspicion only. When a network partition
    heals, each side reports all members of the other as dead, although
    these see each other alive. If the reports were applied directly, every
    list would be half empty until all members had refuted. A suspicion
    leaves them the time to refute.

    Parameters
    ----------
    current : Record
        The present record.
    update : Update
        Update of the same member.

    Returns
    -------
    Record
        The same object when nothing changes.
    """
    status = update.status
    if status is Status.DEAD and current.is_listed:
        status = Status.SUSPECT
    merged = attrs.evolve(
        current,
        leaving=current.leaving or update.leaving,
        version=max(current.version, update.version),
    )
    if _rank(status, update.counter) > _rank(current.status, current.counter):
        merged = attrs.evolve(merged, status=status, counter=update.counter)
    return current if merged == current else merged


def _rank(status: Status, counter: int) -> tuple[int, int]:
    # A member that has left never raises its counter again, so LEFT ranks
    # above every other state of it.
    return (counter, status)


def differs(one: Record, other: Record) -> bool:
    """Return whether two records differ in more than the version.

    Versions are propagated by :class:`messages.Applied`; broadcasting each
    change would cost one update a member for every publication.
    """
    return attrs.evolve(one, version=other.version) != other


def create_record(update: messages.Update) -> Record | None:
    """Create the first record of a member from an update.

    Returns
    -------
    Record or None
        None when the update has no identity, or says that the member is
        dead or has left. Members send each other records of dead members;
        if receivers without such a record created it anew, it would never
        be removed from all tables.
    """
    if update.identity is None or update.status >= Status.DEAD:
        return None
    return Record(
        update.identity,
        update.status,
        update.counter,
        update.leaving,
        update.version,
    )


def describe(record: Record, with_identity: bool) -> messages.Update:
    """Build the update that describes a record."""
    return messages.Update(
        record.incarnation,
        record.status,
        record.counter,
        record.leaving,
        record.version,
        record.identity if with_identity else None,
    )
