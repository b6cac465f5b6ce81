"""Steps on expert demand, its jumps, and the choice of a stage."""

from behave import given
from behave import then
from behave import when
import numpy as np

from jasperweir.components.mapswitch import demand as demand_lib
from jasperweir.components.mapswitch import expert_counts
from jasperweir.components.mapswitch import placement_search
from jasperweir.components.mapswitch import planner as planner_lib

READ_SECONDS = 0.1
RANKS = 12
SETS = 3
EXPERTS = 96
CHOICES = 10_000


@when("requests of the group start to select another expert")
def step_group_demand_jumps(context):
    context.jumped_at = context.dep.now
    context.dep.group.hot = 5


@then("within {seconds:g} seconds the hot expert is on more than one rank")
def step_hot_expert_replicated(context, seconds):
    context.dep.run(seconds)
    group = context.dep.group
    holders = [r for r in group.ranks if group.hot in r.held_map[0]]
    assert len(holders) > 1, context.dep.phases[-8:]


def popular(seed):
    """Return Zipf-like shares of the experts in a random order."""
    rng = np.random.default_rng(seed)
    weights = 1.0 / np.arange(1, EXPERTS + 1) ** 1.2
    rows = [rng.permutation(weights) for _ in range(SETS)]
    shares = np.array(rows)
    return shares / shares.sum(axis=1, keepdims=True)


@given(
    "the demand of {ranks:d} ranks with 96 experts, reported 10 times a second"
)
def step_demand(context, ranks):
    context.ranks = ranks
    context.demand = demand_lib.Demand(sets=SETS, experts=EXPERTS)
    context.rng = np.random.default_rng(3)
    context.shares = popular(1)
    context.now = 100.0
    context.jumps = []


def report(context, seconds, topic_share=0.0):
    """Let all ranks report selections, at staggered times."""
    end = context.now + seconds
    while context.now < end:
        for rank in range(context.ranks):
            at = context.now + READ_SECONDS * rank / context.ranks
            shares = context.shares
            if topic_share:
                topic = popular(100 + int(context.rng.integers(9)))
                shares = (1 - topic_share) * shares + topic_share * topic
            counts = [context.rng.multinomial(CHOICES, row) for row in shares]
            choices = expert_counts.ExpertCounts(
                seconds=READ_SECONDS,
                counts=tuple(int(c) for row in counts for c in row),
            )
            jump = context.demand.observe(choices, at)
            if jump is not None:
                context.jumps.append((at, jump))
        context.now += READ_SECONDS


@when("requests select the same experts for {seconds:g} seconds")
def step_same_experts(context, seconds):
    report(context, seconds)
    assert not context.jumps


@when(
    "requests select the same experts for {seconds:g} seconds, each read from "
    "one of 9 topics"
)
def step_topics(context, seconds):
    report(context, seconds, topic_share=0.3)


@when("requests start to select other experts")
def step_jump(context):
    context.jumped_at = context.now
    context.shares = popular(2)
    report(context, 0.5)


@when("requests start to select other experts, each read from one of 9 topics")
def step_jump_topics(context):
    context.jumped_at = context.now
    context.shares = popular(2)
    report(context, 0.9, topic_share=0.3)


@when("a rank reports its selections of the last 3 seconds")
def step_reports_late(context):
    counts = (popular(1) * 30 * CHOICES).astype(int).ravel()
    choices = expert_counts.ExpertCounts(
        seconds=3.0, counts=tuple(int(c) for c in counts)
    )
    context.demand.observe(choices, context.now)


@when("requests continue for {seconds:g} seconds")
def step_go_on(context, seconds):
    report(context, seconds)


@when("requests select other experts every {gap:g} seconds for {seconds:g}")
@when(
    "requests select other experts every {gap:g} seconds for {seconds:g} "
    "seconds"
)
def step_jumps(context, gap, seconds):
    for number in range(int(seconds / gap)):
        context.shares = popular(10 + number)
        report(context, gap)


@then("the jump is detected within {seconds:g} seconds")
def step_jump_detected(context, seconds):
    assert context.jumps, "no jump was detected"
    late = context.jumps[0][0] - context.jumped_at
    assert 0 <= late <= seconds, late


