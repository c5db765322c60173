"""Verdicts on requests that crash servers, kept in the store.

Entries keep the records of the quarantine in memory. The store hands the
verdicts to entries that join, and keeps them while all entries restart.
"""

from __future__ import annotations

import typing

import structlog

from thornspool.application.routing import exceptions

if typing.TYPE_CHECKING:
    from thornspool.application import quarantine as quarantine_module

MAX_STORED = 1_000
"""Stored verdicts; a further one replaces the oldest."""

logger = structlog.get_logger(__name__)


class VerdictStore(typing.Protocol):
    """Port to the store."""

    async def keep_verdict(
        self, fingerprint: str, surplus: typing.Sequence[str]
    ) -> None:
        """Write a verdict, and delete others.

        Raises
        ------
        exceptions.RegistryConflict
            The verdict is stored already.
        exceptions.RegistryUnavailable
            The store did not confirm the write.
        """


class StoredVerdicts:
    """Writes verdicts of the quarantine to the store and applies others.

    Parameters
    ----------
    quarantine : quarantine_module.QuarantineService
        Receives the verdicts of the store.
    store : VerdictStore
        Port to the store.
    """

    def __init__(
        self,
        quarantine: quarantine_module.QuarantineService,
        store: VerdictStore,
    ) -> None:
        self._quarantine = quarantine
        self._store = store
        self._stored: dict[str, None] = {}
        self._unstored: dict[str, None] = {}

    def apply(self, fingerprint: str) -> None:
        """Apply a verdict of the store."""
        self._stored[fingerprint] = None
        self._unstored.pop(fingerprint, None)
        self._quarantine.condemn(fingerprint)

    def remove(self, fingerprint: str) -> None:
        """Drop a verdict that was deleted from the store."""
        self._stored.pop(fingerprint, None)
        self._quarantine.forget(fingerprint)

    def keep(self, fingerprint: str) -> None:
        """Have a verdict written to the store unless it is there."""
        if fingerprint not in self._stored:
            self._unstored[fingerprint] = None

    async def tick(self) -> None:
        """Write the verdicts that are not stored yet."""
        for fingerprint in list(self._unstored):
            surplus = list(self._stored)[: -MAX_STORED + 1]
            try:
                await self._store.keep_verdict(fingerprint, surplus)
            except exceptions.RegistryConflict:
                logger.debug('verdict_known', fingerprint=fingerprint)
            except exceptions.RegistryUnavailable as error:
                logger.warning('verdict_not_stored', reason=str(error))
                return
            self._stored[fingerprint] = None
            self._unstored.pop(fingerprint, None)
            logger.info('verdict_stored', fingerprint=fingerprint)
