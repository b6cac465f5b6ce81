"""Steps on orders to evacuate data centres."""

import itertools
import os
import pathlib
import random
import sys
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.harness import evacuations
from features.harness import site as site_lib
from features.steps import final_loss_steps
from jasperweir import result_codes
from jasperweir.components.configctl import control_calls as calls_lib
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import evacuations as evacuations_lib
from jasperweir.components.configctl import messages
from jasperweir.components.directory import records
from jasperweir.components.registry import const as registry_const
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine as machine_lib
from jasperweir.daemons import control_calls as daemon_calls
from jasperweir.daemons import evacuation_page
from jasperweir.helpers import codec
from jasperweir.helpers import http_message

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The adapter is not part of an installed package.
sys.path.append(str(ROOT / "platform"))

from adapter import control_calls as dialect_lib  # noqa: E402
from adapter import settings  # noqa: E402

Code = result_codes.Code
PLACE = evacuations.PLACE


def entry_places(site):
    return {name: site.evacuated[name] for name in site.discovery_clients}


def follower(site):
    return next(n for n in site.names if n in site.nodes and n != site.leader())


def is_acknowledged(site, call):
    return isinstance(site.results.get(call), evacuations_lib.Evacuated)


@when("the evacuation is ordered at each control VM")
def step_order_each(context):
    order_each(context.site, evacuated=True)


@when("the withdrawal is ordered at each control VM")
def step_withdraw_each(context):
    order_each(context.site, evacuated=False)


def order_each(site, evacuated):
    calls = [evacuations.send(site, name, evacuated) for name in site.names]
    site.run(0.8)
    for call in calls:
        assert is_acknowledged(site, call), site.results.get(call)


@then("every entry has the data centre evacuated within {seconds:g} s")
def step_all_evacuated(context, seconds):
    context.site.run(seconds)
    found = entry_places(context.site)
    assert set(found.values()) == {(PLACE,)}, found


@then("no entry has the data centre evacuated within {seconds:g} s")
def step_none_evacuated(context, seconds):
    context.site.run(seconds)
    found = entry_places(context.site)
    assert set(found.values()) == {()}, found


@when("the leader acknowledges an evacuation")
def step_leader_acknowledges(context):
    site = context.site
    evacuations.carry_out(site, True, [site.leader()])


@when("the leader is killed as it replies to the order sent to a follower")
def step_kill_leader(context):
    site = context.site
    leader = site.leader()
    killed = []

    def tap(scene, src, dst, msg):
        if src == leader and isinstance(msg, messages.EvacuateReply):
            killed.append(dst)
            return True
        # What the leader had sent after its reply is lost as well.
        return src == leader and bool(killed)

    site.tap = tap
    name = follower(site)
    context.order = evacuations.Order(site, True, [name, *site.names])
    context.order.send()
    while not killed:
        site.run(site_lib.STEP)
    site.kill(leader)
    site.tap = None
    evacuations.wait_for(site, [context.order])


@then("the operator's resent order is acknowledged")
def step_resent_acknowledged(context):
    assert context.order.acked_at


@then("the order can be withdrawn")
def step_withdrawn(context):
    evacuations.carry_out(context.site, False)
    context.site.run(0.5)
    assert set(entry_places(context.site).values()) == {()}


@when('the reply to the order at "{name}" is lost on its way to the operator')
def step_lost_reply(context, name):
    site = context.site
    call = evacuations.send(site, name, True)
    site.run(0.8)
    assert is_acknowledged(site, call)


@when('the same order is sent to "{name}"')
def step_same_order(context, name):
    context.order = evacuations.carry_out(context.site, True, [name])
    # An operator that resends once must have its reply within a second.
    assert context.order.acked_at


@given("a follower that misses an evacuation")
def step_missing_follower(context):
    site = context.site
    context.name = follower(site)
    site.frozen.add(context.name)
    others = [n for n in site.names if n != context.name]
    evacuations.carry_out(site, True, others)
    assert not site.nodes[context.name].machine.evacuations().places
    site.frozen.clear()


@when("the withdrawal is ordered at that follower")
def step_withdraw_there(context):
    site = context.site
    context.call = evacuations.send(site, context.name, False)
    site.run(0.8)


@then("it is acknowledged")
def step_acknowledged(context):
    site = context.site
    assert is_acknowledged(site, context.call), site.results.get(context.call)


