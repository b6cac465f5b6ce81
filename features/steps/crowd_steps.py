"""Steps of a crowd that returns to a group that begins anew."""

import asyncio
import statistics

from behave import given
from behave import then
from behave import when

from features.harness import hop
from features.harness import waves
from jasperweir import core
from jasperweir.components.balance import gate
from jasperweir.components.balance import late
from jasperweir.components.balance import passes

SECONDS = 3.0
NOW = 100.0
# Target time of the harness's route.
TARGET_SECONDS = 0.4


@given("a group that begins anew, and {crowd:d} requests that are late already")
def step_crowd(context, crowd):
    context.crowd = crowd


@when("{rate:d} requests a second come meanwhile for 3 s, over {seeds:d} seeds")
def step_come(context, rate, seeds):
    context.rate = rate
    for name, leaves_room in (("room", True), ("crowded", False)):
        shares = [
            waves.come_back(
                rate, SECONDS, context.crowd, leaves_room=leaves_room, seed=seed
            )
            for seed in range(seeds)
        ]
        in_time = statistics.mean(timely for timely, _ in shares)
        served = statistics.mean(late for _, late in shares)
        setattr(context, name, (in_time, served))


@then("at least a quarter of them more are in time than without room for them")
def step_more(context):
    gain = context.room[0] - context.crowded[0]
    assert gain >= 0.25, (context.room, context.crowded)


@then(
    "at least {share:g} of the crowd are served, at their second try at the"
    " latest"
)
def step_served(context, share):
    assert context.room[1] >= share, context.room


def group_limit(group):
    """Return the limit of a group of 12 targets with 6 slots, if any."""
    if group == "that make no passes together":
        return None
    bounds = passes.PassBounds(pause_s=0.12, fixed_s=0.03, slots=6)
    limit = passes.PassLimit(bounds=bounds)
    if group == "whose passes are short":
        limit.on_pause(0.05)
        limit.update(3.0, NOW)
    if group == "whose passes allow 4 streams a target":
        # 25.2 ms a stream: 0.88 x 120 - 30 ms are left for four.
        room_s = 0.88 * 0.12 - 0.03
        limit.on_pause(0.03 + 5 * room_s / 4)
        limit.update(5.0, NOW)
    return limit


@given("12 targets with 6 slots each, {group}")
def step_group(context, group):
    context.most = late.most_open(
        slots=72, targets=12, limit=group_limit(group), now=NOW
    )


@then("one that is late gets a place while fewer than {most:d} are open")
def step_most(context, most):
    assert context.most == most, context.most


@given("a queue with a request that is {state}")
def step_queue(context, state):
    timely_until = {
        "late": NOW - 0.1,
        "in time": NOW + 0.1,
        "late and resumed": float("inf"),
    }
    context.gate = gate.Gate()
    context.gate.wait(
        gate.Waiting(
            priority=1,
            since=NOW - 1.0,
            number=7,
            until=NOW + 1.0,
            not_before=NOW,
            timely_until=timely_until[state],
        )
    )


@when("{places:d} places are free, of which none is for those who leave room")
def step_places(context, places):
    context.admitted = context.gate.admit(places, NOW, yielding=0)


@then("the request that waits {goes}")
def step_goes(context, goes):
    expected = {"goes on waiting": [], "gets a place": [7]}
    assert context.admitted == expected[goes], context.admitted
    assert len(context.gate) == (goes == "goes on waiting")


class Resuming(hop.Dialect):
    """Let every second request go on after the third event."""

    def __init__(self):
        self.asked = 0

    def parse_caller_headers(self, req):
        self.asked += 1
        resume_after = "" if self.asked % 2 else "3"
        return (
            super()
            .parse_caller_headers(req)
            ._replace(resume_after=resume_after)
        )


async def both_wait():
    """Return the answers to a first try and to one that resumes."""
    clock = core.ManualClock(start=NOW)
    one = hop.Hop(route=hop.route(), clock=clock)
    await one.prepare()
    one.forwarder.dialect = Resuming()
    one.announce("other", one.other)
    one.fill("other")
    answers = [hop.Answering(), hop.Answering()]
    one.forwarder.handle(answers[0])
    clock.now += TARGET_SECONDS + 0.05
    one.forwarder.handle(answers[1])
    one.empty("other")
    for _ in range(5):
        one.forwarder.balancer.begin("other")
    one.forwarder.tick()
    await asyncio.sleep(hop.SETTLE_SECONDS)
    one.close()
    return [bool(answering.ids()) for answering in answers]


@given(
    "an entry whose targets are all busy, where a first try waits until it is"
    " late"
)
def step_busy(context):
    context.served = None


@when(
    "a request waits there that resumes an answer, and one place becomes free"
)
def step_resumes(context):
    context.served = asyncio.run(both_wait())


@then("the one that resumes gets it")
def step_resumed_first(context):
    assert context.served == [False, True], context.served


class Returning(hop.Dialect):
    """State less time with the second request, as one that has come back."""

    def __init__(self):
        self.asked = 0

    def parse_caller_headers(self, req):
        self.asked += 1
        patience_s = 5.0 if self.asked == 1 else 3.0
        return super().parse_caller_headers(req)._replace(patience_s=patience_s)


async def comes_late(age_s):
    """Return how many requests a target with one free place has got."""
    clock = core.ManualClock(start=NOW)
    one = hop.Hop(route=hop.route(), clock=clock)
    await one.prepare()
    one.forwarder.dialect = Returning()
    one.announce("slow", one.slow)
    clock.now += age_s
    # The first stays open, and has one of the five places that are taken.
    one.forwarder.handle(hop.Answering())
    await asyncio.sleep(hop.SETTLE_SECONDS)
    for _ in range(4):
        one.forwarder.balancer.begin("slow")
    one.forwarder.handle(hop.Answering())
    await asyncio.sleep(hop.SETTLE_SECONDS)
    one.close()
    return one.slow.requests


@given("an entry that has run for {age_s:g} s with one free place of six")
def step_one_free(context, age_s):
    context.age_s = age_s


@when("a request comes that was late before it came")
def step_comes_late(context):
    context.got = asyncio.run(comes_late(context.age_s))


@then("it is not sent at once")
def step_not_sent(context):
    assert context.got == 1, context.got


@then("it is sent at once")
def step_is_sent(context):
    assert context.got == 2, context.got
