"""Keeps the local copy of the store's keys current, with a proof."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import structlog

from thornspool.platform import documents
from thornspool.platform import exceptions
from thornspool.platform import registry
from thornspool.platform import store as store_module

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module
    from thornspool.application.routing import beliefs as beliefs_module
    from thornspool.domain.entries import leadership as leadership_module
    from thornspool.domain.entries import view as view_module

MAX_WATCH_MS = 1_800
"""Longest watch: one priced call in that time."""

FEEDING_WATCH_MS = 800
"""Longest watch of an entry that others rely on: the age of its proof is up
to twice that, and theirs adds two turns of news."""

PROBE_WATCH_MS = 200
"""Length of the first watch after a failure, so that the proof is renewed
at once when the store answers again."""

REREAD_AGE_MS = 5_000
"""Age of the proof past which all keys are read in place of changes."""

FED_CHECK_MS = 100
"""Pause of an entry that is kept current by another one; it turns to the
store within this when that stops."""

COALESCE_MS = 250
"""Pause after changes, so that changes in quick succession come with one
answer; the shortest bound for them is 2 s."""

RETRY_MS = 150
"""Pause after the first call that failed; it doubles with each further one,
since the store counts calls that it refuses too."""

MAX_RETRY_MS = 700
"""Longest pause between calls that fail: the proof is renewed within this
of the store's return."""

SHARED_RETRY_MS = (2_500, 5_000)
"""Range of the pause of an entry whose collector can't reach the store either.

The collector's next answer keeps it current without a call of its own.
"""

SHARED_AGE_MS = (3_200, 6_000)
"""Range of the age of its proof at which such an entry asks the store itself.

Other entries collect in turn until the store answers one of them; an entry
that alone is answered still asks, and most shared outages end before.
"""

FEED_WAIT_MS = 800
"""Age of the proof up to which an entry waits for its collector's word before
another call; changes that must be in force within 2 s are seen in time."""

JOIN_PAUSE_MS = 400
"""Pause between the first reading and the first watch.

Entries that start together register within it; a watch begun at once would
return with the first of them, and so would the next.
"""

MAX_UPDATES = 64
"""Changes that are kept for entries that missed them; some 10 s of those that
come one after the other."""

_MS_PER_S = 1000.0


