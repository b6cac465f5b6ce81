"""Steps on forwarders that quarantine requests."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.harness import hop
from features.harness import quarantine
from features.harness import site as site_lib
from jasperweir import core
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint

REQUEST = "bad"


def record_crashes(forwarder, req, count=const.CRASHES_MAX):
    """Record crashes of targets under a request."""
    found = quarantine.compute(req, "")
    for number in range(count):
        forwarder.crash_detector.ledger.add(
            found, quarantine.target(number), forwarder.now()
        )


async def answer(hop_, answering):
    hop_.forwarder.handle(answering)
    await asyncio.sleep(hop.SETTLE_SECONDS)


def run(coro):
    asyncio.run(coro)


@given("a forwarder with a recorded request with a body of {size:d} bytes")
def step_recorded(context, size):
    context.size = size


@when("{count:d} requests with other paths or sizes arrive")
def step_different(context, count):
    context.count = count


@then("no body was hashed")
def step_no_hash(context):
    async def run_hop():
        hop_ = hop.Hop(route=hop.route())
        await hop_.prepare()
        hop_.announce("other", hop_.other)
        known = quarantine.request(body=b"a" * context.size, path=b"/p")
        record_crashes(hop_.forwarder, known)
        with mock.patch.object(
            fingerprint, "compute", side_effect=fingerprint.compute
        ) as hashed:
            for number in range(context.count):
                size = context.size + number % 2
                path = b"/q" if size == context.size else b"/p"
                answering = hop.Answering()
                answering.request = quarantine.request(
                    body=b"a" * size, path=path
                )
                hop_.forwarder.handle(answering)
            context.hashed_different = hashed.call_count
            answering = hop.Answering()
            answering.request = quarantine.request(
                body=b"b" * context.size, path=b"/p"
            )
            before = hop_.other.requests
            await answer(hop_, answering)
            context.hashed_similar = hashed.call_count
            context.sent = hop_.other.requests - before
        hop_.close()

    run(run_hop())
    assert context.hashed_different == 0, context.hashed_different


@when("a request with the same path and size and another body arrives")
def step_similar(context):
    assert context.hashed_similar > 0


@then("its body was hashed, and it was sent")
def step_one_hash(context):
    assert context.sent > 0


@given("a forwarder that has quarantined a request")
def step_quarantined(context):
    context.waits = False


@given("a forwarder with a request that waits for a slot")
def step_waits(context):
    context.waits = True


@when("it arrives")
def step_arrives(context):
    async def run_hop():
        hop_ = hop.Hop(route=hop.route())
        await hop_.prepare()
        hop_.announce("other", hop_.other)
        record_crashes(hop_.forwarder, hop_.answering.request)
        await answer(hop_, hop_.answering)
        context.hop = hop_
        hop_.close()

    run(run_hop())


@when("others report two crashes under it")
def step_reported(context):
    async def run_hop():
        hop_ = hop.Hop(route=hop.route())
        await hop_.prepare()
        hop_.announce("other", hop_.other)
        hop_.fill("other")
        # A retry after a refusal, which waits for a slot.
        with mock.patch.object(
            hop_.forwarder._returns, "estimate_used_s", return_value=1.0
        ):
            hop_.forwarder.handle(hop_.answering)
        assert not hop_.answering.done
        record_crashes(hop_.forwarder, hop_.answering.request)
        hop_.forwarder.quarantine.reject_held(hop_.forwarder.now())
        context.hop = hop_
        hop_.close()

    run(run_hop())


@then("it is answered 503 with code 2009 and a Retry-After")
def step_answered_2009(context):
    status, headers = context.hop.answering.replied
    found = dict(headers)
    assert status == 503, status
    assert found[b"jasperweir-code"] == b"2009", found
    assert 590 < float(found[b"retry-after"]) <= 600, found


@then("no target has received it")
def step_not_received(context):
    assert context.hop.other.requests == 0


@given("a target that {does} when it gets a request")
def step_target(context, does):
    async def run_hop():
        hop_ = hop.Hop(route=hop.route(resumable=False))
        await hop_.prepare()
        target_ = hop.Ending(listens=does == "closes the connection")
        await target_.start()
        hop_.announce("ending", target_)
        if does == "drains and crashes":
            target_.on_request = lambda: hop_.directory.mark_gone(
                "ending", hop_.forwarder.now()
            )
        await answer(hop_, hop_.answering)
        await asyncio.sleep(const.CHECK_SECONDS + hop.SETTLE_SECONDS)
        context.marks = hop_.forwarder.crash_detector.ledger.marks(
            hop_.forwarder.now()
        )
        target_.close()
        hop_.close()

    run(run_hop())


@given("a target that doesn't answer the check after a connection broke")
def step_no_answer(context):
    clock = core.ManualClock(start=1000.0)

    async def run_hop():
        hop_ = hop.Hop(route=hop.route(resumable=False), clock=clock)
        await hop_.prepare()
        target_ = hop.Ending(listens=True)
        await target_.start()
        hop_.announce("ending", target_)
        hop_.forwarder.handle(hop_.answering)
        await asyncio.sleep(hop.SETTLE_SECONDS / 2)
        silent = mock.patch.object(
            hop_.forwarder.pool, "open", side_effect=OSError("no answer")
        )
        with silent:
            await asyncio.sleep(const.CHECK_SECONDS + hop.SETTLE_SECONDS)
        context.address = target_.address
        target_.close()
        hop_.close()
        return hop_

    context.clock = clock
    context.hop = asyncio.run(run_hop())


@when("{event} {seconds:g} s later")
def step_later(context, event, seconds):
    forwarder = context.hop.forwarder
    context.clock.advance(seconds)
    now = context.clock.monotonic()
    if event != "nothing is announced":
        service = "other" if "service" in event else "s"
        new = site_lib.target(target_id="new", address=context.address)
        context.hop.directory.merge(new._replace(service=service), now)
    forwarder.crash_detector.tick(now)
    context.marks = forwarder.crash_detector.ledger.marks(now)


@then("{count:d} crashes are recorded after the check")
def step_crashes(context, count):
    assert len(context.marks) == count, context.marks


# The own interface.
