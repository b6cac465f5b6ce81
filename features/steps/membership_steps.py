"""Steps for membership."""

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
def start_nodes(context, entries, agents):
    context.cluster = nodes.NodeCluster(entries, agents)


@when("the nodes run for {seconds:g} seconds")
def run_nodes(context, seconds):
    context.cluster.run(seconds)


@when('"{one}" and "{two}" die')
def kill_two_nodes(context, one, two):
    context.cluster.down |= {one, two}


@when('"{name}" dies')
def kill_node(context, name):
    context.cluster.down.add(name)


@when('"{name}" starts again')
def start_node(context, name):
    context.cluster.start(name)


@when('"{name}" restarts with a lower incarnation')
def restart_with_lower_incarnation(context, name):
    context.cluster.inc[name] = 7
    context.cluster.start(name, inc=8)
    context.cluster.run(3)
    context.cluster.start(name, inc=2)


@then('"{name}" has taken a higher incarnation')
def has_higher_incarnation(context, name):
    assert context.cluster.nodes[name].member.inc > 8


@when('"{name}" announces that it leaves')
def announce_leaving(context, name):
    cluster = context.cluster
    cluster.post(name, cluster.nodes[name].announce_leaving())


@when('"{name}" is frozen for {seconds:d} seconds')
def freeze_node(context, name, seconds):
    context.cluster.frozen.add(name)
    context.cluster.run(seconds)
    context.cluster.frozen.discard(name)


@when("the nodes are partitioned into halves for {seconds:d} seconds")
def partition_nodes(context, seconds):
    cluster = context.cluster
    cluster.apart = set(cluster.entries[::2]) | {
        n for n in cluster.nodes if n.startswith("a") and int(n[1:]) % 2
    }
    cluster.run(seconds)


@then('each half sees the other as "{status}"')
def halves_see_status(context, status):
    cluster = context.cluster
    one_half = [e for e in cluster.entries if e in cluster.apart]
    for name in set(cluster.nodes) - cluster.apart:
        assert cluster.seen(name, one_half) == {Status[status]}, name


@when("the partition heals and {seconds:d} seconds pass")
def heal_partition(context, seconds):
    cluster = context.cluster
    cluster.apart = set()
    before = cluster.sent
    cluster.run(seconds)
    context.healing_messages = cluster.sent - before
    context.heal_seconds = seconds


@then("fewer than {count:d} messages per node were sent after the partition")
def check_message_count(context, count):
    cluster = context.cluster
    per_node = context.healing_messages / len(cluster.nodes)
    assert per_node < count, per_node


@when("all agents restart")
def restart_all_agents(context):
    cluster = context.cluster
    for name in [n for n in cluster.nodes if n.startswith("a")]:
        cluster.start(name)


@then('every entry sees every node as "{status}"')
def all_nodes_have_status(context, status):
    cluster = context.cluster
    for name in cluster.nodes:
        assert cluster.seen(name) == {Status[status]}, (
            name,
            cluster.seen(name),
        )


@then('every entry sees "{name}" as "{status}"')
def node_has_status(context, name, status):
    seen = context.cluster.seen(name)
    assert seen == {Status[status]}, seen


@then('no node but "{name}" had to refute a failure')
def no_refutation(context, name):
    roster = context.cluster.nodes["e1"].roster
    refuting = [m.name for m in roster.members() if m.seq and m.name != name]
    assert not refuting, refuting


@given("an entry that has just started and knows two other entries")
def start_fresh_entry(context):
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
def no_address_answer(context):
    answer = context.entry.addresses(service="", place="", salt="s")
    assert answer is None, answer


@then(
    "with a bundle whose answers live for {seconds:g} s it lists both "
    "for {kept:g} s"
)
def address_answer_with_bundle(context, seconds, kept):
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
