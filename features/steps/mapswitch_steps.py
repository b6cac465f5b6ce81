"""Steps on the switch of expert maps."""

import random

from behave import given
from behave import then
from behave import when
import numpy as np

from features.harness import engines
from jasperweir import core
from jasperweir import exceptions
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import coordinator as coordinator_lib
from jasperweir.components.mapswitch import counter as counter_lib
from jasperweir.components.mapswitch import group as group_lib
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import pacer as pacer_lib
from jasperweir.components.mapswitch import plan as plan_lib
from jasperweir.components.mapswitch import planner as planner_lib
from jasperweir.components.mapswitch import relays as relays_lib
from jasperweir.helpers import codec


@given("a group of 4 engines under a leader")
def step_group(context):
    context.dep = engines.Deployment()
    context.leader = context.dep.lead()


@when("{seconds:g} seconds pass at the group")
def step_pass(context, seconds):
    context.passes = context.dep.group.passes
    context.dep.run(seconds)


@then("the group has switched its map")
def step_switched(context):
    assert context.dep.group.ranks[0].version > 0, context.dep.phases


@then("no pass has begun on two maps")
def step_one_map(context):
    assert not context.dep.group.broken, context.dep.group.broken


@then("no pass has waited")
def step_no_wait(context):
    assert context.dep.group.longest_stall == 0.0


@then("no pass has waited longer than {seconds:g} seconds")
def step_wait(context, seconds):
    assert context.dep.group.longest_stall <= seconds, (
        context.dep.group.longest_stall
    )


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
    context.planner.begin(
        planner_lib.Question(
            epoch=1,
            map_version=0,
            current=(plan_lib.initial(ranks, experts),) * sets,
            shares=weights / weights.sum(axis=1, keepdims=True),
            paces=np.ones(ranks),
        )
    )


@when("it is planned")
def step_plan(context):
    context.calls = 1
    context.outcome = context.planner.go_on()
    while isinstance(context.outcome, planner_lib.Unfinished):
        context.calls += 1
        context.outcome = context.planner.go_on()


@then("no more than {count:d} sets were planned at a time")
def step_at_a_time(context, count):
    sets = len(context.outcome.question.shares)
    assert context.calls >= sets / count, context.calls


@then("the most loaded rank has at most {times:g} times the mean")
def step_peak(context, times):
    question = context.outcome.question
    for ranks, shares in zip(
        context.outcome.placement, question.shares, strict=True
    ):
        held = plan_lib.table(ranks, len(shares))
        peak = plan_lib.peak(held, shares, question.paces)
        assert peak <= times, peak


@when("it forms anew while a plan is made")
def step_forms_while_planned(context):
    dep = context.dep
    planner_lib.const.PLAN_MOVES, usual = (
        1,
        (planner_lib.const.PLAN_MOVES),
    )
    try:
        group = until_planning(dep)
        dep.group.form_anew()
        dep.run(1.0)
    finally:
        planner_lib.const.PLAN_MOVES = usual
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
    leader.lead(1)
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
    context.pacer = pacer_lib.Pacer()
    context.now = 0.0
    state = engines.Group(ranks=1).state(engines.Rank(0, 1))
    context.state = state._replace(size=ranks)
    context.ask = messages.PaceAsk(
        term=1, busy=False, counted=wanted == "wanted"
    )
    context.pacer.on_ask("c1", context.ask)


@when("its engine runs passes for {seconds:g} seconds")
def step_paced(context, seconds):
    context.told = 0
    end = context.now + seconds
    while context.now < end:
        context.now += 0.05
        passes = context.state.passes + 1
        context.state = context.state._replace(passes=passes)
        if context.pacer.read_due(context.now):
            due = context.pacer.tell_due(context.state, context.now)
            context.told += due


@then("it has told the leader {least:d} to {most:d} times")
def step_told_times(context, least, most):
    assert least <= context.told <= most, context.told


@then("it tells at once that its engine is armed")
def step_tells_armed(context):
    armed = context.state._replace(armed=5, armed_at=100)
    assert not context.pacer.tell_due(context.state, context.now)
    assert context.pacer.tell_due(armed, context.now)


@when("another leader asks it")
def step_other_leader(context):
    assert not context.pacer.tell_due(context.state, context.now)
    context.pacer.on_ask("c2", context.ask)


@then("it tells at once")
def step_tells(context):
    assert context.pacer.tell_due(context.state, context.now)


def until_held(dep):
    for _ in range(600):
        dep.run(engines.STEP)
        if dep.group.ranks[0].held:
            return
    raise AssertionError("no hold was seen")


@when("the first rank holds a pass and its agent is down for 4 seconds")
def step_agent_down(context):
    until_held(context.dep)
    context.dep.down["a0"] = context.dep.now + 4


