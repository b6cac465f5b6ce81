"""Steps on configurations, seats and the directory of a site."""

import random

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import leader_requests as requests_lib
from jasperweir.components.configctl import messages as config_messages
from jasperweir.components.quorum import progress


@given("a site with 3 control VMs and 2 entries")
def step_site(context):
    context.site = site_lib.Site()
    context.site.run(4.0)
    context.requests = []


@given("a site with 3 control VMs of which only the first runs")
def step_first_only(context):
    context.site = site_lib.Site()
    context.site.kill("c2")
    context.site.kill("c3")
    context.site.run(3.0)
    context.requests = []


@given("a site with committed version {version:d}")
def step_committed(context, version):
    step_site(context)
    context.requests = [context.site.replace("c1", version)]
    context.site.run(1.5)
    assert context.site.acked[0] == version


@when("version {version:d} is sent to each control VM")
def step_send_each(context, version):
    site = context.site
    context.requests = [site.replace(name, version) for name in site.names]
    site.run(1.5)


@when("version {version:d} is sent to the first control VM")
def step_send_first(context, version):
    context.requests = [context.site.replace("c1", version)]
    context.site.run(1.5)


@when('version {version:d} is sent to "{name}"')
def step_send(context, version, name):
    context.requests.append(context.site.replace(name, version))
    context.site.run(1.5)


@when('other content is sent as version {version:d} to "{name}"')
def step_send_other(context, version, name):
    context.site.replace(name, version, b"another content")
    context.site.run(1.5)


@then("every operator gets the reply that version {version:d} is committed")
def step_all_acknowledged(context, version):
    for request in context.requests:
        got = context.site.results.get(request)
        assert isinstance(got, requests_lib.Replaced), got
        assert got.version == version, got


@then("every entry applies version {version:d}")
def step_entries_apply(context, version):
    site = context.site
    assert all(site.versions[n] == version for n in site.discovery_clients)


@then("every operator is told to retry")
def step_all_unconfirmed(context):
    for request in context.requests:
        got = context.site.results.get(request)
        assert isinstance(got, discovery_server.Unconfirmed), got


@then("a read at every control VM returns the first content of version 9")
def step_read_all(context):
    site = context.site
    for declared in read_from_all(site):
        assert declared.data == site.contents[9]


def read_from_all(site):
    """Read the configuration at every control VM and return the results."""
    requests = [site.describe(name) for name in site.nodes]
    site.run(1.0)
    answers = [site.results.get(request) for request in requests]
    for answer in answers:
        assert isinstance(answer, requests_lib.Described), answer
    return [answer.declared for answer in answers]


@when('"{name}" is cut off from the other control VMs')
def step_cut(context, name):
    site = context.site
    site.cut = {(name, other) for other in site.names if other != name}


@when("{seconds:g} seconds pass at the site")
def step_pass(context, seconds):
    context.site.run(seconds)


@when('"{name}" is read')
def step_read(context, name):
    context.read = context.site.describe(name)
    context.site.run(1.5)


@then("the reader is told to retry")
def step_read_unconfirmed(context):
    got = context.site.results.get(context.read)
    assert isinstance(got, discovery_server.Unconfirmed), got


@when("the leader freezes")
def step_freeze(context):
    context.old = context.site.leader()
    context.site.frozen.add(context.old)


@when("another leader commits version {version:d}")
def step_commit_others(context, version):
    site = context.site
    name = site.leader()
    assert name and name != context.old
    site.replace(name, version)
    site.run(1.5)
    assert site.acked[0] == version


@when("the frozen control VM resumes and is read at once")
def step_thaw(context):
    site = context.site
    site.frozen.discard(context.old)
    site.describe(context.old)
    site.run(1.5)


@then("no read returned a version below {version:d}")
def step_no_old(context, version):
    described = [
        r
        for r in context.site.results.values()
        if isinstance(r, requests_lib.Described)
    ]
    assert all(r.declared.version >= version for r in described)


@when("all control VMs restart")
def step_restart_all(context):
    site = context.site
    for name in site.names:
        site.kill(name)
    for name in site.names:
        site.start(name)


