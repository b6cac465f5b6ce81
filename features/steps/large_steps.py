"""Steps for costs that must not grow with the size of a site."""

import asyncio
import random

from behave import given
from behave import then
from behave import when

from features.harness import engines
from features.harness import site as site_lib
from features.harness import sockets
from jasperweir.components.address import entry_selection
from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import messages as balance_messages
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import messages as config_messages
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.discovery import client as discovery_client
from jasperweir.components.mapswitch import expert_counts
from jasperweir.components.mapswitch import group as group_lib
from jasperweir.components.mapswitch import messages as mapswitch_messages
from jasperweir.components.mapswitch import slow_target_notifier
from jasperweir.daemons import loop_host
from jasperweir.helpers import loop_link

LOOP_IDLE_SECONDS = 0.5


class MessageRecorder:
    """Records the messages of a site's processes and drops chosen ones."""

    def __init__(self, site):
        self.sent = []
        self.lost = lambda src, dst, msg: False
        site.tap = self

    def __call__(self, site, src, dst, msg):
        self.sent.append((src, dst, msg))
        return self.lost(src, dst, msg)

    def full_lists(self, kind):
        return [
            (src, dst)
            for src, dst, msg in self.sent
            if isinstance(msg, kind) and getattr(msg, "digest", 1)
        ]


def start_stable_site(context, *, entries, controls=5, targets=0, diskless=()):
    site = site_lib.Site(
        controls=controls, entries=entries, wanted=3, diskless=diskless
    )
    site.run(4.0)
    site.replace("c1", 1)
    for number in range(targets):
        site.announce("c1", target(number, 1))
        site.run(0.05)
    site.run(6.0)
    context.site = site
    context.leaving = set()
    context.recorder = MessageRecorder(site)


def target(number, sequence, presence=0):
    return site_lib.target(
        f"t{number}", f"10.0.0.{number}:80", sequence, presence
    )


@given(
    "a stable site with {controls:d} control VMs, {entries:d} entries and "
    "{targets:d} targets"
)
def step_stable_site(context, controls, entries, targets):
    start_stable_site(
        context, entries=entries, controls=controls, targets=targets
    )


@given(
    "a stable site with {controls:d} control VMs of which 2 have no disk, and "
    "{entries:d} entries"
)
def step_site_with_diskless(context, controls, entries):
    start_stable_site(
        context, entries=entries, controls=controls, diskless=("c3", "c5")
    )
    context.site.announce("c1", target(1, 1))
    context.site.run(2.0)


def announce_leaving(context, number):
    context.leaving.add(f"t{number}")
    context.site.announce("c2", target(number, 2, records.Presence.LEAVING))


@when("one target leaves and 3 seconds pass")
def step_target_leaves(context):
    announce_leaving(context, 3)
    context.site.run(3.0)


@when('one target leaves, entry "{name}" misses the change, and 3 seconds pass')
def step_target_leaves_missed(context, name):
    context.recorder.lost = lambda src, dst, msg: (
        dst == name and isinstance(msg, records.TargetUpdate)
    )
    announce_leaving(context, 3)
    context.site.run(3.0)


@when("{count:d} targets leave, a tenth of a second apart")
def step_many_leave(context, count):
    for number in range(count):
        announce_leaving(context, number)
        context.site.run(0.1)
    context.site.run(1.0)


@then("no full list of targets has been sent")
def step_no_full_target_list(context):
    assert not context.recorder.full_lists(records.TargetList)


@then('only entry "{name}" has received a full list of targets')
def step_only_one_full_target_list(context, name):
    got = {
        dst
        for _, dst in context.recorder.full_lists(records.TargetList)
        if dst in context.site.discovery_clients
    }
    assert got == {name}, got


@then("fewer than {count:d} full lists of targets have been sent")
def step_few_full_target_lists(context, count):
    sent = context.recorder.full_lists(records.TargetList)
    assert len(sent) < count, len(sent)


@then("no entry lists the target as serving")
@then("no entry lists them as serving")
def step_not_serving(context):
    site = context.site
    for name, follower in site.discovery_clients.items():
        serving = {
            t.target_id for t in follower.directory.list_ready("s", site.now)
        }
        assert not serving & context.leaving, (name, serving & context.leaving)


@when('entry "{name}" closes and 1 second passes')
def step_entry_closes(context, name):
    close_entry(context, name)
    context.site.run(1.0)