@when("a pass is held and the VM that gave the hold stands still for 4 seconds")
def step_giver_still(context):
    dep = context.dep
    until_held(dep)
    # Nothing that it sent after the hold has left.
    dep.queue = [q for q in dep.queue if q[1] != "e1"]
    dep.frozen.add("e1")
    dep.run(4.0)
    dep.frozen.discard("e1")


@when("the first rank holds a pass and the leader freezes")
def step_leader_freezes(context):
    until_held(context.dep)
    context.dep.frozen.add(context.leader)


@given("two entries that may give holds, the first choice cut off")
def step_two_givers(context):
    dep = context.dep
    dep.leaders[context.leader].on_entries(["e2", "e1"])
    dep.cut_pair(context.leader, "e1")


@then("the leader itself has given no hold")
def step_no_direct_hold(context):
    given = context.dep.given_directly
    assert not any(isinstance(x, messages.Hold) for x in given), given


@when("a hold reaches its engine {seconds:g} seconds late")
def step_late_hold(context, seconds):
    dep = context.dep
    held_up = []

    def tap(dep, src, dst, msg):
        if not isinstance(msg, messages.OrderAsk) or held_up:
            return False
        if not isinstance(codec.unpack_tagged(msg.order), messages.Hold):
            return False
        held_up.append(msg)
        dep.queue.append((dep.now + seconds, src, dst, msg))
        return True

    dep.tap = tap
    for _ in range(600):
        dep.run(engines.STEP)
        if held_up:
            return
    raise AssertionError("no hold was sent")


@when(
    "a hold reaches its engine {seconds:g} seconds late, while nothing is to do"
)
def step_late_hold_idle(context, seconds):
    dep = context.dep
    step_late_hold(context, seconds)
    dep.group.idle = True
    while not dep.group.ranks[0].held:
        dep.run(engines.STEP)
    dep.group.idle = False


@when("the first rank holds the pass after the next {ahead:d}")
def step_stray_hold(context, ahead):
    group = context.dep.group
    hold = messages.Hold(at_pass=group.passes + ahead + 1)
    assert group.carry_out(0, hold, group.epoch) == 200


@when("another leader takes over")
def step_take_over(context):
    context.dep.lead()


@when("the frozen leader wakes")
def step_wakes(context):
    context.dep.frozen.clear()


@then("passes go on")
def step_go_on(context):
    assert context.dep.group.passes > context.passes + 5


@when("a lost order to arm comes just before the pass it was meant for")
def step_late_arm(context):
    dep = context.dep
    group = dep.group
    until_held(dep)
    order = group.order
    lost = []

    def lossy(number, what, epoch):
        if number == 3 and type(what).__name__ == "Arm":
            lost.append((number, what, epoch))
            return None
        return order(number, what, epoch)

    group.order = lossy
    while group.ranks[0].held:
        dep.run(engines.STEP)
    # No further plan comes between the call-off and the late order.
    dep.frozen.add(context.leader)
    while group.passes < lost[0][1].at_pass - 1:
        dep.run(engines.STEP)
    # The group runs out of work before the pass that was held, and stays so.
    group.idle = True
    group.order = order
    dep.run(5.0)
    assert not group.ranks[0].held, "the switch was not called off"
    assert group.passes == lost[0][1].at_pass - 1, "the pass has begun"
    group.carry_out(*lost[0])
    group.idle = False
    dep.run(3.0)


@when("the group forms anew")
def step_form(context):
    context.dep.group.form_anew()


@when("{count:d} random schedules of lost and late orders run")
def step_random(context, count):
    context.broken = []
    context.stuck = []
    context.switches = 0
    for seed in range(count):
        dep = schedule(seed)
        if dep.group.broken:
            context.broken.append((seed, dep.group.broken[0]))
        before = dep.group.passes
        dep.run(3.0)
        if dep.group.passes < before + 10:
            context.stuck.append(seed)
        context.switches += dep.group.switches


@then("no pass of any schedule has begun on two maps")
def step_none_broken(context):
    assert context.switches > 0
    assert not context.broken, context.broken


@then("passes go on in each of them")
def step_none_stuck(context):
    assert not context.stuck, context.stuck


def schedule(seed):
    """Lose orders, kill agents, change and freeze leaders, pause work."""
    rng = random.Random(seed)
    dep = engines.Deployment(seed=seed)
    dep.lead()
    for _ in range(12):
        dep.run(rng.uniform(0.05, 0.9))
        match rng.randrange(7):
            case 0:
                dep.group.lost = rng.choice((0.0, 0.3, 0.5))
            case 1:
                agent = rng.choice(list(dep.agents))
                dep.down[agent] = dep.now + rng.uniform(0.3, 3.0)
            case 2:
                dep.lead()
            case 3:
                dep.frozen = {rng.choice(list(dep.leaders))}
            case 4:
                dep.frozen = set()
                dep.lead()
            case 5:
                dep.group.idle = not dep.group.idle
            case 6:
                dep.group.hot = rng.randrange(8)
    dep.group.lost = 0.0
    dep.group.idle = False
    dep.frozen = set()
    dep.lead()
    dep.run(14.0)
    return dep


