"""Steps on plans of expert maps, and on what agents tell for them."""

from behave import given
from behave import then
from behave import when
import numpy as np

from features.harness import engines
from jasperweir.components.mapswitch import coordinator as coordinator_lib
from jasperweir.components.mapswitch import counter as counter_lib
from jasperweir.components.mapswitch import group as group_lib
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import placement_search
from jasperweir.components.mapswitch import planner as planner_lib
from jasperweir.components.mapswitch import report_schedule


@then("the hot expert is on more than one rank")
def step_hot(context):
    ranks = context.dep.group.ranks
    holders = [r for r in ranks if 0 in r.held_map[0]]
    assert len(holders) > 1


@given(
    "a question for a plan of {ranks:d} ranks, {experts:d} experts and "
    "{sets:d} sets"
)
def step_question(context, ranks, experts, sets):
    engine = engines.ENGINE._replace(
        sets=sets, experts=experts, places=3, spare=2
    )
    context.planner = planner_lib.Planner(engine=engine)
    weights = np.random.default_rng(1).lognormal(0.0, 1.0, (sets, experts))
    context.planner.start(
        planner_lib.PlanRequest(
            epoch=1,
            map_version=0,
            current=(placement_search.initial_placement(ranks, experts),)
            * sets,
            shares=weights / weights.sum(axis=1, keepdims=True),
            paces=np.ones(ranks),
        )
    )


@when("it is planned")
def step_plan(context):
    context.calls = 1
    context.outcome = context.planner.advance()
    while isinstance(context.outcome, planner_lib.PlanUnfinished):
        context.calls += 1
        context.outcome = context.planner.advance()


@then("no more than {count:d} sets were planned at a time")
def step_at_a_time(context, count):
    sets = len(context.outcome.request.shares)
    assert context.calls >= sets / count, context.calls


@then("the most loaded rank has at most {times:g} times the mean")
def step_peak(context, times):
    question = context.outcome.request
    for ranks, shares in zip(
        context.outcome.placement, question.shares, strict=True
    ):
        held = placement_search.to_matrix(ranks, len(shares))
        peak = placement_search.peak(held, shares, question.paces)
        assert peak <= times, peak


@when("it forms anew while a plan is made")
def step_forms_while_planned(context):
    dep = context.dep
    planner_lib.const.MOVES_PER_PLAN_CALL, usual = (
        1,
        (planner_lib.const.MOVES_PER_PLAN_CALL),
    )
    try:
        group = until_planning(dep)
        dep.group.form_anew()
        dep.run(1.0)
    finally:
        planner_lib.const.MOVES_PER_PLAN_CALL = usual
    assert not group.busy or dep.group.epoch == 2


def until_planning(dep):
    for _ in range(600):
        dep.run(engines.STEP)
        for leader in dep.leaders.values():
            for group in leader.groups():
                if group.planning:
                    return group
    raise AssertionError("no plan was begun")


@given(
    'a leader in place "{place}" that hears {near:d} agents there and '
    "{far:d} elsewhere"
)
def step_leader_hears(context, place, near, far):
    hear_agents(context, place, near, far, beats=True)


@given(
    'a leader in place "{place}" that knows of {near:d} agents there and '
    "{far:d} elsewhere"
)
def step_leader_knows(context, place, near, far):
    hear_agents(context, place, near, far, beats=False)


def hear_agents(context, place, near, far, *, beats):
    leader = coordinator_lib.Coordinator(
        place=place, make_group=group_lib.Group
    )
    leader.set_term(1)
    size = near + far
    for number in range(size):
        # The near agents have the higher ranks.
        name = f"a{number}"
        where = place if number >= far else "elsewhere"
        leader.on_agent(name, where, 0.0)
        rank = engines.Rank(number, size)
        state = engines.Group(ranks=1).state(rank)
        beat = messages.EngineBeat(
            service="s",
            address=name,
            term=1,
            state=state._replace(size=size),
            choices=counter_lib.NO_CHOICES,
            experts=rank.held_map,
        )
        if beats:
            leader.receive(name, beat, {"s": engines.ENGINE}, 0.0)
    context.near = {f"a{number}" for number in range(far, size)}
    context.asked = {act.dst for act in leader.tick(1.0) if act.msg.counted}


@then('it asks {count:d} agents for counts, all of them in place "p"')
def step_asks(context, count):
    assert len(context.asked) == count, context.asked
    assert context.asked <= context.near, context.asked


@given("an agent of a group of {ranks:d} ranks whose counts are {wanted}")
def step_pacer(context, ranks, wanted):
    context.pacer = report_schedule.ReportSchedule()
    context.now = 0.0
    state = engines.Group(ranks=1).state(engines.Rank(0, 1))
    context.state = state._replace(size=ranks)
    context.ask = messages.ReportRateRequest(
        term=1, busy=False, counted=wanted == "wanted"
    )
    context.pacer.on_rate_request("c1", context.ask)


@when("its engine runs passes for {seconds:g} seconds")
def step_paced(context, seconds):
    context.told = 0
    end = context.now + seconds
    while context.now < end:
        context.now += 0.05
        passes = context.state.passes + 1
        context.state = context.state._replace(passes=passes)
        if context.pacer.is_read_due(context.now):
            due = context.pacer.is_report_due(context.state, context.now)
            context.told += due


@then("it has told the leader {least:d} to {most:d} times")
def step_told_times(context, least, most):
    assert least <= context.told <= most, context.told


@then("it tells at once that its engine is armed")
def step_tells_armed(context):
    armed = context.state._replace(armed=5, armed_at=100)
    assert not context.pacer.is_report_due(context.state, context.now)
    assert context.pacer.is_report_due(armed, context.now)


@when("another leader asks it")
def step_other_leader(context):
    assert not context.pacer.is_report_due(context.state, context.now)
    context.pacer.on_rate_request("c2", context.ask)


@then("it tells at once")
def step_tells(context):
    assert context.pacer.is_report_due(context.state, context.now)