@when(
    'entry "{name}" closes, entry "{other}" misses the change, and '
    "3 seconds pass"
)
def step_entry_closes_missed(context, name, other):
    context.recorder.lost = lambda src, dst, msg: (
        dst == other and isinstance(msg, records.NodeListUpdate)
    )
    close_entry(context, name)
    context.site.run(3.0)


@given("an entry that holds a list of entries with digest {digest:d}")
def step_entry_with_list(context, digest):
    node = records.Node("e1", "entry", "p", "e1:80", True, 1, 0)
    context.client = discovery_client.DiscoveryClient(
        node=node, seeds=("c1",), now=0.0
    )
    nodes = tuple(node._replace(name=name) for name in ("e1", "e3", "e5"))
    held = records.NodeList(digest=digest, nodes=nodes)
    context.client.receive("c1", held, 0.0)


@when("it receives a change from digest {before:d} to {after:d}")
def step_receives_change(context, before, after):
    gone = context.client.node._replace(name="e5", open=False)
    news = records.NodeListUpdate(before=before, after=after, nodes=(gone,))
    context.client.receive("c1", news, 0.1)


@then("its heartbeats have digest {digest:d} and it lists {names}")
def step_digest_and_list(context, digest, names):
    heartbeats = [
        act.msg
        for act in context.client.tick(10.0)
        if isinstance(act.msg, records.NodeHeartbeat)
    ]
    assert [msg.nodes_digest for msg in heartbeats] == [digest], heartbeats
    held = context.client._controls["c1"].nodes
    assert sorted(held) == names.split(", "), held


def close_entry(context, name):
    """Close an entry as on a stop; it still sends heartbeats."""
    site = context.site
    follower = site.discovery_clients[name]
    follower.is_ready = lambda now: False
    site.perform(name, follower.set_open(is_open=False, now=site.now))


@then('no entry offers "{name}" to callers')
def step_not_offered(context, name):
    site = context.site
    for other, follower in site.discovery_clients.items():
        named = {node.name for node in follower.open_entries(site.now)}
        assert name not in named, other
        assert len(named) == len(site.discovery_clients) - 1, (
            other,
            len(named),
        )


@then("fewer than {count:d} full lists of entries have been sent")
def step_few_full_entry_lists(context, count):
    sent = context.recorder.full_lists(records.NodeList)
    assert len(sent) < count, len(sent)


@when("heartbeats are counted for 2 seconds")
def step_count_heartbeats(context):
    context.site.run(2.0)


def heartbeat_pairs(context):
    return {
        (src, dst)
        for src, dst, msg in context.recorder.sent
        if isinstance(msg, records.NodeHeartbeat)
    }


@then("no entry has sent a heartbeat to a control VM without a disk")
def step_no_heartbeats_to_diskless(context):
    diskless = context.site.diskless
    assert not {
        pair for pair in heartbeat_pairs(context) if pair[1] in diskless
    }


@then("each entry has sent heartbeats to every control VM with a disk")
def step_heartbeats_to_all_with_disk(context):
    site = context.site
    with_disk = set(site.names) - site.diskless
    wanted = {(e, c) for e in site.discovery_clients for c in with_disk}
    assert heartbeat_pairs(context) == wanted


@when(
    "a target announces its leaving to a control VM without a disk and "
    "1 second passes"
)
def step_leaves_through_diskless(context):
    context.leaving.add("t1")
    context.announcement = context.site.announce(
        "c5", target(1, 2, records.Presence.LEAVING)
    )
    context.site.run(1.0)


@then("the announcement is acknowledged")
def step_announcement_acknowledged(context):
    got = context.site.results.get(context.announcement)
    assert isinstance(got, discovery_server.Acknowledged), got


@when("an entry starts that knows only the control VMs without a disk")
def step_starts_with_diskless_seeds(context):
    site = context.site
    node = records.Node("late", "entry", "p", "late:80", False, 77, 0)
    site.discovery_clients["late"] = discovery_client.DiscoveryClient(
        node=node, seeds=tuple(sorted(site.diskless)), now=site.now
    )
    site.versions["late"] = 0


@then("it is ready within 2 seconds")
def step_ready_in_time(context):
    site = context.site
    site.run(2.0)
    assert site.discovery_clients["late"].node.open


# Address answers.


@given("{near:d} entries in the caller's data centre and {far:d} in others")
def step_entries_by_data_centre(context, near, far):
    context.entries = tuple(
        records.Node(
            f"e{n}", "entry", "p" if n < near else "q", f"e{n}:80", True, 1, 0
        )
        for n in range(near + far)
    )


