"""Steps on what grows with the size of a site."""

import asyncio
import random
import socket

from behave import given
from behave import then
from behave import when

from features.harness import engines
from features.harness import site as site_lib
from jasperweir.components.address import near as near_lib
from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import messages as balance_messages
from jasperweir.components.configctl import messages as config_messages
from jasperweir.components.configctl import roster as roster_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.follow import follower as follower_lib
from jasperweir.components.mapswitch import counter as counter_lib
from jasperweir.components.mapswitch import group as group_lib
from jasperweir.components.mapswitch import messages as mapswitch_messages
from jasperweir.components.mapswitch import slow_news
from jasperweir.daemons import loop_host
from jasperweir.helpers import loop_link

LOOP_REST_SECONDS = 0.5


class Counted:
    """Messages that a site's processes send, and those that are lost."""

    def __init__(self, site):
        self.sent = []
        self.lost = lambda src, dst, msg: False
        site.tap = self

    def __call__(self, site, src, dst, msg):
        self.sent.append((src, dst, msg))
        return self.lost(src, dst, msg)

    def whole(self, kind):
        return [
            (src, dst)
            for src, dst, msg in self.sent
            if isinstance(msg, kind) and getattr(msg, "digest", 1)
        ]


def calm_site(context, *, entries, controls=5, targets=0, diskless=()):
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
    context.left = set()
    context.counted = Counted(site)


def target(number, sequence, presence=0):
    return site_lib.target(
        f"t{number}", f"10.0.0.{number}:80", sequence, presence
    )


@given(
    "a calm site with {controls:d} control VMs, {entries:d} entries and "
    "{targets:d} targets"
)
def step_calm(context, controls, entries, targets):
    calm_site(context, entries=entries, controls=controls, targets=targets)


@given(
    "a calm site with {controls:d} control VMs of which 2 have no disk, and "
    "{entries:d} entries"
)
def step_relays(context, controls, entries):
    calm_site(
        context, entries=entries, controls=controls, diskless=("c3", "c5")
    )
    context.site.announce("c1", target(1, 1))
    context.site.run(2.0)


def leave(context, number):
    context.left.add(f"t{number}")
    context.site.announce("c2", target(number, 2, records.Presence.LEAVING))


@when("one target leaves and 3 seconds pass")
def step_leaves(context):
    leave(context, 3)
    context.site.run(3.0)


@when('one target leaves, unheard by entry "{name}", and 3 seconds pass')
def step_leaves_unheard(context, name):
    context.counted.lost = lambda src, dst, msg: (
        dst == name and isinstance(msg, records.News)
    )
    leave(context, 3)
    context.site.run(3.0)


@when("{count:d} targets leave, a tenth of a second apart")
def step_many_leave(context, count):
    for number in range(count):
        leave(context, number)
        context.site.run(0.1)
    context.site.run(1.0)


@then("no whole list of targets has been sent")
def step_no_list(context):
    assert not context.counted.whole(records.Targets)


@then('only entry "{name}" has got a whole list of targets')
def step_only(context, name):
    got = {
        dst
        for _, dst in context.counted.whole(records.Targets)
        if dst in context.site.followers
    }
    assert got == {name}, got


@then("fewer than {count:d} whole lists of targets have been sent")
def step_few_lists(context, count):
    sent = context.counted.whole(records.Targets)
    assert len(sent) < count, len(sent)


@then("every entry has left the target out")
@then("every entry has left them out")
def step_left_out(context):
    site = context.site
    for name, follower in site.followers.items():
        serving = {
            t.target_id for t in follower.directory.serving("s", site.now)
        }
        assert not serving & context.left, (name, serving & context.left)


@when('entry "{name}" closes and 1 second passes')
def step_closes(context, name):
    close(context, name)
    context.site.run(1.0)


