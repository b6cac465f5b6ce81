"""Steps on the records of how answers ended."""

import json
import types

from behave import then
from behave import when

from features.harness import response_ends
from jasperweir.components.forward import response_progress
from jasperweir.components.forward import response_recorder
from jasperweir.helpers import http_message
from jasperweir.helpers import metrics

FIELDS = (
    "framing", "end", "cut", "reason", "body_bytes", "events",
    "pending_bytes",
)  # fmt: skip
SILENT = response_ends.ANSWERS["and falls silent"]
IN_CHUNKS = response_ends.ANSWERS["in chunks"]


@when("a target answers {answer}")
def step_answer(context, answer):
    context.run = response_ends.run([response_ends.ANSWERS[answer]])
    context.line = context.run.ended


@when("a stream moves away from a target that falls silent")
def step_move(context):
    context.run = response_ends.run([SILENT, IN_CHUNKS], attempts=2, moves=True)


@when("the caller of a target that falls silent disconnects")
def step_leave(context):
    context.run = response_ends.run([SILENT], leaves=True)


@when("a target resets the connection while its caller doesn't read")
def step_unread(context):
    answer = response_ends.ANSWERS["and resets the connection"]
    context.run = response_ends.run([answer], unread=True)


@when("a target falls silent while its caller doesn't read")
def step_both_silent(context):
    context.run = response_ends.run([SILENT], unread=True, reads_again=False)


@when("a caller that doesn't read is disconnected")
def step_unread_leave(context):
    context.run = response_ends.run(
        [SILENT], unread=True, reads_again=False, leaves=True
    )


@when("the attempts of a request are answered:")
def step_attempts(context):
    answers = [response_ends.ANSWERS[row["answer"]] for row in context.table]
    context.run = response_ends.run(answers, attempts=len(answers))


@when("a request meets no target")
def step_no_target(context):
    context.run = response_ends.run([])
    context.line = context.run.ended


@when("targets answer in all these ways")
def step_all(context):
    context.runs = {
        name: response_ends.run([answer, IN_CHUNKS], attempts=2)
        for name, answer in response_ends.ANSWERS.items()
    }


@then('no attempt failed and the request ended "{outcome}"')
def step_no_failure(context, outcome):
    assert not context.run.attempts, context.run.attempts
    step_outcome(context, outcome)


@then('the request ended "{outcome}"')
def step_outcome(context, outcome):
    context.line = context.run.ended
    assert context.line["outcome"] == outcome, context.line


@then('the attempt\'s line is "{event}" with fault "{fault}"')
def step_fault_line(context, event, fault):
    step_line(context, event)
    assert context.line["fault"] == fault, context.line


@then('the attempt\'s line is "{event}"')
def step_line(context, event):
    (context.line,) = context.run.attempts
    assert context.line["event"] == event, context.line


@then(
    "its response has framing {framing}, end {end}, cut {cut}, {events:d} "
    "events, {size:d} bytes and {pending:d} pending"
)
def step_response(context, framing, end, cut, events, size, pending):
    line = context.line
    found = [line[name] for name in FIELDS if name != "reason"]
    assert found == [framing, end, cut, size, events, pending], line
    # The handler of the processes writes these fields as they are.
    json.dumps(line)


@then(
    "its response has framing {framing}, end {end}, no cut, {events:d} "
    "events, {size:d} bytes and {pending:d} pending"
)
def step_response_uncut(context, framing, end, events, size, pending):
    step_response(context, framing, end, "", events, size, pending)


@then('its reason is "{reason}"')
def step_reason(context, reason):
    assert context.line["reason"] == reason, context.line


@then("the line on the request says the same of the response")
def step_same(context):
    ended = context.run.ended
    assert {name: ended[name] for name in FIELDS} == {
        name: context.line[name] for name in FIELDS
    }, ended


@then("its lines are:")
def step_lines(context):
    run = context.run
    found = [
        [str(line[name]) for name in context.table.headings]
        for line in [*run.attempts, run.ended]
    ]
    assert found == [list(row.cells) for row in context.table], found


@then('no line has end "{end}" or cut "{cut}"')
def step_none_unnamed(context, end, cut):
    for name, run in context.runs.items():
        for line in [*run.attempts, run.ended]:
            assert line["end"] != end, (name, line)
            assert line["cut"] != cut, (name, line)


@then("every chosen target has one line on its attempt's end")
def step_one_line(context):
    for name, run in context.runs.items():
        chosen = sum(x["event"] == "target chosen" for x in run.lines)
        is_last_answered = run.ended["cut"] == "" and run.ended["end"] in (
            "framing",
            "close",
        )
        told = len(run.attempts) + is_last_answered
        assert chosen == told, (name, chosen, run.lines)


def list_values(found, name):
    """Return the values of a counter by its labels."""
    return {
        key[1]: value for key, value in found._values.items() if key[0] == name
    }


@then("the metrics have these responses:")
def step_metrics(context):
    found = list_values(context.run.metrics, "responses_ended")
    assert found == {
        (("end", row["end"]), ("framing", row["framing"])): int(row["count"])
        for row in context.table
    }, found


@then(
    'they have {cuts:d} cut "{cut}", {events:d} events and {size:d} bytes '
    "received"
)
def step_counts(context, cuts, cut, events, size):
    found = list_values(context.run.metrics, "responses_cut")
    assert found == ({(("cut", cut),): cuts} if cuts else {}), found
    assert context.run.metrics.value("response_events") == events
    assert context.run.metrics.value("response_bytes") == size


@then("they have no cut, {events:d} events and {size:d} bytes received")
def step_no_cut(context, events, size):
    step_counts(context, 0, "", events, size)


@when(
    "{count:d} responses of {size:d} bytes end and their metrics are published "
    "twice"
)
def step_publish(context, count, size):
    context.metrics = metrics.Metrics(labels={})
    recorder = response_recorder.ResponseRecorder(metrics=context.metrics)
    state = types.SimpleNamespace(
        caller_headers=types.SimpleNamespace(request_id="id"), attempts=1
    )
    for _ in range(count):
        progress = response_progress.ResponseProgress(
            framing=http_message.Framing.CHUNKS, body_bytes=size
        )
        progress.on_end()
        exchange = types.SimpleNamespace(
            progress=progress, target_id="t", state=state
        )
        recorder.record_timeout(exchange)
        recorder.record_timeout(exchange)
    recorder.publish()
    recorder.publish()


@then("they count {count:d} responses and {size:d} bytes")
def step_published(context, count, size):
    labels = {"framing": "chunks", "end": "framing"}
    assert context.metrics.value("responses_ended", **labels) == count
    assert context.metrics.value("response_bytes") == size
