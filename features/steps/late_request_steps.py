"""Steps on late requests at a group that has restarted."""

import asyncio
import statistics

from behave import given
from behave import then
from behave import when

from features.harness import group_simulation
from features.harness import hop
from jasperweir import core
from jasperweir.components.balance import late_admission
from jasperweir.components.balance import passes
from jasperweir.components.balance import wait_queue

SECONDS = 3.0
NOW = 100.0
# Target time of the route in the harness.
TARGET_SECONDS = 0.4


@given("a group that has restarted, and {count:d} late requests")
def step_late_requests(context, count):
    context.late_count = count


@when("{rate:d} new requests a second arrive for 3 s, over {seeds:d} seeds")
def step_new_requests(context, rate, seeds):
    context.rate = rate
    for name, limit_late in (("limited", True), ("unlimited", False)):
        shares = [
            group_simulation.simulate_restart(
                rate,
                SECONDS,
                context.late_count,
                limit_late=limit_late,
                seed=seed,
            )
            for seed in range(seeds)
        ]
        in_time = statistics.mean(timely for timely, _ in shares)
        served = statistics.mean(late for _, late in shares)
        setattr(context, name, (in_time, served))


@then(
    "the share of new requests in time is at least 25 points higher than"
    " without a limit for late ones"
)
def step_gain(context):
    gain = context.limited[0] - context.unlimited[0]
    assert gain >= 0.25, (context.limited, context.unlimited)


@then(
    "at least {share:g} of the late requests are served, at the latest on a"
    " retry"
)
def step_late_served(context, share):
    assert context.limited[1] >= share, context.limited


def group_limit(group):
    """Return the stream limit of a group of 12 targets, None if it has none."""
    if group == "that run no passes together":
        return None
    bounds = passes.PassBounds(pause_s=0.12, fixed_s=0.03, slots=6)
    limit = passes.PassLimit(bounds=bounds)
    if group == "whose passes are short":
        limit.on_pause(0.05)
        limit.update(3.0, NOW)
    if group == "whose passes allow 4 streams a target":
        # 0.88 x 120 ms - 30 ms are available for four streams.
        available_s = 0.88 * 0.12 - 0.03
        limit.on_pause(0.03 + 5 * available_s / 4)
        limit.update(5.0, NOW)
    return limit


@given("12 targets with 6 slots each, {group}")
def step_group(context, group):
    context.most_open = late_admission.max_open_requests(
        slots=72, targets=12, limit=group_limit(group), now=NOW
    )


@then("a late request gets a slot while fewer than {most:d} are open")
def step_most_open(context, most):
    assert context.most_open == most, context.most_open


@given("a queue with a request that is {state}")
def step_queue(context, state):
    timely_until = {
        "late": NOW - 0.1,
        "in time": NOW + 0.1,
        "late and resumed": float("inf"),
    }
    context.wait_queue = wait_queue.WaitQueue()
    context.wait_queue.enqueue(
        wait_queue.QueuedRequest(
            priority=1,
            since=NOW - 1.0,
            number=7,
            until=NOW + 1.0,
            not_before=NOW,
            timely_until=timely_until[state],
        )
    )


@when("{slots:d} slots are free, of which none is for late requests")
def step_free_slots(context, slots):
    context.admitted = context.wait_queue.admit(slots, NOW, yielding=0)


@then("the waiting request {outcome}")
def step_waiting_outcome(context, outcome):
    expected = {"still waits": [], "gets a slot": [7]}
    assert context.admitted == expected[outcome], context.admitted
    assert len(context.wait_queue) == (outcome == "still waits")


class ResumingDialect(hop.Dialect):
    """Makes every second request resume after the third event."""

    def __init__(self):
        self.count = 0

    def parse_caller_headers(self, req):
        self.count += 1
        resume_after = "" if self.count % 2 else "3"
        return (
            super()
            .parse_caller_headers(req)
            ._replace(resume_after=resume_after)
        )


async def wait_for_one_slot():
    """Return whether a late and a resuming request are answered."""
    clock = core.ManualClock(start=NOW)
    one = hop.Hop(route=hop.route(), clock=clock)
    await one.prepare()
    one.forwarder.dialect = ResumingDialect()
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
    "an entry whose targets are all busy, where a first attempt waits until it"
    " is late"
)
def step_busy(context):
    context.served = None


@when("a request that resumes an answer waits too, and one slot becomes free")
def step_resumes(context):
    context.served = asyncio.run(wait_for_one_slot())


@then("the request that resumes gets it")
def step_resumed_first(context):
    assert context.served == [False, True], context.served


class RetryingDialect(hop.Dialect):
    """States less time with the second request, as a retry does."""

    def __init__(self):
        self.count = 0

    def parse_caller_headers(self, req):
        self.count += 1
        patience_s = 5.0 if self.count == 1 else 3.0
        return super().parse_caller_headers(req)._replace(patience_s=patience_s)


async def send_late_request(age_s):
    """Return the requests received by a target with one free slot."""
    clock = core.ManualClock(start=NOW)
    one = hop.Hop(route=hop.route(), clock=clock)
    await one.prepare()
    one.forwarder.dialect = RetryingDialect()
    one.announce("slow", one.slow)
    clock.now += age_s
    # The first request stays open and uses one of the five used slots.
    one.forwarder.handle(hop.Answering())
    await asyncio.sleep(hop.SETTLE_SECONDS)
    for _ in range(4):
        one.forwarder.balancer.begin("slow")
    one.forwarder.handle(hop.Answering())
    await asyncio.sleep(hop.SETTLE_SECONDS)
    one.close()
    return one.slow.requests


@given("an entry that has run for {age_s:g} s with one free slot of six")
def step_one_free(context, age_s):
    context.age_s = age_s


@when("a request arrives that is already late")
def step_late_arrival(context):
    context.received = asyncio.run(send_late_request(context.age_s))


@then("it is not sent at once")
def step_not_sent(context):
    assert context.received == 1, context.received


@then("it is sent at once")
def step_is_sent(context):
    assert context.received == 2, context.received