@when('entry "{name}" closes, unheard by entry "{other}", and 3 seconds pass')
def step_closes_unheard(context, name, other):
    context.counted.lost = lambda src, dst, msg: (
        dst == other and isinstance(msg, records.NodeNews)
    )
    close(context, name)
    context.site.run(3.0)


@given("an entry that holds a list of entries with digest {digest:d}")
def step_holds_list(context, digest):
    node = records.Node("e1", "entry", "p", "e1:80", True, 1, 0)
    context.follower = follower_lib.Follower(node=node, seeds=("c1",), now=0.0)
    nodes = tuple(node._replace(name=name) for name in ("e1", "e3", "e5"))
    held = records.Nodes(digest=digest, nodes=nodes)
    context.follower.receive("c1", held, 0.0)


@when("it hears of a change from digest {before:d} to {after:d}")
def step_hears_change(context, before, after):
    gone = context.follower.node._replace(name="e5", open=False)
    news = records.NodeNews(before=before, after=after, nodes=(gone,))
    context.follower.receive("c1", news, 0.1)


@then("its beats state digest {digest:d} and it names {names}")
def step_states(context, digest, names):
    beats = context.follower.tick(10.0)
    assert [act.msg.nodes_digest for act in beats] == [digest], beats
    held = context.follower._controls["c1"].nodes
    assert sorted(held) == names.split(", "), held


def close(context, name):
    """Close an entry as one that stops does; it goes on beating."""
    site = context.site
    follower = site.followers[name]
    follower.ready = lambda now: False
    site.perform(name, follower.update(is_open=False, now=site.now))


@then('no entry names "{name}" to callers')
def step_unnamed(context, name):
    site = context.site
    for other, follower in site.followers.items():
        named = {node.name for node in follower.open_entries(site.now)}
        assert name not in named, other
        assert len(named) == len(site.followers) - 1, (other, len(named))


@then("fewer than {count:d} whole lists of entries have been sent")
def step_few_node_lists(context, count):
    sent = context.counted.whole(records.Nodes)
    assert len(sent) < count, len(sent)


@when("2 seconds of beats are counted")
def step_count(context):
    context.site.run(2.0)


def beaten(context):
    return {
        (src, dst)
        for src, dst, msg in context.counted.sent
        if isinstance(msg, records.NodeBeat)
    }


@then("no entry has beaten to a control VM without a disk")
def step_spared(context):
    relays = context.site.diskless
    assert not {pair for pair in beaten(context) if pair[1] in relays}


@then("each entry has beaten to every control VM with one")
def step_beaten(context):
    site = context.site
    keepers = set(site.names) - site.diskless
    wanted = {(e, c) for e in site.followers for c in keepers}
    assert beaten(context) == wanted


@when("a target leaves by a control VM without a disk and 1 second passes")
def step_leaves_relay(context):
    context.left.add("t1")
    context.ask = context.site.announce(
        "c5", target(1, 2, records.Presence.LEAVING)
    )
    context.site.run(1.0)


@then("its leaving is acknowledged")
def step_leaving_acknowledged(context):
    got = context.site.results.get(context.ask)
    assert isinstance(got, roster_lib.Acknowledged), got


@when("an entry starts that is told of those without a disk only")
def step_starts_late(context):
    site = context.site
    node = records.Node("late", "entry", "p", "late:80", False, 77, 0)
    site.followers["late"] = follower_lib.Follower(
        node=node, seeds=tuple(sorted(site.diskless)), now=site.now
    )
    site.versions["late"] = 0


@then("it is ready within 2 seconds")
def step_late_ready(context):
    site = context.site
    site.run(2.0)
    assert site.followers["late"].node.open


# Address answers.


@given("{near:d} entries near a caller and {far:d} elsewhere")
def step_entries(context, near, far):
    context.entries = tuple(
        records.Node(
            f"e{n}", "entry", "p" if n < near else "q", f"e{n}:80", True, 1, 0
        )
        for n in range(near + far)
    )


@when("the caller asks for addresses")
def step_asks(context):
    context.named = near_lib.choose(context.entries, "p", random.Random(1))


