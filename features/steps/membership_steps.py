"""Steps on membership."""

import random

from behave import given
from behave import then
from behave import when

from features.harness import nodes
from jasperweir.components.bundle import contents
from jasperweir.components.entry import node as node_lib
from jasperweir.components.membership import messages

Status = messages.Status


@given("{entries:d} entries and {agents:d} agents")
def start(context, entries, agents):
    context.nodes = nodes.Nodes(entries, agents)


@when("{seconds:g} seconds pass among the nodes")
def passes(context, seconds):
    context.nodes.run(seconds)


@when('"{one}" and "{two}" die')
def two_die(context, one, two):
    context.nodes.down |= {one, two}


@when('"{name}" dies')
def dies(context, name):
    context.nodes.down.add(name)


@when('"{name}" starts again')
def starts(context, name):
    context.nodes.start(name)


@when('"{name}" restarts with a lower incarnation')
def lower(context, name):
    context.nodes.inc[name] = 7
    context.nodes.start(name, inc=8)
    context.nodes.run(3)
    context.nodes.start(name, inc=2)


@then('"{name}" has taken a higher incarnation')
def higher(context, name):
    assert context.nodes.nodes[name].member.inc > 8


@when('"{name}" announces that it leaves')
def leaves(context, name):
    scene = context.nodes
    scene.post(name, scene.nodes[name].leave())


@when('"{name}" is frozen for {seconds:d} seconds')
def frozen(context, name, seconds):
    context.nodes.frozen.add(name)
    context.nodes.run(seconds)
    context.nodes.frozen.discard(name)


@when("half of the nodes are apart for {seconds:d} seconds")
def apart(context, seconds):
    scene = context.nodes
    scene.apart = set(scene.entries[::2]) | {
        n for n in scene.nodes if n.startswith("a") and int(n[1:]) % 2
    }
    scene.run(seconds)


@then('each half sees the other as "{status}"')
def halves(context, status):
    scene = context.nodes
    here = [e for e in scene.entries if e in scene.apart]
    for name in set(scene.nodes) - scene.apart:
        assert scene.seen(name, here) == {Status[status]}, name


@when("the halves meet again for {seconds:d} seconds")
def meet(context, seconds):
    scene = context.nodes
    scene.apart = set()
    before = scene.sent
    scene.run(seconds)
    context.healing = scene.sent - before
    context.heal_seconds = seconds


@then("the healing took fewer than {count:d} messages a node")
def no_storm(context, count):
    scene = context.nodes
    each = context.healing / len(scene.nodes)
    assert each < count, each


@when("all agents restart")
def mass_restart(context):
    scene = context.nodes
    for name in [n for n in scene.nodes if n.startswith("a")]:
        scene.start(name)


@then('every entry sees every node as "{status}"')
def all_seen(context, status):
    scene = context.nodes
    for name in scene.nodes:
        assert scene.seen(name) == {Status[status]}, (name, scene.seen(name))


@then('every entry sees "{name}" as "{status}"')
def one_seen(context, name, status):
    seen = context.nodes.seen(name)
    assert seen == {Status[status]}, seen


@then('nobody but "{name}" had to refute anything')
def no_accusation(context, name):
    roster = context.nodes.nodes["e1"].roster
    bad = [m.name for m in roster.members() if m.seq and m.name != name]
    assert not bad, bad


@given("an entry that has just started and knows two others")
def fresh_entry(context):
    identity = node_lib.Identity(
        name="e1", place="p", inc=1, addr="e1:1", http="e1:2"
    )
    context.entry = node_lib.Entry(
        identity=identity,
        seeds=(),
        voters=(),
        max_streams=8,
        rng=random.Random(1),
    )
    for name in ("e2", "e3"):
        member = messages.Member(
            name, "entry", "p", 1, 0, Status.ALIVE, f"{name}:1", f"{name}:2"
        )
        context.entry.gossip.roster.merge(member, 0.0)


@then("it gives no address answer")
def no_answer(context):
    answer = context.entry.addresses(service="", place="", salt="s")
    assert answer is None, answer


@then(
    "with a bundle whose answers are kept for {seconds:g} s it names the two "
    "for {kept:g} s"
)
def some_answer(context, seconds, kept):
    content = contents.Contents.from_flat(
        {
            "bundle\x1fname": "b",
            "callers\x1faddress_ttl_s": f"{seconds:g}",
            "place p\x1fregion": "r",
            "service m\x1fkind": "model",
        }
    )
    context.entry.replica.bundle = content.bundle
    answer = context.entry.addresses(service="", place="", salt="s")
    assert answer.ttl_s == kept, answer
    assert {a.name for a in answer.addresses} == {"e2", "e3"}, answer