@when("the caller asks for addresses")
def step_asks_for_addresses(context):
    context.addresses_received = entry_selection.choose_addresses(
        context.entries, "p", random.Random(1)
    )


@then("it gets {named:d} entries, of which {own:d} are in its data centre")
def step_addresses_received(context, named, own):
    places = {node.caller_address: node.place for node in context.entries}
    near = [name for name in context.addresses_received if places[name] == "p"]
    found = (len(context.addresses_received), len(near))
    assert found == (named, own), found
    assert len(set(context.addresses_received)) == named


# Incrementally updated sums and lists.


@when("{count:d} random reports of {entries:d} entries are processed")
def step_process_reports(context, count, entries):
    rng = random.Random(5)
    balancer = balancer_lib.Balancer(rng=rng)
    now, reports = 0.0, {}
    context.mismatches = []
    for sequence in range(1, count + 1):
        now += rng.choice((0.01, 0.1, 0.4))
        src = f"e{rng.randrange(entries)}"
        loads = {f"t{rng.randrange(6)}": rng.randint(1, 4) for _ in range(3)}
        if rng.random() < 0.2:
            # A report that arrives out of order must change nothing.
            late = balance_messages.Share(sequence=0, loads=())
            balancer.on_share(src, late, now)
            if now - reports.get(src, (-9.0, {}))[0] < (
                balance_const.SHARE_STALE_SECONDS
            ):
                continue
            loads = {}
            reports[src] = (now, loads)
        else:
            share = balance_messages.Share(
                sequence=sequence,
                loads=tuple(
                    balance_messages.OpenLoad(*item) for item in loads.items()
                ),
            )
            balancer.on_share(src, share, now)
            reports[src] = (now, loads)
        checked_at = now + rng.choice((0.0, 0.7, 1.4))
        for name in (f"t{n}" for n in range(6)):
            expected = sum(
                counts.get(name, 0)
                for at, counts in reports.values()
                if now - at < balance_const.SHARE_STALE_SECONDS
            )
            if balancer.count_at(name, now) != expected:
                context.mismatches.append((sequence, name, expected))
        now = max(now, checked_at)


@then("the open requests at each target are the sum of all fresh reports")
def step_sums_match(context):
    assert not context.mismatches, context.mismatches[:3]


@when("{count:d} random announcements of {targets:d} targets are processed")
def step_process_announcements(context, count, targets):
    rng = random.Random(6)
    directory = directory_lib.Directory()
    now = 0.0
    context.mismatches = []
    for sequence in range(1, count + 1):
        now += rng.choice((0.01, 0.3, 2.0))
        number = rng.randrange(targets)
        # Two targets share each address, so some take over an address.
        presence = rng.choice((0, 0, 0, 0, 1, 2))
        record = site_lib.target(
            f"t{number}", f"10.0.0.{number // 2}:80", sequence, presence
        )
        directory.merge(record, now, rng.choice((0.0, 0.0, 5.0)))
        directory.list_ready("s", now)
        now += rng.choice((0.0, 1.0, 10.0))
        # The sequence number is not part of the list.
        cached = [t.target_id for t in directory.list_ready("s", now)]
        computed = directory._find_ready("s", now).targets
        fresh = [t.target_id for t in computed]
        if cached != fresh:
            context.mismatches.append((sequence, cached, fresh))


@then("the cached list always equals a newly computed one")
def step_lists_match(context):
    assert not context.mismatches, context.mismatches[:1]


# Groups of many ranks.


@given("a group of {ranks:d} ranks that copies experts for a new map")
def step_group_copies(context, ranks):
    context.dep = engines.Deployment(ranks=ranks)
    leader = context.dep.lead()
    for _ in range(600):
        context.dep.run(engines.STEP)
        groups = context.dep.leaders[leader].groups()
        if groups and groups[0].phase is group_lib.Phase.PREPARING:
            break
    context.group = groups[0]
    assert context.group.phase is group_lib.Phase.PREPARING
    # All orders count as answered.
    context.group._orders.clear()


def engine_beat(context, number, *, done):
    rank = context.dep.group.ranks[number]
    state = context.dep.group.state(rank)
    version = context.group._version if done else 0
    return mapswitch_messages.EngineHeartbeat(
        service="s",
        address=f"a{number}",
        term=1,
        state=state._replace(prepared=version, armed=0),
        choices=expert_counts.NO_COUNTS,
        experts=rank.held_map,
    )


