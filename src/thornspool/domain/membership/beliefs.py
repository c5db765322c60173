"""What this process believes of the members, and what it tells of it."""

from __future__ import annotations

import attrs

from thornspool.domain.membership import broadcasts
from thornspool.domain.membership import messages
from thornspool.domain.membership import records
from thornspool.domain.membership import settings as settings_module
from thornspool.domain.membership import views

Status = messages.Status


class Beliefs:
    """The table of members, its timers and the news still to be spread.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : Settings
        Timeouts and bounds.

    Attributes
    ----------
    view : View
        The table.
    has_news : bool
        Whether something changed that others have to hear; cleared by the
        reader.
    """

    def __init__(
        self,
        identity: messages.Identity,
        settings: settings_module.Settings,
    ) -> None:
        self.view = views.View(records.Record(identity))
        self.has_news = False
        self._settings = settings
        self._broadcasts = broadcasts.Broadcasts(settings.transmissions)
        self._suspects: dict[str, int] = {}
        self._forget_at: dict[str, int] = {}

    @property
    def is_settled(self) -> bool:
        """Whether there is no news left to spread."""
        return not self._broadcasts

    @property
    def own(self) -> records.Record:
        """What this process says of itself."""
        return self.view.own

    def leave(self, status: messages.Status) -> None:
        """Say that this process leaves, or with ``LEFT`` that it is gone."""
        self.view.put(attrs.evolve(self.own, leaving=True, status=status))
        self._spread(self.own.incarnation, with_identity=False)

    def set_version(self, version: int) -> None:
        """Note the configuration version in force here."""
        self.view.put(attrs.evolve(self.own, version=version))

    def merge(
        self, update: messages.Update, now: int, is_spread: bool = True
    ) -> None:
        """Take news of a member in, and pass it on if it is new here."""
        if update.incarnation == self.own.incarnation:
            self._refute(update)
            return
        known = self.view.find(update.incarnation)
        if known is None:
            merged = records.accept(update)
        else:
            merged = records.merge(known, update)
        if merged is None:
            return
        if merged is known:
            # Suspicions are sent to the end: who misses one has to find
            # out by itself, which was seen to take 20 s and more.
            if update.identity is not None:
                self._broadcasts.note_heard(update.incarnation)
            return
        self._put(merged, now)
        if known is None:
            is_news, with_identity = True, True
        else:
            is_news = records.differs(known, merged)
            with_identity = not known.is_live
        if is_news and is_spread:
            self._spread(merged.incarnation, with_identity)

    def suspect(self, incarnation: str, now: int) -> None:
        """Doubt a member that did not answer."""
        record = self.view.find(incarnation)
        if record is None or record.status is not Status.ALIVE:
            return
        self._put(attrs.evolve(record, status=Status.SUSPECT), now)
        self._spread(incarnation, with_identity=False)

    def expire(self, now: int) -> None:
        """Declare suspects dead and forget the dead when it is time.

        A death is not spread: every member has its own timer, started when
        it heard of the suspicion.
        """
        for incarnation in _list_due(self._suspects, now):
            record = self.view.find(incarnation)
            if record is not None:
                self._put(attrs.evolve(record, status=Status.DEAD), now)
        for incarnation in _list_due(self._forget_at, now):
            del self._forget_at[incarnation]
            self.view.remove(incarnation)

    def postpone(self, gap: int) -> None:
        """Give every suspect some more time.

        Parameters
        ----------
        gap : int
            Milliseconds.
        """
        for incarnation in self._suspects:
            self._suspects[incarnation] += gap

    def start_over(self) -> tuple[str, ...]:
        """Forget all others.

        Returns
        -------
        tuple of str
            Their peer addresses.
        """
        own = self.own
        others = [record for record in self.view if record is not own]
        self._suspects.clear()
        self._forget_at.clear()
        for record in others:
            self.view.remove(record.incarnation)
        return tuple(record.identity.peer_address for record in others)

    def hear_applied(self, applied: messages.Applied) -> None:
        """Take in where another member knows a version to be in force."""
        own = self.view.summarize_versions()
        if applied == own or applied.version < own.version:
            return
        for incarnation in self.view.list_applied(applied):
            record = self.view.find(incarnation)
            if record is None or incarnation == self.own.incarnation:
                continue
            if record.version < applied.version:
                self.view.put(attrs.evolve(record, version=applied.version))

    def tell(self, receiver: str = '') -> messages.Gossip:
        """Make what the next message carries.

        Parameters
        ----------
        receiver : str, optional
            Incarnation that it goes to.
        """
        taken = self._broadcasts.take(
            self._settings.max_updates, len(self.view.list_live())
        )
        updates = [
            records.describe(record, with_identity)
            for incarnation, with_identity in taken
            if (record := self.view.find(incarnation)) is not None
        ]
        # Only the accused can refute, and this may be the one message that
        # reaches it.
        accused = self.view.find(receiver)
        if accused is not None and accused.status is not Status.ALIVE:
            updates.append(records.describe(accused, with_identity=False))
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
        # Who holds this process for dead may soon forget who it is.
        is_dead = update.status is Status.DEAD
        self._spread(self.own.incarnation, with_identity=is_dead)

    def _put(self, record: records.Record, now: int) -> None:
        """Replace a record and set the timers that belong to it."""
        known = self.view.find(record.incarnation)
        self.view.put(record)
        if known is not None and _has_same_belief(known, record):
            return
        self._suspects.pop(record.incarnation, None)
        self._forget_at.pop(record.incarnation, None)
        if record.status is Status.SUSPECT:
            deadline = now + self._settings.suspicion_ms
            self._suspects[record.incarnation] = deadline
        if not record.is_live:
            forget_at = now + self._settings.dead_memory_ms
            self._forget_at[record.incarnation] = forget_at

    def _spread(self, incarnation: str, with_identity: bool) -> None:
        self._broadcasts.add(incarnation, with_identity)
        self.has_news = True


def _has_same_belief(one: records.Record, other: records.Record) -> bool:
    return (one.status, one.counter) == (other.status, other.counter)


def _list_due(deadlines: dict[str, int], now: int) -> list[str]:
    return [name for name, at in deadlines.items() if at <= now]
