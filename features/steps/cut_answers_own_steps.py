"""Steps for cut_answers_own.feature."""

import asyncio
import collections
import json

from behave import given
from behave import then
from behave import when

from features.harness import cut_answers_own
from features.harness import virtual_loop
from jasperweir.components.agent import target_poller

SHOWN = 12
EVENTS = cut_answers_own.EVENTS


@when("peers cut their answers to the {reader} off at every place")
def step_cut_off(context, reader):
    cuts = [cut for cut in cut_answers_own.list_cuts() if not cut.is_whole]
    context.outcomes = cut_answers_own.read_all(reader, cuts)


@when("peers answer the {reader} whole")
def step_answer_whole(context, reader):
    cuts = [cut for cut in cut_answers_own.list_cuts() if cut.is_whole]
    assert len(cuts) == 2 * len(cut_answers_own.FRAMINGS) + 2
    context.outcomes = cut_answers_own.read_all(reader, cuts)


@then("no incomplete answer is taken for a complete one")
@then("every answer is complete and unaltered")
def step_no_fault(context):
    faults = [
        (cut, fault)
        for cut, outcome in context.outcomes
        if (fault := cut_answers_own.find_fault(cut, outcome))
    ]
    counts = collections.Counter(fault for _, fault in faults)
    shown = "\n".join(f"{fault}: {cut}" for cut, fault in faults[:SHOWN])
    count = len(context.outcomes)
    assert not faults, f"{len(faults)} of {count}: {counts}\n{shown}"


def read_as_entry(size):
    cut = cut_answers_own.Cut("stream", "close", size, "close")
    return cut_answers_own.read_as_entry(cut)


@when("a run is cancelled while its engine sends a body without a length")
def step_cancel(context):
    context.buffer = cut_answers_own.cancel_during_answer()


@then("the run is broken")
def step_run_broken(context):
    assert not context.buffer.is_complete


@when("an agent sends half an event and is gone")
def step_half_event(context):
    context.sent = EVENTS[0] + EVENTS[1][:-5]
    context.outcome = read_as_entry(len(context.sent))


@then("the entry appends nothing to the half event")
def step_nothing_appended(context):
    assert context.outcome == (context.sent, False), context.outcome


@when("an agent sends an event and is gone")
def step_one_event(context):
    context.sent = EVENTS[0]
    context.outcome = read_as_entry(len(context.sent))


@then("the entry appends its error as an event")
def step_error_appended(context):
    assert not context.outcome.is_complete
    rest = context.outcome.body.removeprefix(context.sent)
    error = json.loads(rest.removeprefix(b"data: "))["error"]
    assert error["name"] == "broken_off", error


def make_cut_stream(text):
    return cut_answers_own.Cut("stream", "close", len(text), "close", text=text)


def play_client(context, cut, rests):
    """Let a client read a body that is cut off, and then its rests.

    Args:
        context: Receives ``asked``, the number of rests that it asked for.
        cut: How the body is cut off.
        rests: Bytes of the rests, in their order.
    """
    left = list(rests)

    def script(line):
        if b"/runs/" not in line:
            return cut
        text = left.pop(0)
        return cut._replace(
            framing="length", size=len(text), end="complete", text=text
        )

    context.answer = cut_answers_own.call_client(script)
    context.asked = len(rests) - len(left)


@when("an entry ends a stream with an error and others have the run")
def step_error_event(context):
    error = b'data: {"error": {"code": 3002}}\n\n'
    play_client(context, make_cut_stream(EVENTS[0] + error), [EVENTS[2]])


@then("the client asks none of them for the rest")
def step_not_asked(context):
    assert not context.asked
    assert context.answer.error, context.answer


@when("a stream is cut off and its rest is cut off, too")
def step_rest_cut(context):
    cut = make_cut_stream(EVENTS[0] + EVENTS[1][:6])
    rest = EVENTS[1][6:] + EVENTS[2]
    play_client(context, cut, [rest[:-1], rest])


