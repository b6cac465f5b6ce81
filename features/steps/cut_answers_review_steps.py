"""Steps on answers of targets that follow scripts byte by byte."""

from behave import given
from behave import then
from behave import when

from features.harness import answer_scripts
from features.harness import virtual_loop
from jasperweir.helpers import http_client

PIECES = {
    "an event's beginning": b"id: 2\ndat",
    "a version line": b"weight-versions: 7\n",
    "a comment's beginning": b": pi",
    "large text": b"x" * 300_000,
    "nothing": b"",
}
MEDIA = {
    "events": b"text/event-stream",
    "JSON": b"application/json",
    "plain text": b"text/plain",
}


def write_body(text):
    """Return the body that a text like "1, 2, an event's beginning" names."""
    body = b""
    for part in filter(None, text.split(", ")):
        if part.isdigit():
            body += answer_scripts.event(int(part))
        else:
            body += PIECES.get(part, part.encode())
    return body


def add_script(context, *parts, end="open"):
    if not hasattr(context, "scripts"):
        context.scripts = []
    context.scripts.append(answer_scripts.Script(parts, end))


@given(
    'a target that states {size:d} bytes of events, sends "{text}" and {end}'
)
def step_length(context, size, text, end):
    head = answer_scripts.head(b"Content-Length: %d" % size)
    end = "reset" if end == "resets" else "open"
    add_script(context, head, write_body(text), end=end)


@given('a target that sends "{text}" as chunks of {media} and resets')
def step_reset(context, text, media):
    step_status_reset(context, 200, text, media)


@given(
    "a target that responds with {status:d}, "
    'sends "{text}" as chunks of {media} and resets'
)
def step_status_reset(context, status, text, media):
    head = answer_scripts.head(
        answer_scripts.CHUNKED, status=status, media=MEDIA[media]
    )
    body = answer_scripts.chunks(write_body(text), last=False)
    add_script(context, head, body, end="reset")


@given('a target that sends "{text}" as unfinished chunks of {media}')
def step_unfinished(context, text, media):
    head = answer_scripts.head(answer_scripts.CHUNKED, media=MEDIA[media])
    body = answer_scripts.chunks(write_body(text), last=False)
    add_script(context, head, body)


@given('a target that sends "{text}" as chunks of {media}')
def step_chunks(context, text, media):
    head = answer_scripts.head(answer_scripts.CHUNKED, media=MEDIA[media])
    add_script(context, head, answer_scripts.chunks(write_body(text)))


@given("a target that responds with {status:d} and no body")
def step_no_body(context, status):
    add_script(context, answer_scripts.head(status=status, media=b""))


@when("a caller sends HEAD on a route of {kind} requests")
def step_head(context, kind):
    context.received = answer_scripts.run(
        kind, *context.scripts, method=b"HEAD"
    )


@then("the caller has a {status:d} within {seconds:g} s")
def step_status(context, status, seconds):
    got = context.received
    assert (got.status, got.ended_s <= seconds) == (status, True), got


@when("a caller asks for a {kind} and the second connection is refused")
def step_refused(context, kind):
    context.faults = []

    def watch(entry, conn, loop):
        answer_scripts.refuse_second(entry)
        answer_scripts.watch_faults(entry, context.faults)

    context.received = answer_scripts.run(
        kind, *context.scripts, attempts=3, on_entry=watch
    )


@then("the fault of the refused connection is logged without framing or events")
def step_logged(context):
    fields = [
        fields for reason, fields in context.faults if reason == "refused"
    ]
    assert len(fields) == 1, context.faults
    assert fields[0]["framing"] == "no_head", fields
    assert fields[0]["events"] == 0, fields


@when("a caller asks for a {kind} and its target turns slow")
def step_slow(context, kind):
    context.received = answer_scripts.run(
        kind, *context.scripts, attempts=3, on_entry=answer_scripts.turn_slow
    )


@when("a caller asks for a {kind}")
def step_ask(context, kind):
    context.received = answer_scripts.run(kind, *context.scripts, attempts=3)


@then('the caller reads "{text}" framed as complete and nothing after it')
def step_whole(context, text):
    got = context.received
    assert got.is_whole, got
    assert got.body == write_body(text), got.body[-200:]
    assert not got.extra, got.extra


@then("the caller's answer does not look complete")
def step_not_whole(context):
    got = context.received
    assert not got.is_whole, (got.status, got.body[-200:], got.extra)


@then("the entry has closed the caller's connection")
def step_closed(context):
    assert context.received.closed, context.received


@then("{count:d} target has received the request")
def step_count(context, count):
    assert len(context.received.asked) == count, context.received.asked


@given(
    "a connection whose server answers without a length "
    "before it has read a long body"
)
def step_early_answer(context):
    context.listener = answer_scripts.Listener()
    context.conn = http_client.ClientConnection(
        times=http_client.ClientTimeouts()
    )
    transport = virtual_loop.Transport(
        conn=context.conn, on_request=lambda *_: None
    )
    context.conn.connection_made(transport)
    context.transport = transport
    head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n"
    context.conn.send(head, context.listener, b"abc")
    context.conn.data_received(answer_scripts.head() + b"answer")


@when(
    "the server closes its side in order "
    "and resets the connection once more of the body comes"
)
def step_orderly_then_reset(context):
    # asyncio closes the transport here, and keeps it until all is written.
    context.conn.eof_received()
    context.transport.closed = True
    context.conn.connection_lost(answer_scripts.RESET)


@then("the answer is complete")
def step_complete(context):
    assert context.listener.calls == ["head", "data", "end"], (
        context.listener.calls
    )
