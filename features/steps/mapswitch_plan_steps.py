"""Steps on plans of expert maps and on the heartbeats of agents."""

from behave import given
from behave import then
from behave import when
import numpy as np

from features.harness import engines
from jasperweir.components.mapswitch import coordinator as coordinator_lib
from jasperweir.components.mapswitch import expert_counts
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
    "a plan request for {ranks:d} ranks, {experts:d} experts and {sets:d} sets"
)
def step_plan_request(context, ranks, experts, sets):
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
            slowdowns=np.ones(ranks),
        )
    )


@when("the plan is made")
def step_plan(context):
    context.calls = 1
    context.outcome = context.planner.advance()
    while isinstance(context.outcome, planner_lib.PlanUnfinished):
        context.calls += 1
        context.outcome = context.planner.advance()


@then("no more than {count:d} sets were planned in one call")
def step_at_a_time(context, count):
    sets = len(context.outcome.request.shares)
    assert context.calls >= sets / count, context.calls


@then("the peak load is at most {times:g} times the mean")
def step_peak(context, times):
    request = context.outcome.request
    for ranks, shares in zip(
        context.outcome.placement, request.shares, strict=True
    ):
        held = placement_search.to_matrix(ranks, len(shares))
        peak = placement_search.peak(held, shares, request.slowdowns)
        assert peak <= times, peak


@when("it re-forms while a plan is made")
def step_forms_while_planned(context):
    dep = context.dep
    planner_lib.const.MOVES_PER_PLAN_CALL, usual = (
        1,
        (planner_lib.const.MOVES_PER_PLAN_CALL),
    )
    try:
        group = until_planning(dep)
        dep.group.re_form()
        dep.run(1.0)
    finally:
        planner_lib.const.MOVES_PER_PLAN_CALL = usual
    assert not group.busy or dep.group.epoch == 2


def until_planning(dep):
    for _ in range(600):
        dep.run(engines.STEP)
        for leader in dep.leaders.values():
            for group in leader.groups():
                if group.is_planning:
                    return group
    raise AssertionError("no plan was begun")


@given(
    'a leader in data centre "{place}" with heartbeats of {near:d} agents '
    "there and {far:d} elsewhere"
)
def step_leader_with_heartbeats(context, place, near, far):
    add_agents(context, place, near, far, with_heartbeats=True)


@given(
    'a leader in data centre "{place}" that knows {near:d} agents there and '
    "{far:d} elsewhere"
)
def step_leader_knows(context, place, near, far):
    add_agents(context, place, near, far, with_heartbeats=False)


def add_agents(context, place, near, far, *, with_heartbeats):
    leader = coordinator_lib.Coordinator(
        place=place, make_group=group_lib.Group
    )
    leader.set_term(1)
    size = near + far
    for number in range(size):
        # Near agents have the higher ranks.
        name = f"a{number}"
        where = place if number >= far else "elsewhere"
        leader.on_agent(name, where, 0.0)
        rank = engines.Rank(number, size)
        state = engines.Group(ranks=1).state(rank)
        heartbeat = messages.EngineHeartbeat(
            service="s",
            address=name,
            term=1,
            state=state._replace(size=size),
            choices=expert_counts.NO_COUNTS,
            experts=rank.held_map,
        )
        if with_heartbeats:
            leader.receive(name, heartbeat, {"s": engines.ENGINE}, 0.0)
    context.near = {f"a{number}" for number in range(far, size)}
    context.counted = {act.dst for act in leader.tick(1.0) if act.msg.counted}


@then(
    'it requests counts from {count:d} agents, all of them in data centre "p"'
)
def step_requests_counts(context, count):
    assert len(context.counted) == count, context.counted
    assert context.counted <= context.near, context.counted


@given("an agent of a group of {ranks:d} ranks whose counts are {wanted}")
def step_schedule(context, ranks, wanted):
    context.schedule = report_schedule.ReportSchedule()
    context.now = 0.0
    state = engines.Group(ranks=1).state(engines.Rank(0, 1))
    context.state = state._replace(size=ranks)
    context.request = messages.ReportRateRequest(
        term=1, busy=False, counted=wanted == "wanted"
    )
    context.schedule.on_rate_request("c1", context.request)


@when("its engine runs passes for {seconds:g} seconds")
def step_runs_passes(context, seconds):
    context.reports = 0
    end = context.now + seconds
    while context.now < end:
        context.now += 0.05
        passes = context.state.passes + 1
        context.state = context.state._replace(passes=passes)
        if context.schedule.is_read_due(context.now):
            due = context.schedule.is_report_due(context.state, context.now)
            context.reports += due


@then("it has sent {least:d} to {most:d} heartbeats")
def step_report_count(context, least, most):
    assert least <= context.reports <= most, context.reports


@then("it reports at once that its engine is armed")
def step_reports_armed(context):
    armed = context.state._replace(armed=5, armed_at=100)
    assert not context.schedule.is_report_due(context.state, context.now)
    assert context.schedule.is_report_due(armed, context.now)


@when("another leader sends a rate request")
def step_other_leader(context):
    assert not context.schedule.is_report_due(context.state, context.now)
    context.schedule.on_rate_request("c2", context.request)


@then("it reports at once")
def step_reports_at_once(context):
    assert context.schedule.is_report_due(context.state, context.now)
