"""Sums of the amounts that the other entries report."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.entries import messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

Amounts = dict[int, float]
"""Amounts by hash: token-layers of engines, or requests of services."""

ENTRIES_KEY = -1
"""Key of the number of entries whose amounts a report includes.

It is summed like all amounts, so that an entry knows whether a sum lacks some
entries. No hash is negative, and it takes one byte in a message.
"""

REPORT_VALID_MS = 3_000
"""Time for which a report counts; most requests in it have ended by then."""


@attrs.frozen
class ReportedAmounts:
    """Reported amounts, and the time at which they were received."""

    received_at: int
    amounts: Amounts


def sum_amounts(parts: Iterable[Amounts]) -> Amounts:
    """Sum amounts by hash."""
    sums: Amounts = {}
    for amounts in parts:
        for key, amount in amounts.items():
            sums[key] = sums.get(key, 0.0) + amount
    return sums


def subtract(whole: Amounts, part: Amounts) -> Amounts:
    """Subtract one part from the sum that includes it."""
    remaining = dict(whole)
    for key, amount in part.items():
        rest = remaining.get(key, 0.0) - amount
        if rest > 0:
            remaining[key] = rest
        else:
            remaining.pop(key, None)
    return remaining


@attrs.define
class Totals:
    """Reported amounts by scope of the report.

    Attributes
    ----------
    entries : dict of str to ReportedAmounts
        Amounts of single entries, by host.
    domains : dict of str to ReportedAmounts
        Amounts of whole failure domains, as their collectors reported them.
    rest : ReportedAmounts or None
        Amounts of all entries except this one, as its collector reported
        them.
    valid_ms : int
        Time for which a report counts.
    """

    entries: dict[str, ReportedAmounts] = attrs.field(factory=dict)
    domains: dict[str, ReportedAmounts] = attrs.field(factory=dict)
    rest: ReportedAmounts | None = None
    valid_ms: int = REPORT_VALID_MS

    def record(
        self,
        update: messages.StateUpdate,
        domain: str,
        amounts: Amounts,
        now: int,
    ) -> None:
        """Record the amounts of a state update.

        Parameters
        ----------
        update : messages.StateUpdate
            The state update.
        domain : str
            Failure domain of its sender.
        amounts : Amounts
            Amounts by hash.
        now : int
            Milliseconds of the clock.
        """
        report = ReportedAmounts(now, amounts)
        if update.scope is messages.Scope.ENTRY:
            self.entries[update.host] = report
        elif update.scope is messages.Scope.DOMAIN:
            self.domains[domain] = report
        else:
            self.rest = report

    def forget(self, host: str) -> None:
        """Remove the amounts of an entry that has ended."""
        self.entries.pop(host, None)

    def sum_entries(self, hosts: Iterable[str], now: int) -> Amounts:
        """Sum the amounts of some entries."""
        reports = (self.entries.get(host) for host in hosts)
        return sum_amounts(
            one.amounts
            for one in reports
            if one is not None and self._is_valid(one, now)
        )

    def sum_domains(self, local_domain: str, now: int) -> Amounts:
        """Sum the amounts of the other failure domains."""
        return sum_amounts(
            report.amounts
            for domain, report in self.domains.items()
            if domain != local_domain and self._is_valid(report, now)
        )

    def get_rest(self, now: int) -> Amounts:
        """Return the collector's last report; empty when it is outdated."""
        if self.rest is None or not self.has_rest(now):
            return {}
        return self.rest.amounts

    def has_rest(self, now: int) -> bool:
        """Return whether the collector's last report is valid."""
        return self.rest is not None and self._is_valid(self.rest, now)

    def has_parts(self, hosts: Iterable[str], now: int) -> bool:
        """Return whether a report of any entry or domain is valid."""
        reports = [
            self.entries[host] for host in hosts if host in self.entries
        ]
        reports.extend(self.domains.values())
        return any(self._is_valid(report, now) for report in reports)

    def _is_valid(self, report: ReportedAmounts, now: int) -> bool:
        return now - report.received_at <= self.valid_ms
