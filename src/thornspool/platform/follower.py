"""Keeps the local copy of the store's keys current, with a proof."""

from __future__ import annotations

import asyncio
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

SHARED_RETRY_MS = 2_500
"""Pause of an entry whose collector can't reach the store either.

The collector's next answer keeps it current without a call of its own.
"""

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
    """

    since: int
    until: int
    items: tuple[store_module.Item, ...]


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
    """

    is_fed: Callable[[], bool] = lambda: False
    shares_outage: Callable[[], bool] = lambda: False
    feed: Callable[[Update], int] = lambda update: 0


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
        self._known: dict[str, int] = {}
        self._watch_ms = watch_ms
        self._sharing = sharing or Sharing()
        self._feeds = False
        self._was_fed = False
        self._reachable = False
        self._pause_ms = RETRY_MS

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if self.revision == 0:
                    await self._read_all()
                if self._sharing.is_fed():
                    self._was_fed = True
                    await asyncio.sleep(FED_CHECK_MS / _MS_PER_S)
                elif self._is_far_behind():
                    await self._read_all()
                else:
                    await self._watch()
            except exceptions.HistoryLost:
                logger.warning('history_lost', revision=self.revision)
                self.revision = 0
            except exceptions.StoreError as error:
                self._note_reachable(False, str(error))
                await self._pause()

    async def _pause(self) -> None:
        """Wait until the store is worth another call."""
        length_ms = self._pause_ms
        self._pause_ms = min(MAX_RETRY_MS, 2 * self._pause_ms)
        if self._sharing.shares_outage():
            length_ms = SHARED_RETRY_MS
        end = self._clock.now() + length_ms
        while not self._sharing.is_fed() and self._clock.now() < end:
            left_ms = end - self._clock.now()
            await asyncio.sleep(min(FED_CHECK_MS, left_ms) / _MS_PER_S)

    async def _read_all(self) -> None:
        """Read every key, and drop what is no longer there."""
        sent_at = self._clock.now()
        read = await self._store.read_all('')
        self._beliefs.note_contact(self._clock.now())
        present = {item.key for item in read.items}
        for key in [one for one in self._known if one not in present]:
            del self._known[key]
            self._remove(key)
        for item in read.items:
            self._apply(item)
        self.revision = read.revision
        self._beliefs.proof.renew(sent_at)
        self._note_reachable(True, '')

    async def _watch(self) -> None:
        sent_at = self._clock.now()
        since = self.revision
        changes = await self._store.watch('', since, self._choose_wait())
        self._beliefs.note_contact(self._clock.now())
        self._was_fed = False
        for item in changes.items:
            self._apply(item)
        self.revision = max(self.revision, changes.revision)
        self._feeds = (
            self._sharing.feed(Update(since, changes.revision, changes.items))
            > 0
        )
        # What was acknowledged before the call was sent is in its answer.
        self._beliefs.proof.renew(sent_at)
        self._note_reachable(True, '')
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
        self._beliefs.note_contact(self._clock.now())
        for item in update.items:
            self._apply(item)
        self.revision = max(self.revision, update.until)

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
