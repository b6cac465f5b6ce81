"""Totals of requests by route, by outcome and by window."""

import collections
from collections.abc import Iterable
import dataclasses

from jasperweir.components.outcomes import const
from jasperweir.components.outcomes import lines as lines_lib

Outcome = lines_lib.Outcome
Counts = collections.Counter[Outcome]


@dataclasses.dataclass(kw_only=True, slots=True)
class Window:
    """Requests and state changes in one span of time.

    Attributes:
        begins: Start of the window, seconds, on the clock of the log lines.
        counts: Requests that finished in it, by outcome.
        changes: State changes logged in it, by event and detail.
    """

    begins: float
    counts: Counts = dataclasses.field(default_factory=collections.Counter)
    changes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Summary:
    """Totals that the report shows.

    Attributes:
        routes: Requests by route and outcome.
        details: Rejected and failed requests by their logged outcome.
        returns: Requests retried after a rejection, by outcome.
    """

    def __init__(self, *, window_s: float = const.WINDOW_SECONDS) -> None:
        self.routes: dict[str, Counts] = {}
        self.details: collections.Counter[str] = collections.Counter()
        self.returns: Counts = collections.Counter()
        self._window_s = window_s
        self._windows: dict[int, Window] = {}

    def add(self, texts: Iterable[str]) -> None:
        """Add the lines of a log."""
        for text in texts:
            match lines_lib.parse_line(text):
                case lines_lib.EndedRequest() as ended:
                    self._add_ended(ended)
                case lines_lib.Change() as change:
                    what = f"{change.event} {change.detail}".strip()
                    self._window(change.at).changes[what] += 1

    def list_windows(self) -> list[Window]:
        """Return all windows in order of time."""
        return [self._windows[n] for n in sorted(self._windows)]

    def list_worst(self, count: int = const.WORST_WINDOWS) -> list[Window]:
        """Return the windows with the lowest share of requests on time."""
        asked = [w for w in self.list_windows() if w.counts.total()]
        return sorted(asked, key=_in_time_share)[:count]

    def _add_ended(self, ended: lines_lib.EndedRequest) -> None:
        route = self.routes.setdefault(ended.route, collections.Counter())
        route[ended.outcome] += 1
        if ended.outcome in (Outcome.REFUSED, Outcome.FAILED):
            self.details[ended.detail] += 1
        if ended.is_return:
            self.returns[ended.outcome] += 1
        self._window(ended.at).counts[ended.outcome] += 1

    def _window(self, at: float) -> Window:
        number = int(at // self._window_s)
        begins = number * self._window_s
        return self._windows.setdefault(number, Window(begins=begins))


def _in_time_share(window: Window) -> float:
    return window.counts[Outcome.IN_TIME] / window.counts.total()


def format_text(summary: Summary) -> str:
    """Return the report as a page of text."""
    out = [_row("route", [o.value for o in Outcome])]
    for name in sorted(summary.routes):
        out.append(_counts_row(name, summary.routes[name]))
    out.append(_counts_row("(retried)", summary.returns))
    out.append("")
    out.append("not served, by outcome:")
    for detail, count in summary.details.most_common():
        out.append(f"  {count:6} {detail}")
    out.append("")
    out.append("worst windows and their state changes:")
    for window in summary.list_worst():
        out.append(_counts_row(f"{window.begins:.0f} s", window.counts))
        for what, count in window.changes.most_common(const.WORST_WINDOWS):
            out.append(f"  {count:6} {what}")
    return "\n".join(out) + "\n"


def _counts_row(name: str, counts: Counts) -> str:
    return _row(name, [str(counts[outcome]) for outcome in Outcome])


def _row(name: str, cells: list[str]) -> str:
    return f"{name:24}" + "".join(f"{cell:>9}" for cell in cells)
