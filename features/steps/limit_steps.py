"""Steps on limits that hold for all entries together."""

import asyncio
import math

from behave import given
from behave import then
from behave import when

from features.harness import asking
from features.harness import limits
from features.harness import site
from jasperweir.components.backpressure import asked
from jasperweir.components.backpressure import limit_shares
from jasperweir.components.backpressure import signals

HALFTIME = 20.0
CHANGING = (2.0, 20.0, 5.0, 10.0)


@given("{count:d} entries and a target that takes {limit:g} requests a second")
def step_world(context, count, limit):
    context.count = count
    context.limit = limit
    context.way = limit_shares.LimitShares
    context.prepare = lambda world: None


@given("every entry has the same part of its limit")
def step_even(context):
    context.way = limits.Even


@given("from 20 s on two halves that do not see the other")
def step_halves(context):
    def prepare(world):
        half = set(world.names[::2])
        everybody = world.visible

        def visible(name, at):
            if at < HALFTIME:
                return everybody(name, at)
            return [n for n in world.names if (n in half) == (name in half)]

        world.visible = visible

    context.prepare = prepare


@given("half of them start at 20 s")
def step_start(context):
    def prepare(world):
        for name in world.names[::2]:
            world.starts[name] = HALFTIME

    context.prepare = prepare


@given("half of them end at 20 s")
def step_end(context):
    def prepare(world):
        ended = set(world.names[::2])
        everybody = world.visible
        world.visible = lambda name, at: [
            n for n in everybody(name, at) if at < HALFTIME or n not in ended
        ]
        world.ends = dict.fromkeys(ended, HALFTIME)

    context.prepare = prepare


@given("all callers at one entry")
def step_one(context):
    def prepare(world):
        world.weights = [1.0] + [0.0] * (len(world.names) - 1)

    context.prepare = prepare


@given("a limit that changes each second")
def step_changing(context):
    def prepare(world):
        world.limits = lambda at: CHANGING[int(at) % len(CHANGING)]

    context.prepare = prepare


@when(
    "callers want {times:d} times as much for {seconds:g} s,"
    " over {seeds:d} seeds"
)
def step_run(context, times, seconds, seeds):
    context.worlds = []
    for seed in range(seeds):
        world = limits.World(entries=context.count, seed=seed, way=context.way)
        world.limits = lambda at: context.limit
        context.prepare(world)
        world.run(seconds, times * max(context.limit, 1.0))
        context.worlds.append(world)


@then("no 4 s bring more than the rule of limits allows")
def step_never(context):
    worst = [world.worst() for world in context.worlds]
    assert max(worst) <= 0, worst


@then("some 4 s bring more than the rule of limits allows")
def step_some(context):
    worst = [world.worst() for world in context.worlds]
    assert max(worst) > 0, worst


@then("at least {least:g} of the limit is used")
def step_used(context, least):
    if not context.limit:
        return
    used = [world.used(10.0, 60.0) for world in context.worlds]
    assert min(used) >= least, used


@given("a target that has named a limit of {limit:g} requests a second")
def step_named(context, limit):
    context.asked = asked.Backpressure(name="e1")
    context.target = site.target(target_id="t", address="10.1.0.1:80")
    told = signals.Signals(limit_per_s=limit)
    context.asked.on_answer(context.target, told, 100.0, 99.9)


@when("an answer comes that names none to a request sent {when} that")
def step_names_none(context, when):
    sent_at = 100.1 if when == "after" else 99.95
    context.asked.on_answer(context.target, signals.NONE, 100.2, sent_at)


@then("{count:d} requests may be sent at once")
def step_at_once(context, count):
    sent = 0
    while sent < count + 5 and context.asked.open_to([context.target], 100.2):
        context.asked.on_chosen(context.target, 100.2)
        sent += 1
    assert min(sent, 20) == count, sent


@when(
    "one of them names a limit of {limit:g} a second,"
    " and requests come for {seconds:g} s"
)
def step_limited(context, limit, seconds):
    async def play(entry):
        await entry.start()
        entry.targets[0].limit = b"%g" % limit
        await entry.run(seconds)
        entry.close()

    asyncio.run(play(context.entry))


@then("it gets no more than {most:d} requests")
def step_most(context, most):
    got = len(context.entry.targets[0].arrivals)
    assert 2 <= got <= most, got


@when(
    "all of them name a limit of {limit:g} a second,"
    " and {count:d} requests come at once"
)
def step_all_limited(context, limit, count):
    async def play(entry):
        await entry.start()
        for target in entry.targets:
            target.limit = b"%g" % limit
        await entry.call()
        context.began = entry.clock.now
        await entry.call(count)
        await entry.settle(2.0)
        entry.close()

    asyncio.run(play(context.entry))


@then("some are answered 200, and the others refused at once with a time")
def step_some_answered(context):
    answers = context.entry.answers[1:]
    served = [a for a in answers if a.replied[0] == 200]
    refused = [a for a in answers if a.replied[0] == 503]
    assert len(served) >= 3, context.entry.statuses()
    assert len(served) + len(refused) == len(answers)
    told = [float(dict(a.replied[1])[b"retry-after"]) for a in refused]
    late = [a for a in refused if a.replied_at > context.began + asking.APART]
    assert not late, [a.replied_at - context.began for a in late]
    assert len(set(told)) > 1, told
    assert all(math.isfinite(seconds) for seconds in told)