@then("it is named {named:d} entries, of which {own:d} are near")
def step_named(context, named, own):
    places = {node.caller_address: node.place for node in context.entries}
    near = [name for name in context.named if places[name] == "p"]
    found = (len(context.named), len(near))
    assert found == (named, own), found
    assert len(set(context.named)) == named


# What is added up as it comes.


@when("{count:d} random reports of {entries:d} entries are taken in")
def step_reports(context, count, entries):
    rng = random.Random(5)
    balancer = balancer_lib.Balancer(rng=rng)
    now, told = 0.0, {}
    context.differs = []
    for sequence in range(1, count + 1):
        now += rng.choice((0.01, 0.1, 0.4))
        src = f"e{rng.randrange(entries)}"
        loads = {f"t{rng.randrange(6)}": rng.randint(1, 4) for _ in range(3)}
        if rng.random() < 0.2:
            # One that was overtaken on the way changes nothing.
            late = balance_messages.Share(sequence=0, loads=())
            balancer.on_share(src, late, now)
            if now - told.get(src, (-9.0, {}))[0] < (
                balance_const.SHARE_STALE_SECONDS
            ):
                continue
            loads = {}
            told[src] = (now, loads)
        else:
            share = balance_messages.Share(
                sequence=sequence,
                loads=tuple(
                    balance_messages.OpenLoad(*item) for item in loads.items()
                ),
            )
            balancer.on_share(src, share, now)
            told[src] = (now, loads)
        look = now + rng.choice((0.0, 0.7, 1.4))
        for name in (f"t{n}" for n in range(6)):
            right = sum(
                counts.get(name, 0)
                for at, counts in told.values()
                if now - at < balance_const.SHARE_STALE_SECONDS
            )
            if balancer.count_at(name, now) != right:
                context.differs.append((sequence, name, right))
        now = max(now, look)


@then("the open requests at each target are those that fresh entries told")
def step_sums(context):
    assert not context.differs, context.differs[:3]


@when("{count:d} random announcements of {targets:d} targets are taken in")
def step_announcements(context, count, targets):
    rng = random.Random(6)
    directory = directory_lib.Directory()
    now = 0.0
    context.differs = []
    for sequence in range(1, count + 1):
        now += rng.choice((0.01, 0.3, 2.0))
        number = rng.randrange(targets)
        # Some have an address that another one had.
        presence = rng.choice((0, 0, 0, 0, 1, 2))
        record = site_lib.target(
            f"t{number}", f"10.0.0.{number // 2}:80", sequence, presence
        )
        directory.merge(record, now, rng.choice((0.0, 0.0, 5.0)))
        directory.serving("s", now)
        now += rng.choice((0.0, 1.0, 10.0))
        # The number of its last announcement is no part of the list.
        kept = [t.target_id for t in directory.serving("s", now)]
        looked = directory._find_ready("s", now).targets
        fresh = [t.target_id for t in looked]
        if kept != fresh:
            context.differs.append((sequence, kept, fresh))


@then("the list is each time what a look at all of them shows")
def step_lists(context):
    assert not context.differs, context.differs[:1]


# Groups of many ranks.


@given("a group of {ranks:d} ranks that copies experts for a new map")
def step_copies(context, ranks):
    context.dep = engines.Deployment(ranks=ranks)
    leader = context.dep.lead()
    for _ in range(600):
        context.dep.run(engines.STEP)
        groups = context.dep.leaders[leader].groups()
        if groups and groups[0].phase is group_lib.Phase.PREPARING:
            break
    context.group = groups[0]
    assert context.group.phase is group_lib.Phase.PREPARING
    # The answers to its orders are in.
    context.group._orders.clear()


def beat_of(context, number, *, done):
    rank = context.dep.group.ranks[number]
    state = context.dep.group.state(rank)
    version = context.group._version if done else 0
    return mapswitch_messages.EngineBeat(
        service="s",
        address=f"a{number}",
        term=1,
        state=state._replace(prepared=version, armed=0),
        choices=counter_lib.NO_CHOICES,
        experts=rank.held_map,
    )


