"""Keeps this entry in the store's list, and the lead with one entry."""

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

RETRY_MS = 500
"""Pause after the first call that failed; it doubles with each further one,
since the store counts calls that it refuses too."""

MAX_RETRY_MS = 4_000
"""Longest pause between calls that fail; a registration that lapsed meanwhile
is back within this of the store's return."""

logger = structlog.get_logger(__name__)


class Registry(typing.Protocol):
    """The store's part; each call raises an error of this package."""

    async def open_lease(self, ttl_ms: int) -> int:
        """Open a lease."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""

    async def register(self, record: messages.Record, lease: int) -> None:
        """Write the entry's own registration."""

    async def claim_lead(
        self, record: messages.Record, lease: int, revision: int
    ) -> int:
        """Write the key of the lead over a revision; returns the new one."""

    async def release_lead(self, revision: int) -> None:
        """Delete the key of the lead, if it still has a revision."""


class RegistrationService:
    """Registers an entry and claims the lead when it is due.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    view : view_module.View
        This entry and the others.
    lead : leadership_module.Leadership
        Who leads.
    registry : Registry
        The store.
    find_old_lease : callable, optional
        Returns the lease of an earlier process of this host, 0 for none, and
        None while that is not known.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        view: view_module.View,
        lead: leadership_module.Leadership,
        registry: Registry,
        find_old_lease: Callable[[], int | None] = lambda: 0,
    ) -> None:
        self._clock = clock
        self._view = view
        self._lead = lead
        self._registry = registry
        self._find_old_lease = find_old_lease
        self._took_over = False
        self._lease: int | None = None
        self._renewed_at = 0
        self._lead_lease: int | None = None
        self._lead_renewed_at = 0
        self._registered = False
        self._leaving = False
        self._reachable = True
        self._retry_at = 0
        self._pause_ms = RETRY_MS

    async def work(self) -> None:
        """Renew what is due; run several times a second."""
        if self._clock.now() < self._retry_at:
            return
        try:
            await self._renew_lead()
            await self._renew()
            await self._claim()
        except exceptions.LeaseLost:
            logger.warning('lease_lost', lease=self._lease)
            self._lease = None
            self._registered = False
        except exceptions.RegistryConflict as error:
            logger.info('lead_not_won', reason=str(error))
        except exceptions.RegistryUnavailable as error:
            self._retry_at = self._clock.now() + self._choose_pause()
            self._note_reachable(False, str(error))

    async def step_down(self) -> None:
        """Give up the lead and claim it no more.

        The registration stays until the entry ends: its requests still hold
        memory on engines, which peers would give out a second time if they
        no longer heard of it.
        """
        self._leaving = True
        holder = self._lead.holder
        if holder is None or not self._lead.may_act(self._clock.now()):
            return
        self._lead.take_holder(None, self._clock.now())
        try:
            await self._registry.release_lead(holder.revision)
        except exceptions.RoutingError as error:
            # Another entry takes it over when it no longer hears this one.
            logger.warning('lead_not_released', reason=str(error))

    def leave(self) -> None:
        """Renew nothing any more.

        The registration runs out by itself, or the next process of this host
        goes on with it; the others hear that this entry leaves.
        """
        self._leaving = True
        self._lease = None
        self._lead_lease = None
        self._lead.renewed_at = None

    async def _renew_lead(self) -> None:
        """Renew the lead, where this entry holds it."""
        lease = self._lead_lease
        if lease is None or not self._lead.is_own:
            return
        now = self._clock.now()
        if now - self._lead_renewed_at < leadership_module.LEAD_RENEW_MS:
            return
        try:
            await self._registry.renew_lease(lease)
        except exceptions.LeaseLost:
            logger.warning('lead_lost', lease=lease)
            self._lead_lease = None
            self._lead.take_holder(None, now)
            return
        self._lead_renewed_at = now
        self._lead.renewed_at = now

    async def _renew(self) -> None:
        if self._leaving and self._lease is None:
            return
        now = self._clock.now()
        if self._lease is None:
            old = self._find_old_lease()
            if old is None:
                return
            self._lease = await self._open_lease(old)
        elif now - self._renewed_at < leadership_module.RENEW_MS:
            return
        else:
            await self._registry.renew_lease(self._lease)
        # Dated when it was sent: it ran from its arrival, which was later.
        self._renewed_at = now
        if not self._lead.is_own:
            self._lead.renewed_at = now
        self._pause_ms = RETRY_MS
        self._note_reachable(True, '')
        if not self._registered:
            await self._registry.register(self._view.own, self._lease)
            self._registered = True

    async def _open_lease(self, old: int) -> int:
        """Go on with an earlier process's lease, or open a new one.

        Renewing is the cheaper call, and a fleet that restarts makes one for
        each entry at the same moment.
        """
        if old and not self._took_over:
            self._took_over = True
            try:
                await self._registry.renew_lease(old)
            except exceptions.LeaseLost:
                logger.info('old_lease_ended', lease=old)
            else:
                return old
        return await self._registry.open_lease(leadership_module.LEASE_MS)

    def _choose_pause(self) -> int:
        """Choose the pause after a failure.

        The holder of the lead, and an entry that is in no list yet, try
        again soon; the others lose nothing while their leases run.
        """
        if self._lead.is_own or not self._registered:
            return RETRY_MS
        pause_ms = self._pause_ms
        self._pause_ms = min(MAX_RETRY_MS, 2 * pause_ms)
        return pause_ms

    async def _claim(self) -> None:
        if self._lease is None or self._leaving:
            return
        now = self._clock.now()
        candidates = self._list_candidates(now)
        if not candidates:
            return
        revision = self._lead.find_claim(self._view, candidates, now)
        if revision is None:
            return
        written = await self._write_lead(revision, now)
        self._lead.renewed_at = now
        own = self._view.own
        self._lead.take_holder(
            leadership_module.Holder(own.host, own.incarnation, written), now
        )
        logger.info('lead_taken', revision=written)

    async def _write_lead(self, revision: int, now: int) -> int:
        """Write the lead under a lease of its own; returns its revision."""
        lease = await self._registry.open_lease(
            leadership_module.LEAD_LEASE_MS
        )
        # Noted first: a claim whose answer is lost may stand all the same.
        self._lead_lease = lease
        self._lead_renewed_at = now
        try:
            return await self._registry.claim_lead(
                self._view.own, lease, revision
            )
        except exceptions.LeaseLost as error:
            raise exceptions.RegistryConflict(str(error)) from error

    def _list_candidates(self, now: int) -> list[str]:
        """List who may claim the lead; empty when this entry may not.

        In a large fleet only collectors may: all others hear of a silent
        holder at the same moment, and 84 claims, of which one can win, were
        written at each change.
        """
        own = self._view.own.host
        serving = [one.host for one in self._view.list_serving(now)]
        if self._view.is_mesh:
            return [*serving, own]
        if not self._view.collects:
            return []
        return [*self._list_collectors(serving), own]

    def _list_collectors(self, serving: list[str]) -> list[str]:
        """List the first serving entry of each other failure domain."""
        found = []
        for domain in self._view.list_domains():
            near = self._view.list_domain(domain)
            hosts = [one.record.host for one in near]
            first = next((host for host in hosts if host in serving), None)
            if first and domain != self._view.own.failure_domain:
                found.append(first)
        return found

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            if reachable:
                logger.info('registry_regained')
            else:
                logger.warning('registry_lost', reason=reason)
