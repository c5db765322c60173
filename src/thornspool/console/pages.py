"""Rendering of the burn rate report as a self-contained HTML page."""

from __future__ import annotations

import datetime
import html
import math
import typing

from thornspool.domain.objectives import burn

if typing.TYPE_CHECKING:
    from thornspool.application import objectives

_PLOT_WIDTH_PX = 260
_PLOT_HEIGHT_PX = 84
_BASELINE_PX = 66
_MIN_RATE = 0.1
_MAX_RATE = 100.0
_BAR_WIDTH_PX = 34
_BAR_GAP_PX = 16
_COLOURS = {
    burn.Severity.NONE: '#2e7d5b',
    burn.Severity.TICKET: '#b7791f',
    burn.Severity.PAGE: '#b3261e',
}
_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto;
  max-width: 62rem; padding: 0 1rem; color: #1c1f23; background: #fff; }
h1 { font-size: 1.5rem; margin-bottom: 0; }
p.note { color: #555b63; margin-top: .2rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .5rem .7rem; vertical-align: middle;
  border-bottom: 1px solid #dfe3e8; }
th { font-size: .8rem; color: #555b63; }
td.number { font-variant-numeric: tabular-nums; text-align: right; }
.badge { color: #fff; border-radius: 4px; padding: .1rem .5rem;
  font-size: .8rem; }
svg text { font: 10px system-ui, sans-serif; fill: #555b63;
  paint-order: stroke; stroke: #fff; stroke-width: 3px; }
"""


def format_window(milliseconds: int) -> str:
    """Format the length of a window, such as ``5 min`` or ``6 h``."""
    minutes = milliseconds // 60_000
    return f'{minutes // 60} h' if minutes >= 60 else f'{minutes} min'


def format_objective(subject_burn: burn.Burn) -> str:
    """Format the indicator of an objective and its target share.

    The share has at least two decimal places and as many as it needs, so that
    99.995% is not shown as 100.00%.
    """
    name = subject_burn.subject.indicator.value.replace('_', ' ')
    percent = round(subject_burn.objective * 100, 6)
    return f'{name} {max(f"{percent:.2f}", f"{percent:g}", key=len)}%'


def render_burn_page(report: objectives.BurnReport) -> str:
    """Render a burn rate report as an HTML page.

    Parameters
    ----------
    report : objectives.BurnReport
        Burn rates of every subject, the most severe first.

    Returns
    -------
    str
        HTML document with embedded style and plots.
    """
    created_at = datetime.datetime.fromtimestamp(
        report.wall / 1000, datetime.UTC
    )
    rows = '\n'.join(
        _render_row(report, subject_burn) for subject_burn in report.burns
    )
    coverage = f'{report.entries_answered} of {report.entries_asked} entries'
    return f"""<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title>
<style>{_STYLE}</style></head>
<body>
<h1>Service-level burn</h1>
<p class="note">{created_at:%Y-%m-%d %H:%M:%S} UTC, gathered from {coverage}.
A rate of 1 uses up the error budget of 30 days in 30 days. Bars are on a
logarithmic scale; the dashed line marks a rate of 1.</p>
<table>
<thead><tr><th>Workspace</th><th>Service or model</th><th>Objective</th>
<th>Events in {format_window(report.windows_ms[-1])}</th>
<th>Burn rate by window</th><th>Action</th></tr></thead>
<tbody>
{rows or '<tr><td colspan="6">No requests were counted.</td></tr>'}
</tbody>
</table>
</body>
</html>
"""


def _render_row(report: objectives.BurnReport, subject_burn: burn.Burn) -> str:
    """Render the table row of one subject."""
    subject = subject_burn.subject
    colour = _COLOURS[subject_burn.severity]
    badge = f'<span class="badge" style="background:{colour}">'
    return (
        f'<tr><td>{html.escape(subject.workspace)}</td>'
        f'<td>{html.escape(subject.name)}</td>'
        f'<td>{format_objective(subject_burn)}</td>'
        f'<td class="number">{subject_burn.events[-1]:,}</td>'
        f'<td>{_render_plot(report.windows_ms, subject_burn, colour)}</td>'
        f'<td>{badge}{subject_burn.severity.value}</span></td></tr>'
    )


def _render_plot(
    windows_ms: tuple[int, ...], subject_burn: burn.Burn, colour: str
) -> str:
    """Render the burn rates of one subject as a bar chart."""
    bars = []
    for index, (window_ms, rate) in enumerate(
        zip(windows_ms, subject_burn.rates, strict=True)
    ):
        left = index * (_BAR_WIDTH_PX + _BAR_GAP_PX) + 4
        top = _BASELINE_PX - _compute_bar_height(rate)
        middle = left + _BAR_WIDTH_PX / 2
        bars.append(
            f'<rect x="{left}" y="{top:.1f}" width="{_BAR_WIDTH_PX}" '
            f'height="{_compute_bar_height(rate):.1f}" fill="{colour}"/>'
            f'<text x="{middle}" y="{top - 3:.1f}" text-anchor="middle">'
            f'{rate:.1f}</text>'
            f'<text x="{middle}" y="{_BASELINE_PX + 13}" text-anchor="middle">'
            f'{format_window(window_ms)}</text>'
        )
    line = _BASELINE_PX - _compute_bar_height(1.0)
    return (
        f'<svg width="{_PLOT_WIDTH_PX}" height="{_PLOT_HEIGHT_PX}" role="img" '
        f'aria-label="burn rates">'
        f'<line x1="0" x2="{_PLOT_WIDTH_PX}" y1="{line:.1f}" y2="{line:.1f}" '
        f'stroke="#1c1f23" stroke-dasharray="3 3"/>{"".join(bars)}</svg>'
    )


def _compute_bar_height(rate: float) -> float:
    """Return the height of a bar in pixels, on a logarithmic scale.

    Rates up to the lowest rate of the scale have the height 0.
    """
    if rate <= _MIN_RATE:
        return 0.0
    decades = math.log10(_MAX_RATE / _MIN_RATE)
    share = math.log10(min(rate, _MAX_RATE) / _MIN_RATE) / decades
    return share * (_BASELINE_PX - 14)
