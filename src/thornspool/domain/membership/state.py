"""Membership state of this process and the updates that it gossips."""

from __future__ import annotations

import attrs

from thornspool.domain.membership import broadcasts
from thornspool.domain.membership import messages
from thornspool.domain.membership import records
from thornspool.domain.membership import settings as settings_module
from thornspool.domain.membership import views

Status = messages.Status


class MembershipState:
    """The member table, its timers and the updates still to be broadcast.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    settings : Settings
        Timeouts and limits.

    Attributes
    ----------
    view : View
        The member table.
    has_updates : bool
        Whether a change has been queued for broadcast; cleared by the
        reader.
    """

    def __init__(
        self,
        identity: messages.Identity,
        settings: settings_module.Settings,
    ) -> None:
        self.view = views.View(records.Record(identity))
        self.has_updates = False
        self._settings = settings
        self._broadcasts = broadcasts.Broadcasts(settings.transmissions)
        self._suspects: dict[str, int] = {}
        self._remove_at: dict[str, int] = {}

    @property
    def is_settled(self) -> bool:
        """Whether no update is waiting to be broadcast."""
        return not self._broadcasts

    @property
    def own(self) -> records.Record:
        """Record of this process."""
        return self.view.own

    def leave(self, status: messages.Status) -> None:
        """Mark this process as leaving and broadcast it.

        Parameters
        ----------
        status : Status
            ``ALIVE`` while it still runs, ``LEFT`` when it exits.
        """
        self.view.put(attrs.evolve(self.own, leaving=True, status=status))
        self._queue_broadcast(self.own.incarnation, with_identity=False)

    def set_version(self, version: int) -> None:
        """Record the configuration version in force here."""
        self.view.put(attrs.evolve(self.own, version=version))

    def merge(
        self, update: messages.Update, now: int, should_broadcast: bool = True
    ) -> None:
        """Merge an update of a member, and broadcast it if it is new.

        Parameters
        ----------
        update : Update
            The received update.
        now : int
            Monotonic milliseconds.
        should_broadcast : bool, optional
            Whether a change is broadcast to other members.
        """
        if update.incarnation == self.own.incarnation:
            self._refute(update)
            return
        current = self.view.find(update.incarnation)
        if current is None:
            merged = records.create_record(update)
        else:
            merged = records.merge(current, update)
        if merged is None:
            return
        if merged is current:
            # Only updates with an identity count as duplicates. Suspicions
            # are sent the full number of times: a member that misses one
            # has to detect the failure itself, which took 20 s and more.
            if update.identity is not None:
                self._broadcasts.record_duplicate(update.incarnation)
            return
        self._put(merged, now)
        if current is None:
            has_changed, with_identity = True, True
        else:
            has_changed = records.differs(current, merged)
            with_identity = not current.is_listed
        if has_changed and should_broadcast:
            self._queue_broadcast(merged.incarnation, with_identity)

    def suspect(self, incarnation: str, now: int) -> None:
        """Suspect a member that did not answer a probe."""
        record = self.view.find(incarnation)
        if record is None or record.status is not Status.ALIVE:
            return
        self._put(attrs.evolve(record, status=Status.SUSPECT), now)
        self._queue_broadcast(incarnation, with_identity=False)

    def expire(self, now: int) -> None:
        """Apply the timers: suspects become dead, dead ones are removed.

        A death is not broadcast: every member runs its own timer, started
        when it received the suspicion.
        """
        for incarnation in _list_due(self._suspects, now):
            record = self.view.find(incarnation)
            if record is not None:
                self._put(attrs.evolve(record, status=Status.DEAD), now)
        for incarnation in _list_due(self._remove_at, now):
            del self._remove_at[incarnation]
            self.view.remove(incarnation)

    def postpone_expiry(self, extension: int) -> None:
        """Extend the deadline of every suspect.

        Parameters
        ----------
        extension : int
            Extension in milliseconds.
        """
        for incarnation in self._suspects:
            self._suspects[incarnation] += extension

    def reset(self) -> tuple[str, ...]:
        """Remove all other members.

        Returns
        -------
        tuple of str
            Peer addresses of the removed members.
        """
        own = self.own
        others = [record for record in self.view if record is not own]
        self._suspects.clear()
        self._remove_at.clear()
        for record in others:
            self.view.remove(record.incarnation)
        return tuple(record.identity.peer_address for record in others)

    def apply_versions(self, applied: messages.Applied) -> None:
        """Apply another member's summary of where a version is in force."""
        own = self.view.summarize_versions()
        if applied == own or applied.version < own.version:
            return
        for incarnation in self.view.list_up_to_date(applied):
            record = self.view.find(incarnation)
            if record is None or incarnation == self.own.incarnation:
                continue
            if record.version < applied.version:
                self.view.put(attrs.evolve(record, version=applied.version))

    def build_gossip(self, receiver: str = '') -> messages.Gossip:
        """Build the gossip that the next message carries.

        Parameters
        ----------
        receiver : str, optional
            Incarnation of the receiver.
        """
        selected = self._broadcasts.select(
            self._settings.max_updates, len(self.view.list_live())
        )
        updates = [
            records.describe(record, with_identity)
            for incarnation, with_identity in selected
            if (record := self.view.find(incarnation)) is not None
        ]
        # Only the receiver itself can refute a suspicion, and this may be
        # the one message that reaches it.
        receiver_record = self.view.find(receiver)
        if (
            receiver_record is not None
            and receiver_record.status is not Status.ALIVE
        ):
            updates.append(
                records.describe(receiver_record, with_identity=False)
            )
        return messages.Gossip(
            self.own.counter,
            self.own.version,
            self.view.summarize_versions(),
            tuple(updates),
        )

    def _refute(self, update: messages.Update) -> None:
        if update.status is Status.ALIVE or update.counter < self.own.counter:
            return
        self.view.put(attrs.evolve(self.own, counter=update.counter + 1))
        # A member that lists this process as dead may soon remove its
        # record, and its identity with it.
        is_dead = update.status is Status.DEAD
        self._queue_broadcast(self.own.incarnation, with_identity=is_dead)

    def _put(self, record: records.Record, now: int) -> None:
        """Replace a record and reset its timers if its status changed."""
        current = self.view.find(record.incarnation)
        self.view.put(record)
        if current is not None and _has_same_status(current, record):
            return
        self._suspects.pop(record.incarnation, None)
        self._remove_at.pop(record.incarnation, None)
        if record.status is Status.SUSPECT:
            deadline = now + self._settings.suspicion_ms
            self._suspects[record.incarnation] = deadline
        if not record.is_listed:
            remove_at = now + self._settings.dead_memory_ms
            self._remove_at[record.incarnation] = remove_at

    def _queue_broadcast(self, incarnation: str, with_identity: bool) -> None:
        self._broadcasts.add(incarnation, with_identity)
        self.has_updates = True


def _has_same_status(one: records.Record, other: records.Record) -> bool:
    return (one.status, one.counter) == (other.status, other.counter)


def _list_due(deadlines: dict[str, int], now: int) -> list[str]:
    return [name for name, at in deadlines.items() if at <= now]