def compute_watch_ms(bound_ms: float) -> int:
    """Compute how long a watch may wait.

    A proof is dated at the sending of a watch that then waits. When the
    next one hangs on a connection that went silent, it is given up and a
    short one asks again; all that must fit into the time for which a proof
    counts. With watches of 1.8 s and a bound of 4.25 s one silent
    connection made an entry refuse every keyed request for 0.3 s.

    Parameters
    ----------
    bound_ms : float
        Time for which a proof counts, in milliseconds.

    Returns
    -------
    int
        Milliseconds, at most ``MAX_WATCH_MS``.
    """
    spent = store_module.WATCH_SLACK_MS + RETRY_MS + 2 * PROBE_WATCH_MS
    return max(PROBE_WATCH_MS, min(MAX_WATCH_MS, int(bound_ms - spent) // 2))


logger = structlog.get_logger(__name__)


@attrs.frozen
class Update:
    """All changes between two revisions of the store.

    Attributes
    ----------
    since, until : int
        Revisions; a copy that has reached the first reaches the second.
    items : tuple of store_module.Item
        Keys that changed.
    exact : bool
        Whether only a copy that has reached just ``since`` may take it: it
        names no key that came and went in between, which a copy further on
        may hold.
    """

    since: int
    until: int
    items: tuple[store_module.Item, ...]
    exact: bool = False


@attrs.frozen
class Sharing:
    """How entries spare each other calls; by default they do not.

    Attributes
    ----------
    is_fed : callable
        Tells whether another entry keeps this copy current.
    shares_outage : callable
        Tells whether the entry that would do so can't reach the store
        either.
    feed : callable
        Passes changes on to those whom this entry keeps current; returns
        how many these are.
    has_collector : callable
        Tells whether another entry is to keep this copy current.
    may_catch_up : callable
        Tells whether that entry is current and will bring what is missing.
    hand_over : callable
        Leaves keeping others current to another entry, where this one does.
    draw : callable
        Random numbers from 0 to under 1.
    """

    is_fed: Callable[[], bool] = lambda: False
    shares_outage: Callable[[], bool] = lambda: False
    feed: Callable[[Update], int] = lambda update: 0
    has_collector: Callable[[], bool] = lambda: False
    may_catch_up: Callable[[], bool] = lambda: False
    hand_over: Callable[[], None] = lambda: None
    draw: Callable[[], float] = lambda: 0.0


class Follower:
    """Reads all keys once and then follows their changes.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    store : store_module.Store
        The store.
    beliefs : beliefs_module.Beliefs
        Takes configuration and servers.
    view : view_module.View
        Takes registrations.
    lead : leadership_module.Leadership
        Takes who leads.
    watch_ms : int
        Length of a watch, in milliseconds.
    sharing : Sharing, optional
        How it spares calls.

    Attributes
    ----------
    revision : int
        Revision of the store that the copy has reached.
    old_lease : int or None
        Lease under which an earlier process of this host was registered; 0
        for none, None before the first reading.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        store: store_module.Store,
        beliefs: beliefs_module.Beliefs,
        view: view_module.View,
        lead: leadership_module.Leadership,
        watch_ms: int = MAX_WATCH_MS,
        sharing: Sharing | None = None,
    ) -> None:
        self._clock = clock
        self._store = store
        self._beliefs = beliefs
        self._view = view
        self._lead = lead
        self.revision = 0
        self._must_read = True
        self.old_lease: int | None = None
        self._known: dict[str, int] = {}
        self._updates: collections.deque[Update] = collections.deque(
            maxlen=MAX_UPDATES
        )
        self._watch_ms = watch_ms
        self._sharing = sharing or Sharing()
        self._feeds = False
        self._was_fed = False
        self._reachable = False
        self._pause_ms = RETRY_MS
        self._shared_age_ms = self._draw_from(SHARED_AGE_MS)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if self._must_read:
                    await self._read_all()
                    await asyncio.sleep(JOIN_PAUSE_MS / _MS_PER_S)
                if self._sharing.is_fed():
                    self._was_fed = True
                    await asyncio.sleep(FED_CHECK_MS / _MS_PER_S)
                elif self._awaits_feed():
                    await asyncio.sleep(FED_CHECK_MS / _MS_PER_S)
                elif self._is_far_behind():
                    await self._read_all()
                else:
                    await self._watch()
            except exceptions.HistoryLost:
                logger.warning('history_lost', revision=self.revision)
                self._must_read = True
            except exceptions.StoreError as error:
                self._note_reachable(False, str(error))
                self._sharing.hand_over()
                await self._pause()

    def _awaits_feed(self) -> bool:
        """Tell whether a word of the collector may still spare a call."""
        if self._sharing.may_catch_up():
            return True
        age = self._beliefs.proof.compute_age(self._clock.now())
        if age is None or not self._sharing.has_collector():
            return False
        if self._sharing.shares_outage():
            return age < self._shared_age_ms
        return age < FEED_WAIT_MS

    def _draw_from(self, limits: tuple[int, int]) -> int:
        """Draw a time, so that entries do not ask together."""
        least, most = limits
        return round(least + self._sharing.draw() * (most - least))

    async def _pause(self) -> None:
        """Wait until the store is worth another call.

        The long pause of a shared outage ends with it: whoever is to collect
        next would else be waited for by its whole failure domain.
        """
        begun = self._clock.now()
        end = begun + self._pause_ms
        shared_end = begun
        self._pause_ms = min(MAX_RETRY_MS, 2 * self._pause_ms)
        if self._sharing.shares_outage():
            shared_end = begun + self._draw_from(SHARED_RETRY_MS)
        while not self._sharing.is_fed():
            now = self._clock.now()
            if now < shared_end and self._sharing.shares_outage():
                left_ms = shared_end - now
            else:
                left_ms = end - now
            if left_ms <= 0:
                return
            await asyncio.sleep(min(FED_CHECK_MS, left_ms) / _MS_PER_S)

    async def _read_all(self) -> None:
        """Read every key, and drop what is no longer there."""
        sent_at = self._clock.now()
        read = await self._store.read_all('')
        # Another entry may have brought this copy further meanwhile.
        since = self.revision
        self._beliefs.note_contact(self._clock.now())
        if self.old_lease is None:
            self.old_lease = self._find_old_lease(read)
        changes = self._compare(read)
        for item in changes:
            self._apply(item)
        self.revision = max(since, read.revision)
        self._must_read = False
        if since:
            self._pass_on(Update(since, self.revision, changes, exact=True))
        self._beliefs.proof.renew(sent_at)
        self._note_reachable(True, '')

    def _find_old_lease(self, read: store_module.Changes) -> int:
        """Find the lease of an earlier process of this host; 0 for none."""
        own_key = registry.ENTRIES_PREFIX + self._view.own.host
        return next(
            (item.lease for item in read.items if item.key == own_key), 0
        )

    def _compare(
        self, read: store_module.Changes
    ) -> tuple[store_module.Item, ...]:
        """List what has changed since the copy's revision, deletions first.

        A key that the copy has in a newer version than its revision is
        listed too, as other copies of that revision may lack it.
        """
        present = {item.key for item in read.items}
        gone = [
            store_module.Item(key, read.revision, None)
            for key in self._known
            if key not in present
        ]
        new = [item for item in read.items if item.revision > self.revision]
        return (*gone, *new)

    def _pass_on(self, update: Update) -> None:
        """Keep changes, and pass them on to those who rely on this entry."""
        self._keep(update)
        self._feeds = self._sharing.feed(update) > 0

    def _keep(self, update: Update) -> None:
        if update.until > update.since:
            self._updates.append(update)

    def find_since(self, revision: int) -> Update | None:
        """Find all changes after a revision that another copy has reached.

        Returns
        -------
        Update or None
            None where there are none, or they are no longer kept.
        """
        items: dict[str, store_module.Item] = {}
        reached = self.revision
        exact = False
        for update in reversed(self._updates):
            if reached <= revision:
                break
            if update.until < reached:
                return None
            if update.exact and update.since < revision:
                return None
            for item in update.items:
                known = items.get(item.key)
                if known is None or known.revision < item.revision:
                    items[item.key] = item
            reached = min(reached, update.since)
            exact = exact or update.exact
        if reached > revision or self.revision <= revision:
            return None
        return Update(revision, self.revision, tuple(items.values()), exact)

    async def _watch(self) -> None:
        sent_at = self._clock.now()
        since = self.revision
        changes = await self._store.watch('', since, self._choose_wait())
        self._beliefs.note_contact(self._clock.now())
        self._was_fed = False
        for item in changes.items:
            self._apply(item)
        self.revision = max(self.revision, changes.revision)
        self._pass_on(Update(since, changes.revision, changes.items))
        # What was acknowledged before the call was sent is in its answer.
        self._beliefs.proof.renew(sent_at)
        self._note_reachable(True, '')
        self._shared_age_ms = self._draw_from(SHARED_AGE_MS)
        if changes.items:
            await asyncio.sleep(COALESCE_MS / _MS_PER_S)

    def _is_far_behind(self) -> bool:
        """Tell whether reading all is cheaper than all changes since.

        A watch brings each version of a key that was written meanwhile.
        """
        age = self._beliefs.proof.compute_age(self._clock.now())
        return age is None or age > REREAD_AGE_MS

    def _choose_wait(self) -> int:
        """Choose the length of the next watch."""
        if not self._reachable or self._was_fed:
            # The one who kept this copy current is no longer relied on,
            # and its proof has aged meanwhile.
            return PROBE_WATCH_MS
        if self._feeds:
            return min(FEEDING_WATCH_MS, self._watch_ms)
        return self._watch_ms

    def take_update(self, update: Update) -> None:
        """Take changes that another entry has passed on.

        One that begins later than this copy ends is left: one before it
        was lost, and the news that follow show that this copy is behind.
        """
        if self.revision == 0 or update.since > self.revision:
            return
        if update.exact and update.since != self.revision:
            return
        self._beliefs.note_contact(self._clock.now())
        for item in update.items:
            self._apply(item)
        if update.until > self.revision:
            self.revision = update.until
            self._keep(update)

    def _apply(self, item: store_module.Item) -> None:
        """Apply a change once; a repeated or older one changes nothing."""
        if item.revision <= self._known.get(item.key, 0):
            return
        if item.value is None:
            self._known.pop(item.key, None)
            self._remove(item.key)
            return
        self._known[item.key] = item.revision
        self._take(item.key, item.value, item.revision)

    def _take(self, key: str, value: bytes, revision: int) -> None:
        now = self._clock.now()
        if key == documents.CONFIGURATION_KEY:
            self._take_configuration(value)
        elif key.startswith(documents.SERVERS_PREFIX):
            server = documents.decode_server(key, value)
            if server is not None:
                self._beliefs.take_server(server, now)
            else:
                name = key.removeprefix(documents.SERVERS_PREFIX)
                self._beliefs.remove_server(name, now)
        elif key.startswith(registry.ENTRIES_PREFIX):
            record = registry.decode_record(key, value)
            if record is not None:
                self._view.take_record(record, now)
        elif key == registry.LEAD_KEY:
            self._lead.take_holder(
                registry.decode_holder(value, revision), now
            )

    def _take_configuration(self, value: bytes) -> None:
        try:
            read = documents.decode_configuration(value)
        except exceptions.DecodeError as error:
            # The store takes only valid ones, so this is a form that this
            # version does not know. The one in force stays.
            logger.error('configuration_malformed', reason=str(error))
            return
        self._beliefs.take_configuration(read)

    def _remove(self, key: str) -> None:
        now = self._clock.now()
        if key.startswith(documents.SERVERS_PREFIX):
            name = key.removeprefix(documents.SERVERS_PREFIX)
            self._beliefs.remove_server(name, now)
        elif key.startswith(registry.ENTRIES_PREFIX):
            self._view.remove(key.removeprefix(registry.ENTRIES_PREFIX))
        elif key == registry.LEAD_KEY:
            self._lead.take_holder(None, now)

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            if reachable:
                self._pause_ms = RETRY_MS
                logger.info('store_regained', revision=self.revision)
            else:
                logger.warning('store_lost', reason=reason)
