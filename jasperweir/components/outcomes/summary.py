"""Totals of requests by route, by outcome and by window."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
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


@dataclasses.dataclass(kw_only=True, slots=True)
class Service:
    """How the requests of one priority or customer were served.

    Attributes:
        admitted: Requests that were sent to a target.
        waited: Requests that waited for a slot.
        returned: Requests retried after a rejection.
        refused: Rejected requests by result code.
    """

    admitted: int = 0
    waited: int = 0
    returned: int = 0
    refused: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, ended: lines_lib.EndedRequest) -> None:
        """Count a request."""
        self.waited += ended.waited
        self.returned += ended.is_return
        if ended.outcome is Outcome.REFUSED:
            self.refused[ended.code] += 1
        elif ended.outcome is not Outcome.LEFT:
            self.admitted += 1


class Summary:
    """Totals that the report shows.

    Attributes:
        routes: Requests by route and outcome.
        details: Rejected and failed requests by their logged outcome.
        returns: Requests retried after a rejection, by outcome.
        priorities: Requests by priority.
        customers: Requests by customer.
        answers: Requests by framing and end of the response to their last
            attempt, and outcome.
        cuts: Answers that were cut off, by reason and target. Those of attempts
            whose request was continued elsewhere are included.
    """

    def __init__(self, *, window_s: float = const.WINDOW_SECONDS) -> None:
        self.routes: dict[str, Counts] = {}
        self.details: collections.Counter[str] = collections.Counter()
        self.returns: Counts = collections.Counter()
        self.priorities: dict[int, Service] = {}
        self.customers: dict[str, Service] = {}
        self.answers: dict[tuple[str, str], Counts] = {}
        self.cuts: dict[str, collections.Counter[str]] = {}
        self._window_s = window_s
        self._windows: dict[int, Window] = {}

    def add(self, texts: Iterable[str]) -> None:
        """Add the lines of a log."""
        for text in texts:
            match lines_lib.parse_line(text):
                case lines_lib.EndedRequest() as ended:
                    self._add_ended(ended)
                case lines_lib.Change() as change:
                    self._add_change(change)
                case lines_lib.CutAnswer(target, cut, change):
                    targets = self.cuts.setdefault(cut, collections.Counter())
                    targets[target] += 1
                    if change is not None:
                        self._add_change(change)

    def list_windows(self) -> list[Window]:
        """Return all windows in order of time."""
        return [self._windows[n] for n in sorted(self._windows)]

    def list_worst(self, count: int = const.WORST_WINDOWS) -> list[Window]:
        """Return the windows with the lowest share of requests on time."""
        asked = [w for w in self.list_windows() if w.counts.total()]
        return sorted(asked, key=_in_time_share)[:count]

    def _add_change(self, change: lines_lib.Change) -> None:
        what = f"{change.event} {change.detail}".strip()
        self._window(change.at).changes[what] += 1

    def _add_ended(self, ended: lines_lib.EndedRequest) -> None:
        route = self.routes.setdefault(ended.route, collections.Counter())
        route[ended.outcome] += 1
        if ended.outcome in (Outcome.REFUSED, Outcome.FAILED):
            self.details[ended.detail] += 1
        if ended.priority >= 0:
            self.priorities.setdefault(ended.priority, Service()).add(ended)
        if ended.customer:
            self.customers.setdefault(ended.customer, Service()).add(ended)
        if ended.end:
            answer = self.answers.setdefault(
                (ended.framing, ended.end), collections.Counter()
            )
            answer[ended.outcome] += 1
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
    out += _list_service("priority", summary.priorities)
    out += _list_service("customer", summary.customers)
    out += _list_answers(summary)
    out += _list_cuts(summary)
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


def _list_service(
    title: str, groups: Mapping[int, Service] | Mapping[str, Service]
) -> list[str]:
    """Return the rows of priorities or customers, the largest first."""
    if not groups:
        return []
    out = ["", _row(title, ["admitted", "waited", "returned", "refused"])]
    rows = sorted(groups.items(), key=lambda item: str(item[0]))
    if len(rows) > const.CUSTOMERS_SHOWN:
        rows.sort(key=lambda item: -item[1].admitted)
        del rows[const.CUSTOMERS_SHOWN :]
    for name, service in rows:
        counts = (
            service.admitted,
            service.waited,
            service.returned,
            service.refused.total(),
        )
        codes = " ".join(
            f"{code}:{count}" for code, count in sorted(service.refused.items())
        )
        row = _row(str(name), [str(count) for count in counts])
        out.append(f"{row}  {codes}".rstrip())
    return out


def _list_answers(summary: Summary) -> list[str]:
    """Return the rows of answers by framing and end."""
    if not summary.answers:
        return []
    out = ["", _row("answer: framing, end", [o.value for o in Outcome])]
    for (framing, end), counts in sorted(summary.answers.items()):
        out.append(_counts_row(f"{framing}, {end}", counts))
    return out


def _list_cuts(summary: Summary) -> list[str]:
    """Return the rows of cut answers by reason and by target."""
    if not summary.cuts:
        return []
    out = ["", _row("answers cut off", ["attempts", "targets"])]
    by_target: collections.Counter[str] = collections.Counter()
    for cut in sorted(summary.cuts, key=lambda c: -summary.cuts[c].total()):
        targets = summary.cuts[cut]
        out.append(_row(cut, [str(targets.total()), str(len(targets))]))
        by_target.update(targets)
    out += ["", "targets with the most answers cut off:"]
    for target, count in by_target.most_common(const.CUT_TARGETS_SHOWN):
        cuts = " ".join(
            f"{cut}:{targets[target]}"
            for cut, targets in sorted(summary.cuts.items())
            if target in targets
        )
        out.append(f"  {count:6} {target}  {cuts}")
    return out


def _counts_row(name: str, counts: Counts) -> str:
    return _row(name, [str(counts[outcome]) for outcome in Outcome])


def _row(name: str, cells: list[str]) -> str:
    return f"{name:24}" + "".join(f"{cell:>9}" for cell in cells)
