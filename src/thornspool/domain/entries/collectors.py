"""Selection of the collector of a failure domain.

With many entries a full mesh is too costly, and entries that receive updates
from each other only rarely would mark healthy peers as unresponsive. One entry
of each failure domain, the collector, therefore receives the state updates of
all entries of its domain and sends them the sums; collectors exchange the sums
of their domains. The collector also follows the store for its domain, so that
the number of calls to the store does not grow with the fleet.

No agreement is needed: the collector is the first entry by name that is
responsive and that the store does not reject. A backup receives the same
updates, so that it can take over at once. While entries choose different
collectors, they only have less information about each other's load.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


REJECTION_MS = 10_000
"""Time for which an entry that the store rejects does not collect.

The store rejects single hosts for several seconds at a time. Each return to
such a host costs its failure domain a second change of collector.
"""


@attrs.define
class CollectorChoice:
    """The collector of this entry's failure domain.

    Attributes
    ----------
    current : str
        Host of the collector.
    backup : str
        Host of the next collector; empty for none.
    chosen_at : int
        Milliseconds of the clock at which this entry chose the collector.
    """

    current: str = ''
    backup: str = ''
    chosen_at: int = 0
    _unresponsive: dict[str, int] = attrs.field(factory=dict)
    _rejected: dict[str, int] = attrs.field(factory=dict)

    def record_rejection(self, host: str, until: int) -> None:
        """Record until when an entry counts as rejected by the store."""
        self._rejected[host] = until

    def compute_rejection_ms(self, host: str, now: int) -> int:
        """Return for how many more milliseconds an entry does not collect."""
        return max(0, self._rejected.get(host, now) - now)

    def count_rejected(self, now: int) -> int:
        """Count the entries that the store rejects."""
        return sum(until > now for until in self._rejected.values())

    def choose(
        self,
        hosts: Sequence[str],
        local: str,
        find_last_update: Callable[[str], int | None],
        now: int,
        timeout_ms: int,
    ) -> None:
        """Choose the collector and its backup.

        Parameters
        ----------
        hosts : sequence of str
            Registered entries of the failure domain, this one included.
        local : str
            Host of this entry.
        find_last_update : callable
            Returns when the last update of one of ``hosts`` was received, in
            milliseconds of the clock; None for never.
        now : int
            Milliseconds of the clock.
        timeout_ms : int
            Time without an update after which a collector is replaced.
        """
        if self.current not in hosts:
            self.current = ''
        for host, since in list(self._unresponsive.items()):
            updated_at = find_last_update(host) if host in hosts else now
            if updated_at is not None and updated_at > since:
                del self._unresponsive[host]
        self._check_current(local, find_last_update, now, timeout_ms)
        ordered = self._sort_rejected_last(
            [
                host
                for host in sorted(hosts)
                if host == local or host not in self._unresponsive
            ],
            now,
        )
        first = ordered[0]
        if first != self.current:
            self.current = first
            self.chosen_at = now
        self.backup = ordered[1] if len(ordered) > 1 else ''

    def _sort_rejected_last(self, hosts: list[str], now: int) -> list[str]:
        """Sort the entries that the store rejects behind all others."""
        self._rejected = {
            host: until
            for host, until in self._rejected.items()
            if until > now
        }
        return sorted(hosts, key=lambda host: self._rejected.get(host, 0))

    def _check_current(
        self,
        local: str,
        find_last_update: Callable[[str], int | None],
        now: int,
        timeout_ms: int,
    ) -> None:
        """Mark the current collector as unresponsive after a timeout."""
        if self.current in {'', local}:
            return
        updated_at = find_last_update(self.current)
        last = (
            self.chosen_at
            if updated_at is None
            else max(self.chosen_at, updated_at)
        )
        if now - last > timeout_ms:
            self._unresponsive[self.current] = now
