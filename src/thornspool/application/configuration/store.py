"""Holder of the configuration version that is in force at an entry."""

from __future__ import annotations

import typing

import structlog

from thornspool.domain.configuration import contents as contents_module

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.configuration import documents

logger = structlog.get_logger(__name__)


class Store:
    """Holds the version in force, which only increases."""

    def __init__(self) -> None:
        self.contents = contents_module.Contents()
        self._subscribers: list[Callable[[documents.Snapshot], None]] = []

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none."""
        return self.contents.head.version

    def subscribe(
        self, callback: Callable[[documents.Snapshot], None]
    ) -> None:
        """Register a function to call with each snapshot put in force."""
        self._subscribers.append(callback)

    def apply(self, contents: contents_module.Contents) -> bool:
        """Put a version in force atomically if it is later.

        A read of the platform may be old, a peer may lag, and two pulls may
        finish out of order. Applying any of these would restore a replaced
        configuration, so that limits or targets revert for callers. The
        comparison here is the only place that prevents this.

        Parameters
        ----------
        contents : Contents
            Version that the platform accepted.

        Returns
        -------
        bool
            Whether the version was applied.
        """
        if contents.head.version <= self.version:
            return False
        self.contents = contents
        logger.info('configuration_applied', version=self.version)
        for callback in self._subscribers:
            self._notify(callback)
        return True

    def _notify(self, callback: Callable[[documents.Snapshot], None]) -> None:
        try:
            callback(self.contents.snapshot)
        except Exception:
            # An error in one subscriber must not keep the others on an older
            # version. The log line names the subscriber.
            logger.exception(
                'configuration_subscriber_failed', subscriber=repr(callback)
            )
