"""The burn report as one self-contained HTML page."""

import datetime
import html
from collections.abc import Sequence

from sardinestair.observability.burn import (
    SECONDS_PER_MINUTE,
    WINDOW_MINUTES,
    MinuteCount,
    ServiceBurn,
    burn_rate,
)

__all__ = ["render_page"]

PLOT_MINUTES = 60
PLOT_WIDTH, PLOT_HEIGHT, LEFT_MARGIN, BOTTOM_MARGIN = 720, 200, 44, 24
ALERT_BURN_RATE = 1.0

_STYLE = """
body { font: 15px/1.4 system-ui, sans-serif; margin: 2rem; color: #222; }
table { border-collapse: collapse; margin: 0 0 1rem; }
th, td { padding: .3rem .9rem; border-bottom: 1px solid #ddd; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.high { color: #b00020; font-weight: 600; }
svg text { font: 11px system-ui, sans-serif; fill: #555; }
"""  # noqa: E501


def render_page(reports: Sequence[ServiceBurn], now: datetime.datetime) -> str:
    """Returns the page as HTML.

    Args:
        reports: One report per service.
        now: The time of the report.

    Examples:
        >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        >>> "<svg" in render_page([ServiceBurn("q", 0.99, 0.0, [])], now)
        True
    """
    now_minute = int(now.timestamp()) // SECONDS_PER_MINUTE
    sections = "".join(
        _render_section(report, now_minute) for report in reports
    )
    return (
        "<!doctype html><html lang='en'><meta charset='utf-8'>"
        "<title>Service-level burn</title>"
        f"<style>{_STYLE}</style><h1>Service-level burn</h1>"
        f"<p>{now:%Y-%m-%d %H:%M} UTC. A burn rate of 1 uses up the error "
        "budget exactly at the end of the period.</p>"
        f"{sections or '<p>No service has received a job yet.</p>'}</html>\n"
    )


def _render_section(report: ServiceBurn, now_minute: int) -> str:
    limit = (
        f"within {report.objective_s:g} s"
        if report.objective_s
        else "within the job's deadline"
    )
    rows = "".join(
        _render_row(
            name, report.sum_window(minutes, now_minute), report.objective_share
        )
        for name, minutes in WINDOW_MINUTES.items()
    )
    return (
        f"<h2>{html.escape(report.service)}</h2>"
        f"<p>Objective: {report.objective_share:.3%} of jobs answered {limit}."
        "</p><table><tr><th>window</th><th>jobs</th><th>missed</th>"
        f"<th>burn rate</th></tr>{rows}</table>"
        f"{_render_plot(report, now_minute)}"
    )


def _render_row(name: str, count: MinuteCount, objective_share: float) -> str:
    rate = burn_rate(count, objective_share)
    css = " class='high'" if rate > ALERT_BURN_RATE else ""
    return (
        f"<tr><td>{name}</td><td>{count.total}</td><td>{count.bad}</td>"
        f"<td{css}>{rate:.2f}</td></tr>"
    )


def _render_plot(report: ServiceBurn, now_minute: int) -> str:
    """Draws one bar per minute for the last `PLOT_MINUTES` minutes."""
    by_minute = {count.minute: count for count in report.minutes}
    first = now_minute - PLOT_MINUTES + 1
    rates = [
        burn_rate(
            by_minute.get(minute, MinuteCount(minute)), report.objective_share
        )
        for minute in range(first, now_minute + 1)
    ]
    top = max(2.0, *rates)
    scale = (PLOT_HEIGHT - BOTTOM_MARGIN) / top
    step = (PLOT_WIDTH - LEFT_MARGIN) / PLOT_MINUTES
    bars = "".join(
        _render_bar(LEFT_MARGIN + number * step, step, rate * scale, rate)
        for number, rate in enumerate(rates)
    )
    return (
        f"<svg width='{PLOT_WIDTH}' height='{PLOT_HEIGHT + BOTTOM_MARGIN}' "
        "role='img' aria-label='burn rate by minute'>"
        f"{_render_line(0.0, scale, '#999', '0')}"
        f"{_render_line(ALERT_BURN_RATE, scale, '#b00020', '1')}"
        f"{_render_line(top, scale, '#eee', f'{top:.0f}')}"
        f"{bars}<text x='{LEFT_MARGIN}' y='{PLOT_HEIGHT}'>60 min ago</text>"
        f"<text x='{PLOT_WIDTH}' y='{PLOT_HEIGHT}' text-anchor='end'>now</text>"
        f"<text x='{PLOT_WIDTH / 2}' y='{PLOT_HEIGHT + BOTTOM_MARGIN - 6}' "
        "text-anchor='middle'>burn rate by minute</text></svg>"
    )


def _render_bar(x: float, width: float, height: float, rate: float) -> str:
    color = "#b00020" if rate > ALERT_BURN_RATE else "#3b6ea5"
    y = PLOT_HEIGHT - BOTTOM_MARGIN - height
    return (
        f"<rect x='{x:.1f}' y='{y:.1f}' width='{width * 0.8:.1f}' "
        f"height='{height:.1f}' fill='{color}'/>"
    )


def _render_line(rate: float, scale: float, color: str, label: str) -> str:
    y = PLOT_HEIGHT - BOTTOM_MARGIN - rate * scale
    return (
        f"<line x1='{LEFT_MARGIN}' x2='{PLOT_WIDTH}' y1='{y:.1f}' y2='{y:.1f}' "
        f"stroke='{color}'/><text x='{LEFT_MARGIN - 6}' "
        f"y='{max(y + 4, 12):.1f}' text-anchor='end'>{label}</text>"
    )
