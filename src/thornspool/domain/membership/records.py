"""What is known of one member, and how news of it is merged.

The merge takes the greater of two beliefs in a fixed order, so it does not
matter in which order or how often news arrives: members that have heard the
same news hold the same belief, but that one may still suspect whom the other
already holds for dead, until its timer has run out too.
"""

from __future__ import annotations

import attrs

from thornspool.domain.membership import messages

Status = messages.Status


@attrs.frozen
class Record:
    """What is known of one member.

    Attributes
    ----------
    identity : Identity
        Who it is.
    status : Status
        What is believed.
    counter : int
        The member's counter that the belief is about.
    leaving : bool
        Whether it leaves; never taken back.
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
        """Name of the process."""
        return self.identity.incarnation

    @property
    def is_live(self) -> bool:
        """Whether it is believed to run, suspects included."""
        return self.status <= Status.SUSPECT


def merge(known: Record, update: messages.Update) -> Record:
    """Merge news into what is known.

    Another member's word that this one is dead counts as a suspicion only.
    When a cut heals, each side says so of all members of the other, and of
    members whom its own side sees alive; taken at its word, every list
    would be half empty until all had refuted. As a suspicion it leaves
    them the time to do so.

    Parameters
    ----------
    known : Record
        What is known.
    update : Update
        News of the same member.

    Returns
    -------
    Record
        The same object when there is nothing new.
    """
    status = update.status
    if status is Status.DEAD and known.is_live:
        status = Status.SUSPECT
    merged = attrs.evolve(
        known,
        leaving=known.leaving or update.leaving,
        version=max(known.version, update.version),
    )
    if _rank(status, update.counter) > _rank(known.status, known.counter):
        merged = attrs.evolve(merged, status=status, counter=update.counter)
    return known if merged == known else merged


def _rank(status: Status, counter: int) -> tuple[int, int]:
    # A member raises its counter no more once it has left, so that it has
    # left is the highest belief about it that can ever be held.
    return (counter, status)


def differs(one: Record, other: Record) -> bool:
    """Return whether two records differ in more than the version.

    Versions are spread by :class:`messages.Applied`; passing each on as
    news would cost an update a member for every publication.
    """
    return attrs.evolve(one, version=other.version) != other


def accept(update: messages.Update) -> Record | None:
    """Make the first record of a member from news.

    Returns
    -------
    Record or None
        None when the news does not say who it is, or that it is gone.
        Members hand each other records of the dead; if these were taken up
        by who does not know them, they would never be forgotten.
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
    """Put a record into news."""
    return messages.Update(
        record.incarnation,
        record.status,
        record.counter,
        record.leaving,
        record.version,
        record.identity if with_identity else None,
    )
