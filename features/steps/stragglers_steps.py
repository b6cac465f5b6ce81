"""Steps for streams that move away from slow targets."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import hop


@given("{stream} that has received 3 events from a target")
def step_stream(context, stream):
    route = hop.route(
        resumable="can't be resumed" not in stream,
        attempts=1 if "one attempt" in stream else 2,
    )
    context.hop = hop.Hop(
        route=route, retries=0.0 if "without a retry" in stream else 50.0
    )


async def report_slow(hop_, slowdown, full):
    """Report a slow target once the caller has received 3 events."""
    await hop_.start()
    assert hop_.answering.ids() == [1, 2, 3], hop_.answering.body
    if full:
        hop_.fill("other")
    await hop_.turn_slow(slowdown)
    hop_.close()


@when("its target is reported {slowdown:g} times slower and {slots}")
def step_slow_slots(context, slowdown, slots):
    asyncio.run(report_slow(context.hop, slowdown, slots.startswith("no ")))


@when("its target is reported {slowdown:g} times slower")
def step_slow(context, slowdown):
    asyncio.run(report_slow(context.hop, slowdown, full=False))


@then("the caller gets events 1 to 6 in order, as one response")
def step_in_order(context):
    answering = context.hop.answering
    assert answering.ids() == [1, 2, 3, 4, 5, 6], answering.body
    assert (answering.starts, answering.whole) == (1, True)


@then("the slow target saw its connection close")
def step_closed(context):
    assert context.hop.slow.closed


@then("the stream stays at its target")
def step_stays(context):
    assert not context.hop.slow.closed
    assert context.hop.other.requests == 0
    assert context.hop.answering.ids() == [1, 2, 3]
