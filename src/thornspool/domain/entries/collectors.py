"""Which entry of a failure domain collects its news and follows the store.

With many entries not everybody can tell everybody, and entries that heard
each other seldom would take sound ones for dead. So one entry of each
failure domain, the collector, hears all entries of it, adds up what they
tell, and tells them the sum; collectors tell each other. It also follows the
store for its domain, so that calls to the store do not grow with the fleet.

Nobody has to agree on it: it is the first entry by name that still speaks
and that the store answers. A second one gets the same news, so that it can
take over at once. Entries that differ about it for a moment only know less
about each other's load.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


SHUT_OUT_MS = 10_000
"""Time for which an entry that the store turns away does not collect.

The store turns single hosts away for several seconds; each return to one of
them costs its domain a second change of collector.
"""


@attrs.define
class Choice:
    """The collector of this entry's failure domain.

    Attributes
    ----------
    current : str
        Its host.
    backup : str
        The host that would be next; empty for none.
    since : int
        When it became the collector in the eyes of this entry.
    """

    current: str = ''
    backup: str = ''
    since: int = 0
    _silent: dict[str, int] = attrs.field(factory=dict)
    _shut_out: dict[str, int] = attrs.field(factory=dict)

    def note_shut_out(self, host: str, until: int) -> None:
        """Note until when the store's answers to an entry are not awaited."""
        self._shut_out[host] = until

    def compute_shut_out(self, host: str, now: int) -> int:
        """Return for how many milliseconds an entry does not collect."""
        return max(0, self._shut_out.get(host, now) - now)

    def count_shut_out(self, now: int) -> int:
        """Count the entries that do not collect for want of the store."""
        return sum(until > now for until in self._shut_out.values())

    def choose(
        self,
        hosts: Sequence[str],
        own: str,
        find_heard: Callable[[str], int | None],
        now: int,
        silence_ms: int,
    ) -> None:
        """Choose anew.

        Parameters
        ----------
        hosts : sequence of str
            Entries of the failure domain that are registered, this one
            included.
        own : str
            This entry's host.
        find_heard : callable
            Tells when one of ``hosts`` was last heard; None for never.
        now : int
            Milliseconds of the clock.
        silence_ms : int
            Silence after which a collector is given up.
        """
        if self.current not in hosts:
            self.current = ''
        for host, since in list(self._silent.items()):
            heard = find_heard(host) if host in hosts else now
            if heard is not None and heard > since:
                del self._silent[host]
        self._note_silence(own, find_heard, now, silence_ms)
        ordered = self._order(
            [
                host
                for host in sorted(hosts)
                if host == own or host not in self._silent
            ],
            now,
        )
        first = ordered[0]
        if first != self.current:
            self.current = first
            self.since = now
        self.backup = ordered[1] if len(ordered) > 1 else ''

    def _order(self, hosts: list[str], now: int) -> list[str]:
        """Put the entries that the store turns away behind all others."""
        self._shut_out = {
            host: until
            for host, until in self._shut_out.items()
            if until > now
        }
        return sorted(hosts, key=lambda host: self._shut_out.get(host, 0))

    def _note_silence(
        self,
        own: str,
        find_heard: Callable[[str], int | None],
        now: int,
        silence_ms: int,
    ) -> None:
        """Give up the current collector if it no longer speaks."""
        if self.current in {'', own}:
            return
        heard = find_heard(self.current)
        last = self.since if heard is None else max(self.since, heard)
        if now - last > silence_ms:
            self._silent[self.current] = now
