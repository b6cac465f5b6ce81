"""Steps on requests that reach an entry while it stops."""

import asyncio
import http.client
import signal
import threading
import time
from typing import NamedTuple

from behave import given
from behave import then
from behave import when

from features.harness import hop
from features.harness import platform as platform_lib
from jasperweir.components.forward import planned_stop
from standins import platform_target

# Times of the requests, seconds after the signal.
SENT_AT = (0.1, 0.5, 1.0, 1.5, 2.2, 2.7, 2.95, 3.3, 4.0)
# Longest time for a rejection, seconds.
AT_ONCE_SECONDS = 0.3
DRAINING = "2005"
BEGAN_AT = 100.0


class Result(NamedTuple):
    """What became of a request.

    Attributes:
        sent_s: Time from the signal until it was sent, seconds.
        took_s: Time until its end, seconds.
        status: Status of the response, 0 if the connection ended without one.
        is_whole: Whether the whole body arrived.
        code: Result code of the entry, empty if a target answered.
    """

    sent_s: float
    took_s: float
    status: int
    is_whole: bool
    code: str


@given(
    "a route whose answers take {work:g} s, with a time-out of {timeout:g} s"
)
def step_route(context, work, timeout):
    doc = platform_lib.document(8)
    for route in doc["routes"]:
        route["timeoutMs"] = int(timeout * 1000)
        # A second run of a request would hide that the first was cut off.
        route["resumable"] = False
    assert context.plat.replace(1, doc) == 200
    context.events = round(work / platform_target.EVENT_SECONDS)
    context.timeout = timeout
    for number in (1, 2):
        context.plat.tell(number, events=3)
    context.conns = [
        http.client.HTTPConnection(
            platform_lib.control_ip(1), platform_lib.CALLERS, timeout=12.0
        )
        for _ in SENT_AT
    ]
    for number, conn in enumerate(context.conns):
        assert send(conn, f"warm-{number}", timeout)[0] == 200
    for number in (1, 2):
        context.plat.tell(number, events=context.events)


def send(conn, request_id, timeout):
    """Send a request for a stream; return status, body and headers."""
    headers = {
        "Host": platform_lib.HOST,
        "Attempt-Id": request_id,
        "Deadline-Ms": str(int(timeout * 1000)),
        "Authorization": f"Bearer {platform_lib.KEY}",
    }
    conn.request("POST", "/stream/1", body=b"", headers=headers)
    resp = conn.getresponse()
    return resp.status, resp.read(), resp


@when("an entry is told to stop and requests follow on kept connections")
def step_stop(context):
    context.results = []
    context.plat.signal("entry-1", signal.SIGTERM)
    stopped_at = time.monotonic()
    threads = [
        threading.Thread(
            target=ask, args=(context, conn, number, stopped_at + sent_s)
        )
        for number, (conn, sent_s) in enumerate(
            zip(context.conns, SENT_AT, strict=True)
        )
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(timeout=15.0)
    context.results.sort()
    assert len(context.results) == len(SENT_AT), context.results


def ask(context, conn, number, at):
    """Send one request at some moment and record what becomes of it."""
    time.sleep(max(at - time.monotonic(), 0.0))
    began = time.monotonic()
    status, is_whole, code = 0, False, ""
    try:
        status, body, resp = send(conn, f"late-{number}", context.timeout)
        is_whole = body.count(b"data: piece") == context.events
        code = resp.getheader("jasperweir-code") or ""
    except (OSError, http.client.HTTPException):
        pass
    context.results.append(
        Result(
            sent_s=SENT_AT[number],
            took_s=time.monotonic() - began,
            status=status,
            is_whole=is_whole,
            code=code,
        )
    )


@then(
    "none of them is cut off, and those that it does not take are rejected at"
    " once"
)
def step_none_cut(context):
    for found in context.results:
        if found.status == 200:
            assert found.is_whole, context.results
            continue
        assert (found.status, found.code) == (503, DRAINING), context.results
        assert found.took_s < AT_ONCE_SECONDS, context.results


@then("those sent until {last:g} s later are answered whole")
def step_answered(context, last):
    early = [found for found in context.results if found.sent_s <= last]
    assert all(found.is_whole for found in early), context.results


@given("a stop with a grace of {grace:g} s")
def step_begin(context, grace):
    context.stop = planned_stop.PlannedStop(now=BEGAN_AT, grace_s=grace)


@then(
    "after {seconds:g} s with {count:d} open requests and {unsent:d} unsent"
    " bytes it is {stage}"
)
def step_stage(context, seconds, count, unsent, stage):
    found = context.stop.find_stage(
        open_requests=count, unsent_bytes=unsent, now=BEGAN_AT + seconds
    )
    assert found.value == stage, found


@given("a request with {left:g} s left waits for a target at an entry")
def step_waiting(context, left):
    context.hop = hop.Hop(route=hop.route(timeout_s=left))


@when("the entry rejects new requests and ends in {seconds:g} s")
def step_reject(context, seconds):
    async def run():
        entry = context.hop
        await entry.prepare()
        forwarder = entry.forwarder
        forwarder.handle(entry.answering)
        assert forwarder.open_count == 1
        forwarder.begin_stop(forwarder.now() + seconds)
        assert not entry.answering.done
        forwarder.stop()
        context.is_open = forwarder.open_count == 1
        entry.close()

    asyncio.run(run())


@then("the request is rejected as not run")
def step_rejected(context):
    status, _ = context.hop.answering.replied
    assert status == 503, status
    assert not context.is_open


@then("the request waits on")
def step_waits_on(context):
    assert context.is_open
    assert not context.hop.answering.done
