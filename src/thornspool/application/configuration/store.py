"""The version of the configuration that is in force at this entry."""

from __future__ import annotations

import typing

import structlog

from thornspool.domain.configuration import contents as whole

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.configuration import documents

logger = structlog.get_logger(__name__)


class Store:
    """Holder of the version in force; it only ever moves forwards."""

    def __init__(self) -> None:
        self.contents = whole.Contents()
        self._subscribers: list[Callable[[documents.Snapshot], None]] = []

    @property
    def version(self) -> int:
        """Version in force, 0 before any."""
        return self.contents.head.version

    def subscribe(
        self, callback: Callable[[documents.Snapshot], None]
    ) -> None:
        """Have a function called with each snapshot that comes in force."""
        self._subscribers.append(callback)

    def apply(self, contents: whole.Contents) -> bool:
        """Put a version in force, all of it at once, unless it is not newer.

        A read of the platform may be old, a peer may lag, and two pulls may
        end in the wrong order. Taking any of these would bring a withdrawn
        configuration back, which callers would notice as limits or targets
        that revert; the comparison here is the one place that prevents it.

        Parameters
        ----------
        contents : Contents
            A version that the platform accepted.

        Returns
        -------
        bool
            Whether it is in force now.
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
            # One subscriber's fault must not keep the others on an older
            # version; it shows as this line, naming the function.
            logger.exception(
                'configuration_subscriber_failed', subscriber=repr(callback)
            )