@when("all control VMs restart without their soft state")
def step_restart_blank(context):
    site = context.site
    for name in site.names:
        site.kill(name)
        site.soft_states.pop(name, None)
    for name in site.names:
        site.start(name)


@when("a new entry starts")
def step_new_entry(context):
    context.site.start_entry("e9")


@then("the new entry applies version {version:d}")
def step_new_acts(context, version):
    assert context.site.versions["e9"] == version


@when('"{name}" loses its disk and starts again')
def step_wipe(context, name):
    context.site.wipe(name)
    context.site.run(0.5)
    context.site.start(name)


@then(
    "{voting:d} of {count:d} control VMs are voters and one is a learner, all"
    " with their current disks"
)
def step_odd_seats(context, voting, count):
    site = context.site
    seats = site.nodes[site.leader()].voter.seats.seats
    found = {seat.name: seat.disk for seat in seats}
    assert found == {n: site.nodes[n].voter.disk for n in site.names}, found
    assert len(found) == count, found
    assert sum(seat.voting for seat in seats) == voting, seats


@then("{count:d} control VMs hold voting seats with their current disks")
def step_seats(context, count):
    site = context.site
    leader = site.nodes[site.leader()]
    found = {s.name: s.disk for s in progress.voting_seats(leader.voter.seats)}
    assert found == {n: site.nodes[n].voter.disk for n in site.names}, found
    assert len(found) == count, found


@when('"{old}" is lost and "{new}" starts with an empty disk')
def step_replace(context, old, new):
    site = context.site
    site.kill(old)
    site.run(1.0)
    site.start(new, seeds=["c1", "c2"])


@then('the voting seats are "{names}"')
def step_voting(context, names):
    site = context.site
    leader = site.nodes[site.leader()]
    found = [s.name for s in progress.voting_seats(leader.voter.seats)]
    assert sorted(found) == names.split(","), found


@given("a target that every control VM and entry knows")
def step_target(context):
    site = context.site
    site.announce("c1", site_lib.target(sequence=5))
    site.run(1.0)
    for node in site.nodes.values():
        assert node.discovery.directory.list_ready("s", site.now)
    for follower in site.discovery_clients.values():
        assert follower.directory.list_ready("s", site.now)


@when('the target reports to "{name}" that it is draining')
def step_leaves(context, name):
    leaving = site_lib.target(sequence=7, presence=1)
    context.ack = context.site.announce(name, leaving)


@then("the target gets its acknowledgement")
def step_acked(context):
    got = context.site.results.get(context.ack)
    assert isinstance(got, discovery_server.Acknowledged), got


@then("the target gets no acknowledgement")
def step_not_acked(context):
    got = context.site.results.get(context.ack)
    assert isinstance(got, discovery_server.Unconfirmed), got


@then("no entry routes requests to the target")
def step_target_excluded(context):
    site = context.site
    for follower in site.discovery_clients.values():
        assert not follower.directory.list_ready("s", site.now)


@when('an older heartbeat of the target reaches "{name}"')
def step_late_beat(context, name):
    context.site.run(0.2)
    context.site.announce(name, site_lib.target(sequence=6))


@then("a new entry does not route requests to the target either")
def step_target_excluded_new_entry(context):
    site = context.site
    site.start_entry("e9")
    site.run(1.5)
    assert not site.discovery_clients["e9"].directory.list_ready("s", site.now)


@then("every entry can confirm its configuration")
def step_certain(context):
    site = context.site
    assert all(
        f.describe_version(site.now).is_newest
        for f in site.discovery_clients.values()
    )


@when("every entry is cut off from all control VMs")
def step_cut_entries(context):
    site = context.site
    site.cut = {(e, c) for e in site.discovery_clients for c in site.names}


@then("no entry can confirm its configuration")
def step_uncertain(context):
    site = context.site
    assert not any(
        f.describe_version(site.now).is_newest
        for f in site.discovery_clients.values()
    )


@when("{count:d} random schedules of faults run on a site")
def step_random(context, count):
    context.failures = []
    for seed in range(count):
        try:
            run_schedule(seed)
        except AssertionError as exc:
            context.failures.append((seed, str(exc)))


@then("no schedule broke a guarantee")
def step_no_failures(context):
    assert not context.failures, context.failures


