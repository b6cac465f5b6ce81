"""Steps on load, outages and limits of several groups of one service."""

import asyncio
import math
import pathlib
import random
import re

from behave import given
from behave import then
from behave import when

from features.harness import group_load
from features.harness import scripted_targets
from jasperweir.components.balance import passes
from jasperweir.components.directory import records
from jasperweir.components.groups import choice
from jasperweir.components.groups import messages
from jasperweir.helpers import hashing

GOLDEN = pathlib.Path(__file__).parent.parent / "golden" / "groups-before.txt"
TARGETS = 4
SERVICE = "s"
FIRST_EVENT_SECONDS = 0.01


def make_groups(*slowdowns, places=("p",), ranks=24):
    return [
        group_load.Group(
            name=f"g{number}",
            places=[places[number % len(places)]],
            ranks=ranks,
            slowdown=slowdown,
        )
        for number, slowdown in enumerate(slowdowns)
    ]


@given(
    "groups of 24 ranks in one data centre, of which one is {factor:g} times "
    "slower"
)
def step_slow_group(context, factor):
    context.make_groups = lambda: make_groups(1.0, factor)
    context.entries = {"p": 8}


@given("one group of 24 ranks in one data centre")
def step_one_group(context):
    context.make_groups = lambda: make_groups(1.0)
    context.entries = {"p": 8}


def run_world(context, rate, seconds, *, is_listed):
    world = group_load.World(
        groups=context.make_groups(),
        entries=context.entries,
        is_listed=is_listed,
    )
    for place in context.entries:
        share = rate / len(context.entries)
        world.arrive(place, lambda _, share=share: share, seconds)
    world.run(seconds + 4)
    return world


@when(
    "{rate:d} requests a second arrive for {seconds:g} s with and without the "
    "list"
)
def step_both(context, rate, seconds):
    context.before = run_world(context, rate, seconds, is_listed=False)
    context.world = run_world(context, rate, seconds, is_listed=True)


@when("{rate:d} requests a second arrive for {seconds:g} s without the list")
def step_unlisted(context, rate, seconds):
    context.before = run_world(context, rate, seconds, is_listed=False)


def longest_pass(world):
    return max(s for group in world.groups for _, s, _ in group.passes)


@then(
    "without the list at most {most:g} are in time, and passes exceed "
    "{pause:g} s"
)
def step_before(context, most, pause):
    assert context.before.share_in_time() <= most
    assert longest_pass(context.before) > pause


@then(
    "with the list at least {least:g} are in time, and no pass exceeds "
    "{pause:g} s"
)
def step_after(context, least, pause):
    share = context.world.share_in_time()
    assert share >= least, share
    assert longest_pass(context.world) <= pause, longest_pass(context.world)


def describe(world):
    """Return one line for each request: time, outcome, target."""
    return [
        f"{s.asked_at:.6f} {s.is_refused} {s.target and s.target.target_id}"
        for s in world.asked
    ]


@then("each request has the same outcome and target with and without it")
def step_same(context):
    assert describe(context.before) == describe(context.world)
    assert len(context.world.asked) > 100


def summarize(world):
    lines = describe(world)
    return f"{len(lines)} {hashing.checksum('|'.join(lines).encode()):x}"


@then("the outcomes are those of the code before groups")
def step_as_before(context):
    known = GOLDEN.read_text(encoding="utf-8").splitlines()
    assert summarize(context.before) in known, summarize(context.before)