@when('an evacuation is sent to "{name}"')
def step_send(context, name):
    context.call = evacuations.send(context.site, name, True)
    context.site.run(1.5)


@then("the operator is told to retry")
def step_told_to_retry(context):
    got = context.site.results.get(context.call)
    assert isinstance(got, discovery_server.Unconfirmed), got


@then("the three accept the evacuation 5 s later")
def step_accept_later(context):
    site = context.site
    site.run(5.0)
    evacuations.carry_out(site, True, list(site.nodes), 1.0)


@then(
    "an acknowledged evacuation and withdrawal outlast the loss of "
    "{lost:d} of {controls:d} disks"
)
def step_outlast(context, lost, controls):
    names = [f"c{i}" for i in range(1, controls + 1)]
    not_survived = [
        (wiped, evacuated)
        for wiped in itertools.combinations(names, lost)
        for evacuated in (True, False)
        if not outlasts(controls, 2 * lost + 1, wiped, evacuated)
    ]
    assert not not_survived, not_survived


def outlasts(controls, wanted, wiped, evacuated):
    """Return whether an order is in force after the loss of some disks."""
    site = site_lib.Site(controls=controls, entries=3, wanted=wanted)
    site.run(5.0)
    final_loss_steps.acknowledge(site, 1)
    site.run(2.0)
    evacuations.carry_out(site, True)
    if not evacuated:
        evacuations.carry_out(site, False)
    final_loss_steps.lose_power(site, wiped)
    site.run(final_loss_steps.RECOVERY_SECONDS)
    expected = (PLACE,) if evacuated else ()
    found = [
        *entry_places(site).values(),
        *evacuations.committed(site).values(),
    ]
    return all(places == expected for places in found)


@given("an acknowledged evacuation")
def step_evacuation(context):
    evacuations.carry_out(context.site, True)
    context.site.run(0.5)


@when("all control VMs and entries lose power and start again")
def step_power_loss(context):
    site = context.site
    context.entries = list(site.discovery_clients)
    for name in [*site.names, *context.entries]:
        site.kill(name)
    site.queue.clear()
    for name in site.names:
        site.start(name)
    for name in context.entries:
        site.start_entry(name)


@then("it knows the evacuation when it opens")
def step_knows_when_open(context):
    opens_with_list(context.site, ["e9"])


@then("each entry knows the evacuation when it opens")
def step_each_knows_when_open(context):
    opens_with_list(context.site, context.entries)


def opens_with_list(site, names):
    closed = set(names)
    for _ in range(round(10 / site_lib.STEP)):
        site.run(site_lib.STEP)
        for name in sorted(closed):
            if site.discovery_clients[name].node.open:
                assert site.evacuated[name] == (PLACE,), name
                closed.discard(name)
    assert not closed, closed


@then(
    "orders and withdrawals at once leave one state on "
    "{count:d} drawn schedules"
)
def step_racing(context, count):
    for seed in range(count):
        site = site_lib.Site(seed=seed)
        site.run(4.0)
        site.replace("c1", 1)
        site.run(1.0)
        rng = random.Random(seed)
        site.drop = rng.choice((0.0, 0.2))
        orders = [
            evacuations.Order(
                site, evacuated, rng.sample(site.names, len(site.names))
            )
            for evacuated in (True, False, rng.random() < 0.5)
        ]
        for order in orders:
            order.send()
            site.run(rng.choice((0.0, site_lib.STEP)))
        evacuations.wait_for(site, orders)
        site.settle(3.0)
        found = {
            *entry_places(site).values(),
            *evacuations.committed(site).values(),
        }
        assert len(found) == 1, (seed, found)


@when("a copy of the order is delayed on its way to the leader")
def step_delayed_copy(context):
    site = context.site
    context.copies = []

    def tap(scene, src, dst, msg):
        if isinstance(msg, messages.EvacuateRequest):
            context.copies.append((src, dst, msg))
            return True
        return False

    site.tap = tap
    call = evacuations.send(site, follower(site), True)
    site.run(1.0)
    site.tap = None
    assert context.copies
    assert isinstance(site.results.get(call), discovery_server.Unconfirmed)


@when("the order is resent and then withdrawn")
def step_resent_and_withdrawn(context):
    site = context.site
    names = [n for n in site.names if n not in site.frozen]
    evacuations.carry_out(site, True, names)
    site.run(0.3)
    evacuations.carry_out(site, False, names)


