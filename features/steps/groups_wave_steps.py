"""Steps on demand that swings over the groups of several data centres."""

import random

from behave import given
from behave import then
from behave import when

from features.harness import group_load
from features.steps import groups_load_steps
from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.groups import overflow

PLACES = ("p0", "p1", "p2")
PERIOD_SECONDS = 17.0


@given(
    "three groups of 24 ranks in three data centres with {entries:d} entries"
)
def step_three(context, entries):
    context.make_groups = lambda: groups_load_steps.make_groups(
        1.0, 1.0, 1.0, places=PLACES
    )
    least = entries // len(PLACES)
    counts = [least] * len(PLACES)
    for number in range(entries - sum(counts)):
        counts[number] += 1
    context.entries = dict(zip(PLACES, counts, strict=True))


def run_wave(context, rate, swing, *, is_listed):
    world = group_load.World(
        groups=context.make_groups(),
        entries=context.entries,
        is_listed=is_listed,
    )
    for number, place in enumerate(PLACES):
        demand = group_load.wave(
            rate, swing, PERIOD_SECONDS, number / len(PLACES)
        )
        world.arrive(place, demand, PERIOD_SECONDS)
    world.run(PERIOD_SECONDS + 4)
    return world


@when(
    "each data centre gets {rate:d} requests a second on average, swinging by "
    "{swing:g} in 17 s"
)
def step_wave(context, rate, swing):
    context.wave = (rate, swing)
    context.world = run_wave(context, rate, swing, is_listed=True)


@then("no request is refused while a group has capacity")
def step_none_in_vain(context):
    assert not context.world.refused_in_vain, context.world.refused_in_vain


@then(
    "at least {share:g} are in time in each data centre, and no pass exceeds "
    "{pause:g} s"
)
def step_each_in_time(context, share, pause):
    found = {place: context.world.share_in_time(place) for place in PLACES}
    assert min(found.values()) >= share, found
    longest_s = groups_load_steps.longest_pass(context.world)
    assert longest_s <= pause, longest_s


@then("at most {most:g} leave their data centre")
def step_few_leave(context, most):
    share = context.world.share_distant()
    assert share <= most, share


@then("at least {gain:g} more are in time than without the list")
def step_gain(context, gain):
    context.before = run_wave(context, *context.wave, is_listed=False)
    found = context.world.share_in_time(), context.before.share_in_time()
    assert found[0] >= found[1] + gain, found


def count_long(world):
    return sum(
        seconds > group_load.PAUSE_SECONDS
        for group in world.groups
        for _, seconds, _ in group.passes
    )


@then("passes over {pause:g} s are rarer than without the list")
def step_rarer(context, pause):
    assert pause == group_load.PAUSE_SECONDS
    found = count_long(context.world), count_long(context.before)
    assert found[0] < found[1], found


@given("an entry of {entries:d} that sends requests to a distant group for 3 s")
def step_distant(context, entries):
    context.entry_count = entries


@when("reports show {headroom}")
def step_headroom(context, headroom):
    known = None
    if headroom != "nothing":
        known = float(headroom.removeprefix("capacity for ").split()[0])
    allowances = overflow.OverflowAllowances()
    context.sent = 0
    for tick in range(150):
        if allowances.update(
            "s/g1", known, context.entry_count, 10 + tick / 50
        ):
            allowances.take("s/g1")
            context.sent += 1


@then("between {least:d} and {most:d} requests are sent")
def step_sent(context, least, most):
    assert least <= context.sent <= most, context.sent


@given(
    "24 ranks with 5 slots, of which 3 report 4 streams that no entry has told "
    "of"
)
def step_reports(context):
    (group,) = groups_load_steps.make_groups(1.0)
    context.ranks = group.targets
    context.balancer = balancer_lib.Balancer(rng=random.Random(1))
    context.now = 10.0
    for target in context.ranks[:3]:
        report = balancer_lib.Report(4, 0, 5)
        context.balancer.on_report(target.target_id, report, context.now)


@when("the reports are {seconds:g} s old")
def step_old(context, seconds):
    context.now += seconds


@then("the estimate is {count:d} open requests and {free:d} free slots")
def step_estimate(context, count, free):
    found = context.balancer.estimate_group(context.ranks, context.now)
    assert (found.open, found.free) == (count, free), found
