"""Keeps the local copy of the store's keys current and dates it."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import structlog

from thornspool.domain.freshness import age_limits
from thornspool.platform import documents
from thornspool.platform import exceptions
from thornspool.platform import registry
from thornspool.platform import store as store_module

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool import clock as clock_module
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.application.routing import stored_verdicts
    from thornspool.domain.entries import leadership as leadership_module
    from thornspool.domain.entries import view as view_module

MAX_WATCH_MS = 1_800
"""Longest wait of a watch; each watch is one call that the store charges."""

RECOVERY_WATCH_MS = 200
"""Wait of the first watch after a failure.

It is short, so that the copy is confirmed as soon as the store responds.
"""

FULL_READ_AGE_MS = 5_000
"""Age of the copy above which all keys are read instead of changes."""

FEED_CHECK_MS = 100
"""Interval at which an entry checks that its collector keeps it current.

It calls the store itself within this time after the feed stops.
"""

COALESCE_MS = 250
"""Delay after changes, so that one watch returns several of them.

The shortest bound for applying a change is 2 s.
"""

RETRY_MS = 150
"""Delay after the first failed call.

It doubles with each further failure, because the store also charges calls
that it rejects.
"""

MAX_RETRY_MS = 700
"""Longest delay between failed calls.

The copy is confirmed within this time after the store recovers.
"""

FEED_WAIT_MS = 800
"""Age of the copy up to which an entry waits for its collector's feed.

Above it the entry calls the store, early enough to apply changes that must
be in force within 2 s.
"""

CONFIRMATION_WATCH_MS = 1
"""Wait of a watch that only confirms the copy."""

CONFIRMATION_INTERVAL_MS = 1_000
"""Shortest interval of confirmations that callers cause.

Requests for unknown paths or with unknown keys must not make an entry call the
store for each of them.
"""

MAX_CONFIRMATION_WAITERS = 256
"""Requests of callers that wait for one confirmation."""

FIRST_WATCH_DELAY_MS = 400
"""Delay between the first read of all keys and the first watch.

Entries that start together register in this time. Without it, each
registration would end a watch.
"""

MAX_CHANGE_SETS = 64
"""Number of change sets retained for entries that missed them.

