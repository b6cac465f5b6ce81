"""Steps on streams that leave slow targets."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import hop


@given("{what} that has got 3 events from a target")
def step_stream(context, what):
    route = hop.route(
        resumable="can't be resumed" not in what,
        attempts=1 if "one attempt" in what else 2,
    )
    context.hop = hop.Hop(
        route=route, retries=0.0 if "without a retry" in what else 50.0
    )


async def turn_slow(one, pace, full):
    await one.start()
    assert one.answering.ids() == [1, 2, 3], one.answering.body
    if full:
        one.fill("other")
    await one.turn_slow(pace)
    one.close()


@when("its target turns out to be {pace:g} times slower and {places}")
def step_slow_places(context, pace, places):
    asyncio.run(turn_slow(context.hop, pace, places.startswith("no ")))


@when("its target turns out to be {pace:g} times slower")
def step_slow(context, pace):
    asyncio.run(turn_slow(context.hop, pace, full=False))


@then("the caller gets events 1 to 6 in order, as one answer")
def step_in_order(context):
    answering = context.hop.answering
    assert answering.ids() == [1, 2, 3, 4, 5, 6], answering.body
    assert (answering.starts, answering.whole) == (1, True)


@then("the slow target saw its connection close")
def step_closed(context):
    assert context.hop.slow.closed


@then("its target still has it")
def step_stays(context):
    assert not context.hop.slow.closed
    assert context.hop.other.requests == 0
    assert context.hop.answering.ids() == [1, 2, 3]