@when("all ranks but one have reported that they are done")
def step_all_but_one_report(context):
    group, now = context.group, context.dep.now
    ranks = len(context.dep.group.ranks)
    for number in range(ranks):
        group.on_heartbeat(
            f"a{number}", engine_beat(context, number, done=False), now
        )
    group.tick(now)
    scans = []
    every = group.members.all
    group.members.all = lambda: scans.append(1) or every()
    # The rank that the group waits for reports last.
    context.last_rank = int(group._unprepared_agent[1:])
    for number in range(ranks):
        if number != context.last_rank:
            beat = engine_beat(context, number, done=True)
            group.on_heartbeat(f"a{number}", beat, now)
    context.scans = len(scans)


@then("the group has scanned all ranks no more than {most:d} times")
def step_few_scans(context, most):
    # A scan on each heartbeat would count 64 or more.
    assert context.scans <= 1, context.scans
    assert context.scans <= most


@then("it proceeds once the last one reports")
def step_proceeds(context):
    group, now = context.group, context.dep.now
    beat = engine_beat(context, context.last_rank, done=True)
    group.on_heartbeat(f"a{context.last_rank}", beat, now)
    assert group.phase is group_lib.Phase.HOLDING, group.phase


# Event loops.


@given("two processes linked on one event loop")
def step_linked_processes(context):
    context.addresses = (sockets.free_address(), sockets.free_address())


@when("{count:d} messages go from one to the other")
def step_exchange_messages(context, count):
    context.count = count
    context.received, context.wakeups = asyncio.run(exchange(context, count))


async def exchange(context, count):
    got = []
    one, two = (
        loop_link.LoopLink(
            name=address,
            address=address,
            incarnation=lambda: 1,
            deliver=lambda received: got.append(received.msg.version),
        )
        for address in context.addresses
    )
    one.start()
    two.start()
    one.learn(two.name, two.address)
    for number in range(count):
        one.send(two.name, version_news(number))
        await asyncio.sleep(0)
    for _ in range(200):
        if len(got) >= count:
            break
        await asyncio.sleep(0.01)
    woken = []
    two._on_readable = lambda: woken.append(1)
    await asyncio.sleep(LOOP_IDLE_SECONDS)
    one.stop()
    two.stop()
    return got, woken


def version_news(number):
    return config_messages.VersionNotice(version=number)


@then("all arrive in order")
def step_arrive_in_order(context):
    assert context.received == list(range(context.count)), len(context.received)


@then("the idle loop is not woken for half a second")
def step_loop_idles(context):
    assert not context.wakeups, len(context.wakeups)


class FakeHost:
    """Host of a timer on the running event loop."""

    def __init__(self):
        self.errors = 0

    def now(self):
        return asyncio.get_running_loop().time()

    def call_later(self, seconds, func):
        def run():
            try:
                func()
            except ValueError:
                self.errors += 1

        return asyncio.get_running_loop().call_later(seconds, run)


@when("a timer is set for 0.2 s, then for 0.05 s, and its function fails once")
def step_timer_fails(context):
    async def run():
        host = FakeHost()
        called = []

        def func():
            called.append(host.now() - began)
            if len(called) == 1:
                raise ValueError

        timer = loop_host.WakeupTimer(host=host, func=func)
        began = host.now()
        timer.schedule(began + 0.2)
        timer.schedule(began + 0.05)
        await asyncio.sleep(0.05 + loop_host.RETRY_SECONDS + 0.3)
        return host.errors, called

    context.errors, context.called = asyncio.run(run())


@then("the function has been called again after the error")
def step_called_again(context):
    assert context.errors == 1
    assert len(context.called) == 2, context.called


@when("a target becomes slow at 1.0 s, slower at 1.2 s and recovers at 3.0 s")
def step_becomes_slow(context):
    news = slow_target_notifier.SlowTargetNotifier()
    context.notified = []
    for tenth in range(50):
        now = tenth / 10
        pace = 2.0 if now < 1.2 else 3.0
        slow = mapswitch_messages.SlowTarget("10.0.0.1:80", pace)
        is_slow = 1.0 <= now < 3.0
        found = mapswitch_messages.SlowTargets((slow,) if is_slow else ())
        if news.is_due(found, now):
            context.notified.append(now)


@then("the entries are notified at 1.0, 1.2, 1.7, 2.2, 2.7 and 3.0 s")
def step_notified(context):
    assert context.notified == [1.0, 1.2, 1.7, 2.2, 2.7, 3.0], context.notified
