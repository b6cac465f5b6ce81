"""Steps for targets that leave, across losses of control VMs."""

import random

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib
from jasperweir.components.configctl import discovery_server
from jasperweir.components.directory import records
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine
from jasperweir.helpers import codec

READY = records.Presence.READY
LEAVING = records.Presence.LEAVING


def start_site(context, count=1, born=0):
    site = context.site = site_lib.Site()
    site.run(4.0)
    site.replace("c1", 9)
    site.run(2.0)
    assert site.acked[0] == 9
    for number in range(1, count + 1):
        site.announce("c1", make_target(number, born=born))
    site.run(1.0)
    context.soft_states = {
        name: node.soft_state(site.now) for name, node in site.nodes.items()
    }


def make_target(number=1, *, sequence=1, presence=READY, born=0):
    target = site_lib.target(
        f"t{number}", f"10.0.0.{number}:80", sequence, presence
    )
    return target._replace(born=born)


def find_control(site, control):
    leader = site.leader()
    if control == "the leader":
        return leader
    return next(name for name in site.nodes if name != leader)


def leave(site, name, leaves, born=0, number=1):
    """Let a target leave by a call to a control VM; return its result's key."""
    if leaves == "deregisters":
        started = site.nodes[name].deregister(f"t{number}", site.now, born)
        site.perform(name, started.acts)
        return (name, started.number)
    target = make_target(number, sequence=2, presence=LEAVING, born=born)
    return site.announce(name, target)


def is_acknowledged(site, key):
    return isinstance(site.results.get(key), discovery_server.Acknowledged)


@given(
    "a site of 3 control VMs with a ready target, whose soft state was saved"
)
def step_site(context):
    start_site(context)


@given(
    "a site of 3 control VMs with a target started at {born:d}, whose soft "
    "state was saved"
)
def step_site_born(context, born):
    start_site(context, born=born)
    context.born = born


@given("a site of 3 control VMs with {count:d} ready targets")
def step_site_targets(context, count):
    start_site(context, count=count)
    context.count = count


@when("the target {leaves} and {control} acknowledges it")
def step_leaves(context, leaves, control):
    site = context.site
    born = getattr(context, "born", 0)
    key = leave(site, find_control(site, control), leaves, born)
    for _ in range(20):
        if is_acknowledged(site, key):
            return
        site.run(site_lib.STEP)
    raise AssertionError("not acknowledged")


def restart_all(context, wiped=""):
    """Kill all processes right now; soft state is as old as it may be."""
    site = context.site
    names, entries = list(site.nodes), list(site.discovery_clients)
    for name in [*names, *entries]:
        site.kill(name)
    site.queue.clear()
    site.saved_commits.clear()
    site.soft_states = dict(context.soft_states)
    if wiped:
        site.wipe(wiped)
    for name in names:
        site.start(name)
    for name in entries:
        site.start_entry(name)


@when("all processes are killed at once")
def step_kill_all(context):
    restart_all(context)


@when("all are killed and the leader's disk is lost")
def step_kill_all_lose(context):
    restart_all(context, wiped=context.site.leader())


def list_ready(site, born=0):
    directories = {
        name: node.discovery.directory for name, node in site.nodes.items()
    }
    directories |= {
        name: client.directory
        for name, client in site.discovery_clients.items()
    }
    return [
        name
        for name, directory in directories.items()
        for target in directory.list_ready("s", site.now)
        if not born or target.born == born
    ]


def check_not_ready(context, born=0):
    site = context.site
    site.run(3.0)
    for _ in range(100):
        site.run(0.1)
        assert not list_ready(site, born), list_ready(site, born)
    if born:
        return
    gone = [
        (name, node.discovery.directory.get("t1"))
        for name, node in site.nodes.items()
    ]
    assert all(target and target.presence > READY for _, target in gone), gone


@then("no control VM or entry lists the target as ready from 3 seconds on")
def step_not_ready(context):
    check_not_ready(context)


@then(
    "no control VM or entry lists the start at {born:d} as ready from 3 "
    "seconds on"
)
def step_start_not_ready(context, born):
    check_not_ready(context, born)


@when("two control VMs are down and the target {leaves}")
def step_leaves_alone(context, leaves):
    site = context.site
    context.name = find_control(site, "a follower")
    for name in list(site.nodes):
        if name != context.name:
            site.kill(name)
    site.run(2.0)
    context.leaves = leaves
    context.keys = [leave(site, context.name, leaves)]
    site.run(2.0)


@when("it reports so again")
def step_again(context):
    site = context.site
    target = make_target(sequence=3, presence=LEAVING)
    context.keys.append(site.announce(context.name, target))
    site.run(2.0)


@then("it gets no acknowledgement, and no entry that is in touch uses it")
def step_no_ack(context):
    site = context.site
    for key in context.keys:
        assert not is_acknowledged(site, key)
        found = site.results[key]
        assert isinstance(found, discovery_server.Unconfirmed), found
    assert not list_ready(site), list_ready(site)


