"""Steps on confirmations of the configuration, and on admitted requests."""

import asyncio
import collections

from behave import given
from behave import then
from behave import when

from features.harness import hop
from features.harness import site as site_lib
from jasperweir import result_codes
from jasperweir.components.configctl import messages as config_messages
from jasperweir.components.confirmation import messages
from jasperweir.components.confirmation import peers as peers_lib
from jasperweir.components.confirmation import tracker as tracker_lib
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.deployment import model
from jasperweir.components.directory import records
from jasperweir.components.discovery import client as discovery_client
from jasperweir.components.discovery import version_basis
from jasperweir.helpers import clocks

Standing = tracker_lib.Standing
STEP = 0.05
KEY = "key-of-one"


class TestEntry:
    """A discovery client whose control VMs are played by hand."""

    CONTROLS = ("c1", "c2", "c3", "c4", "c5")

    def __init__(self, now):
        node = records.Node("e1", "entry", "p", "e1:80", False, 77, 0)
        self.client = discovery_client.DiscoveryClient(
            node=node,
            seeds=self.CONTROLS,
            now=now,
            is_connected=lambda name: name in self.connected,
        )
        # Control VMs to which a connection is established.
        self.connected = set()
        self.now = now
        self.rounds = {}

    def tick(self, now):
        """Run the timers; remember the round of the heartbeats sent."""
        self.now = now
        for act in self.client.tick(now):
            if isinstance(act.msg, records.NodeHeartbeat):
                self.rounds[round(now, 2)] = act.msg.round

    def answer(self, now, *, echo, age_s=-1.0, version=9, src="c1"):
        """Receive an answer of a control VM."""
        msg = records.ControlHeartbeat(
            place="p",
            version=version,
            keeps_log=True,
            digest=0,
            controls=self.CONTROLS,
            controls_digest=1,
            nodes_digest=0,
            leader="c1",
            term=1,
            confirmed_version=version,
            confirmed_age_s=age_s,
            echo=echo,
        )
        self.now = now
        self.client.receive(src, msg, now)

    def ask_until(self, until):
        """Send heartbeats that nobody answers."""
        while self.now + STEP <= until:
            self.tick(round(self.now + STEP, 2))

    @property
    def standing(self):
        return self.client.confirmations.standing(self.now)


@given("an entry with version 9, confirmed at 100 s")
def step_confirmed(context):
    context.entry = entry = TestEntry(99.0)
    entry.tick(100.0)
    content = config_messages.Content(version=9, data=b"")
    entry.client.receive("c1", content, 100.0)
    entry.client.on_applied(9, 100.0)
    entry.answer(100.0, echo=entry.rounds[100.0], age_s=0.0)
    assert entry.standing is Standing.CURRENT


@given("an entry with version 9 that nobody has confirmed")
def step_unconfirmed(context):
    context.entry = entry = TestEntry(99.0)
    entry.client.on_applied(9, 100.0)


@when("an answer to its heartbeat of {sent:g} s arrives at {at:g} s")
def step_late_answer(context, sent, at):
    entry = context.entry
    entry.ask_until(sent)
    entry.answer(at, echo=entry.rounds[sent], age_s=0.0)


@when(
    "a confirmation arrives at {at:g} s in answer to a heartbeat that it never"
    " sent"
)
def step_foreign_answer(context, at):
    entry = context.entry
    entry.ask_until(at)
    for echo in range(200):
        entry.answer(at, echo=echo, age_s=0.0)


@when("an answer at {at:g} s to its last heartbeat states an age of {age:g} s")
def step_passed_on(context, at, age):
    entry = context.entry
    entry.ask_until(at)
    context.sent_at = max(entry.rounds)
    echo = entry.rounds[context.sent_at]
    entry.answer(at, echo=echo, age_s=age, src="c2")


@when(
    "5 control VMs answer its heartbeats until {until:g} s, all with version 9"
)
def step_heard(context, until):
    entry = context.entry
    while entry.now + STEP <= until:
        now = round(entry.now + STEP, 2)
        entry.tick(now)
        for name in entry.CONTROLS:
            entry.answer(now, echo=entry.rounds.get(now, 0), src=name)


