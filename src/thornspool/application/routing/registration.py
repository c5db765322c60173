"""Registers this entry in the store and claims the leadership."""

from __future__ import annotations

import typing

import structlog

from thornspool.application.routing import exceptions
from thornspool.domain.entries import leadership as leadership_module
from thornspool.domain.entries import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module
    from thornspool.domain.entries import view as view_module

INITIAL_BACKOFF_MS = 500
"""Pause after the first failed call. It doubles with each further failure,
since the store counts the calls that it rejects too."""

MAX_BACKOFF_MS = 4_000
"""Maximum pause between failing calls. A registration that expired in an
outage is renewed within this time after the store returns."""

logger = structlog.get_logger(__name__)


class Registry(typing.Protocol):
    """Interface to the store; each call raises exceptions of this package."""

    async def open_lease(self, ttl_ms: int) -> int:
        """Open a lease and return its identifier."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""

    async def register(self, record: messages.Record, lease: int) -> None:
        """Write the registration of this entry."""

    async def record_start(self) -> None:
        """Record that entries have run, in a key that remains.

        Raises
        ------
        exceptions.RegistryConflict
            If it is recorded already.
        """

    async def claim_leadership(
        self, record: messages.Record, lease: int, revision: int
    ) -> int:
        """Write the leader key if it still has a revision.

        Parameters
        ----------
        record : messages.Record
            Registration of this entry.
        lease : int
            Lease under which the key is written.
        revision : int
            Revision that the key must have; 0 for none.

        Returns
        -------
        int
            New revision of the key.
        """

    async def release_leadership(self, revision: int) -> None:
        """Delete the leader key if it still has a revision."""


class RegistrationService:
    """Keeps the registration alive and claims the leadership when it is free.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    view : view_module.View
        This entry and the others.
    leadership : leadership_module.Leadership
        Local view of the leadership.
    registry : Registry
        Client for the store.
    find_old_lease : callable, optional
        Returns the lease of an earlier process of this host, 0 if there is
        none, and None while this is unknown.

    Attributes
    ----------
    may_lead : callable
        Returns whether this entry may hold the leadership.
    is_start_recorded : callable
        Returns whether the store is known to show that entries have run.
    on_start_recorded : callable
        Called when this entry has recorded it as the first one.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        view: view_module.View,
        leadership: leadership_module.Leadership,
        registry: Registry,
        find_old_lease: Callable[[], int | None] = lambda: 0,
    ) -> None:
        self._clock = clock
        self._view = view
        self._leadership = leadership
        self._registry = registry
        self._find_previous_lease = find_old_lease
        self._tried_old_lease = False
        self._lease: int | None = None
        self._renewed_at = 0
        self._leadership_lease: int | None = None
        self._lead_lease_renewed_at = 0
        self._registered = False
        self._leaving = False
        self._has_tried_start = False
        self.may_lead: Callable[[], bool] = lambda: True
        self.is_start_recorded: Callable[[], bool] = lambda: True
        self.on_start_recorded: Callable[[], None] = lambda: None
        self._reachable = True
        self._retry_at = 0
        self._backoff_ms = INITIAL_BACKOFF_MS

    async def tick(self) -> None:
        """Renew leases that are due; called several times per second."""
        if self._clock.now() < self._retry_at:
            return
        try:
            if not self.may_lead():
                await self._give_up_leadership()
            await self._renew_leadership()
            await self._record_start()
            await self._renew_registration()
            await self._claim_leadership()
        except exceptions.LeaseLost:
            logger.warning('lease_lost', lease=self._lease)
            self._lease = None
            self._registered = False
        except exceptions.RegistryConflict as error:
            logger.info('lead_not_won', reason=str(error))
        except exceptions.RegistryUnavailable as error:
            self._retry_at = self._clock.now() + self._advance_backoff()
            self._record_reachable(False, str(error))

    async def release_leadership(self) -> None:
        """Release the leadership and do not claim it again.

        The registration stays until the process ends. Its in-flight requests
        still reserve memory on engines, which peers would assign a second
        time if this entry were no longer registered.
        """
        self._leaving = True
        await self._give_up_leadership()

    async def _give_up_leadership(self) -> None:
        """Delete the leader key if this entry holds it."""
        holder = self._leadership.holder
        if holder is None or not self._leadership.may_act(self._clock.now()):
            return
        self._leadership.apply_holder(None, self._clock.now())
        try:
            await self._registry.release_leadership(holder.revision)
        except exceptions.RoutingError as error:
            # Another entry takes the leadership over when it receives no more
            # updates from this one.
            logger.warning('lead_not_released', reason=str(error))

    def stop_renewing(self) -> None:
        """Stop renewing leases.

        The registration expires by itself unless the next process of this
        host continues its lease. Peers learn from state updates that this
        entry is leaving.
        """
        self._leaving = True
        self._lease = None
        self._leadership_lease = None
        self._leadership.renewed_at = None

    async def _renew_leadership(self) -> None:
        """Renew the lease of the leadership if this entry is the leader."""
        lease = self._leadership_lease
        if lease is None or not self._leadership.is_local:
            return
        now = self._clock.now()
        if (
            now - self._lead_lease_renewed_at
            < leadership_module.LEADER_RENEW_MS
        ):
            return
        try:
            await self._registry.renew_lease(lease)
        except exceptions.LeaseLost:
            logger.warning('lead_lost', lease=lease)
            self._leadership_lease = None
            self._leadership.apply_holder(None, now)
            return
        self._lead_lease_renewed_at = now
        self._leadership.renewed_at = now

    async def _renew_registration(self) -> None:
        if self._leaving and self._lease is None:
            return
        now = self._clock.now()
        if self._lease is None:
            old_lease = self._find_previous_lease()
            if old_lease is None:
                return
            self._lease = await self._open_lease(old_lease)
        elif (
            self._registered
            and now - self._renewed_at < leadership_module.RENEW_MS
        ):
            return
        else:
            await self._registry.renew_lease(self._lease)
        # The time of sending is used, since the lease runs from the arrival at
        # the store, which is later.
        self._renewed_at = now
        if not self._leadership.is_local:
            self._leadership.renewed_at = now
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._record_reachable(True, '')
        if not self._registered:
            await self._registry.register(self._view.local, self._lease)
            self._registered = True

    async def _record_start(self) -> None:
        """Record that entries have run, unless the store shows it.

        This precedes the registration, so that no other entry finds one
        without the record.
        """
        is_copy_read = self._find_previous_lease() is not None
        if (
            not is_copy_read
            or self._has_tried_start
            or self.is_start_recorded()
        ):
            return
        try:
            await self._registry.record_start()
        except exceptions.RegistryConflict:
            # By another entry, or by a call of this one without a response.
            self._has_tried_start = True
        else:
            self._has_tried_start = True
            self.on_start_recorded()

    async def _open_lease(self, old_lease: int) -> int:
        """Continue the lease of an earlier process, or open a new one.

        Renewing is the cheaper call. When the whole fleet restarts, each
        entry makes this call at the same time.
        """
        if old_lease and not self._tried_old_lease:
            self._tried_old_lease = True
            try:
                await self._registry.renew_lease(old_lease)
            except exceptions.LeaseLost:
                logger.info('old_lease_ended', lease=old_lease)
            else:
                return old_lease
        return await self._registry.open_lease(leadership_module.LEASE_MS)

    def _advance_backoff(self) -> int:
        """Return the pause after a failure and double the next one.

        The leader and an entry that is not registered yet retry after the
        shortest pause. The others can wait, since their leases still run.
        """
        if self._leadership.is_local or not self._registered:
            return INITIAL_BACKOFF_MS
        backoff_ms = self._backoff_ms
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * backoff_ms)
        return backoff_ms

    async def _claim_leadership(self) -> None:
        if self._lease is None or self._leaving or not self.may_lead():
            return
        now = self._clock.now()
        candidates = self._list_candidates(now)
        if not candidates:
            return
        revision = self._leadership.find_claim(self._view, candidates, now)
        if revision is None:
            return
        revision_written = await self._write_claim(revision, now)
        self._leadership.renewed_at = now
        local_record = self._view.local
        self._leadership.apply_holder(
            leadership_module.Holder(
                local_record.host, local_record.incarnation, revision_written
            ),
            now,
        )
        logger.info('lead_taken', revision=revision_written)

    async def _write_claim(self, revision: int, now: int) -> int:
        """Write the leader key under a new lease; returns its revision."""
        lease = await self._registry.open_lease(
            leadership_module.LEADER_LEASE_MS
        )
        # Stored before the claim, which may succeed even when its response is
        # lost.
        self._leadership_lease = lease
        self._lead_lease_renewed_at = now
        try:
            return await self._registry.claim_leadership(
                self._view.local, lease, revision
            )
        except exceptions.LeaseLost as error:
            raise exceptions.RegistryConflict(str(error)) from error

    def _list_candidates(self, now: int) -> list[str]:
        """List the hosts that may claim the leadership.

        In a large fleet only collectors may. If every entry could, all of
        them would detect an unresponsive leader at the same time and write
        84 claims at each change, of which only one can succeed.

        Returns
        -------
        list of str
            The candidates; empty if this entry may not claim it.
        """
        local_host = self._view.local.host
        serving = [record.host for record in self._view.list_linked(now)]
        if self._view.is_mesh:
            return [*serving, local_host]
        if not self._view.is_collector:
            return []
        return [*self._list_other_collectors(serving), local_host]

    def _list_other_collectors(self, serving: list[str]) -> list[str]:
        """List the first serving entry of each other failure domain.

        This entry is usually the collector of its domain.
        """
        collectors = []
        for domain in self._view.list_domains():
            peers = self._view.list_domain(domain)
            hosts = [peer.record.host for peer in peers]
            first = next((host for host in hosts if host in serving), None)
            if first and domain != self._view.local.failure_domain:
                collectors.append(first)
        return collectors

    def _record_reachable(self, reachable: bool, reason: str) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            if reachable:
                logger.info('registry_regained')
            else:
                logger.warning('registry_lost', reason=reason)
