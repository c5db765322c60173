"""Burn rates of error budgets over several windows.

A burn rate of 1 uses the budget of 30 days in 30 days. The pairs of windows
and their thresholds are the usual ones of multi-window alerts: the long
window shows that the burn is significant, the short window that it continues.
"""

from __future__ import annotations

import enum
import typing

import attrs

from thornspool.domain.objectives import counts as objective_counts

if typing.TYPE_CHECKING:
    from thornspool.domain.configuration import documents

_MINUTE_MS = objective_counts.MINUTE_MS
_HOUR_MS = objective_counts.HOUR_MS


class Severity(enum.Enum):
    """Alert severity of a burn rate."""

    NONE = 'none'
    TICKET = 'ticket'
    PAGE = 'page'


class Indicator(enum.Enum):
    """Indicator that an objective measures."""

    AVAILABILITY = 'availability'
    FIRST_TOKEN = 'first_token'  # noqa: S105
    BETWEEN_TOKENS = 'between_tokens'
    LATENCY = 'latency'


@attrs.frozen
class Rule:
    """Alert rule; it holds if both windows reach the threshold.

    Attributes
    ----------
    long_ms, short_ms : int
        Lengths of the two windows, in milliseconds.
    threshold : float
        Minimum burn rate.
    severity : Severity
        Severity of the alert.
    """

    long_ms: int
    short_ms: int
    threshold: float
    severity: Severity


RULES = (
    Rule(_HOUR_MS, 5 * _MINUTE_MS, 14.4, Severity.PAGE),
    Rule(6 * _HOUR_MS, 30 * _MINUTE_MS, 6.0, Severity.PAGE),
    Rule(72 * _HOUR_MS, 6 * _HOUR_MS, 1.0, Severity.TICKET),
)
WINDOWS_MS = (
    5 * _MINUTE_MS,
    30 * _MINUTE_MS,
    _HOUR_MS,
    6 * _HOUR_MS,
    72 * _HOUR_MS,
)


@attrs.frozen
class Subject:
    """Service or model of a workspace, and an indicator, with an objective.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    name : str
        Name of the service or of the model.
    indicator : Indicator
        Indicator that is measured.
    """

    workspace: str
    name: str
    indicator: Indicator


@attrs.frozen
class WindowCounts:
    """Counts of one window, whose length is in milliseconds."""

    window_ms: int
    counts: objective_counts.Counts


@attrs.frozen
class Burn:
    """Error budget burn of one subject.

    Attributes
    ----------
    subject : Subject
        Subject of the objective.
    objective : float
        Required share of good events.
    rates : tuple of float
        Burn rate for each of ``WINDOWS_MS``; 0 without events.
    events : tuple of int
        Number of events in each of ``WINDOWS_MS``.
    severity : Severity
        Severity of the most severe rule that holds.
    """

    subject: Subject
    objective: float
    rates: tuple[float, ...]
    events: tuple[int, ...]
    severity: Severity


def compute_rate(counts: objective_counts.Counts, objective: float) -> float:
    """Return the burn rate: the ratio of the bad share to the allowed share.

    Parameters
    ----------
    counts : objective_counts.Counts
        Events of a window.
    objective : float
        Required share of good events, less than 1.
    """
    total = counts.good + counts.bad
    if total == 0:
        return 0.0
    return counts.bad / total / (1 - objective)


def assess_burn(
    subject: Subject,
    objective: float,
    windows: tuple[WindowCounts, ...],
) -> Burn:
    """Compute the burn rates and the severity of a subject.

    Parameters
    ----------
    subject : Subject
        Subject of the objective.
    objective : float
        Required share of good events.
    windows : tuple of WindowCounts
        Counts for each of ``WINDOWS_MS``, summed over entries.
    """
    counts = {window.window_ms: window.counts for window in windows}
    rates = {
        window_ms: compute_rate(
            counts.get(window_ms, objective_counts.Counts()), objective
        )
        for window_ms in WINDOWS_MS
    }
    events = tuple(
        counts[window_ms].good + counts[window_ms].bad
        if window_ms in counts
        else 0
        for window_ms in WINDOWS_MS
    )
    return Burn(
        subject,
        objective,
        tuple(rates.values()),
        events,
        _find_severity(rates),
    )


def _find_severity(rates: dict[int, float]) -> Severity:
    """Return the severity of the first rule that holds."""
    for rule in RULES:
        lower_rate = min(rates[rule.long_ms], rates[rule.short_ms])
        if lower_rate >= rule.threshold:
            return rule.severity
    return Severity.NONE


def list_checks(
    objective: documents.Objective,
) -> tuple[tuple[Indicator, float, int | None], ...]:
    """Return the indicators of an objective with their shares and bounds.

    Parameters
    ----------
    objective : documents.Objective
        Objective of a workspace or a service.

    Returns
    -------
    tuple of tuple of (Indicator, float, int or None)
        Indicator, required share of good events, and bound in milliseconds;
        the bound of the availability is None.
    """
    share = objective.latency_share
    checks: list[tuple[Indicator, float, int | None]] = [
        (Indicator.AVAILABILITY, objective.availability, None)
    ]
    bounds = (
        (Indicator.FIRST_TOKEN, objective.first_token_ms),
        (Indicator.BETWEEN_TOKENS, objective.between_tokens_ms),
        (Indicator.LATENCY, objective.latency_ms),
    )
    checks.extend(
        (indicator, share, bound)
        for indicator, bound in bounds
        if bound is not None
    )
    return tuple(checks)
