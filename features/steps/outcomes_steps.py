"""Steps for the request report."""

import contextlib
import io
import json
import pathlib

from behave import given
from behave import then
from behave import when

from features.harness import response_ends
from jasperweir.cli import main as cli
from jasperweir.components.outcomes import lines
from jasperweir.components.outcomes import summary as summary_lib

GOLDEN = pathlib.Path(__file__).parent.parent / "golden"


def request_line(
    outcome="answered 200", at=10.0, first_ms=300, gap_ms=90, used_ms=0
):
    return json.dumps(
        {
            "at": at, "event": "request ended", "route": "r",
            "outcome": outcome, "first_ms": first_ms, "gap_ms": gap_ms,
            "target_ms": 400, "gap_target_ms": 120, "used_ms": used_ms,
        }
    )  # fmt: skip


def change_line(at, event, **fields):
    return json.dumps({"at": at, "node": "vm-1", "event": event, **fields})


@when(
    'the log has a request that ended "{outcome}" with {first:d} ms to its '
    "first byte and pauses of {gap:d} ms"
)
def step_ended(context, outcome, first, gap):
    context.summary = summary_lib.Summary()
    context.summary.add([request_line(outcome, first_ms=first, gap_ms=gap)])


@then("the report counts it as {counted}")
def step_counted(context, counted):
    counts = context.summary.routes["r"]
    assert counts == {lines.Outcome(counted): 1}, counts


@given("a log with a good window and a window with a leader change")
def step_windows(context):
    context.summary = summary_lib.Summary(window_s=2.0)
    context.summary.add(
        [
            "  10.100 vm-1 " + request_line(at=4.1),
            request_line(at=11.9),
            change_line(12.5, "role changed", is_now="follower"),
            change_line(12.6, "send failed", reason="status 503"),
            request_line(at=12.7),
            request_line("targets_refused", at=13.9),
        ]
    )


@then("the worst window begins at {begins:g} s")
def step_worst(context, begins):
    assert context.summary.list_worst()[0].begins == begins


@then('it names "{one}" and "{other}"')
def step_state_changes(context, one, other):
    assert set(context.summary.list_worst()[0].changes) == {one, other}


@given(
    "a log with a truncated line, a line of another program and a blank line"
)
def step_unused_lines(context):
    context.summary = summary_lib.Summary()
    context.summary.add(
        [
            request_line()[:-9],
            "listening on 80",
            "",
            "{}",
            "[1]",
        ]
    )


@then("the report counts no request")
def step_no_request(context):
    assert not context.summary.routes


@when("the log has a request retried after a rejection")
def step_retry(context):
    context.summary = summary_lib.Summary()
    context.summary.add([request_line(used_ms=2600), request_line()])


@then("the report counts 1 retried request")
def step_one_retry(context):
    assert context.summary.returns.total() == 1


@when('"report requests" is run on a log with 3 served and 2 refused requests')
def step_run(context):
    path = f"{context.folder}/entry.log"
    texts = [request_line()] * 3 + [request_line("overloaded", first_ms=-1)] * 2
    with open(path, "w", encoding="utf-8") as log:
        log.write("\n".join(texts))
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        code = cli.main(["report", "requests", path])
    assert code == 0, code
    context.page = out.getvalue().splitlines()


@then("it prints a row of 3 in time and 2 refused")
def step_row(context):
    row = next(x for x in context.page if x.startswith("r  ")).split()
    assert row == ["r", "3", "0", "2", "0", "0"], row


@then('it names "overloaded" with 2')
def step_outcome_count(context):
    assert ["2", "overloaded"] in [x.split() for x in context.page]


@given("a log with requests of priorities 0 and 2 of two customers")
def step_priorities(context):
    def line(outcome, used_ms=0, **fields):
        body = json.loads(request_line(outcome, used_ms=used_ms))
        return json.dumps({**body, **fields})

    small = {"priority": 0, "customer": "small"}
    large = {"priority": 2, "customer": "large"}
    context.summary = summary_lib.Summary()
    context.summary.add(
        [
            line("answered 200", **small, waited=True),
            line("answered 200", 900, **small, waited=False),
            line("overloaded", **large, waited=True),
            line("targets_refused", **large, waited=False),
            request_line(),
        ]
    )
    context.page = summary_lib.format_text(context.summary).splitlines()