@then("the client reads the rest until the stream is complete")
def step_rest_whole(context):
    assert context.asked == 2, context.asked
    assert context.answer.body == cut_answers_own.STREAM, context.answer
    assert not context.answer.error


@when("an error response is cut off and its rest is received")
def step_error_response(context):
    cut = cut_answers_own.Cut("plain", "chunks", 9, "close", status=400)
    play_client(context, cut, [cut_answers_own.PLAIN[9:]])


@then("the client's answer has the status of the error")
def step_error_status(context):
    assert context.answer.status == 400, context.answer
    assert context.answer.body == cut_answers_own.PLAIN


class Listener:
    """Records one response.

    Attributes:
        body: The body so far.
        ends: Number of complete responses.
        broken: Reasons of broken responses.
    """

    def __init__(self):
        self.body = b""
        self.ends = 0
        self.broken = []

    def on_head(self, head, length):
        return True

    def on_data(self, data):
        self.body += data

    def on_end(self):
        self.ends += 1

    def on_broken(self, reason):
        self.broken.append(reason)


async def receive(context, responses, *, is_closed):
    """Send a HEAD or GET request for each response to an open connection."""
    left = list(responses)
    context.conn = virtual_loop.open_connection(
        lambda transport, head: transport.answer(left.pop(0)[1])
    )
    context.listeners = []
    for method, _ in responses:
        listener = Listener()
        context.listeners.append(listener)
        context.conn.send(method + b" / HTTP/1.1\r\n\r\n", listener)
        if context.conn.closed:
            break
    if is_closed:
        context.conn._transport.end()
    await asyncio.sleep(0)


@when('a HEAD request is answered with "{fields}"')
def step_head_answered(context, fields):
    head = b"HTTP/1.1 200 OK\r\n" + fields.encode() + b"\r\n\r\n"
    later = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
    asyncio.run(
        receive(context, [(b"HEAD", head), (b"GET", later)], is_closed=False)
    )


@when("a HEAD request is answered with a body")
def step_head_with_body(context):
    sent = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
    asyncio.run(receive(context, [(b"HEAD", sent)], is_closed=False))


@then("the response is complete without a body")
def step_head_complete(context):
    listener = context.listeners[0]
    assert (listener.ends, listener.body) == (1, b""), vars(listener)


@then("the next response on the connection is read whole")
def step_next_whole(context):
    listener = context.listeners[1]
    assert (listener.ends, listener.body) == (1, b"abc"), vars(listener)


@then("the connection is not reused")
def step_not_reused(context):
    assert not context.conn.idle


@when('"{sent}" is received and the connection ends')
def step_cut_response(context, sent):
    raw = sent.replace("~", "\r\n").encode()
    asyncio.run(receive(context, [(b"GET", raw)], is_closed=True))


@then("the asynchronous client's response is broken")
def step_async_broken(context):
    listener = context.listeners[0]
    assert not listener.ends and listener.broken, vars(listener)


@given('an agent whose target answers "{path}" with "{body}"')
def step_odd_target(context, path, body):
    usual = {"/load": '{"active": 0}', "/cache-events": '{"prefixes": []}'}
    context.texts = {**usual, path: body}
    context.usual = usual
    peer = cut_answers_own.Peer(
        script=lambda line: cut_answers_own.Cut(
            "plain",
            "length",
            len(context.texts[line.split(b" ")[1].decode()]),
            "complete",
            text=context.texts[line.split(b" ")[1].decode()].encode(),
        )
    )
    context.add_cleanup(peer.stop)
    context.poller = target_poller.TargetPoller(
        url=f"http://{peer.address}", orders=lambda state: []
    )


@when("it polls the target")
def step_poll(context):
    context.poller.poll()


@then("the target counts as down, and up again once it answers as usual")
def step_down_then_up(context):
    assert not context.poller.is_up
    context.texts = context.usual
    context.poller.poll()
    assert context.poller.is_up
