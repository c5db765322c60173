"""What all other entries have taken or sent, from what each of them tells."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.entries import messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

Amounts = dict[int, float]
"""Amounts by mark: token-layers of engines, or requests of services."""

TOLD_MS = 3_000
"""Time for which a sum counts; most of what it counts has ended by then."""


@attrs.frozen
class Told:
    """What was told, and when."""

    at: int
    amounts: Amounts


def add_up(parts: Iterable[Amounts]) -> Amounts:
    """Add amounts by mark."""
    sums: Amounts = {}
    for amounts in parts:
        for mark, amount in amounts.items():
            sums[mark] = sums.get(mark, 0.0) + amount
    return sums


def subtract(whole: Amounts, part: Amounts) -> Amounts:
    """Take a part out of a sum that has it."""
    left = dict(whole)
    for mark, amount in part.items():
        rest = left.get(mark, 0.0) - amount
        if rest > 0:
            left[mark] = rest
        else:
            left.pop(mark, None)
    return left


@attrs.define
class Totals:
    """Amounts by who told them.

    Attributes
    ----------
    entries : dict of str to Told
        What single entries have taken, by host.
    domains : dict of str to Told
        What whole failure domains have taken, as their collectors told.
    rest : Told or None
        What everybody but this entry has taken, as its collector told.
    """

    entries: dict[str, Told] = attrs.field(factory=dict)
    domains: dict[str, Told] = attrs.field(factory=dict)
    rest: Told | None = None

    def note(
        self,
        news: messages.News,
        domain: str,
        amounts: Amounts,
        now: int,
    ) -> None:
        """Note amounts that news tell; ``domain`` is that of their sender."""
        told = Told(now, amounts)
        if news.scope is messages.Scope.ENTRY:
            self.entries[news.host] = told
        elif news.scope is messages.Scope.DOMAIN:
            self.domains[domain] = told
        else:
            self.rest = told

    def forget(self, host: str) -> None:
        """Forget what an entry that ended had taken."""
        self.entries.pop(host, None)

    def sum_entries(self, hosts: Iterable[str], now: int) -> Amounts:
        """Add up what some entries have taken."""
        told = (self.entries.get(host) for host in hosts)
        return add_up(
            one.amounts
            for one in told
            if one is not None and now - one.at <= TOLD_MS
        )

    def sum_domains(self, own_domain: str, now: int) -> Amounts:
        """Add up what the other failure domains have taken."""
        return add_up(
            told.amounts
            for domain, told in self.domains.items()
            if domain != own_domain and now - told.at <= TOLD_MS
        )

    def read_rest(self, now: int) -> Amounts:
        """Return what the collector told last, unless that is old."""
        if self.rest is None or now - self.rest.at > TOLD_MS:
            return {}
        return self.rest.amounts
