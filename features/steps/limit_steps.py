"""Steps on rate limits that hold for all entries together."""

import asyncio
import math

from behave import given
from behave import then
from behave import when

from features.harness import limits
from features.harness import scripted_targets
from features.harness import site
from jasperweir.components.backpressure import backpressure
from jasperweir.components.backpressure import limit_shares
from jasperweir.components.backpressure import signals

CHANGE_SECONDS = 20.0
CHANGING_LIMITS = (2.0, 20.0, 5.0, 10.0)


@given("{count:d} entries and a target that takes {limit:g} requests a second")
def step_world(context, count, limit):
    context.count = count
    context.limit = limit
    context.shares_class = limit_shares.LimitShares
    context.prepare = lambda world: None


@given("every entry has the same share of its limit")
def step_even(context):
    context.shares_class = limits.EvenShares


@given("from 20 s on two halves that don't see each other")
def step_halves(context):
    def prepare(world):
        half = set(world.names[::2])
        all_visible = world.visible

        def visible(name, at):
            if at < CHANGE_SECONDS:
                return all_visible(name, at)
            return [n for n in world.names if (n in half) == (name in half)]

        world.visible = visible

    context.prepare = prepare


@given("half of them start at 20 s")
def step_start(context):
    def prepare(world):
        for name in world.names[::2]:
            world.starts[name] = CHANGE_SECONDS

    context.prepare = prepare


@given("half of them stop at 20 s")
def step_stop(context):
    def prepare(world):
        stopped = set(world.names[::2])
        all_visible = world.visible
        world.visible = lambda name, at: [
            n
            for n in all_visible(name, at)
            if at < CHANGE_SECONDS or n not in stopped
        ]
        world.ends = dict.fromkeys(stopped, CHANGE_SECONDS)

    context.prepare = prepare


@given("each entry stalls for {stall:g} s in every {interval:g} s")
def step_stalls(context, stall, interval):
    def prepare(world):
        world.stall_s = stall
        world.stall_interval_s = interval

    context.prepare = prepare


@given("callers pause for {pause:g} s in every 10 s, and {what}")
def step_pauses(context, pause, what):
    context.execute_steps(f"Given {what}")
    prepare_other = context.prepare

    def prepare(world):
        prepare_other(world)
        world.pause_s = pause

    context.prepare = prepare


@given("all callers at one entry")
def step_one(context):
    def prepare(world):
        world.weights = [1.0] + [0.0] * (len(world.names) - 1)

    context.prepare = prepare


@given("a limit that changes each second")
def step_changing(context):
    def prepare(world):
        world.limits = lambda at: CHANGING_LIMITS[
            int(at) % len(CHANGING_LIMITS)
        ]

    context.prepare = prepare


@when(
    "callers send {times:d} times as much for {seconds:g} s,"
    " over {seeds:d} seeds"
)
def step_run(context, times, seconds, seeds):
    context.worlds = []
    for seed in range(seeds):
        world = limits.World(
            entries=context.count, seed=seed, shares_class=context.shares_class
        )
        world.limits = lambda at: context.limit
        context.prepare(world)
        world.run(seconds, times * max(context.limit, 1.0))
        context.worlds.append(world)


@then("no window of 4 s exceeds the limit and its burst")
def step_never(context):
    worst = [world.worst_excess() for world in context.worlds]
    assert max(worst) <= 0, worst


@then("some window of 4 s exceeds the limit and its burst")
def step_some(context):
    worst = [world.worst_excess() for world in context.worlds]
    assert max(worst) > 0, worst


@then("at least {least:g} of the limit is used")
def step_used(context, least):
    if not context.limit:
        return
    used = [world.used_share(10.0, 60.0) for world in context.worlds]
    assert min(used) >= least, used


@given("a target that has stated a limit of {limit:g} requests a second")
def step_stated(context, limit):
    context.backpressure = backpressure.Backpressure(name="e1")
    context.target = site.target(target_id="t", address="10.1.0.1:80")
    stated = signals.Signals(limit_per_s=limit)
    context.backpressure.on_answer(context.target, stated, 100.0, 99.9)


@when("an answer without a limit arrives for a request sent {when} that")
def step_states_none(context, when):
    sent_at = 100.1 if when == "after" else 99.95
    context.backpressure.on_answer(context.target, signals.NONE, 100.2, sent_at)


@then("{count:d} requests may be sent at once")
def step_at_once(context, count):
    sent = 0
    while sent < count + 5 and context.backpressure.list_available(
        [context.target], 100.2
    ):
        context.backpressure.on_chosen(context.target, 100.2)
        sent += 1
    assert min(sent, 20) == count, sent


@when(
    "one of them states a limit of {limit:g} a second,"
    " and requests arrive for {seconds:g} s"
)
def step_limited(context, limit, seconds):
    async def run(entry):
        await entry.start()
        entry.targets[0].limit = b"%g" % limit
        await entry.run(seconds)
        entry.close()

    asyncio.run(run(context.entry))


@then("it gets at most {most:d} requests")
def step_most(context, most):
    received = len(context.entry.targets[0].arrivals)
    assert 2 <= received <= most, received


@when(
    "all of them state a limit of {limit:g} a second,"
    " and {count:d} requests arrive at once"
)
def step_all_limited(context, limit, count):
    async def run(entry):
        await entry.start()
        for target in entry.targets:
            target.limit = b"%g" % limit
        await entry.call()
        context.began = entry.clock.now
        await entry.call(count)
        await entry.settle(2.0)
        entry.close()

    asyncio.run(run(context.entry))


@then("some are answered 200, the others refused at once with a Retry-After")
def step_some_answered(context):
    answers = context.entry.answers[1:]
    served = [a for a in answers if a.replied[0] == 200]
    refused = [a for a in answers if a.replied[0] == 503]
    assert len(served) >= 3, context.entry.statuses()
    assert len(served) + len(refused) == len(answers)
    delays = [float(dict(a.replied[1])[b"retry-after"]) for a in refused]
    late = [
        a
        for a in refused
        if a.replied_at
        > context.began + scripted_targets.REQUEST_INTERVAL_SECONDS
    ]
    assert not late, [a.replied_at - context.began for a in late]
    assert len(set(delays)) > 1, delays
    assert all(math.isfinite(seconds) for seconds in delays)