@when("the operator withdraws it without an acknowledgement")
def step_withdraw_unacknowledged(context):
    evacuations.carry_out(context.site, False)


@when("the delayed copy arrives")
def step_copy_arrives(context):
    context.site.queue.extend(context.copies)


@when("the control VM of a call freezes before the leader has the order")
def step_frozen_control(context):
    site = context.site
    context.frozen = follower(site)
    site.tap = lambda scene, src, dst, msg: isinstance(
        msg, messages.EvacuateRequest
    )
    evacuations.send(site, context.frozen, True)
    site.tap = None
    site.frozen.add(context.frozen)
    # The operator resends when its own timeout of a second has passed.
    site.run(1.0)


@when("the frozen control VM continues")
def step_continues(context):
    context.site.frozen.clear()


@when('"{name}" is cut off from all control VMs for {seconds:g} s')
def step_cut_entry(context, name, seconds):
    site = context.site
    site.cut = {(name, control) for control in site.names}
    site.run(seconds)


@when("the evacuation is withdrawn and an entry gets the earlier list again")
def step_earlier_list(context):
    site = context.site
    earlier = site.nodes["c1"].machine.evacuations()
    evacuations.carry_out(site, False)
    site.run(0.5)
    notice = messages.EvacuationNotice(*earlier)
    site.queue.append(("c1", "e1", notice))
    # Before a heartbeat can correct what the notice has changed.
    site.deliver()


@then("the last acknowledged order is in force after {count:d} drawn schedules")
def step_drawn(context, count):
    for seed in range(count):
        run_schedule(seed)


def run_schedule(seed):
    """Send orders one after the other while faults occur at random."""
    site = site_lib.Site(controls=5, entries=3, seed=seed, wanted=5)
    site.run(6.0)
    site.replace("c1", 1)
    site.run(1.0)
    rng = random.Random(seed)
    site.drop = rng.choice((0.0, 0.1, 0.3))
    evacuated = False
    for _ in range(4):
        evacuated = rng.random() < 0.5
        order = evacuations.Order(
            site, evacuated, rng.sample(site.names, len(site.names))
        )
        order.send()
        draw_fault(site, rng)
        for _ in range(round(rng.uniform(0.1, 3.0) / site_lib.STEP)):
            site.run(site_lib.STEP)
            order.advance()
        heal(site)
        evacuations.wait_for(site, [order])
    site.settle(5.0)
    expected = {(PLACE,)} if evacuated else {()}
    found = {
        *entry_places(site).values(),
        *evacuations.committed(site).values(),
    }
    assert found == expected, (seed, evacuated, found)


def draw_fault(site, rng):
    victims = rng.sample(site.names, 2)
    match rng.randrange(5):
        case 0:
            site.kill(victims[0])
        case 1:
            site.frozen.update(victims)
        case 2:
            site.cut = {
                (a, b) for a in victims for b in site.names if b not in victims
            }
        case 3:
            site.wipe(victims[0])


def heal(site):
    site.cut.clear()
    site.frozen.clear()
    for name in site.names:
        if name not in site.nodes:
            site.start(name)


@then("a state without evacuations reads as none, and one with them as before")
def step_snapshot(context):
    old = machine_lib.StateMachine()
    old.apply(1, request(ops.Replace(version=3, data=b"x"), "r"))
    restored = machine_lib.StateMachine()
    restored.load(old.dump())
    assert restored.evacuations() == ops.EvacuationList()
    assert restored.evacuation(PLACE) == ops.Evacuation()
    for index, expected in ((2, 0), (3, 1)):
        op = ops.Evacuate(PLACE, index == 2, expected)
        answer = restored.apply(index, request(op, f"e{index}"))
        assert answer.code == Code.ACCEPTED, answer
    restored.apply(4, request(ops.Evacuate("z3", True, 0), "e4"))
    again = machine_lib.StateMachine()
    again.load(restored.dump())
    assert again.evacuations() == ops.EvacuationList(4, ("z3",))
    assert again.evacuation(PLACE).orders == 2
    assert again.declared().version == 3


def request(op, op_id):
    req = ops.Request(op_id=op_id, who="c1", at=0.0, body=codec.pack_tagged(op))
    return codec.pack(req)