def run_schedule(seed):
    """Run one random schedule of changes, reads and faults."""
    rng = random.Random(seed)
    site = site_lib.Site(seed=seed)
    site.run(4.0)
    version = 1
    for _ in range(25):
        running = [n for n in site.nodes if n not in site.frozen]
        match rng.randrange(9):
            case 0 | 1 | 2:
                version += rng.randint(1, 3)
                for name in rng.sample(running, min(2, len(running))):
                    site.replace(name, version)
            case 3 if running:
                site.describe(rng.choice(running))
            case 4 if len(site.nodes) == 3:
                site.kill(rng.choice(list(site.nodes)))
            case 5:
                for name in site.names:
                    if name not in site.nodes:
                        site.start(name)
            case 6:
                one = rng.choice(site.names)
                site.cut = {(one, n) for n in site.names if n != one}
            case 7:
                site.cut.clear()
                site.frozen.clear()
                site.drop = rng.choice((0.0, 0.2))
            case 8 if len(site.nodes) == 3 and not site.frozen:
                site.frozen.add(rng.choice(site.names))
        site.run(rng.uniform(0.05, 1.5))
    site.settle()
    min_version = site.acked[0]
    requests = [site.describe(name) for name in site.names]
    site.run(1.5)
    for request in requests:
        got = site.results.get(request)
        if all(n.machine.declared().version == 0 for n in site.nodes.values()):
            # No version was committed, so there is nothing to read.
            assert min_version == 0 and isinstance(
                got, discovery_server.Unconfirmed
            ), got
            return
        assert isinstance(got, requests_lib.Described), f"no read: {got}"
        assert got.declared.version >= min_version
    newest = got.declared.version
    behind = [n for n in site.discovery_clients if site.versions[n] != newest]
    assert not behind, f"{behind} behind {newest}"


@given("a site with 6 control VMs that tolerates the loss of two")
def step_six(context):
    context.site = site_lib.Site(controls=6, wanted=5)
    context.site.run(4.0)
    context.requests = []


@given("a site with 6 control VMs of which only three run")
def step_three_of_six(context):
    context.site = site_lib.Site(controls=6, wanted=5)
    for name in ("c4", "c5", "c6"):
        context.site.kill(name)
    context.site.run(1.0)
    context.requests = []


@when("all control VMs lose power and the leader and another one their disks")
def step_wipe_two(context):
    site = context.site
    leader = site.leader()
    other = next(name for name in site.names if name != leader)
    for name in site.names:
        site.kill(name)
    for name in (leader, other):
        site.wipe(name)
    for name in site.names:
        site.start(name)


@then("every control VM returns version {version:d}")
def step_read_version(context, version):
    for declared in read_from_all(context.site):
        assert declared.version == version, declared.version


@then("the three accept version {version:d} 5 s later")
def step_taken_later(context, version):
    context.site.run(5.0)
    request = context.site.replace("c1", version)
    context.site.run(1.5)
    assert isinstance(context.site.results.get(request), requests_lib.Replaced)


@given('a site of 6 control VMs where "{names}" have no disk')
def step_diskless(context, names):
    context.site = site_lib.Site(controls=6, diskless=names.split(","))
    context.site.run(5.0)
    context.requests = []


@given("version {version:d} is committed")
def step_commit_version(context, version):
    context.requests = [context.site.replace("c1", version)]
    context.site.run(1.5)
    assert context.site.acked[0] == version


@when('"{name}" restarts')
def step_restart_one(context, name):
    context.site.kill(name)
    context.site.start(name)
    context.site.nodes[name].start_bootstrap(decides=True, now=context.site.now)


@when('its bootstrap request reaches "{one}" and "{two}"')
def step_bootstrap_requests(context, one, two):
    for name in (one, two):
        context.site.post("c1", name, config_messages.BootstrapRequest())


@when("an agent starts")
def step_agent(context):
    context.site.start_agent("a1")


@then("every control VM knows the agent")
def step_knows_agent(context):
    site = context.site
    for name, node in site.nodes.items():
        found = node.discovery.nodes.live_nodes("agent", site.now)
        assert [agent.name for agent in found] == ["a1"], name