@when("it {heard} until {until:g} s")
def step_when(context, heard, until):
    entry = context.entry
    match heard:
        case "asks in vain":
            entry.ask_until(until)
        case "asks one connected control VM in vain":
            entry.connected = set(entry.CONTROLS[:1])
            entry.ask_until(until)
        case "asks three connected control VMs in vain":
            entry.connected = set(entry.CONTROLS[:3])
            entry.ask_until(until)
        case "hears of version 10":
            entry.ask_until(100.5)
            notice = config_messages.VersionNotice(version=10)
            entry.client.receive("c2", notice, entry.now)
            entry.ask_until(until)
        case "asked and was suspended":
            entry.ask_until(101.4)
            entry.now = until
        case "was suspended":
            entry.now = until
        case "was suspended and asked again":
            entry.now = until - 1.0
            entry.ask_until(until)
        case _:
            raise AssertionError(heard)


@then("its version is not current at {at:g} s")
def step_not_current(context, at):
    entry = context.entry
    entry.now = at
    assert entry.standing is not Standing.CURRENT
    assert not entry.client.describe_version(at).is_newest


@then(
    "its version is current at {at:g} s, as of {age:g} s before that heartbeat"
)
def step_current(context, at, age):
    entry = context.entry
    assert entry.standing is Standing.CURRENT
    as_of = at - entry.client.confirmations.age_s(at)
    assert abs(as_of - (context.sent_at - age)) < 1e-6, as_of


@then("an allowed request at {at:g} s is {allowed} and a denial is {denial}")
def step_decisions(context, at, allowed, denial):
    entry = context.entry
    entry.now = at
    outcomes = {
        Standing.CURRENT: "served",
        Standing.UNCONFIRMED: "served",
        Standing.AWAITING: "held",
    }
    standing = entry.standing
    found = "refused" if standing.is_refusing else outcomes[standing]
    assert found == allowed, standing
    is_final = entry.client.describe_version(at).is_newest
    if standing is Standing.AWAITING:
        assert denial == "held"
    else:
        assert denial == ("final" if is_final else "refused"), standing


@then("an allowed request at {at:g} s is not decided")
def step_undecided(context, at):
    context.entry.now = at
    assert context.entry.standing is Standing.UNKNOWN
    assert not context.entry.client.is_ready(at)


# Admitted requests.


class Dialect(hop.Dialect):
    """Callers with a key, who may resume an answer."""

    def __init__(self, resume_after):
        self._resume_after = resume_after

    def parse_caller_headers(self, req):
        headers = super().parse_caller_headers(req)
        return headers._replace(key=KEY, resume_after=self._resume_after)


def make_index(
    version, *, service="s", emptied="", kind, has_route=True, has_key=True
):
    """Return an index of a configuration with one route and one key.

    The service ``emptied`` has no share of the route.
    """
    backends = (model.Backend(service, 1.0),)
    if emptied:
        backends = (model.Backend(emptied, 0.0), *backends)
    route = hop.route(kind=kind)._replace(public=False, backends=backends)
    routes = [route] if has_route else []
    routes.append(route._replace(name="other", prefix="/other/"))
    customer = model.Customer("one", (KEY if has_key else "new",), None)
    return index_lib.DeploymentIndex(
        deployment=model.Deployment(
            version=version,
            routes=tuple(routes),
            services=(),
            limits=model.Limits(16384, 65536, 3.0, 15.0),
            customers=(customer,),
        )
    )


class Breaking(hop.Target):
    """Breaks off after some events."""

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            # A connection on which no request came.
            writer.close()
            return
        self.requests += 1
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        writer.write(b"10\r\nid: 1\ndata: xy\n\n\r\n")
        await writer.drain()
        await asyncio.sleep(hop.SETTLE_SECONDS)
        writer.close()