@then("half a second after the jump nine tenths of the shares are new")
def step_new(context):
    found = context.demand.shares()
    apart = np.abs(found - popular(2)).sum(axis=1).mean() / 2
    before = np.abs(popular(1) - popular(2)).sum(axis=1).mean() / 2
    assert apart < 0.1 * before, (apart, before)


@then("no jump is detected")
def step_no_jump(context):
    assert not context.jumps, context.jumps


@then("one jump is detected")
def step_one_jump(context):
    assert len(context.jumps) == 1, context.jumps


@then("demand is expected to last between {least:g} and {most:g} seconds")
def step_lasts(context, least, most):
    assert least <= context.demand.expected_duration_s <= most, (
        context.demand.expected_duration_s
    )


@given("an agent that has read the counts {counts}")
def step_read(context, counts):
    context.counter = expert_counts.CountDiffer()
    context.counter.update(numbers(counts), 10.0)


@when("it reads the counts {counts} a second later")
def step_read_again(context, counts):
    context.choices = context.counter.update(numbers(counts), 11.0)


@then("it reports {reported} with {dropped:d} dropped")
def step_reports(context, reported, dropped):
    expected = () if reported == "none" else tuple(map(int, reported.split()))
    assert context.choices.counts == expected, context.choices
    assert context.counter.dropped == dropped


def numbers(text):
    return tuple(int(part) for part in text.split(","))


@when("a rank reports counts of 7 experts")
def step_misfit(context):
    choices = expert_counts.ExpertCounts(seconds=0.1, counts=(10_000,) * 7)
    assert context.demand.observe(choices, 1.0) is None


@then("the counts are dropped and the demand is unknown")
def step_dropped(context):
    assert context.demand.dropped == 1
    assert not context.demand.is_settled(2.0)


@given(
    "stages with 1, 2 and 4 copies per rank and peaks of {one:g}, {two:g} and "
    "{four:g}, from {before:g}"
)
def step_stages(context, one, two, four, before):
    context.before = before
    context.stages = [
        placement_search.Stage(copies=copies, peak=peak, held=())
        for copies, peak in ((1, one), (2, two), (4, four))
    ]


@when("a copy takes {copy:g} seconds and demand lasts {lasts:g} seconds")
def step_choose(context, copy, lasts):
    context.chosen = planner_lib.choose_stage(
        context.before,
        context.stages,
        copy_s=copy,
        switch_s=0.35,
        lasts_s=lasts,
    )


@then("the stage with {copies:d} copy is chosen")
@then("the stage with {copies:d} copies is chosen")
def step_chosen(context, copies):
    assert context.chosen is not None, "no stage was chosen"
    assert context.chosen.copies == copies, context.chosen


@then("no stage is chosen")
def step_none_chosen(context):
    assert context.chosen is None, context.chosen


@given("a group of 12 ranks with 3 sets of 96 experts after a jump in demand")
def step_jumped(context):
    start = tuple(
        placement_search.to_matrix(
            placement_search.initial_placement(RANKS, EXPERTS), EXPERTS
        )
        for _ in range(SETS)
    )
    fitted = search(start, popular(1))
    while not fitted.advance(100):
        pass
    context.start = fitted.stages[-1].held


def search(start, shares):
    return placement_search.PlacementSearch(
        start=start, shares=shares, slowdown=np.ones(RANKS), places=11, spare=4
    )


@when("a placement with one copy per rank is searched")
def step_search(context):
    context.search = search(context.start, popular(2))
    while not context.search.stages:
        context.search.advance(1)


@then("no rank copies more than {most:d} expert")
def step_copies(context, most):
    stage = context.search.stages[0]
    new = sum(
        (held & ~start).sum(axis=1)
        for held, start in zip(stage.held, context.start, strict=True)
    )
    assert int(np.max(new)) <= most, new
    assert all(held.any(axis=0).all() for held in stage.held)
    assert all((held.sum(axis=1) <= 11).all() for held in stage.held)


@then("the peak falls from above {before:g} to below {after:g}")
def step_falls(context, before, after):
    assert context.search.before > before, context.search.before
    assert context.search.stages[0].peak < after, context.search.stages[0].peak