It covers about 10 s of consecutive changes.
"""

_MS_PER_S = 1000.0


def compute_watch_ms(bound_ms: float) -> int:
    """Compute the longest wait of a watch.

    A watch confirms the copy as of the time at which it was sent. If the
    next watch gets no response, it times out and a short one follows; the
    copy must stay valid for the sum of these times. With watches of 1.8 s
    and a bound of 4.25 s, one unresponsive connection made an entry refuse
    all requests with keys for 0.3 s.

    Parameters
    ----------
    bound_ms : float
        Age up to which the copy is valid, in milliseconds.

    Returns
    -------
    int
        Wait in milliseconds, at most ``MAX_WATCH_MS``.
    """
    overhead_ms = (
        store_module.WATCH_TIMEOUT_MARGIN_MS + RETRY_MS + 2 * RECOVERY_WATCH_MS
    )
    return max(
        RECOVERY_WATCH_MS, min(MAX_WATCH_MS, int(bound_ms - overhead_ms) // 2)
    )


logger = structlog.get_logger(__name__)


@attrs.frozen
class ChangeSet:
    """All changes between two revisions of the store.

    Attributes
    ----------
    since, until : int
        Revisions; the changes advance a copy from the first to the second.
    items : tuple of store_module.Item
        Changed keys.
    exact : bool
        Whether it applies only to a copy that is exactly at ``since``. Keys
        that were created and deleted in between are not listed, and a newer
        copy may contain them.
    """

    since: int
    until: int
    items: tuple[store_module.Item, ...]
    exact: bool = False


@attrs.frozen
class Coordination:
    """Callbacks by which entries share store calls through a collector.

    With the defaults an entry uses no collector.

    Attributes
    ----------
    receives_feed : callable
        Returns whether a collector keeps this copy current.
    is_collector_cut_off : callable
        Returns whether the collector responds but can't reach the store
        either.
    send_feed : callable
        Sends changes to the entries that this one keeps current; returns
        the number of these entries.
    is_follower : callable
        Returns whether another entry is the collector of this one.
    expects_catch_up : callable
        Returns whether the collector is current and will send the changes
        that this copy lacks.
    hand_over_collection : callable
        Makes another entry the collector, if this entry is one.
    draw_random : callable
        Returns a random number from 0 (inclusive) to 1 (exclusive).
    """

    receives_feed: Callable[[], bool] = lambda: False
    is_collector_cut_off: Callable[[], bool] = lambda: False
    send_feed: Callable[[ChangeSet], int] = lambda change_set: 0
    is_follower: Callable[[], bool] = lambda: False
    expects_catch_up: Callable[[], bool] = lambda: False
    hand_over_collection: Callable[[], None] = lambda: None
    draw_random: Callable[[], float] = lambda: 0.0


class Follower:
    """Reads all keys once and then applies their changes.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    store : store_module.Store
        Client of the store.
    routing_state : routing_state_module.RoutingState
        Receives configuration and servers.
    view : view_module.View
        Receives registrations of entries.
    leadership : leadership_module.Leadership
        Receives changes of the leader.
    limits : age_limits.AgeLimits, optional
        Ages of the copy at which it must be confirmed.
    coordination : Coordination, optional
        Callbacks for sharing store calls.
    verdicts : stored_verdicts.StoredVerdicts, optional
        Receives the verdicts on requests that crash servers.

    Attributes
    ----------
    revision : int
        Store revision of the local copy.
    previous_lease : int or None
        Lease under which an earlier process of this host is registered; 0
        for none, None before the first read.
    unapplied_count : int
        Changes that could not be applied because of an error.
    found_no_entry : bool
        Whether the first read showed no trace of any entry.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        store: store_module.Store,
        routing_state: routing_state_module.RoutingState,
        view: view_module.View,
        leadership: leadership_module.Leadership,
        limits: age_limits.AgeLimits = age_limits.DEFAULT,
        coordination: Coordination | None = None,
        verdicts: stored_verdicts.StoredVerdicts | None = None,
    ) -> None:
        self._clock = clock
        self._store = store
        self._routing_state = routing_state
        self._view = view
        self._leadership = leadership
        self.revision = 0
        self._must_read_all = True
        self.previous_lease: int | None = None
        self.unapplied_count = 0
        self._key_revisions: dict[str, int] = {}
        self._unapplied: store_module.Item | None = None
        self._change_sets: collections.deque[ChangeSet] = collections.deque(
            maxlen=MAX_CHANGE_SETS
        )
        self._limits = limits
        self._watch_ms = compute_watch_ms(limits.key_ms)
        self._coordination = coordination or Coordination()
        self._verdicts = verdicts
        self.found_no_entry = False
        self._confirmation_requested = asyncio.Event()
        self._confirmation_waiters: list[Callable[[], None]] = []
        self._next_confirmation_at = 0
        self._sends_feed = False
        self._received_feed = False
        self._reachable = False
        self._pause_ms = RETRY_MS
        self._called_at = clock.now()
        self._query_age_ms = self._draw_uniform(limits.query_range_ms)

    @property
    def is_start_recorded(self) -> bool:
        """Whether the store shows that entries have run before."""
        return registry.STARTED_KEY in self._key_revisions

    def request_confirmation(self, on_end: Callable[[], None]) -> bool:
        """Confirm the copy by one call for all that request it meanwhile.

        Parameters
        ----------
        on_end : callable
            Called when the call has succeeded or failed.

        Returns
        -------
        bool
            False if no call is made, as the store fails or the last call was
            made just before; ``on_end`` is not called then.
        """
        if (
            not self._reachable
            or self._must_read_all
            or len(self._confirmation_waiters) >= MAX_CONFIRMATION_WAITERS
        ):
            return False
        if not self._confirmation_waiters:
            now = self._clock.now()
            if now < self._next_confirmation_at:
                return False
            self._next_confirmation_at = now + CONFIRMATION_INTERVAL_MS
            self._confirmation_requested.set()
        self._confirmation_waiters.append(on_end)
        return True

    async def run_confirmations(self) -> None:
        """Confirm the copy on request until cancelled."""
        while True:
            await self._confirmation_requested.wait()
            self._confirmation_requested.clear()
            await self._confirm()
            waiters, self._confirmation_waiters = (
                self._confirmation_waiters,
                [],
            )
            loop = asyncio.get_running_loop()
            for on_end in waiters:
                # An error in one of them must not end this task.
                loop.call_soon(on_end)

    async def _confirm(self) -> None:
        try:
            await self._fetch_changes(CONFIRMATION_WATCH_MS)
        except exceptions.HistoryCompacted:
            self._must_read_all = True
        except exceptions.StoreError as error:
            # The next watch finds out whether the store responds.
            logger.info('confirmation_failed', reason=str(error))
        except Exception:
            # Requests wait for the end of the confirmation, whatever it is.
            logger.exception('confirmation_failed')

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if self._must_read_all:
                    await self._read_all()
                    await asyncio.sleep(FIRST_WATCH_DELAY_MS / _MS_PER_S)
                if self._coordination.receives_feed():
                    self._received_feed = True
                    await asyncio.sleep(FEED_CHECK_MS / _MS_PER_S)
                elif self._should_wait_for_collector():
                    await asyncio.sleep(FEED_CHECK_MS / _MS_PER_S)
                elif self._is_far_behind():
                    await self._read_all()
                else:
                    await self._watch()
            except exceptions.HistoryCompacted:
                logger.warning('history_lost', revision=self.revision)
                self._must_read_all = True
            except exceptions.StoreError as error:
                self._record_reachable(False, str(error))
                self._routing_state.record_store_failure(self._called_at)
                self._coordination.hand_over_collection()
                await self._wait_before_retry()

    def _should_wait_for_collector(self) -> bool:
        """Return whether the collector's feed may still replace a call."""
        if self._coordination.expects_catch_up():
            return True
        age = self._routing_state.freshness.compute_age(self._clock.now())
        if age is None or not self._coordination.is_follower():
            return False
        if self._coordination.is_collector_cut_off():
            return age < self._query_age_ms
        return age < FEED_WAIT_MS

    def _draw_uniform(self, range_ms: tuple[float, float]) -> int:
        """Draw a random time, so that entries do not call simultaneously."""
        minimum, maximum = range_ms
        return round(
            minimum + self._coordination.draw_random() * (maximum - minimum)
        )

    async def _wait_before_retry(self) -> None:
        """Wait before the next call after a failure.

        The long delay ends together with the shared outage. Otherwise the
        next collector could still be waiting, and its whole failure domain
        with it.
        """
        started_at = self._clock.now()
        retry_at = started_at + self._pause_ms
        outage_retry_at = started_at
        self._pause_ms = min(MAX_RETRY_MS, 2 * self._pause_ms)
        if self._coordination.is_collector_cut_off():
            outage_retry_at = started_at + self._draw_uniform(
                self._limits.retry_range_ms
            )
        while not self._coordination.receives_feed():
            now = self._clock.now()
            if (
                now < outage_retry_at
                and self._coordination.is_collector_cut_off()
            ):
                remaining_ms = outage_retry_at - now
            else:
                remaining_ms = retry_at - now
            if remaining_ms <= 0:
                return
            await asyncio.sleep(min(FEED_CHECK_MS, remaining_ms) / _MS_PER_S)

    async def _read_all(self) -> None:
        """Read all keys and remove those that no longer exist."""
        sent_at = self._called_at = self._clock.now()
        snapshot = await self._store.read_all('')
        # Changes from another entry may have been applied meanwhile.
        since = self.revision
        self._routing_state.record_store_contact(self._clock.now())
        if self.previous_lease is None:
            self.previous_lease = self._find_previous_lease(snapshot)
            self.found_no_entry = not any(
                item.key.startswith(registry.PREFIX) for item in snapshot.items
            )
        changes = self._compare(snapshot)
        for item in changes:
            self._apply(item)
        self.revision = max(since, snapshot.revision)
        self._must_read_all = False
        if since:
            self._pass_on(ChangeSet(since, self.revision, changes, exact=True))
        self._routing_state.freshness.confirm(sent_at)
        self._record_reachable(True, '')

    def _find_previous_lease(self, snapshot: store_module.Changes) -> int:
        """Return the lease of an earlier process of this host; 0 for none."""
        local_key = registry.ENTRIES_PREFIX + self._view.local.host
        return next(
            (item.lease for item in snapshot.items if item.key == local_key), 0
        )

    def _compare(
        self, snapshot: store_module.Changes
    ) -> tuple[store_module.Item, ...]:
        """List the changes since the copy's revision, deletions first.

        Keys that this copy already has in a newer version than its revision
        are listed too, because other copies of that revision may lack them.
        """
        present = {item.key for item in snapshot.items}
        deleted = [
            store_module.Item(key, snapshot.revision, None)
            for key in self._key_revisions
            if key not in present
        ]
        changed = [
            item for item in snapshot.items if item.revision > self.revision
        ]
        return (*deleted, *changed)

    def _pass_on(self, change_set: ChangeSet) -> None:
        """Retain changes and send them to entries that use this collector."""
        self._retain(change_set)
        self._sends_feed = self._coordination.send_feed(change_set) > 0

    def _retain(self, change_set: ChangeSet) -> None:
        if change_set.until > change_set.since:
            self._change_sets.append(change_set)

    def find_changes_since(self, revision: int) -> ChangeSet | None:
        """Combine all changes after the revision of another copy.

        Parameters
        ----------
        revision : int
            Revision that the other copy has reached.

        Returns
        -------
        ChangeSet or None
            None if there are no changes or they are no longer retained.
        """
        items: dict[str, store_module.Item] = {}
        covered_since = self.revision
        exact = False
        while covered_since > revision:
            change_set = self._find_set_before(covered_since, revision)
            if change_set is None:
                return None
            for item in change_set.items:
                previous = items.get(item.key)
                if previous is None or previous.revision < item.revision:
                    items[item.key] = item
            covered_since = change_set.since
            exact = exact or change_set.exact
        if self.revision <= revision:
            return None
        return ChangeSet(revision, self.revision, tuple(items.values()), exact)

    def _find_set_before(
        self, covered_since: int, revision: int
    ) -> ChangeSet | None:
        """Find the retained changes that lead furthest back from a revision.

        Watches of this entry and changes of other entries overlap, and are
        retained in the order in which they arrive.
        """
        candidates = [
            one
            for one in self._change_sets
            if one.since < covered_since <= one.until
            and not (one.exact and one.since < revision)
        ]
        return min(candidates, key=lambda one: one.since, default=None)

    async def _watch(self) -> None:
        self._retry_unapplied()
        self._called_at = self._clock.now()
        has_changes = await self._fetch_changes(self._choose_watch_ms())
        self._received_feed = False
        self._record_reachable(True, '')
        self._query_age_ms = self._draw_uniform(self._limits.query_range_ms)
        if has_changes:
            await asyncio.sleep(COALESCE_MS / _MS_PER_S)

    async def _fetch_changes(self, wait_ms: int) -> bool:
        """Watch the store once and return whether anything has changed."""
        sent_at = self._clock.now()
        since = self.revision
        changes = await self._store.watch('', since, wait_ms)
        self._routing_state.record_store_contact(self._clock.now())
        self._apply_new(changes.items)
        self.revision = max(self.revision, changes.revision)
        self._pass_on(ChangeSet(since, changes.revision, changes.items))
        # The response includes every write acknowledged before the call was
        # sent.
        self._routing_state.freshness.confirm(sent_at)
        return bool(changes.items)

    def _is_far_behind(self) -> bool:
        """Return whether reading all keys is cheaper than a watch.

        A watch returns each version of a key that was written meanwhile.
        """
        freshness = self._routing_state.freshness
        if freshness.is_withheld and self.revision:
            # The copy has all changes, and ages for another reason.
            return False
        age = freshness.compute_age(self._clock.now())
        return age is None or age > FULL_READ_AGE_MS

    def _choose_watch_ms(self) -> int:
        """Choose the wait of the next watch."""
        if not self._reachable or self._received_feed:
            # The collector no longer keeps this copy current, and the copy
            # has aged meanwhile.
            return RECOVERY_WATCH_MS
        if self._sends_feed:
            return min(self._limits.collector_watch_ms, self._watch_ms)
        return self._watch_ms

    def apply_change_set(self, change_set: ChangeSet) -> None:
        """Apply changes that another entry has sent.

        Changes that start after the revision of this copy are ignored. An
        earlier datagram was lost, and the next state update reports that
        this copy is behind.
        """
        if self.revision == 0 or change_set.since > self.revision:
            return
        if change_set.exact and change_set.since != self.revision:
            return
        self._routing_state.record_store_contact(self._clock.now())
        self._apply_new(change_set.items)
        if change_set.until > self.revision:
            self.revision = change_set.until
            self._retain(change_set)

    def _apply_new(self, items: Iterable[store_module.Item]) -> None:
        """Apply the changes that this copy has not reached yet.

        A change that comes late may list a key that was removed since.
        """
        for item in items:
            if item.revision > self.revision:
                self._apply(item)

    def _apply(self, item: store_module.Item) -> None:
        """Apply a change; a duplicate or an older one has no effect.

        An error concerns the change alone, whatever it is: the others of the
        same answer are applied, and the copy continues after it.
        """
        if item.revision <= self._key_revisions.get(item.key, 0):
            return
        if item.value is None:
            self._key_revisions.pop(item.key, None)
        else:
            self._key_revisions[item.key] = item.revision
        try:
            if item.value is None:
                self._remove(item.key, item.revision)
            else:
                self._apply_value(item.key, item.value, item.revision)
        except Exception as error:
            self._handle_unapplied(item, str(error))

    def _handle_unapplied(self, item: store_module.Item, reason: str) -> None:
        """Keep the copy from being used for what a change has replaced."""
        self.unapplied_count += 1
        logger.exception(
            'change_not_applied', key=item.key, revision=item.revision
        )
        if item.key == documents.CONFIGURATION_KEY:
            self._unapplied = item
            self._withhold_confirmations(item.revision, reason)
        elif item.value is not None and item.key.startswith(
            documents.SERVERS_PREFIX
        ):
            try:
                self._remove(item.key, item.revision)
            except Exception:
                logger.exception(
                    'change_not_applied', key=item.key, revision=item.revision
                )

    def _retry_unapplied(self) -> None:
        """Apply a configuration once more that an error has kept out."""
        item, self._unapplied = self._unapplied, None
        if item is not None and item.revision == self._key_revisions.get(
            item.key
        ):
            del self._key_revisions[item.key]
            self._apply(item)

    def _withhold_confirmations(self, revision: int, reason: str) -> None:
        """Let the copy age, as the newest configuration is not in force.

        A confirmed copy would deny, or serve, by an older configuration.
        """
        self._routing_state.freshness.is_withheld = True
        logger.error(
            'configuration_malformed', revision=revision, reason=reason
        )

    def _apply_value(self, key: str, value: bytes, revision: int) -> None:
        now = self._clock.now()
        if key == documents.CONFIGURATION_KEY:
            self._apply_configuration(value, revision)
        elif key.startswith(documents.SERVERS_PREFIX):
            server = documents.decode_server(key, value)
            if server is not None:
                self._routing_state.apply_server(server, now)
            else:
                name = key.removeprefix(documents.SERVERS_PREFIX)
                self._routing_state.remove_server(name, now, revision)
        elif key.startswith(registry.ENTRIES_PREFIX):
            record = registry.decode_record(key, value)
            if record is not None:
                self._view.apply_record(record, now)
        elif key == registry.LEADER_KEY:
            self._leadership.apply_holder(
                registry.decode_leader(value, revision), now
            )
        elif key.startswith(registry.VERDICTS_PREFIX) and self._verdicts:
            self._verdicts.apply(key.removeprefix(registry.VERDICTS_PREFIX))

    def _apply_configuration(self, value: bytes, revision: int) -> None:
        try:
            configuration = documents.decode_configuration(value)
        except exceptions.DecodeError as error:
            # The store accepts only valid configurations, so this one uses a
            # schema that this version does not support.
            self._withhold_confirmations(revision, str(error))
            return
        self._routing_state.apply_configuration(configuration)
        self._routing_state.freshness.is_withheld = False

    def _remove(self, key: str, revision: int) -> None:
        now = self._clock.now()
        if key.startswith(documents.SERVERS_PREFIX):
            name = key.removeprefix(documents.SERVERS_PREFIX)
            self._routing_state.remove_server(name, now, revision)
        elif key.startswith(registry.ENTRIES_PREFIX):
            self._view.remove(key.removeprefix(registry.ENTRIES_PREFIX), now)
        elif key == registry.LEADER_KEY:
            self._leadership.apply_holder(None, now)
        elif key.startswith(registry.VERDICTS_PREFIX) and self._verdicts:
            self._verdicts.remove(key.removeprefix(registry.VERDICTS_PREFIX))

    def _record_reachable(self, reachable: bool, reason: str) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            if reachable:
                self._pause_ms = RETRY_MS
                logger.info('store_regained', revision=self.revision)
            else:
                logger.warning('store_lost', reason=reason)
