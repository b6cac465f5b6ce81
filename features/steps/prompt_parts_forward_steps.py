"""Steps on forwarders and the parts of prompts, and on how they are stated."""

import asyncio
import json
import pathlib
import sys
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.harness import hop
from features.harness import quarantine as quarantine_lib
from features.steps import quarantine_forward_steps
from jasperweir.components.forward import dialect
from jasperweir.components.quarantine import fingerprint
from jasperweir.helpers import http_message

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[2] / "platform")
)

from adapter import callers  # noqa: E402
from adapter import control_calls  # noqa: E402

PART = "c0ffee"


class Dialect(hop.Dialect):
    """States one part of each prompt."""

    def parse_caller_headers(self, req):
        return dialect.CallerHeaders("id", 5.0, "", 10, 10, "", (PART,))


def part_of(forwarder_request):
    subject = fingerprint.subject(forwarder_request, "", "s", (PART,))
    (found,) = fingerprint.compute_parts(subject)
    return found


async def prepare():
    """Return a forwarder with one target."""
    hop_ = hop.Hop(route=hop.route())
    await hop_.prepare()
    hop_.forwarder.dialect = Dialect()
    hop_.announce("other", hop_.other)
    return hop_


def report_crashes(hop_, count):
    """Let another entry report crashes under a part."""
    ledger = hop_.forwarder.quarantine.quarantine.ledger
    part = part_of(hop_.answering.request)
    for number in range(count):
        ledger.add(part, quarantine_lib.target(number), hop_.forwarder.now())
    hop_.forwarder.quarantine.reject_held(hop_.forwarder.now())


def new_answering(body):
    answering = hop.Answering()
    answering.request = http_message.Request(
        method=b"POST",
        target=b"/",
        headers=[(b"host", b"h")],
        body=body,
        keep_alive=True,
    )
    return answering


@given("a forwarder that has quarantined a part")
def step_quarantined(context):
    context.crashes = 2


@when("a request with it arrives")
def step_arrives(context):
    async def run():
        hop_ = await prepare()
        report_crashes(hop_, context.crashes)
        await quarantine_forward_steps.answer(hop_, hop_.answering)
        context.hop = hop_
        hop_.close()

    asyncio.run(run())


@given("a forwarder with a waiting request")
def step_waiting(context):
    context.waits = True


@given("a forwarder with a request at a target that has not answered")
def step_at_target(context):
    context.waits = False


@when("others report two crashes under its part")
def step_two_crashes(context):
    async def run():
        hop_ = await prepare()
        if context.waits:
            hop_.fill("other")
            # A retry after a refusal, which waits for a slot.
            with mock.patch.object(
                hop_.forwarder._returns, "estimate_used_s", return_value=1.0
            ):
                hop_.forwarder.handle(hop_.answering)
        else:
            hop_.other.delays_answer = True
            await quarantine_forward_steps.answer(hop_, hop_.answering)
            assert hop_.other.requests == 1
        assert not hop_.answering.done
        report_crashes(hop_, 2)
        await asyncio.sleep(hop.SETTLE_SECONDS)
        context.hop = hop_
        hop_.close()

    asyncio.run(run())


@when("others report one crash under its part, and it arrives twice more")
def step_one_crash(context):
    async def run():
        hop_ = await prepare()
        hop_.other.delays_answer = True
        report_crashes(hop_, 1)
        await quarantine_forward_steps.answer(hop_, new_answering(b"1"))
        await quarantine_forward_steps.answer(hop_, hop_.answering)
        assert hop_.other.requests == 1
        context.hop = hop_
        hop_.close()

    asyncio.run(run())


@then("it is answered 503 with code {code} and a Retry-After of {seconds:g} s")
def step_answered(context, code, seconds):
    status, headers = context.hop.answering.replied
    found = dict(headers)
    assert (status, found[b"jasperweir-code"]) == (503, code.encode()), found
    assert 0.9 * seconds < float(found[b"retry-after"]) <= seconds, found


@then(
    "the second of them is answered 503 with code {code} and a Retry-After of"
    " {seconds:g} s"
)
def step_second_answered(context, code, seconds):
    step_answered(context, code, seconds)


@then("it is answered 502 with code {code}")
def step_broken_off(context, code):
    status, headers = context.hop.answering.replied
    found = dict(headers)
    assert (status, found[b"jasperweir-code"]) == (502, code.encode()), found


@then("its target sees the connection close")
def step_closed(context):
    assert context.hop.other.closed


@then('the parts of a prompt stated as "{stated}" are "{parts}"')
def step_parts(context, stated, parts):
    check_parts(stated, parts)


@then('the parts of a prompt stated as "{stated}" are ""')
def step_no_parts(context, stated):
    check_parts(stated, "")


def check_parts(stated, parts):
    headers = [] if stated == "nothing" else [(b"prefix-hash", stated.encode())]
    req = http_message.Request(
        method=b"POST", target=b"/", headers=headers, body=b"", keep_alive=True
    )
    found = callers.CallerDialect().parse_caller_headers(req)
    assert " ".join(found.prompt_parts) == parts, found.prompt_parts


@then('a heartbeat that states {stated} has the versions "{build}"')
def step_versions(context, stated, build):
    check_versions(stated, build)


@then('a heartbeat that states {stated} has the versions ""')
def step_no_versions(context, stated):
    check_versions(stated, "")


def check_versions(stated, build):
    beat = {"service": "s", "address": "10.0.0.1:80", **json.loads(stated)}
    req = http_message.Request(
        method=b"POST",
        target=b"/Instances.Heartbeat/i-1",
        headers=[],
        body=json.dumps(beat).encode(),
        keep_alive=True,
    )
    call = control_calls.ControlDialect().call(req)
    assert call.target.build == build, call.target
