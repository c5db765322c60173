"""Index of suspects by the targets on which they have a death."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Set as AbstractSet

    from thornspool.domain.quarantine import records

_EMPTY: frozenset[str] = frozenset()


class DeathIndex:
    """Fingerprints by the targets of their deaths.

    A target that dies with a long queue leaves thousands of suspects with
    that one death, too many to scan for each verdict. A verdict depends
    only on the few that were on trial there or that also have another
    death, so only these are indexed. The index may contain deaths that
    were cleared later.
    """

    def __init__(self) -> None:
        self._on_trial_by_target: dict[str, set[str]] = (
            collections.defaultdict(set)
        )
        self._repeated_by_target: dict[str, set[str]] = (
            collections.defaultdict(set)
        )

    def add(self, fingerprint: str, deaths: Collection[records.Death]) -> None:
        """Add a request with all its deaths."""
        for death in deaths:
            if death.on_trial:
                self._on_trial_by_target[death.target].add(fingerprint)
            if len(deaths) > 1:
                self._repeated_by_target[death.target].add(fingerprint)

    def discard(
        self, fingerprint: str, deaths: Collection[records.Death]
    ) -> None:
        """Remove a request; pass the deaths with which it was added."""
        for table in (self._on_trial_by_target, self._repeated_by_target):
            for target in {death.target for death in deaths} & table.keys():
                table[target].discard(fingerprint)
                if not table[target]:
                    del table[target]

    def list_on_trial(self, target: str) -> AbstractSet[str]:
        """Return the requests during whose trial the target died."""
        return self._on_trial_by_target.get(target, _EMPTY)

    def list_repeated(self, target: str) -> AbstractSet[str]:
        """Return the requests with a death on the target and another death."""
        return self._repeated_by_target.get(target, _EMPTY)