def find_row(context, title, name):
    start = next(
        n for n, row in enumerate(context.page) if row.startswith(title)
    )
    rows = [row.split() for row in context.page[start:]]
    return " ".join(next(r for r in rows if r and r[0] == name)[1:])


@then('the row of priority {name} is "{cells}"')
def step_priority_row(context, name, cells):
    assert find_row(context, "priority", name) == cells, context.page


@then('the row of customer "{name}" is "{cells}"')
def step_customer_row(context, name, cells):
    assert find_row(context, "customer", name) == cells, context.page


@then("a line of an older version is in no row")
def step_older_line(context):
    found = context.summary.priorities.values()
    assert sum(s.admitted + s.refused.total() for s in found) == 4


def run_report(context, data):
    """Write a log and return the lines of the report on it."""
    path = f"{context.folder}/entry.log"
    with open(path, "wb") as log:
        log.write(data)
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        code = cli.main(["report", "requests", path])
    assert code == 0, code
    context.page = out.getvalue().splitlines()


@when(
    '"report requests" is run on the log of an entry whose targets cut off '
    "answers"
)
def step_run_cut(context):
    whole = response_ends.ANSWERS["in chunks"]
    runs = [
        response_ends.run([answer, whole], attempts=attempts)
        for answer in response_ends.ANSWERS.values()
        for attempts in (1, 2)
    ]
    texts = [
        json.dumps({"at": number / 10, **line})
        for number, run in enumerate(runs)
        for line in run.lines
    ]
    run_report(context, "\n".join(texts).encode())


@then('it prints the page "{name}"')
def step_page(context, name):
    golden = (GOLDEN / name).read_text(encoding="utf-8").splitlines()
    assert context.page == golden, "\n".join(context.page)


@given(
    "a log with a request that was cut off at one target and answered by "
    "another"
)
def step_continued(context):
    run = response_ends.run(
        [
            response_ends.ANSWERS["and closes inside an event"],
            response_ends.ANSWERS["in chunks"],
        ],
        attempts=2,
    )
    context.summary = summary_lib.Summary()
    context.summary.add(json.dumps({"at": 1.0, **x}) for x in run.lines)
    context.page = summary_lib.format_text(context.summary).splitlines()


def find_cells(context, name):
    """Return the cells of the row with a name."""
    row = next(x for x in context.page if x.startswith(f"{name} "))
    return " ".join(row.removeprefix(name).split())


@then('the row of {what} "{name}" is "{cells}"')
def step_named_row(context, what, name, cells):
    assert find_cells(context, name) == cells, context.page


@then('its state changes name "{what}"')
def step_change(context, what):
    (window,) = context.summary.list_windows()
    assert window.changes == {what: 1}, window.changes


@then("the report has no table of answers or cuts")
def step_no_tables(context):
    page = summary_lib.format_text(context.summary)
    assert "answer" not in page, page


@when('"report requests" is run on a log whose last line is cut {place}')
def step_run_truncated(context, place):
    texts = [request_line()] * 3 + [request_line("overloaded", first_ms=-1)] * 2
    cut = {
        "within a number": request_line()[:12],
        "within a character": '{"at": 1.0, "reason": "\u00e9',
        "after its last word": request_line()[:-1],
    }[place].encode()
    if place == "within a character":
        cut = cut[:-1]
    run_report(context, "\n".join(texts).encode() + b"\n" + cut)


@given(
    "a log with a cut line that the line of a restarted process follows "
    "without a break"
)
def step_glued(context):
    cut = request_line()[:40]
    context.summary = summary_lib.Summary()
    context.summary.add([cut + '{"at":11.0,"node":"vm-1","event":"started"}'])


@given("a log with a cut attempt whose request waits until its time is up")
def step_cut_then_waits(context):
    cut = {"target": "t", "end": "close", "cut": "inside_event"}
    context.summary = summary_lib.Summary()
    context.summary.add(
        [
            change_line(1.0, "send failed", **cut),
            change_line(2.0, "time is up", **cut),
            change_line(2.0, "request ended", outcome="broken_off", **cut),
        ]
    )
    context.page = summary_lib.format_text(context.summary).splitlines()
