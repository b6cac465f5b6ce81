"""Steps on demand for experts, its jumps, and what a change is worth."""

from behave import given
from behave import then
from behave import when
import numpy as np

from jasperweir.components.mapswitch import counter as counter_lib
from jasperweir.components.mapswitch import demand as demand_lib
from jasperweir.components.mapswitch import placement_search
from jasperweir.components.mapswitch import planner as planner_lib

READ_SECONDS = 0.1
RANKS = 12
SETS = 3
EXPERTS = 96
CHOICES = 10_000


@when("requests choose another expert from now on")
def step_group_jumps(context):
    context.jumped_at = context.dep.now
    context.dep.group.hot = 5


@then("within {seconds:g} seconds the hot expert is on more than one rank")
def step_fits(context, seconds):
    context.dep.run(seconds)
    group = context.dep.group
    holders = [r for r in group.ranks if group.hot in r.held_map[0]]
    assert len(holders) > 1, context.dep.phases[-8:]


def popular(seed):
    """Return shares of few hot and many cold experts, in some order."""
    rng = np.random.default_rng(seed)
    weights = 1.0 / np.arange(1, EXPERTS + 1) ** 1.2
    rows = [rng.permutation(weights) for _ in range(SETS)]
    shares = np.array(rows)
    return shares / shares.sum(axis=1, keepdims=True)


@given("the demand of {ranks:d} ranks with 96 experts, told 10 times a second")
def step_demand(context, ranks):
    context.ranks = ranks
    context.demand = demand_lib.Demand(sets=SETS, experts=EXPERTS)
    context.rng = np.random.default_rng(3)
    context.shares = popular(1)
    context.now = 100.0
    context.jumps = []


def tell(context, seconds, topic_share=0.0):
    """Let all ranks tell what they chose, each at its own moment."""
    end = context.now + seconds
    while context.now < end:
        for rank in range(context.ranks):
            at = context.now + READ_SECONDS * rank / context.ranks
            shares = context.shares
            if topic_share:
                topic = popular(100 + int(context.rng.integers(9)))
                shares = (1 - topic_share) * shares + topic_share * topic
            counts = [context.rng.multinomial(CHOICES, row) for row in shares]
            choices = counter_lib.Choices(
                seconds=READ_SECONDS,
                counts=tuple(int(c) for row in counts for c in row),
            )
            jump = context.demand.observe(choices, at)
            if jump is not None:
                context.jumps.append((at, jump))
        context.now += READ_SECONDS


@when("requests choose alike for {seconds:g} seconds")
def step_alike(context, seconds):
    tell(context, seconds)
    assert not context.jumps


@when(
    "requests choose alike for {seconds:g} seconds, each read of one topic of 9"
)
def step_topics(context, seconds):
    tell(context, seconds, topic_share=0.3)


@when("they choose other experts from then on")
def step_jump(context):
    context.jumped_at = context.now
    context.shares = popular(2)
    tell(context, 0.5)


@when("they choose other experts from then on, each read of one topic of 9")
def step_jump_topics(context):
    context.jumped_at = context.now
    context.shares = popular(2)
    tell(context, 0.9, topic_share=0.3)


@when("a rank tells at once what it chose in the 3 seconds before")
def step_tells_late(context):
    counts = (popular(1) * 30 * CHOICES).astype(int).ravel()
    choices = counter_lib.Choices(
        seconds=3.0, counts=tuple(int(c) for c in counts)
    )
    context.demand.observe(choices, context.now)


@when("they go on so for {seconds:g} seconds")
def step_go_on(context, seconds):
    tell(context, seconds)


@when("requests choose other experts every {gap:g} seconds for {seconds:g}")
@when(
    "requests choose other experts every {gap:g} seconds for {seconds:g} "
    "seconds"
)
def step_jumps(context, gap, seconds):
    for number in range(int(seconds / gap)):
        context.shares = popular(10 + number)
        tell(context, gap)


@then("the jump is seen within {seconds:g} seconds")
def step_seen(context, seconds):
    assert context.jumps, "no jump was seen"
    late = context.jumps[0][0] - context.jumped_at
    assert 0 <= late <= seconds, late


@then("half a second after the jump nine tenths of the shares are new")
def step_new(context):
    found = context.demand.shares()
    apart = np.abs(found - popular(2)).sum(axis=1).mean() / 2
    before = np.abs(popular(1) - popular(2)).sum(axis=1).mean() / 2
    assert apart < 0.1 * before, (apart, before)


@then("no jump is seen")
def step_none_seen(context):
    assert not context.jumps, context.jumps


@then("one jump is seen")
def step_once(context):
    assert len(context.jumps) == 1, context.jumps


@then("demand is expected to last between {least:g} and {most:g} seconds")
def step_lasts(context, least, most):
    assert least <= context.demand.expected_duration_s <= most, (
        context.demand.expected_duration_s
    )


@given("an agent that has read the counts {counts}")
def step_read(context, counts):
    context.counter = counter_lib.Counter()
    context.counter.take(numbers(counts), 10.0)


@when("it reads the counts {counts} a second later")
def step_read_again(context, counts):
    context.choices = context.counter.take(numbers(counts), 11.0)


@then("it tells {told} and has dropped {dropped:d}")
def step_tells(context, told, dropped):
    expected = () if told == "none" else tuple(map(int, told.split()))
    assert context.choices.counts == expected, context.choices
    assert context.counter.dropped == dropped


def numbers(text):
    return tuple(int(part) for part in text.split(","))


@when("a rank tells counts of 7 experts")
def step_misfit(context):
    choices = counter_lib.Choices(seconds=0.1, counts=(10_000,) * 7)
    assert context.demand.observe(choices, 1.0) is None


@then("the counts are dropped and the demand is unknown")
def step_dropped(context):
    assert context.demand.dropped == 1
    assert not context.demand.is_settled(2.0)


@given(
    "changes with 1, 2 and 4 copies a rank, to peaks of {one:g}, {two:g} and "
    "{four:g} from {before:g}"
)
def step_changes(context, one, two, four, before):
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


@then("the change with {copies:d} copy is chosen")
@then("the change with {copies:d} copies is chosen")
def step_chosen(context, copies):
    assert context.chosen is not None, "no change was chosen"
    assert context.chosen.copies == copies, context.chosen


@then("no change is chosen")
def step_none_chosen(context):
    assert context.chosen is None, context.chosen


@given("demand of 3 sets with 96 experts that has jumped, on 12 ranks")
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
    return placement_search.Search(
        start=start, shares=shares, pace=np.ones(RANKS), places=11, spare=4
    )


@when("a placement with one copy a rank is searched")
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