@then("the state machine keeps at most 256 data centres")
def step_bounded(context):
    machine = machine_lib.StateMachine()
    most = registry_const.MAX_EVACUATION_RECORDS
    for i in range(most + 10):
        machine.apply(i + 1, request(ops.Evacuate(f"z{i}", True, 0), f"e{i}"))
    assert most == 256
    assert len(machine.evacuations().places) == most
    # A data centre that has a record can still be withdrawn.
    machine.apply(most + 20, request(ops.Evacuate("z0", False, 1), "w"))
    assert "z0" not in machine.evacuations().places


@when('an operator sends "{method} {path}"')
def step_operator_sends(context, method, path):
    context.parsed = dialect_lib.ControlDialect().call(http(method, path))


def http(method, path):
    return http_message.Request(
        method=method.encode(),
        target=path.encode(),
        headers=[],
        body=b"",
        keep_alive=True,
    )


@then('the call is an evacuation of "{place}"')
def step_call_evacuation(context, place):
    assert context.parsed == calls_lib.Evacuate(place, True), context.parsed


@then('the call is a withdrawal of "{place}"')
def step_call_withdrawal(context, place):
    assert context.parsed == calls_lib.Evacuate(place, False), context.parsed


@then('the call is refused with "{code}"')
def step_call_refused(context, code):
    assert isinstance(context.parsed, calls_lib.Invalid), context.parsed
    assert context.parsed.code.name.lower() == code


@given("a control VM with {settings} and {heard}")
def step_control(context, settings, heard):
    configured = ("z1",) if settings == "the zones z1" else ()
    context.site = site_lib.Site(controls=1, entries=0, bootstrap=False)
    context.site.nodes["c1"].discovery.directory.tick(0.0)
    context.calls = daemon_calls.ControlCalls(
        dialect=dialect_lib.ControlDialect(), data_centres=configured
    )
    match heard:
        case "a target in z2":
            target = site_lib.target()._replace(place="z2")
            context.site.announce("c1", target)
        case "an entry in z3":
            node = records.Node("e1", "entry", "z3", "e1:80", False, 1, 0)
            heartbeat = records.NodeHeartbeat(node, 0, 0, 0, 0)
            context.site.nodes["c1"].receive("e1", heartbeat, 0.0)


class Operator:
    """Records the response to an operator's call."""

    def __init__(self, request):
        self.request = request
        self.status = 0
        self.body = b""

    def reply(self, status, headers, body):
        self.status = status
        self.body = body


@when('an operator orders the evacuation of "{place}"')
def step_operator_orders(context, place):
    site = context.site
    context.operator = Operator(http("POST", f"/Drain.Create/{place}"))
    node = site.nodes["c1"]
    acts = context.calls.handle(context.operator, node, site.now)
    for _ in range(30):
        for act in acts:
            if isinstance(act, discovery_server.Unconfirmed):
                context.calls.send_result(act)
        site.now += site_lib.STEP
        acts = node.tick(site.now)


@then('the status is {status:d} and the code "{code}"')
def step_status(context, status, code):
    found = (context.operator.status, context.operator.body)
    assert context.operator.status == status, found
    assert f'"{code.upper()}"'.encode() in context.operator.body, found


@when('the page of a control VM gets "{method} {target}"')
def step_page_gets(context, method, target):
    context.orders = []
    page = evacuation_page.EvacuationPage(
        current=lambda: ops.EvacuationList(7, (PLACE,)),
        start=lambda answering, call: context.orders.append(call),
    )
    context.operator = Operator(http(method, target))
    page.handle(context.operator)


@then('its answer is "{answer}"')
def step_page_answers(context, answer):
    found = f"{context.operator.status} {context.operator.body.decode()}"
    for order in context.orders:
        found = f"order {order.place} {order.evacuated}"
    if answer.isdecimal():
        assert found.startswith(answer) and not context.orders, found
    else:
        assert found == answer, found


@then('settings with {table} list the data centres "{places}"')
@then('settings with {table} list the data centres ""')
def step_settings(context, table, places=""):
    path = context.folder / "settings.toml"
    path.write_text(
        'nodeName = "vm"\nzone = "z1"\nip = "127.0.0.1"\n'
        f"internalPorts = [1, 2]\n{table}\n"
    )
    variables = {settings.PATH_VARIABLE: str(path)}
    with mock.patch.dict(os.environ, variables):
        found = settings.read("control").data_centres
    assert ",".join(found) == places, found