@when("all ranks but one have told that they are done")
def step_all_but_one(context):
    group, now = context.group, context.dep.now
    ranks = len(context.dep.group.ranks)
    for number in range(ranks):
        group.on_beat(f"a{number}", beat_of(context, number, done=False), now)
    group.tick(now)
    looked = []
    every = group.members.all
    group.members.all = lambda: looked.append(1) or every()
    # The one that was seen to be behind is the last to tell.
    context.last = int(group._behind[1:])
    for number in range(ranks):
        if number != context.last:
            beat = beat_of(context, number, done=True)
            group.on_beat(f"a{number}", beat, now)
    context.looked = len(looked)


@then("the group has looked at all ranks no more than {most:d} times")
def step_looked(context, most):
    # Each look at 64 ranks for a beat of each would be 64 or more.
    assert context.looked <= 1, context.looked
    assert context.looked <= most


@then("it goes on once the last one tells")
def step_goes_on(context):
    group, now = context.group, context.dep.now
    beat = beat_of(context, context.last, done=True)
    group.on_beat(f"a{context.last}", beat, now)
    assert group.phase is group_lib.Phase.HOLDING, group.phase


# Event loops.


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@given("two processes linked on one event loop")
def step_links(context):
    context.addresses = (free_address(), free_address())


@when("{count:d} messages go from one to the other")
def step_messages(context, count):
    context.count = count
    context.got, context.woken = asyncio.run(exchange(context, count))


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
    await asyncio.sleep(LOOP_REST_SECONDS)
    one.stop()
    two.stop()
    return got, woken


def version_news(number):
    return config_messages.VersionNews(version=number)


@then("all come in order")
def step_in_order(context):
    assert context.got == list(range(context.count)), len(context.got)


@then("with no frames the loop is not woken in half a second")
def step_rests(context):
    assert not context.woken, len(context.woken)


class FakeHost:
    """What an alarm needs of its host, on a running loop."""

    def __init__(self):
        self.errors = 0

    def now(self):
        return asyncio.get_running_loop().time()

    def after(self, seconds, func):
        def run():
            try:
                func()
            except ValueError:
                self.errors += 1

        return asyncio.get_running_loop().call_later(seconds, run)


@when("an alarm is set for 0.2 s, then for 0.05 s, and its function fails once")
def step_alarm(context):
    async def run():
        host = FakeHost()
        called = []

        def func():
            called.append(host.now() - began)
            if len(called) == 1:
                raise ValueError

        alarm = loop_host.Alarm(host=host, func=func)
        began = host.now()
        alarm.set(began + 0.2)
        alarm.set(began + 0.05)
        await asyncio.sleep(0.05 + loop_host.RETRY_SECONDS + 0.3)
        return host.errors, called

    context.errors, context.called = asyncio.run(run())


@then("the function has been called again after the error")
def step_called_again(context):
    assert context.errors == 1
    assert len(context.called) == 2, context.called


@when("a target turns slow at 1.0 s, gets slower at 1.2 s and is well at 3.0 s")
def step_turns_slow(context):
    news = slow_news.SlowNews()
    context.told = []
    for tenth in range(50):
        now = tenth / 10
        pace = 2.0 if now < 1.2 else 3.0
        slow = mapswitch_messages.SlowTarget("10.0.0.1:80", pace)
        is_slow = 1.0 <= now < 3.0
        found = mapswitch_messages.SlowTargets((slow,) if is_slow else ())
        if news.is_due(found, now):
            context.told.append(now)


@then("the entries are told at 1.0, 1.2, 1.7, 2.2, 2.7 and 3.0 s")
def step_told_slow(context):
    assert context.told == [1.0, 1.2, 1.7, 2.2, 2.7, 3.0], context.told
