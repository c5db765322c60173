"""How fast an error budget is used up, over several windows.

A burn rate of 1 uses the budget of 30 days in 30 days. The pairs of windows
and their thresholds are the usual ones of multi-window alerts: the long
window shows that it matters, the short one that it still goes on.
"""

from __future__ import annotations

import enum
import typing

import attrs

from thornspool.domain.objectives import counts as objective_counts

if typing.TYPE_CHECKING:
    from thornspool.domain.configuration import documents

_MINUTE = objective_counts.MINUTE_MS
_HOUR = objective_counts.HOUR_MS


class Severity(enum.Enum):
    """What an operator should do about a burn."""

    NONE = 'none'
    TICKET = 'ticket'
    PAGE = 'page'


class Indicator(enum.Enum):
    """What an objective measures."""

    AVAILABILITY = 'availability'
    FIRST_TOKEN = 'first_token'  # noqa: S105
    BETWEEN_TOKENS = 'between_tokens'
    LATENCY = 'latency'


@attrs.frozen
class Rule:
    """Both windows must burn at the threshold or faster."""

    long_ms: int
    short_ms: int
    threshold: float
    severity: Severity


RULES = (
    Rule(_HOUR, 5 * _MINUTE, 14.4, Severity.PAGE),
    Rule(6 * _HOUR, 30 * _MINUTE, 6.0, Severity.PAGE),
    Rule(72 * _HOUR, 6 * _HOUR, 1.0, Severity.TICKET),
)
WINDOWS_MS = (
    5 * _MINUTE,
    30 * _MINUTE,
    _HOUR,
    6 * _HOUR,
    72 * _HOUR,
)


@attrs.frozen
class Subject:
    """What an objective is about.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    name : str
        Name of the service, or of the model.
    indicator : Indicator
        What is measured.
    """

    workspace: str
    name: str
    indicator: Indicator


@attrs.frozen
class WindowCounts:
    """Counts of one window, in milliseconds."""

    window_ms: int
    counts: objective_counts.Counts


@attrs.frozen
class Burn:
    """Burn of one subject.

    Attributes
    ----------
    subject : Subject
        What it is about.
    objective : float
        Share of events that must be good.
    rates : tuple of float
        Burn rate for each of ``WINDOWS_MS``; 0 without events.
    events : tuple of int
        Events in each of ``WINDOWS_MS``.
    severity : Severity
        The most severe rule that holds.
    """

    subject: Subject
    objective: float
    rates: tuple[float, ...]
    events: tuple[int, ...]
    severity: Severity


def compute_rate(counts: objective_counts.Counts, objective: float) -> float:
    """Return how many times faster than allowed the budget is used.

    Parameters
    ----------
    counts : objective_counts.Counts
        Events of a window.
    objective : float
        Share of events that must be good, under 1.
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
    """Work out the burn of a subject.

    Parameters
    ----------
    subject : Subject
        What it is about.
    objective : float
        Share of events that must be good.
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
        subject, objective, tuple(rates.values()), events, _judge(rates)
    )


def _judge(rates: dict[int, float]) -> Severity:
    """Return the severity of the first rule that holds."""
    for rule in RULES:
        slower = min(rates[rule.long_ms], rates[rule.short_ms])
        if slower >= rule.threshold:
            return rule.severity
    return Severity.NONE


def list_checks(
    objective: documents.Objective,
) -> tuple[tuple[Indicator, float, int | None], ...]:
    """Return indicator, share and bound in ms of each part of an objective.

    Parameters
    ----------
    objective : documents.Objective
        Objective of a workspace or a service.
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
