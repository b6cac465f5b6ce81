"""Steps on orders that control VMs pass on."""

from behave import given
from behave import then
from behave import when

from features.harness import engines
from jasperweir import core
from jasperweir import exceptions
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import relays as relays_lib


@given(
    "a leader with {own:d} agents in its data centre and {near:d} in each of "
    "3 others"
)
def step_places(context, own, near):
    context.relays = relays_lib.OrderRelays(name="c0")
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
            msg=messages.OrderRequest(number, 7, 2, f"engine of {name}", order),
        )
        for name, number in context.sends
    ]
    context.out = context.relays.combine(context.sends)


@when("it has a large order for all of them")
def step_large(context):
    bundle(context, const.MIN_RELAY_BYTES, 3)


@when(
    "it has a {size} order for all of them, and {relays:d} control VMs are "
    "heard"
)
def step_sized(context, size, relays):
    least = const.MIN_RELAY_BYTES
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
    context.least = (const.MIN_RELAY_BYTES, const.MIN_RELAY_AGENTS)
    const.MIN_RELAY_BYTES, const.MIN_RELAY_AGENTS = 0, 1
    context.add_cleanup(restore_least, context.least)
    context.dep = engines.Deployment()
    context.dep.relays = {"p0": "r0", "p1": "r1"}
    context.dep.lost_relays = {"r0", "r1"}
    context.leader = context.dep.lead()


def restore_least(least):
    const.MIN_RELAY_BYTES, const.MIN_RELAY_AGENTS = least


@when("a control VM gets a relayed order whose content is damaged")
def step_damaged(context):
    damaged = relays_lib.OrderRelay(
        leader="c0",
        term=1,
        epoch=1,
        order=b"no order",
        asks=(relays_lib.RelayedOrder("a0", 1, "engine"),),
    )
    context.error = None
    try:
        context.out = relays_lib.expand(damaged)
    except exceptions.FrameError as exc:
        context.error = exc


@then("it is counted as an error and nothing is sent")
def step_counted(context):
    assert isinstance(context.error, exceptions.FrameError)
