"""Steps on expert maps and placement."""

import random

from behave import given
from behave import then
from behave import when
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st
import numpy as np

from features.harness import draws
from features.harness import ranks
from jasperweir.components.experts import const
from jasperweir.components.experts import messages
from jasperweir.components.experts import placement
from jasperweir.components.experts import planner
from jasperweir.components.experts import popularity
from jasperweir.components.experts import step_gate
from jasperweir.components.experts import stragglers


@given("a group of three hosts")
def group(context):
    context.ranks = ranks.Ranks()


@when("{seconds:d} seconds pass in the group")
def group_passes(context, seconds):
    context.before = len(context.ranks.ran)
    context.ranks.run(seconds)


@when("the coordinator switches maps")
@when("the old coordinator switches maps")
def switch(context):
    context.ranks.switch("c1")


@when("the coordinator switches maps twice at once")
def switch_twice(context):
    context.ranks.switch("c1")
    context.ranks.switch("c1")


@when('"{name}" is cut off and the coordinator switches maps')
def cut_and_switch(context, name):
    context.ranks.cut.add(name)
    context.ranks.switch("c1")
    context.ranks.run(2)
    context.stalled_at = len(context.ranks.ran)


@when("the cut in the group heals")
def heal_cut(context):
    context.ranks.cut.clear()


@when("the weight store fails and the coordinator switches maps")
def store_fails(context):
    context.ranks.store_fails = True
    context.ranks.switch("c1")


@when("another coordinator is appointed while the old one still runs")
def appoint_second(context):
    context.ranks.appoint("c2", 2)


@when('"{name}" restarts without state')
def restart(context, name):
    context.ranks.gates[name] = step_gate.StepGate(group="g")
    done = max(context.ranks.ran)
    context.ranks.gates[name].done = done


@then("steps ran under {count:d} maps")
def maps_ran(context, count):
    assert len(set(context.ranks.ran.values())) == count, context.ranks.ran


@then("no step ran for the last {seconds:d} seconds")
def no_step_ran(context, seconds):
    assert len(context.ranks.ran) == context.stalled_at


@then("steps go on")
def steps_continue(context):
    before = len(context.ranks.ran)
    context.ranks.run(1)
    assert len(context.ranks.ran) > before


@then("the last step ran under the new coordinator")
def last_step_under_new(context):
    last = max(context.ranks.ran)
    assert last >> const.STEP_BITS == 2, last


EVENTS = ("run", "run", "run", "switch", "switch", "switch two", "cut",
          "heal", "lossy", "clean", "restart", "appoint", "store fails",
          "store works")  # fmt: skip


def schedule(seed, events):
    """Run one schedule; the harness checks each grant and step."""
    scene = ranks.Ranks(seed)
    rng = random.Random(seed)
    terms = 1
    for event in events:
        lead = f"c{rng.randint(1, terms)}"
        host = rng.choice(ranks.HOSTS)
        match event:
            case "run":
                scene.run(rng.uniform(0.2, 2))
            case "switch":
                scene.switch(lead)
            case "switch two":
                scene.switch(lead)
                scene.switch(lead)
            case "cut":
                scene.cut.add(host)
            case "heal":
                scene.cut.clear()
            case "lossy":
                scene.loss = scene.duplication = 0.3
            case "clean":
                scene.loss = scene.duplication = 0.0
            case "restart":
                done = scene.gates[host].done
                scene.gates[host] = step_gate.StepGate(group="g")
                scene.gates[host].done = done
            case "appoint" if terms < 4:
                terms += 1
                scene.appoint(f"c{terms}", terms)
            case "store fails":
                scene.store_fails = True
            case "store works":
                scene.store_fails = False


@then("{count:d} random schedules of {length:d} events keep one map per step")
def random_groups(context, count, length):
    draws.schedules(count, length, EVENTS, schedule)


@then("{count:d} random plans keep a copy of each expert after every move")
def random_plans(context, count):
    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @draw(
        st.integers(0, 10**6),
        st.sampled_from([(4, 3), (8, 2), (12, 1), (3, 6)]),
        st.integers(0, 12),
        st.floats(0, 1),
    )
    def check(seed, size, budget, weight):
        check_plan(seed, size, budget, weight)

    check()