class GroupedEntry(scripted_targets.Entry):
    """An entry whose targets form two groups, or are one unit."""

    def __init__(self, *, entries=1):
        super().__init__(count=2 * TARGETS)
        self.sequence = 0
        self.entry_count = entries

    async def start(self):
        await super().start()
        self.one.forwarder.capacity.entry_count = self.entry_count

    @property
    def second(self):
        """Targets of group g1."""
        return self.targets[TARGETS:]

    def send_list(self, *, is_open=(True, True), epoch=1):
        self.sequence += 1
        groups = tuple(
            messages.Group(
                SERVICE,
                f"g{number}",
                epoch,
                is_open[number],
                False,
                tuple(
                    target.address
                    for target in self.targets[
                        number * TARGETS : (number + 1) * TARGETS
                    ]
                ),
            )
            for number in range(2)
        )
        self.one.forwarder.on_groups(
            messages.GroupList(1, self.sequence, groups)
        )

    def announce(self):
        for target in self.targets:
            found = records.Target(
                target.name, SERVICE, target.address, "p", 6, 0, 1
            )
            self.one.directory.merge(found, self.clock.now)

    def count_second(self, since=0.0, until=math.inf):
        """Return how many requests reached g1 in a time."""
        return sum(
            since <= at < until for t in self.second for at in t.arrivals
        )


@given("an entry with groups g0 and g1 of 4 targets")
def step_grouped(context):
    context.entry_count = 1


@given(
    "an entry with groups g0 and g1 of 4 targets, which knows of {count:d} "
    "entries"
)
def step_grouped_many(context, count):
    context.entry_count = count


def run_grouped(context, prepare, seconds, at_once=1, after=None):
    """Run an entry with two groups; return it."""
    entry = GroupedEntry(entries=context.entry_count)

    async def run():
        await entry.start()
        entry.announce()
        context.began = entry.clock.now
        prepare(entry)
        await entry.run(seconds, at_once)
        if after is not None:
            await after(entry)
        entry.close()

    asyncio.run(run())
    context.entry = entry
    return entry


def refuse_second(entry):
    for target in entry.second:
        target.backoff = b""


@when(
    "the targets of g1 refuse, and {at_once:d} requests at once arrive for "
    "{seconds:g} s {which} the list"
)
def step_loses_rank(context, at_once, seconds, which):
    def prepare(entry):
        refuse_second(entry)
        for target in entry.targets:
            # A stream's first event takes longer than a refusal.
            target.delay_s = FIRST_EVENT_SECONDS
        if which == "with":
            entry.send_list()

    context.at_once = at_once
    run_grouped(context, prepare, seconds, at_once)


@then("some callers are refused")
def step_some_refused(context):
    statuses = context.entry.statuses()
    assert any(status != 200 for status in statuses), len(statuses)


@then("all callers but those of the first {seconds:g} s are answered 200")
def step_later_answered(context, seconds):
    interval_s = scripted_targets.REQUEST_INTERVAL_SECONDS
    first = round(seconds / interval_s) * context.at_once
    statuses = context.entry.statuses()
    wrong = [n for n, s in enumerate(statuses) if s != 200]
    assert not wrong or max(wrong) < first, (wrong, len(statuses))


@then(
    "at most {most:d} requests a second reach g1, and at most {later:d} after "
    "the first second"
)
def step_few_reach(context, most, later):
    began = context.began
    first = context.entry.count_second(until=began + 1.0)
    per_s = context.entry.count_second(since=began + 1.0) / 3
    assert first <= most, first
    assert per_s <= later, per_s


@then("the entry takes g1 for out, and neither g0 nor the service")
def step_only_second_out(context):
    now = context.entry.clock.now
    outages = context.entry.one.forwarder._outages
    assert outages.is_out(SERVICE, "s/g1", now)
    assert not outages.is_out(SERVICE, "s/g0", now)
    assert not outages.get(SERVICE).is_active(now)


@when(
    "the list closes g1, whose targets {act}, and requests arrive for "
    "{seconds:g} s"
)
def step_list_closes(context, act, seconds):
    def prepare(entry):
        if act == "refuse":
            refuse_second(entry)
        entry.send_list(is_open=(True, False))

    run_grouped(context, prepare, seconds)


@when(
    "the list closes both groups, whose targets accept, and requests arrive "
    "for {seconds:g} s"
)
def step_both_closed(context, seconds):
    run_grouped(
        context, lambda entry: entry.send_list(is_open=(False, False)), seconds
    )


@then("every caller of a group is answered 200")
def step_all_served(context):
    statuses = context.entry.statuses()
    assert set(statuses) == {200}, [s for s in statuses if s != 200]


