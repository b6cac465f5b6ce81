"""Steps on orders that control VMs relay."""

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


def combine(context, size, relays):
    """Combine one order for all agents; up to three relays are known."""
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


@when("it sends a large order to all of them")
def step_large(context):
    combine(context, const.MIN_RELAY_BYTES, 3)


@when("it sends a {size} order to all of them with {relays:d} known relays")
def step_sized(context, size, relays):
    least = const.MIN_RELAY_BYTES
    combine(context, least if size == "large" else least - 1, relays)


@then("{direct:d} orders go to agents and {relayed:d} to relays")
def step_sent(context, direct, relayed):
    sent = [
        act for act in context.out if isinstance(act.msg, relays_lib.OrderRelay)
    ]
    assert len(sent) == relayed, len(sent)
    assert len(context.out) - len(sent) == direct, len(context.out)
    context.relayed = sent


@then("the relays forward {count:d} unchanged orders that name the leader")
def step_passed(context, count):
    given = {send.dst: send.msg for send in context.sends}
    passed = [
        send for act in context.relayed for send in relays_lib.expand(act.msg)
    ]
    assert len(passed) == count
    for send in passed:
        assert send.msg == given[send.dst]._replace(leader="c0"), send


@given("a group of 4 engines whose relays are lost")
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


@when("a control VM receives a damaged relayed order")
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


@then("a frame error is raised and nothing is sent")
def step_counted(context):
    assert isinstance(context.error, exceptions.FrameError)