@when("it starts again at {born:d}, and its start at {old:d} deregisters")
def step_restart_and_deregister(context, born, old):
    site = context.site
    site.announce("c1", make_target(sequence=1, born=born))
    site.run(0.2)
    key = leave(site, "c2", "deregisters", old)
    site.run(0.5)
    assert is_acknowledged(site, key), site.results.get(key)


@when("it starts again at {born:d}")
def step_starts_again(context, born):
    site = context.site
    site.run(2.0)
    site.announce("c1", make_target(sequence=1, born=born))
    site.run(2.0)


@then("every entry uses the start at {born:d}")
def step_uses_start(context, born):
    site = context.site
    for name, client in site.discovery_clients.items():
        ready = client.directory.list_ready("s", site.now)
        assert [target.born for target in ready] == [born], (name, ready)


@when("all of them deregister at once")
def step_all_deregister(context):
    site = context.site
    context.last_index = site.nodes[site.leader()].voter.log.last_index
    names = list(site.nodes)
    context.keys = [
        leave(site, names[number % 3], "deregisters", number=number)
        for number in range(1, context.count + 1)
    ]
    site.run(1.0)


@then(
    "all are acknowledged within 1 second by at most {most:d} entries of the "
    "log"
)
def step_all_acknowledged(context, most):
    site = context.site
    missing = [key for key in context.keys if not is_acknowledged(site, key)]
    assert not missing, missing
    last = site.nodes[site.leader()].voter.log.last_index
    assert last - context.last_index <= most, last - context.last_index


@when(
    "{count:d} departures are applied, {old:d} of them 11 minutes before the "
    "others"
)
def step_apply(context, count, old):
    machine = context.machine = state_machine.StateMachine()
    for number in range(count):
        target = make_target(number, presence=records.Presence.GONE)
        req = ops.Request(
            op_id=f"depart/1/{number}",
            who="",
            at=1000.0 if number < old else 1660.0,
            body=codec.pack_tagged(ops.Depart(targets=(target,))),
        )
        machine.apply(number + 1, codec.pack(req))
    context.count = count


@then("the newest {count:d} are held")
def step_held(context, count):
    wanted = [f"t{n}" for n in range(context.count - count, context.count)]
    assert list(context.machine.departed()) == wanted
    other = state_machine.StateMachine()
    other.load(context.machine.dump())
    assert other.departed() == context.machine.departed()


def play_history(seed):
    """Let targets leave while control VMs are killed; return site, departed."""
    rng = random.Random(seed)
    site = site_lib.Site(seed=seed)
    site.run(4.0)
    site.replace("c1", 9)
    site.run(2.0)
    for number in range(1, 9):
        site.announce("c1", make_target(number))
    site.run(1.0)
    site.drop = rng.choice((0.0, 0.05))
    keys = {}
    for number in range(1, 9):
        saved = {
            name: node.soft_state(site.now) for name, node in site.nodes.items()
        }
        name = rng.choice(list(site.nodes))
        leaves = rng.choice(("deregisters", "reports that it leaves"))
        keys[number] = leave(site, name, leaves, number=number)
        site.run(rng.choice((0.05, 0.1, 0.3, 1.0)))
        victims = rng.choice(
            (site.names, [rng.choice(site.names)], rng.sample(site.names, 2))
        )
        if len(victims) == len(site.names):
            # An entry that runs on would tell its control VMs.
            victims = [*victims, *site.discovery_clients]
        for victim in victims:
            site.kill(victim)
            if victim in saved and rng.random() < 0.7:
                site.soft_states[victim] = saved[victim]
                site.saved_commits[victim] = 0
        site.run(rng.choice((0.05, 0.5)))
        for victim in victims:
            if victim in site.names:
                site.start(victim)
            else:
                site.start_entry(victim)
        site.run(rng.choice((0.1, 2.0)))
    site.settle()
    return site, [n for n, key in keys.items() if is_acknowledged(site, key)]


@when("targets leave during {count:d} drawn histories of kills and restarts")
def step_histories(context, count):
    context.histories = [play_history(seed) for seed in range(count)]


@then("every acknowledged departure is known at all control VMs afterwards")
def step_all_known(context):
    acknowledged = 0
    for seed, (site, departed) in enumerate(context.histories):
        acknowledged += len(departed)
        for name, node in site.nodes.items():
            for number in departed:
                held = node.discovery.directory.get(f"t{number}")
                assert held is not None, (seed, name, number)
                assert held.presence > READY, (seed, name, held)
    assert acknowledged >= 2 * len(context.histories), acknowledged


@then("every entry uses the target after 3 seconds and none after 12")
def step_expires(context):
    site = context.site
    site.run(3.0)
    ready = list_ready(site)
    assert set(site.discovery_clients) <= set(ready), ready
    site.run(9.0)
    assert not list_ready(site), list_ready(site)
