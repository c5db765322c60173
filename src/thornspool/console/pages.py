"""The report on burn as one HTML page that needs nothing else."""

from __future__ import annotations

import datetime
import html
import math
import typing

from thornspool.domain.objectives import burn

if typing.TYPE_CHECKING:
    from thornspool.application import objectives

_WIDTH = 260
_HEIGHT = 84
_BASE = 66
_LOWEST_RATE = 0.1
_HIGHEST_RATE = 100.0
_BAR = 34
_GAP = 16
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
    """Return a window as text, for instance ``5 min`` or ``6 h``."""
    minutes = milliseconds // 60_000
    return f'{minutes // 60} h' if minutes >= 60 else f'{minutes} min'


def format_objective(one: burn.Burn) -> str:
    """Return what is measured and the share that must be good.

    Shares are written with as many digits as they have: 99.995% must not
    show as 100.00%.
    """
    name = one.subject.indicator.value.replace('_', ' ')
    percent = round(one.objective * 100, 6)
    return f'{name} {max(f"{percent:.2f}", f"{percent:g}", key=len)}%'


def render_burn_page(report: objectives.BurnReport) -> str:
    """Render a report.

    Parameters
    ----------
    report : objectives.BurnReport
        Burn of every subject, the worst first.

    Returns
    -------
    str
        An HTML document with its style and plots inside.
    """
    made = datetime.datetime.fromtimestamp(report.wall / 1000, datetime.UTC)
    rows = '\n'.join(_render_row(report, one) for one in report.burns)
    gathered = f'{report.entries_answered} of {report.entries_asked} entries'
    return f"""<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title>
<style>{_STYLE}</style></head>
<body>
<h1>Service-level burn</h1>
<p class="note">{made:%Y-%m-%d %H:%M:%S} UTC, gathered from {gathered}.
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


def _render_row(report: objectives.BurnReport, one: burn.Burn) -> str:
    """Render one subject."""
    subject = one.subject
    colour = _COLOURS[one.severity]
    badge = f'<span class="badge" style="background:{colour}">'
    return (
        f'<tr><td>{html.escape(subject.workspace)}</td>'
        f'<td>{html.escape(subject.name)}</td>'
        f'<td>{format_objective(one)}</td>'
        f'<td class="number">{one.events[-1]:,}</td>'
        f'<td>{_render_plot(report.windows_ms, one, colour)}</td>'
        f'<td>{badge}{one.severity.value}</span></td></tr>'
    )


def _render_plot(
    windows_ms: tuple[int, ...], one: burn.Burn, colour: str
) -> str:
    """Render the rates of one subject as bars."""
    bars = []
    for place, (window_ms, rate) in enumerate(
        zip(windows_ms, one.rates, strict=True)
    ):
        left = place * (_BAR + _GAP) + 4
        top = _BASE - _scale(rate)
        middle = left + _BAR / 2
        bars.append(
            f'<rect x="{left}" y="{top:.1f}" width="{_BAR}" '
            f'height="{_scale(rate):.1f}" fill="{colour}"/>'
            f'<text x="{middle}" y="{top - 3:.1f}" text-anchor="middle">'
            f'{rate:.1f}</text>'
            f'<text x="{middle}" y="{_BASE + 13}" text-anchor="middle">'
            f'{format_window(window_ms)}</text>'
        )
    line = _BASE - _scale(1.0)
    return (
        f'<svg width="{_WIDTH}" height="{_HEIGHT}" role="img" '
        f'aria-label="burn rates">'
        f'<line x1="0" x2="{_WIDTH}" y1="{line:.1f}" y2="{line:.1f}" '
        f'stroke="#1c1f23" stroke-dasharray="3 3"/>{"".join(bars)}</svg>'
    )


def _scale(rate: float) -> float:
    """Return the height of a bar; 0 up to the lowest rate that shows."""
    if rate <= _LOWEST_RATE:
        return 0.0
    span = math.log10(_HIGHEST_RATE / _LOWEST_RATE)
    share = math.log10(min(rate, _HIGHEST_RATE) / _LOWEST_RATE) / span
    return share * (_BASE - 14)
