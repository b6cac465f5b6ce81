"""Steps on forwarders that remember requests under which targets end."""

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

WHAT = "bad"


def remember(forwarder, req, count=const.CRASHES_MAX):
    what = quarantine.of(req, "")
    for number in range(count):
        forwarder.ends.ledger.add(
            what, quarantine.target(number), forwarder.now()
        )


async def answer(hop_, answering):
    hop_.forwarder.handle(answering)
    await asyncio.sleep(hop.SETTLE_SECONDS)


def run(coro):
    asyncio.run(coro)


@given("a forwarder that remembers a request with a body of {size:d} bytes")
def step_remembers(context, size):
    context.size = size


@when("{count:d} requests with other paths or sizes come")
def step_unlike(context, count):
    context.count = count


@then("no body was hashed")
def step_no_hash(context):
    async def play():
        hop_ = hop.Hop(route=hop.route())
        await hop_.prepare()
        hop_.announce("other", hop_.other)
        known = quarantine.request(body=b"a" * context.size, path=b"/p")
        remember(hop_.forwarder, known)
        with mock.patch.object(
            fingerprint, "of", side_effect=fingerprint.of
        ) as hashed:
            for number in range(context.count):
                size = context.size + number % 2
                path = b"/q" if size == context.size else b"/p"
                asked = hop.Answering()
                asked.request = quarantine.request(body=b"a" * size, path=path)
                hop_.forwarder.handle(asked)
            context.unlike = hashed.call_count
            asked = hop.Answering()
            asked.request = quarantine.request(
                body=b"b" * context.size, path=b"/p"
            )
            before = hop_.other.requests
            await answer(hop_, asked)
            context.like = hashed.call_count
            context.sent = hop_.other.requests - before
        hop_.close()

    run(play())
    assert context.unlike == 0, context.unlike


@when("one with the same path and size and another body comes")
def step_alike(context):
    assert context.like > 0


@then("one body was hashed, and it was sent")
def step_one_hash(context):
    assert context.sent > 0


@given("a forwarder that keeps a request from targets")
def step_keeps(context):
    context.waits = False


@given("a forwarder with a request that waits for a place")
def step_waits(context):
    context.waits = True


@when("it comes")
def step_it_comes(context):
    async def play():
        hop_ = hop.Hop(route=hop.route())
        await hop_.prepare()
        hop_.announce("other", hop_.other)
        remember(hop_.forwarder, hop_.answering.request)
        await answer(hop_, hop_.answering)
        context.hop = hop_
        hop_.close()

    run(play())


@when("others tell that two targets ended under it")
def step_told(context):
    async def play():
        hop_ = hop.Hop(route=hop.route())
        await hop_.prepare()
        hop_.announce("other", hop_.other)
        hop_.fill("other")
        # It has come back after a refusal, so that it waits.
        with mock.patch.object(
            hop_.forwarder._patience, "used", return_value=1.0
        ):
            hop_.forwarder.handle(hop_.answering)
        assert not hop_.answering.done
        remember(hop_.forwarder, hop_.answering.request)
        hop_.forwarder.on_marks(hop_.forwarder.now())
        context.hop = hop_
        hop_.close()

    run(play())


@then("it is answered 503 with code 2009 and when to come back")
def step_told_truth(context):
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
    async def play():
        hop_ = hop.Hop(route=hop.route(resumable=False))
        await hop_.prepare()
        target_ = hop.Ending(listens=does == "breaks off and listens")
        await target_.start()
        hop_.announce("ending", target_)
        if does == "leaves and ends":
            target_.on_request = lambda: hop_.directory.leave(
                "ending", hop_.forwarder.now()
            )
        await answer(hop_, hop_.answering)
        await asyncio.sleep(const.CHECK_SECONDS + hop.SETTLE_SECONDS)
        context.marks = hop_.forwarder.ends.ledger.marks(hop_.forwarder.now())
        target_.close()
        hop_.close()

    run(play())


@given("a target that gives no sign after a request broke")
def step_no_sign(context):
    clock = core.ManualClock(start=1000.0)

    async def play():
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
    context.hop = asyncio.run(play())


@when("{what} {seconds:g} s later")
def step_later(context, what, seconds):
    forwarder = context.hop.forwarder
    context.clock.advance(seconds)
    now = context.clock.monotonic()
    if what != "nothing has come":
        service = "other" if "service" in what else "s"
        new = site_lib.target(target_id="new", address=context.address)
        context.hop.directory.merge(new._replace(service=service), now)
    forwarder.ends.tick(now)
    context.marks = forwarder.ends.ledger.marks(now)


@then("{count:d} ends are remembered after the check")
def step_ends(context, count):
    assert len(context.marks) == count, context.marks


# The own interface.
