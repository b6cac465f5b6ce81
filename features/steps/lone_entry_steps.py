"""Steps on entries that are cut off from some or all VMs of a site."""

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib
from jasperweir.components.confirmation import tracker

VMS = 11
DISKS = 3
LONE = "10.0.0.11"
# Pause after which an operator sends an order again.
RESEND_SECONDS = 1.0


def control(number):
    return f"10.0.0.{number}:1"


def entry(number):
    return f"10.0.0.{number}:2"


def host(name):
    return name.partition(":")[0]


class VmSite(site_lib.Site):
    """A site whose processes have the names of their VMs."""

    def __init__(self):
        super().__init__(controls=0, entries=0, bootstrap=False)
        self.names = [control(n) for n in range(1, DISKS + 1)]
        for name in self.names:
            self.start(name)
        for name, node in self.nodes.items():
            node.start_bootstrap(decides=name == control(1), now=self.now)
        for number in range(1, VMS + 1):
            self.start_entry(entry(number))

    def cut_vms(self, one, others):
        """Cut all links between two groups of VMs."""
        processes = [*self.nodes, *self.discovery_clients]
        for a in processes:
            for b in processes:
                if host(a) in one and host(b) in others:
                    self.cut.add((a, b))

    def send_until_acknowledged(self, version):
        """Send a version again and again; return the time taken, seconds."""
        began = sent_at = self.now
        self.replace(self.leader(), version)
        while self.acked[0] < version:
            self.run(site_lib.STEP)
            if self.now >= sent_at + RESEND_SECONDS:
                sent_at = self.now
                self.replace(self.leader(), version)
            assert self.now < began + 5.0, "not acknowledged"
        return self.now - began

    def standings(self, hosts):
        """Return the standings of the entries of some VMs."""
        return {
            name: client.confirmations.standing(self.now).name
            for name, client in self.discovery_clients.items()
            if host(name) in hosts
        }


def hosts(numbers):
    return {f"10.0.0.{number}" for number in numbers}


ALL = hosts(range(1, VMS + 1))


@given("a site of eleven VMs with version 9 in force")
def step_site(context):
    context.site = site = VmSite()
    site.run(5.0)
    site.replace(site.leader(), 9)
    site.run(3.0)
    assert site.acked[0] == 9
    assert set(site.standings(ALL).values()) == {"CURRENT"}


@when(
    "one VM is cut off from all others and version 12 is acknowledged without"
    " it"
)
def step_lone(context):
    site = context.site
    site.cut_vms({LONE}, ALL - {LONE})
    context.cut_at = site.now
    context.served = []
    site.observe = lambda name: context.served.append(
        (site.now, name, site.serves(name))
    )
    site.send_until_acknowledged(12)
    site.run(6.0)


@then(
    "its entry lets no request through by version 9 later than {seconds:g} s"
    " after the cut"
)
def step_none(context, seconds):
    late = [
        found
        for found in context.served
        if found[1:] == (entry(VMS), 9) and found[0] > context.cut_at + seconds
    ]
    assert not late, late[:5]
    others = {s for at, name, s in context.served if name == entry(1)}
    assert 12 in others, others


@then("it is closed to callers, as isolated")
def step_isolated(context):
    site = context.site
    client = site.discovery_clients[entry(VMS)]
    assert site.standings({LONE}) == {entry(VMS): "ISOLATED"}
    assert not client.is_ready(site.now) and not client.node.open
    assert client.count_peers(site.now) == (1, VMS)


@when("{count:d} VMs without a disk are cut off from the others for 5 s")
def step_cut(context, count):
    context.some = hosts(range(VMS - count + 1, VMS + 1))
    context.site.cut_vms(context.some, ALL - context.some)
    context.site.run(5.0)


@then("the entries of these VMs are {standing}")
def step_these(context, standing):
    found = context.site.standings(context.some)
    assert set(found.values()) == {standing}, found


@then("the other entries are {standing}")
def step_others(context, standing):
    found = context.site.standings(ALL - context.some)
    assert set(found.values()) == {standing}, found


@when("all VMs with a disk are lost for 5 s")
def step_core_lost(context):
    site = context.site
    for number in range(1, DISKS + 1):
        site.kill(control(number))
        site.kill(entry(number))
    site.run(5.0)


@then("the entries of the other VMs are {standing}")
def step_rest(context, standing):
    found = context.site.standings(ALL)
    assert len(found) == VMS - DISKS, found
    assert set(found.values()) == {standing}, found


@given("one entry is cut off from all control VMs {how}")
@when("one entry is cut off from all control VMs {how}")
def step_from_controls(context, how):
    site = context.site
    lone = entry(VMS)
    site.cut |= {(lone, name) for name in site.names}
    other = entry(VMS - 1)
    if how != "and hears the others":
        site.cut |= {
            (lone, name)
            for name in site.discovery_clients
            if name not in (lone, other)
        }
    if how.endswith("that hears only the leader"):
        others = [name for name in site.names if name != site.leader()]
        site.cut |= {(other, name) for name in others}
    site.run(4.0)
    context.behind = []
    site.observe = lambda name: note_behind(context, name)


def note_behind(context, name):
    """Record an entry that acts as current on less than was acknowledged."""
    site = context.site
    standing = site.discovery_clients[name].confirmations.standing(site.now)
    if standing is tracker.Standing.CURRENT:
        if site.versions[name] < site.acked[0]:
            context.behind.append((site.now, name, site.versions[name]))


@then("its confirmation comes from another entry")
def step_source(context):
    client = context.site.discovery_clients[entry(VMS)]
    source = client.confirmations.source
    assert source in context.site.discovery_clients, source


@then("its standing is {standing}")
@then("the entry that is cut off from control VMs is {standing}")
def step_it(context, standing):
    found = context.site.standings({LONE})
    assert found == {entry(VMS): standing}, found


@when("version 12 is sent until it is acknowledged")
def step_sent(context):
    site = context.site
    context.took_s = site.send_until_acknowledged(12)
    site.run(2.0)


@then("no entry acts on version 9 as current since")
def step_not_behind(context):
    assert not context.behind, context.behind[:5]


@then("it was acknowledged {least:g} to {most:g} s after it was sent")
def step_took(context, least, most):
    assert least <= context.took_s <= most, context.took_s


@when("{seconds:g} s pass at the eleven VMs")
def step_pass(context, seconds):
    context.site.run(seconds)


@when("the cut ends")
def step_cut_ends(context):
    context.site.cut.clear()


@then("all entries are CURRENT with version 12")
def step_all_current(context):
    site = context.site
    assert set(site.standings(ALL).values()) == {"CURRENT"}
    assert set(site.versions.values()) == {12}, site.versions