@given(
    "a group of {ranks:d} ranks in the middle of a switch whose orders are lost"
)
def step_middle(context, ranks):
    context.dep = engines.Deployment(ranks=ranks)
    context.leader = context.dep.lead()
    group = None
    for _ in range(600):
        context.dep.run(engines.STEP)
        groups = context.dep.leaders[context.leader].groups()
        group = groups[0] if groups else None
        if group is not None and group.phase is group_lib.Phase.ARMING:
            break
    assert group is not None and group.phase is group_lib.Phase.ARMING
    # What it would send again is what has not been answered.
    later = context.dep.now + const.DIRECT_SECONDS
    acts = group.tick(later)
    context.numbers = [
        act.msg.number for act in acts if isinstance(act, core.Send)
    ]
    assert context.numbers


@when("its leader stands still while another one takes over")
def step_still(context):
    context.dep.frozen = {context.leader}
    context.dep.lead()
    context.dep.run(2.0)


@when("an answer that waited for it is read before its timers run")
def step_read_late(context):
    done = messages.OrderDone(context.numbers[0], 1, True, None)
    context.given = context.dep.leaders[context.leader].receive(
        "a0", done, {"s": engines.ENGINE}, context.dep.now
    )


@then("it has given no order")
def step_no_order(context):
    assert context.given == [], context.given


# Orders that control VMs pass on.


@given(
    "a leader with {own:d} agents in its data centre and {near:d} in each of "
    "3 others"
)
def step_places(context, own, near):
    context.relays = relays_lib.Relays(name="c0")
    context.sends = []
    agents = [(f"p0a{n}", "p0") for n in range(own)]
    for place in ("p1", "p2", "p3"):
        agents += [(f"{place}a{n}", place) for n in range(near)]
    for number, (name, place) in enumerate(agents, 1):
        context.relays.on_agent(name, place)
        context.sends.append((name, number))


def bundle(context, size, relays):
    """Bundle one order for all agents; three control VMs at most are heard."""
    context.relays.update({f"p{n}": f"c{n}" for n in range(1, relays + 1)})
    order = b"x" * size
    context.sends = [
        core.Send(
            dst=name,
            msg=messages.OrderAsk(number, 7, 2, f"engine of {name}", order),
        )
        for name, number in context.sends
    ]
    context.out = context.relays.bundle(context.sends)


@when("it has a large order for all of them")
def step_large(context):
    bundle(context, const.RELAY_LEAST_BYTES, 3)


@when(
    "it has a {size} order for all of them, and {relays:d} control VMs are "
    "heard"
)
def step_sized(context, size, relays):
    least = const.RELAY_LEAST_BYTES
    bundle(context, least if size == "large" else least - 1, relays)


@then("it sends {sent:d} orders to agents and {passed:d} to control VMs")
def step_sent(context, sent, passed):
    relayed = [
        act for act in context.out if isinstance(act.msg, relays_lib.OrderRelay)
    ]
    assert len(relayed) == passed, len(relayed)
    assert len(context.out) - len(relayed) == sent, len(context.out)
    context.relayed = relayed


@then("these pass on {count:d} orders that name the leader, as they were given")
def step_passed(context, count):
    given = {send.dst: send.msg for send in context.sends}
    passed = [
        send for act in context.relayed for send in relays_lib.expand(act.msg)
    ]
    assert len(passed) == count
    for send in passed:
        assert send.msg == given[send.dst]._replace(leader="c0"), send


@given("a group of 4 engines whose orders go by control VMs that are lost")
def step_lost_relays(context):
    context.least = (const.RELAY_LEAST_BYTES, const.RELAY_LEAST_AGENTS)
    const.RELAY_LEAST_BYTES, const.RELAY_LEAST_AGENTS = 0, 1
    context.add_cleanup(restore_least, context.least)
    context.dep = engines.Deployment()
    context.dep.relays = {"p0": "r0", "p1": "r1"}
    context.dep.lost_relays = {"r0", "r1"}
    context.leader = context.dep.lead()


def restore_least(least):
    const.RELAY_LEAST_BYTES, const.RELAY_LEAST_AGENTS = least


@when("a control VM gets a relayed order whose content is damaged")
def step_damaged(context):
    damaged = relays_lib.OrderRelay(
        leader="c0",
        term=1,
        epoch=1,
        order=b"no order",
        asks=(relays_lib.RelayedAsk("a0", 1, "engine"),),
    )
    context.error = None
    try:
        context.out = relays_lib.expand(damaged)
    except exceptions.FrameError as exc:
        context.error = exc


@then("it is counted as an error and nothing is sent")
def step_counted(context):
    assert isinstance(context.error, exceptions.FrameError)
