"""Burn rates over several windows, merged over all entries."""

import collections
import html
import io
from typing import Any
from typing import NamedTuple

from jasperweir.components.burn import const
from jasperweir.components.burn import windows

BAR_FULL_BURN = 10.0


class Line(NamedTuple):
    """Burn rate of a service, or of one of its customers, in a window.

    Attributes:
        service: Name of the service.
        customer: Name of the customer, empty for all of them.
        window_s: Length of the window, seconds.
        total: Number of responses.
        bad: Number of responses that missed the objective.
        burn: Multiple of the rate that spends the error budget exactly.
        budget_left: Remaining share of the window's error budget, 0 to 1.
        causes: Causes of bad responses and their counts, largest first.
    """

    service: str
    customer: str
    window_s: float
    total: int
    bad: int
    burn: float
    budget_left: float
    causes: list[tuple[str, int]]


def merge(answers: list[dict[str, Any]]) -> list[Line]:
    """Return the report's lines, with the counts of all entries added."""
    objectives: dict[str, float] = {}
    counts: dict[tuple[str, str, float], collections.Counter[str]] = {}
    for answer in answers:
        objectives.update(answer["objectives"])
        for cell in answer["cells"]:
            for customer in ("", cell["customer"]):
                key = (cell["service"], customer, cell["window_s"])
                counts.setdefault(key, collections.Counter()).update(
                    cell["counts"]
                )
    return [
        _line(key, found, objectives.get(key[0], 0.95))
        for key, found in sorted(counts.items())
    ]


def _line(
    key: tuple[str, str, float],
    counts: collections.Counter[str],
    objective: float,
) -> Line:
    service, customer, window = key
    total = sum(counts.values())
    bad = total - counts[const.GOOD]
    burn = windows.burn_rate(counts, objective)
    causes = [(c, counts[c]) for c in const.CAUSES if counts[c]]
    return Line(
        service=service,
        customer=customer,
        window_s=window,
        total=total,
        bad=bad,
        burn=burn,
        budget_left=max(0.0, 1.0 - burn),
        causes=sorted(causes, key=lambda item: -item[1]),
    )


def format_text(lines: list[Line]) -> str:
    """Return the report as a table."""
    out = io.StringIO()
    out.write(
        f"{'service':16} {'customer':16} {'window':>7} {'answers':>8} "
        f"{'bad':>6} {'burn':>7} {'left':>6}  causes\n"
    )
    for line in lines:
        causes = ", ".join(f"{name} {count}" for name, count in line.causes)
        out.write(
            f"{line.service:16} {line.customer or 'all':16} "
            f"{line.window_s:6.0f}s {line.total:8} {line.bad:6} "
            f"{line.burn:7.2f} {line.budget_left:6.0%}  {causes}\n"
        )
    if not lines:
        out.write("no answers in the last hour\n")
    return out.getvalue()


def format_page(lines: list[Line]) -> str:
    """Return the report as one page that needs nothing else."""
    rows = "".join(_row(line) for line in lines)
    return (
        "<!doctype html><meta charset=utf-8><title>Service-level burn</title>"
        "<style>body{font:14px sans-serif;margin:2em}td,th{padding:4px 10px;"
        "text-align:left;border-bottom:1px solid #ddd}svg{vertical-align:"
        "middle}</style><h1>Service-level burn</h1>"
        "<p>Burn 1 spends the error budget exactly; above 1 it runs out "
        "early.</p><table><tr><th>Service<th>Customer<th>Window"
        f"<th>Answers<th>Bad<th>Burn<th>Budget left<th>Causes</tr>{rows}"
        "</table>\n"
    )


def _row(line: Line) -> str:
    width = min(line.burn / BAR_FULL_BURN, 1.0) * 200
    colour = "#c33" if line.burn > 1 else "#393"
    bar = (
        f"<svg width=200 height=12><rect width=200 height=12 fill='#eee'/>"
        f"<rect width={width:.0f} height=12 fill='{colour}'/></svg>"
    )
    causes = ", ".join(f"{name} {count}" for name, count in line.causes)
    return (
        f"<tr><td>{html.escape(line.service)}"
        f"<td>{html.escape(line.customer) or 'all'}"
        f"<td>{line.window_s:.0f} s<td>{line.total}<td>{line.bad}"
        f"<td>{bar} {line.burn:.2f}<td>{line.budget_left:.0%}"
        f"<td>{html.escape(causes)}</tr>"
    )