@then("between {least:d} and {most:d} requests reach g1")
def step_between(context, least, most):
    found = context.entry.count_second()
    assert least <= found <= most, found


@then("at least {least:d} requests reach g1")
def step_at_least(context, least):
    assert context.entry.count_second() >= least, context.entry.count_second()


@when(
    "the targets of g1 refuse for {seconds:g} s and it is listed with a new "
    "epoch"
)
def step_reforms(context, seconds):
    def prepare(entry):
        refuse_second(entry)
        entry.send_list()

    async def after(entry):
        for target in entry.second:
            target.backoff = None
        context.listed_at = entry.clock.now
        entry.send_list(epoch=2)
        await entry.run(1.0, 2)

    run_grouped(context, prepare, seconds, 2, after)


@then("at least {least:d} requests reach g1 in the next second")
def step_used_again(context, least):
    found = context.entry.count_second(since=context.listed_at)
    assert found >= least, found


BOUNDS = passes.PassBounds(pause_s=0.12, fixed_s=0.02, slots=5)


@given("a limit for a group of 24 ranks with 5 slots that has formed anew")
def step_formed_anew(context):
    context.limit = passes.PassLimit(bounds=BOUNDS)
    context.now = 100.0
    context.limit.begin_ramp(context.now)


@when(
    "{streams:g} streams per rank run in passes of {pass_s:g} s for "
    "{seconds:g} s"
)
def step_ramp_runs(context, streams, pass_s, seconds):
    for _ in range(round(seconds / pass_s)):
        context.now += pass_s
        context.limit.on_pause(pass_s)
        context.limit.update(streams, context.now)


@then("it admits {streams:g} streams per rank")
def step_admits(context, streams):
    assert context.limit.streams(context.now) == streams


@then("it admits at most {streams:g} streams per rank")
def step_admits_most(context, streams):
    assert context.limit.streams(context.now) <= streams


@then("it has no limit")
def step_unlimited(context):
    assert math.isinf(context.limit.streams(context.now))


@given(
    "limits of a service whose group g1 makes passes of {slow:g} s and g0 of "
    "{fast:g} s"
)
def step_limits(context, slow, fast):
    context.limits = passes.PassLimits()
    context.limits.on_bounds({SERVICE: BOUNDS})
    for pass_s, unit in ((fast, "s/g0"), (slow, "s/g1")):
        for _ in range(10):
            assert context.limits.on_pause(SERVICE, pass_s, unit)
    for due in context.limits.due():
        due.limit.update(3.0, 10.0)


@then("g1 has a limit and g0 has none")
def step_one_limited(context):
    found = [
        context.limits.get(SERVICE, f"s/g{n}").streams(10.0) for n in (0, 1)
    ]
    assert math.isinf(found[0]), found
    assert found[1] < 3.0, found


@when("g1 is no longer listed")
def step_not_listed(context):
    context.limits.keep_units({"s/g0"})
    for unit in ("s/g0",):
        context.limits.on_pause(SERVICE, 0.1, unit)


@then("the limits hold g0 only")
def step_holds(context):
    assert [due.unit for due in context.limits.due()] == ["s/g0"]
    assert math.isinf(context.limits.get(SERVICE, "s/g1").streams(10.0))


def parse_unit(text):
    found = re.fullmatch(r"(\w) (\w+) (-?\d+)/(\d+)( without allowance)?", text)
    name, kind, capacity, ranks, without = found.groups()
    return choice.UnitCapacity(
        unit=name,
        capacity=int(capacity),
        ranks=int(ranks),
        is_local=kind != "distant",
        is_listed=kind != "unlisted",
        has_allowance=without is None,
    )


@given("groups with this capacity and ranks: {groups}")
def step_capacities(context, groups):
    units = [parse_unit(part) for part in groups.split(", ")]
    context.chosen = choice.choose_unit(units, random.Random(1))


@then("the next request goes to {name}")
def step_goes_to(context, name):
    found = context.chosen.unit if context.chosen else "none"
    assert found == name, found
