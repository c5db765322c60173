"""Which suspects have a death on a target, without a scan of them all."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Set as AbstractSet

    from thornspool.domain.quarantine import records

_NONE: frozenset[str] = frozenset()


class DeathIndex:
    """Fingerprints by the targets of their deaths.

    A target that dies with a long queue leaves thousands of suspects with
    that one death. A verdict depends only on the few that died under a
    trial there or were at another death too, so only these are listed.
    Deaths that were cleared since may be among them.
    """

    def __init__(self) -> None:
        self._tried: dict[str, set[str]] = collections.defaultdict(set)
        self._repeated: dict[str, set[str]] = collections.defaultdict(set)

    def add(self, fingerprint: str, deaths: Collection[records.Death]) -> None:
        """Add a request with all its deaths."""
        for death in deaths:
            if death.on_trial:
                self._tried[death.target].add(fingerprint)
            if len(deaths) > 1:
                self._repeated[death.target].add(fingerprint)

    def discard(
        self, fingerprint: str, deaths: Collection[records.Death]
    ) -> None:
        """Take a request out; its deaths are those that it was added with."""
        for table in (self._tried, self._repeated):
            for target in {death.target for death in deaths} & table.keys():
                table[target].discard(fingerprint)
                if not table[target]:
                    del table[target]

    def list_tried(self, target: str) -> AbstractSet[str]:
        """Return those under whose trial the target died."""
        return self._tried.get(target, _NONE)

    def list_repeated(self, target: str) -> AbstractSet[str]:
        """Return those at a death of the target and at another death."""
        return self._repeated.get(target, _NONE)