class Admitted:
    """A request that is waiting, repeated or held."""

    def __init__(self, *, kind, state):
        self.kind = (
            model.RouteKind.SAFE if kind == "plain" else model.RouteKind.STREAM
        )
        self.state = state
        self.dialect = Dialect("2" if kind == "resumed" else "")
        self.standing = Standing.CURRENT
        self.was_suspended = False

    def describe(self):
        return version_basis.VersionBasis(standing=self.standing)

    async def _learn(self, changed):
        """Bring another version, or the news of it, to the entry.

        Args:
            changed: Changes of the version, None if it does not arrive.
        """
        self.announce("old", self.one.other, "s")
        self.announce("new", self.new, "t")
        if changed is None:
            self.standing = Standing.OUTDATED
            return
        if self.was_suspended:
            self.standing = Standing.AWAITING
            for _ in range(5):
                self.one.forwarder.tick()
                await asyncio.sleep(0.02)
        self.one.forwarder.index = make_index(2, kind=self.kind, **changed)
        self.standing = Standing.CURRENT

    def announce(self, name, target, service):
        found = site_lib.target(target_id=name, address=target.address)
        self.one.directory.merge(
            found._replace(service=service), self.one.forwarder.now()
        )

    async def run(self, changed):
        """Return the answer and how many requests each service has run."""
        self.one = one = hop.Hop(route=hop.route())
        await one.prepare()
        forwarder = one.forwarder
        forwarder.dialect = self.dialect
        forwarder.intake.describe_version = self.describe
        forwarder.index = make_index(1, kind=self.kind)
        self.new = new = hop.Target(stops_after=hop.EVENTS)
        await new.start()
        ending = hop.Ending(listens=True)
        await ending.start()
        tasks = []
        answering = hop.Answering()
        answering.on_paused = answering.on_writable = lambda: None
        if self.state == "is held":
            self.standing = Standing.AWAITING
        # A retry is charged to the service that gets it.
        forwarder._budget.count_first("t", forwarder.now())
        if self.state == "repeats midway":
            breaking = Breaking(stops_after=1)
            await breaking.start()
            self.announce("breaking", breaking, "s")
            forwarder.handle(answering)
            while not answering.body:
                await asyncio.sleep(0.01)
            await self._learn(changed)
            await asyncio.sleep(2 * hop.SETTLE_SECONDS)
            breaking.close()
        elif self.state == "repeats":
            # The target ends before another version can arrive.
            ending.on_request = lambda: tasks.append(
                asyncio.ensure_future(self._learn(changed))
            )
            self.announce("ending", ending, "s")
            forwarder.handle(answering)
        elif self.state == "connects":
            self.announce("old", one.other, "s")
            forwarder.handle(answering)
            assert forwarder.balancer.count_at("old", forwarder.now())
            await self._learn(changed)
        else:
            forwarder.handle(answering)
            await asyncio.sleep(hop.SETTLE_SECONDS)
            assert not answering.done and not answering.body
            await self._learn(changed)
        for _ in range(40):
            forwarder.tick()
            await asyncio.sleep(0.02)
        runs = (one.other.requests, new.requests)
        one.close()
        new.close()
        ending.close()
        return answering, runs


@given("a forwarder with a {kind} request that {state}")
def step_admitted(context, kind, state):
    context.admitted = Admitted(kind=kind, state=state)


CHANGES = {
    "moves its route": {"service": "t"},
    "gives its service weight 0": {"service": "t", "emptied": "s"},
    "drops its route": {"has_route": False},
    "revokes its key": {"has_key": False},
    "adds another route and key": {},
}


@when("a version comes into force that {change}")
def step_change(context, change):
    change_version(context, CHANGES[change])


@when("a newer version is announced and does not arrive")
def step_announced(context):
    change_version(context, None)


@when("the entry awakes and then gets a version that {change}")
def step_awakes(context, change):
    context.admitted.was_suspended = True
    change_version(context, CHANGES[change])


