"""Steps on acknowledgements that wait until a version is in force."""

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib
from jasperweir.components.configctl import force_barrier
from jasperweir.components.configctl import messages
from jasperweir.components.confirmation import tracker
from jasperweir.components.directory import records

CONTROLS, DISKLESS = 5, ("c4", "c5")
# Pause after which an operator sends an order to the next control VM.
RESEND_SECONDS = 1.0
GIVE_UP_SECONDS = 8.0


@given("a site of five control VMs and four entries that holds version 12")
def step_site(context):
    context.site = site = site_lib.Site(
        controls=CONTROLS, entries=4, diskless=DISKLESS
    )
    site.run(3.0)
    site.replace(site.leader(), 12)
    site.run(3.0)
    assert site.acked[0] == 12
    context.names = set(site.names)
    site.observe = lambda name: note_behind(context, name)
    context.behind = []


def note_behind(context, name):
    """Record an entry that acts on an older version than acknowledged."""
    site = context.site
    client = site.discovery_clients[name]
    standing = client.confirmations.standing(site.now)
    if standing is not tracker.Standing.CURRENT:
        return
    if 0 < site.versions[name] < site.acked[0]:
        context.behind.append((site.now, name, site.versions[name]))


def follower(site, *, has_disk=True):
    """Return a control VM that does not lead."""
    return next(
        name
        for name in site.names
        if name != site.leader() and (name in DISKLESS) != has_disk
    )


def hear_only(site, name, control):
    """Cut an entry off from all control VMs but one."""
    site.cut |= {(name, other) for other in site.names if other != control}


@given("nothing else happens")
def step_nothing(context):
    pass


@given("an entry has just started")
def step_starts(context):
    context.site.start_entry("e5")
    context.site.run(0.1)


@given("an entry is suspended")
def step_suspended(context):
    context.site.frozen.add("e1")
    context.site.run(0.2)


@given("an entry is cut off from all control VMs")
def step_cut(context):
    context.site.cut |= {("e1", name) for name in context.site.names}
    context.site.run(0.2)


@given("an entry hears nothing and is heard")
def step_deaf(context):
    context.site.deaf |= {(name, "e1") for name in context.site.names}
    context.site.run(0.2)


@given("an entry is heard by nobody")
def step_mute(context):
    context.site.deaf |= {("e1", name) for name in context.site.names}
    context.site.run(0.2)


@given("an entry's process has ended")
def step_ended(context):
    context.site.kill("e1")
    context.site.run(0.2)


@given("an entry hears one control VM that does not lead")
def step_one(context):
    context.control = follower(context.site)
    hear_only(context.site, "e1", context.control)
    context.site.run(2.0)


@given("an entry hears one control VM, which is then cut off")
def step_one_cut(context):
    step_one(context)
    site = context.site
    others = set(site.names) - {context.control}
    site.cut |= {(context.control, other) for other in others}
    site.run(0.2)


@given("an entry hears one control VM, which then restarts")
def step_one_restarts(context):
    step_one(context)
    context.site.kill(context.control)
    context.site.start(context.control)
    context.site.run(0.3)


@given("an entry hears one control VM, which then ends")
def step_one_ends(context):
    step_one(context)
    context.site.kill(context.control)
    context.site.run(0.3)


@given("an entry is cut off as its only control VM restarts")
def step_cut_and_restart(context):
    step_one(context)
    site = context.site
    site.cut.add(("e1", context.control))
    site.kill(context.control)
    site.start(context.control)
    site.run(0.3)
    assert site.list_behind(13), "its confirmation has expired"


@given("a control VM that begins to lead a log with version 12")
def step_begins(context):
    context.barrier = force_barrier.ForceBarrier(name="c1")
    context.barrier.start_lead(12, has_leases=True, now=100.0)


@when("it commits version 13 at once and knows of no entry")
def step_commits(context):
    context.barrier.on_committed(13, holders=(), voters=["c1"], now=100.1)


@then("version 13 is in force only after 1.5 s")
def step_after(context):
    assert context.barrier.find_in_force(100.2) == 0
    assert context.barrier.find_in_force(101.49) == 0
    assert context.barrier.find_in_force(101.51) == 13