def check_plan(seed, size, budget, weight):
    rng = np.random.default_rng(seed)
    experts = 10
    slots = placement.initial_slots(*size, experts)
    shares = rng.dirichlet(np.full(experts, 0.4))
    old = placement.Layer(slots, placement.even_split(slots, experts))
    plan = planner.plan(
        (old,),
        shares[None],
        np.ones(size[0]),
        skew_weight=weight,
        budget=budget,
    )
    assert len(plan.moves) <= budget
    now = slots.copy()
    for _, move in plan.moves:
        assert now[move.rank, move.slot] == move.replaces
        now[move.rank, move.slot] = move.expert
        assert (placement.count_copies(now, experts) > 0).all()
    assert (now == plan.layers[0].slots).all()
    total = np.bincount(now.ravel(), plan.layers[0].split.ravel(), experts)
    assert np.allclose(total, 1)
    assert plan.after[0] <= plan.before[0] + 1e-9


@when("plans for the same drift are made with both users' weights")
def both_users(context):
    context.results = {}
    for weight in (0.1, 0.9):
        rng = np.random.default_rng(5)
        logits = rng.normal(0, 1, (1, 32))
        slots = placement.initial_slots(8, 6, 32)
        layers = (placement.Layer(slots, placement.even_split(slots, 32)),)
        estimate = popularity.Popularity(layers=1, experts=32)
        skews, moves = [], 0
        for _ in range(80):
            logits += rng.normal(0, 0.08, logits.shape)
            shares = np.exp(logits) / np.exp(logits).sum()
            estimate.observe(shares * 1e5)
            plan = planner.plan(
                layers,
                estimate.shares,
                np.ones(8),
                skew_weight=weight,
                budget=16,
            )
            layers = plan.layers
            moves += len(plan.moves)
            skews.append(plan.after[0])
        context.results[weight] = (float(np.mean(skews)), moves)


@then("the Association's skew is not above Notograf's")
def skew_lower(context):
    assert context.results[0.9][0] <= context.results[0.1][0]


@then("Notograf's moves are fewer")
def moves_fewer(context):
    assert context.results[0.1][1] < context.results[0.9][1]


@when("rank {slow:d} is slow and rank {loaded:d} has twice the load")
def slow_rank(context, slow, loaded):
    context.speeds = stragglers.SpeedEstimator(ranks=8)
    loads = np.ones(8)
    loads[loaded] = 2.0
    seconds = loads.copy()
    seconds[slow] = 2.0
    for _ in range(60):
        context.speeds.observe(seconds, loads)


@then("only rank {slow:d} is a straggler")
def only_slow(context, slow):
    assert context.speeds.stragglers == [slow]


@then("the plan gives rank {slow:d} less load than the others")
def gives_less(context, slow):
    slots = placement.initial_slots(8, 4, 16)
    layer = placement.Layer(slots, placement.even_split(slots, 16))
    shares = np.full((1, 16), 1 / 16)
    plan = planner.plan(
        (layer,), shares, context.speeds.speeds, skew_weight=0.9, budget=16
    )
    work = placement.rank_loads(plan.layers[0], shares[0], np.ones(8))
    assert work[slow] < 0.7 * np.delete(work, slow).min(), work


def check_unloaded_weights():
    gate = step_gate.StepGate(group="g")
    out = gate.receive("c", messages.Grant("g", 1, 5, 1, 8))
    assert [a.msg.ok for a in out] == [False]
    assert gate.find_version(1) is None


def check_old_term():
    gate = step_gate.StepGate(group="g")
    gate.on_weights_loaded(5, True, "c")
    gate.receive("c2", messages.Seal("g", 2))
    assert gate.receive("c1", messages.Grant("g", 1, 5, 1, 8)) == []
    assert gate.find_version(1) is None


def check_all_prepared():
    scene = ranks.Ranks()
    scene.run(3)
    lead = scene.coordinators["c1"]
    old = lead.version
    new = ranks.small_map(old + 1)
    lead.start_switch(new, scene.now)
    ok = messages.Prepared("g", 1, new.version, True)
    for host in ranks.HOSTS[:2]:
        lead.receive(host, ok, scene.now)
    last = lead._grant.last
    for host in ranks.HOSTS:
        lead.receive(
            host, messages.Granted("g", 1, last, last, True), scene.now
        )
    assert lead._grant.last > last and lead._grant.version == old


GRANT_RULES = {
    "a grant needs loaded weights": check_unloaded_weights,
    "an old term has no effect": check_old_term,
    "a new map needs all hosts to be prepared": check_all_prepared,
}


@then("the rule of grants holds: {rule}")
def grant_rule(context, rule):
    GRANT_RULES[rule]()