def change_version(context, changed):
    context.answering, context.runs = asyncio.run(context.admitted.run(changed))


@then("the request is run by the new service")
def step_new_service(context):
    assert context.runs == (0, 1), context.runs


@then("the request is run by its service")
def step_same_service(context):
    assert context.runs == (1, 0), context.runs


@then("the request is broken off visibly")
def step_broken_off(context):
    assert context.answering.done and not context.answering.whole
    assert context.answering.ids() == [1], context.answering.body
    assert context.runs == (0, 0), context.runs


@then("the request is answered {status:d}")
def step_status(context, status):
    assert context.answering.done
    assert context.answering.replied[0] == status, context.answering.replied
    assert context.runs == (0, 0), context.runs


@then("the request is refused with the code {name}")
def step_code(context, name):
    assert context.answering.done
    status, headers = context.answering.replied[:2]
    code = b"%d" % int(result_codes.Code[name.upper()])
    assert status == 503, status
    assert dict(headers)[b"jasperweir-code"] == code, headers
    assert context.runs == (0, 0), context.runs


@when("its steady clocks part at {at:g} s")
def step_clocks_part(context, at):
    context.entry.now = at
    context.entry.client.on_clock_step()


@then("it is AWAITING, and an answer to a heartbeat of 100 s does not count")
def step_void(context):
    entry = context.entry
    assert entry.standing is Standing.AWAITING, entry.standing
    entry.answer(100.25, echo=entry.rounds[100.0], age_s=0.0)
    assert entry.standing is Standing.AWAITING, entry.standing


@then("an answer to a heartbeat that it sends after that does")
def step_confirmed_anew(context):
    entry = context.entry
    entry.tick(101.2)
    entry.answer(101.25, echo=entry.rounds[101.2], age_s=0.0)
    assert entry.standing is Standing.CURRENT, entry.standing


class FakeClocks:
    """Two clocks; reading the second one may take long."""

    def __init__(self):
        self.now = 5.0
        self.gained = 0.0
        # How long the next readings take, seconds.
        self.delays = []

    def counting(self):
        if self.delays:
            self.now += self.delays.pop()
        return self.now + 1000.0 + self.gained

    def skipping(self):
        return self.now


@given("two steady clocks that differ by 1000 s")
def step_clocks(context):
    context.clocks = fake = FakeClocks()
    context.comparison = clocks.ClockComparison(
        counting=fake.counting, skipping=fake.skipping
    )


@when(
    "the one that counts suspensions gains {gain:g} s, and a reading {reading}"
)
def step_gains(context, gain, reading):
    context.clocks.gained += gain
    context.clocks.now += 1.0
    match reading:
        case "is preempted for 1 s once":
            context.clocks.delays = [1.0]
        case "is always preempted":
            context.clocks.delays = [1.0] * 10


@then("a step of {step:g} s is found")
def step_found(context, step):
    found = context.comparison.find_step()
    assert abs(found - step) < 1e-6, found


# Other entries.

PEERS = tuple(f"10.0.0.{n}:7" for n in range(1, 11))
NEWER_VERSION, NEWER_EVACUATIONS = 10, 5


class PeerAnswers:
    """Answers of the other entries of a site to one entry."""

    def __init__(self, entry):
        self._entry = entry
        self._rounds = []

    def list_at_site(self, names):
        """Let the control VMs list these entries."""
        control = self._entry.client._controls["c1"]
        control.nodes = {
            name: records.Node(name, "entry", "p", f"{name}0", True, 5, 0)
            for name in names
        }

    def ask_until(
        self, until, *, names, late_s=0.0, is_foreign=False, **changes
    ):
        """Run the entry's timers; others answer what it asks.

        Args:
            until: Monotonic seconds.
            names: Entries that answer, the first one with the changes.
            late_s: Delay of their answers, seconds.
            is_foreign: Whether they answer questions of another process.
            changes: Fields of the answer.
        """
        entry = self._entry
        due = []
        while entry.now + STEP <= until:
            entry.now = round(entry.now + STEP, 2)
            for act in entry.client.tick(entry.now):
                if isinstance(act.msg, messages.PeerQuery):
                    due.append((entry.now + late_s, act.dst, act.msg.round))
            for item in [x for x in due if x[0] <= entry.now]:
                due.remove(item)
                _, name, number = item
                if name not in names:
                    continue
                fields = changes if name == names[0] else {}
                msg = messages.PeerState(
                    echo=5 if is_foreign else number,
                    newest=9,
                    newest_evacuations=0,
                    version=9,
                    evacuations=0,
                    confirmed_age_s=-1.0,
                )
                entry.client.receive(name, msg._replace(**fields), entry.now)


