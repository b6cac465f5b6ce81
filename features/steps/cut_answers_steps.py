"""Steps on answers that are cut off."""

import collections

from behave import then
from behave import when

from features.harness import cut_answers
from jasperweir.components.forward import response_body
from jasperweir.components.forward import response_progress
from jasperweir.helpers import event_stream
from jasperweir.helpers import http_message

SHOWN = 12


@when("targets cut off answers in every way that the table lists")
def step_cut(context):
    context.faults = []
    context.count = 0
    for route, cut in cut_answers.list_cases():
        context.count += 1
        outcome = cut_answers.play(route, cut)
        fault = cut_answers.find_fault(route, cut, outcome)
        if fault is not None:
            context.faults.append((route, cut, fault))


@then("no caller is told that a broken answer is complete")
def step_none_told(context):
    by_case = collections.Counter(
        (route, cut.framing, cut.end, fault.partition(" ")[2])
        for route, cut, fault in context.faults
    )
    shown = [f"{n}: {case}" for case, n in by_case.most_common(SHOWN)]
    shown += [str(found) for found in context.faults[:SHOWN]]
    assert not context.faults, "\n".join(
        [f"{len(context.faults)} of {context.count}", *shown]
    )


@when("targets answer whole in every framing")
def step_whole(context):
    context.outcomes = [
        (route, cut, cut_answers.play(route, cut))
        for route in cut_answers.ROUTES
        for is_huge in (False, True)
        for cut in [
            cut_answers.Cut(framing, is_huge=is_huge, tries=0)
            for framing in ("length", "chunks", "close", "http/1.0")
        ]
    ]


@then("every caller gets the whole answer")
def step_all_whole(context):
    for route, cut, outcome in context.outcomes:
        assert outcome.is_whole, (route, cut)
        assert outcome.status == 200, (route, cut, outcome.status)
        assert outcome.body == cut_answers.full_body(cut), (route, cut)
        assert outcome.attempts == 1, (route, cut, outcome.attempts)


@when('an event stream "{text}" arrives byte by byte')
def step_bytes(context, text):
    context.splitter = event_stream.EventSplitter(last_id="")
    data = text.replace("~", "\n").replace("^", "\r").encode()
    passed = b"".join(
        context.splitter.feed(data[at : at + 1]) for at in range(len(data))
    )
    assert data.startswith(passed), passed


@then(
    "{count:d} events are complete, the stream {ends} and {resumes} "
    'after "{last}"'
)
def step_stream_state(context, count, ends, resumes, last):
    splitter = context.splitter
    assert splitter.count == count, splitter.count
    assert splitter.is_inside_event == (ends == "is cut")
    assert splitter.has_resume_point == (resumes == "can be resumed")
    assert splitter.last_id == last, splitter.last_id


@then('{count:d} events are complete, the stream {ends} and {resumes} after ""')
def step_stream_state_empty(context, count, ends, resumes):
    step_stream_state(context, count, ends, resumes, "")


@when("part of its response has been passed on")
def step_passed_on(context):
    context.state.response_started = True


@when("a resumed stream of 0 events ends after {what}")
def step_empty_rest(context, what):
    progress = response_progress.ResponseProgress()
    progress.framing = http_message.Framing.CHUNKS
    context.body = response_body.ResponseBody(
        progress=progress,
        is_event_stream=True,
        last_event_id="3",
        expects_event=what == "an event had begun",
    )


@then('it is cut off: "{reason}"')
def step_is_cut(context, reason):
    cut = context.body.find_cut()
    assert cut is not None
    assert cut.value == reason, cut


@then("it is complete")
def step_is_complete(context):
    assert context.body.find_cut() is None, context.body.find_cut()


@when("a target answers a request for a stream with a JSON body")
def step_json(context):
    cut = cut_answers.Cut("chunks", tries=0)
    context.outcome = cut_answers.play("stream", cut, body=b'{"a": 1}')


@then("the JSON body reaches the caller whole")
def step_json_whole(context):
    assert context.outcome.is_whole
    assert context.outcome.body == b'{"a": 1}', context.outcome.body


@when("a stream ends right after a part of an event larger than the buffer")
def step_ends_after_part(context):
    context.splitter = event_stream.EventSplitter(last_id="6")
    data = b"id: 7\ndata: " + b"x" * event_stream.MAX_EVENT_BYTES
    assert context.splitter.feed(data) == data


@then("the stream is inside an event, also after the end of its line")
def step_inside(context):
    assert context.splitter.is_inside_event
    assert context.splitter.feed(b"\n") == b""
    assert context.splitter.is_inside_event


@then("its last id is none of the large event's until that event is complete")
def step_large_id(context):
    assert context.splitter.last_id == "6", context.splitter.last_id
    assert not context.splitter.has_resume_point
    assert context.splitter.feed(b"\n") == b"\n\n"
    assert context.splitter.last_id == "7", context.splitter.last_id
    assert context.splitter.has_resume_point
    assert not context.splitter.is_inside_event