@given("an entry hears one control VM without a disk")
def step_diskless(context):
    context.control = follower(context.site, has_disk=False)
    hear_only(context.site, "e1", context.control)
    client = context.site.discovery_clients["e1"]
    client._controls.setdefault(context.control, type(client._controls["c1"])())
    context.site.run(2.0)
    age_s = client.confirmations.age_s(context.site.now)
    assert age_s < client.confirmations.valid_s, age_s


@given("an entry confirms its version by a majority")
def step_majority(context):
    site = context.site
    # Its heartbeats are lost, so the leader confirms nothing; it reads logs.
    # What is committed is told to it by nobody.
    news = messages.VersionNotice | messages.Content
    site.tap = lambda site, src, dst, msg: (
        (src == "e1" and isinstance(msg, records.NodeHeartbeat))
        or (dst == "e1" and isinstance(msg, news))
    )
    site.run(3.0)
    client = site.discovery_clients["e1"]
    assert " " in client.confirmations.source, client.confirmations.source


@given("the leader has just handed over")
def step_handed_over(context):
    site = context.site
    leader = site.leader()
    acts = site.nodes[leader].transfer_leadership(site.now)
    site.perform(leader, acts)
    site.run(0.3)
    assert site.leader() not in ("", leader)


@given("the leader has just been replaced")
def step_replaced(context):
    hear_only(context.site, "e1", follower(context.site))
    context.site.run(0.5)
    context.site.kill(context.site.leader())


@given("a control VM that does not lead is suspended")
def step_control_suspended(context):
    context.suspended = follower(context.site)
    context.site.frozen.add(context.suspended)
    context.site.run(0.2)


@when("the leader ends right after the commit of version 13")
def step_leader_ends(context):
    site = context.site
    leader = site.leader()
    site.replace(leader, 13)
    while site.nodes[leader].machine.declared().version < 13:
        site.run(site_lib.STEP)
    site.kill(leader)


@when("an operator sends version 13 until it is acknowledged")
def step_sends(context):
    site = context.site
    began, numbered = site.now, 0
    while site.acked[0] < 13:
        names = [n for n in site.names if n in site.nodes]
        names = [n for n in names if n not in site.frozen]
        asked = site.replace(names[numbered % len(names)], 13)
        numbered += 1
        until = site.now + RESEND_SECONDS
        while site.now < until and asked not in site.results:
            site.run(site_lib.STEP)
        assert site.now < began + GIVE_UP_SECONDS
    context.took_s = site.now - began
    site.run(3.0)


@then("it was acknowledged within {seconds:g} s")
def step_within(context, seconds):
    assert context.took_s <= seconds, context.took_s


@then("no entry has acted on version 12 as current since")
def step_none(context):
    assert not context.behind, context.behind


@then("the record names the entry as expired and the control VM as not heard")
def step_record(context):
    site = context.site
    record = site.nodes[site.leader()].orders.records.recent[-1]
    assert record.version == 13
    assert record.expired == ("e1",), record
    assert record.unheard == (context.suspended,), record
    assert ("e1", 12) in record.lacked, record


@when("versions 13 and 14 are sent to the leader at once")
def step_both(context):
    site = context.site
    context.asked = [site.replace(site.leader(), v) for v in (14, 13)]
    site.run(0.5)


@then("both are acknowledged once version 14 is in force")
def step_both_acked(context):
    for asked in context.asked:
        assert context.site.results[asked].version == 14
    assert not context.behind


@when("twenty versions are sent 0.2 s apart")
def step_twenty(context):
    site = context.site
    context.sent, context.took = {}, {}
    on_replaced = site.on_replaced

    def note(name, act):
        on_replaced(name, act)
        version = act.order.version
        context.took.setdefault(version, site.now - context.sent[version])

    site.on_replaced = note
    for version in range(13, 33):
        context.sent[version] = site.now
        site.replace(site.leader(), version)
        site.run(0.2)
        for other in [v for v in context.sent if v not in context.took]:
            if site.now - context.sent[other] > RESEND_SECONDS:
                site.replace(site.leader(), other)
    site.run(2.0)


@then("each is acknowledged within {seconds:g} s, and the last ones at once")
def step_each(context, seconds):
    assert sorted(context.took) == list(range(13, 33)), context.took
    assert max(context.took.values()) <= seconds, context.took
    assert context.took[32] <= 0.15, context.took