@given("an entry with version 9, confirmed at 100 s, at a site of 11 VMs")
def step_site_of_entries(context):
    step_confirmed(context)
    context.peers = PeerAnswers(context.entry)
    context.peers.list_at_site(PEERS)
    # Its control VMs are on the same VMs.
    context.entry.client._peer_exchange.peers = peers_lib.Peers(
        name="10.0.0.11:7"
    )
    for name in PEERS:
        context.entry.client._peer_exchange.peers.note_listed(
            name, 100.0, is_entry=True
        )


@when(
    "no control VM is heard and {others} of the others answer until {until:g} s"
)
def step_others(context, others, until):
    number, _, how = others.partition(",")
    names = PEERS[: int(number)]
    if names:
        # Its control VMs, which have other names, don't count as VMs.
        context.entry.client._peer_exchange.updated_at = float("inf")
    changes = {}
    match how.strip(" ,"):
        case "and one control VM is connected":
            context.entry.connected = {"c1"}
        case "one with version 10":
            changes = {"newest": NEWER_VERSION}
        case "one with newer evacuations":
            changes = {"newest_evacuations": NEWER_EVACUATIONS}
        case "which is current":
            changes = {"confirmed_age_s": 0.4}
        case "which was current 1.6 s before":
            changes = {"confirmed_age_s": 1.6}
        case "current, which answers 2 s late":
            changes = {"confirmed_age_s": 0.0, "late_s": 2.0}
        case "which answer 1.1 s late":
            changes = {"late_s": 1.1}
        case "to questions of an earlier process":
            changes = {"is_foreign": True}
        case "and then nobody for 1.1 s":
            context.peers.ask_until(until - 1.1, names=names)
            names = ()
        case "":
            pass
        case _:
            raise AssertionError(how)
    context.peers.ask_until(until, names=names, **changes)


@when(
    "{count:d} of the others are no longer listed and it is current until"
    " {until:g} s"
)
def step_no_longer_listed(context, count, until):
    entry = context.entry
    entry.client._peer_exchange.updated_at = float("-inf")
    context.peers.list_at_site(PEERS[count:])
    while entry.now + STEP <= until:
        entry.tick(round(entry.now + STEP, 2))
        if entry.now in entry.rounds:
            echo = entry.rounds[entry.now]
            entry.answer(entry.now, echo=echo, age_s=0.0)
    assert entry.standing is Standing.CURRENT
    entry.client._peer_exchange.updated_at = float("inf")


@when("only the last {count:d} of the others answer until {until:g} s")
def step_last_others(context, count, until):
    context.peers.ask_until(until, names=PEERS[-count:])


@given("an entry that knows 300 VMs of three data centres")
def step_large_site(context):
    context.known = peers_lib.Peers(name="10.9.0.1:7")
    for place in range(3):
        for number in range(100):
            name = f"10.{place}.0.{number}:7"
            context.known.note_listed(name, 100.0, is_entry=True)


@then("it asks 64 of them, 21 or 22 of each data centre")
def step_sample(context):
    asked = context.known.list_entries()
    counts = collections.Counter(name.split(".")[1] for name in asked)
    assert len(set(asked)) == 64 == sum(counts.values()), counts
    assert set(counts.values()) <= {21, 22}, counts
    assert context.known.count(100.0) == (1, 65), context.known.count(100.0)
