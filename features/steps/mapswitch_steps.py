"""Steps on switching expert maps."""

import random

from behave import given
from behave import then
from behave import when

from features.harness import engines
from jasperweir import core
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import group as group_lib
from jasperweir.components.mapswitch import messages
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


@then("no pass was delayed")
def step_no_wait(context):
    assert context.dep.group.longest_stall == 0.0


@then("no pass was delayed for more than {seconds:g} seconds")
def step_wait(context, seconds):
    assert context.dep.group.longest_stall <= seconds, (
        context.dep.group.longest_stall
    )


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


@when("a pass is held and the VM that sent the hold freezes for 4 seconds")
def step_sender_frozen(context):
    dep = context.dep
    until_held(dep)
    # Messages that it sent after the hold are lost.
    dep.queue = [q for q in dep.queue if q[1] != "e1"]
    dep.frozen.add("e1")
    dep.run(4.0)
    dep.frozen.discard("e1")


@when("the first rank holds a pass and the leader freezes")
def step_leader_freezes(context):
    until_held(context.dep)
    context.dep.frozen.add(context.leader)


@given("two entries that may send holds, the selected one cut off")
def step_two_senders(context):
    dep = context.dep
    dep.leaders[context.leader].set_entries(["e2", "e1"])
    dep.cut_pair(context.leader, "e1")


@then("the leader itself has sent no hold")
def step_no_direct_hold(context):
    sent = context.dep.direct_orders
    assert not any(isinstance(x, messages.Hold) for x in sent), sent


@when("a hold reaches its engine {seconds:g} seconds late")
def step_late_hold(context, seconds):
    dep = context.dep
    delayed = []

    def tap(dep, src, dst, msg):
        if not isinstance(msg, messages.OrderRequest) or delayed:
            return False
        if not isinstance(codec.unpack_tagged(msg.order), messages.Hold):
            return False
        delayed.append(msg)
        dep.queue.append((dep.now + seconds, src, dst, msg))
        return True

    dep.tap = tap
    for _ in range(600):
        dep.run(engines.STEP)
        if delayed:
            return
    raise AssertionError("no hold was sent")


@when(
    "a hold reaches its engine {seconds:g} seconds late, while the group is "
    "idle"
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
    assert group.apply_order(0, hold, group.epoch) == 200


@when("another leader takes over")
def step_take_over(context):
    context.dep.lead()


@when("the frozen leader resumes")
def step_resumes(context):
    context.dep.frozen.clear()


@then("passes go on")
def step_go_on(context):
    assert context.dep.group.passes > context.passes + 5


@when("a lost order to arm arrives just before its pass")
def step_late_arm(context):
    dep = context.dep
    group = dep.group
    until_held(dep)
    order = group.post_order
    lost = []

    def lossy(number, what, epoch):
        if number == 3 and type(what).__name__ == "Arm":
            lost.append((number, what, epoch))
            return None
        return order(number, what, epoch)

    group.post_order = lossy
    while group.ranks[0].held:
        dep.run(engines.STEP)
    # No further plan starts between the call-off and the delayed order.
    dep.frozen.add(context.leader)
    while group.passes < lost[0][1].at_pass - 1:
        dep.run(engines.STEP)
    # The group is idle from before the pass that was held.
    group.idle = True
    group.post_order = order
    dep.run(5.0)
    assert not group.ranks[0].held, "the switch was not called off"
    assert group.passes == lost[0][1].at_pass - 1, "the pass has begun"
    group.apply_order(*lost[0])
    group.idle = False
    dep.run(3.0)


@when("the group re-forms")
def step_form(context):
    context.dep.group.re_form()


@when("{count:d} random schedules of lost and delayed orders run")
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
    """Run one random schedule of lost orders, crashes, freezes and leaders."""
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


@given("a group of {ranks:d} ranks that is being armed, with unanswered orders")
def step_arming(context, ranks):
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
    # It sends unanswered orders again.
    later = context.dep.now + const.DIRECT_ORDER_DELAY_SECONDS
    acts = group.tick(later)
    context.numbers = [
        act.msg.number for act in acts if isinstance(act, core.Send)
    ]
    assert context.numbers


@when("its leader freezes while another one takes over")
def step_frozen_leader(context):
    context.dep.frozen = {context.leader}
    context.dep.lead()
    context.dep.run(2.0)


@when("it reads a queued answer before its timers run")
def step_read_queued(context):
    done = messages.OrderResult(context.numbers[0], 1, True, None)
    context.sent = context.dep.leaders[context.leader].receive(
        "a0", done, {"s": engines.ENGINE}, context.dep.now
    )


@then("it has sent no order")
def step_no_order(context):
    assert context.sent == [], context.sent
