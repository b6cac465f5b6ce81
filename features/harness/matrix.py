"""Every fault at every message of every protocol, on a virtual clock."""

from features.harness import claims
from features.harness import engines
from features.harness import evacuations
from features.harness import nodes
from features.harness import quarantine
from features.harness import quorum
from features.harness import ranks
from features.harness import site
from jasperweir.components.claims import const as claim_const
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import messages as config_messages
from jasperweir.components.mapswitch import const
from jasperweir.components.membership import messages as member_messages
from jasperweir.helpers import codec

FAULTS = (
    "lost",
    "doubled",
    "late",
    "sender killed",
    "receiver killed",
    "sender frozen",
    "receiver frozen",
    "link cut",
)
LATE_SECONDS = 3.0


class Tap:
    """Apply one fault to the first message of one kind."""

    def __init__(self, kind: str, fault: str) -> None:
        self.kind = kind
        self.fault = fault
        self.met = False
        self.late: list = []
        self.killed: set[str] = set()

    def __call__(self, scene, src, dst, msg) -> bool:
        """Return whether the message goes no further by itself."""
        if self.met or codec.kind_of(msg) != self.kind:
            return False
        self.met = True
        match self.fault:
            case "lost":
                return True
            case "doubled":
                self.late.append((scene.now, src, dst, msg))
            case "late":
                self.late.append((scene.now + LATE_SECONDS, src, dst, msg))
                return True
            case "sender killed":
                self.killed.add(src)
            case "receiver killed":
                self.killed.add(dst)
                return True
            case "sender frozen":
                scene.frozen.add(src)
            case "receiver frozen":
                scene.frozen.add(dst)
            case "link cut":
                scene.cut_pair(src, dst)
                return True
        return False

    def apply(self, scene) -> None:
        """Carry out what must not happen inside a send."""
        for name in self.killed:
            scene.kill(name)
        self.killed = set()
        due = [item for item in self.late if item[0] <= scene.now]
        self.late = [item for item in self.late if item[0] > scene.now]
        for _, src, dst, msg in due:
            if hasattr(scene, "requeue"):
                scene.requeue(src, dst, msg)
            elif isinstance(scene, claims.ClaimCluster):
                scene.queue.append((src, scene.inc[src], dst, msg))
            else:
                scene.queue.append((src, dst, msg))


class Taps:
    """Several faults, each at the first message of its kind."""

    def __init__(self, taps: list[Tap]) -> None:
        self.taps = taps

    @property
    def met(self) -> bool:
        """Whether all of them struck."""
        return all(tap.met for tap in self.taps)

    def __call__(self, scene, src, dst, msg) -> bool:
        """Return whether any of them stops the message."""
        # Each one gets to see the message.
        stopped = [tap(scene, src, dst, msg) for tap in self.taps]
        return any(stopped)

    def apply(self, scene) -> None:
        """Carry out what must not happen inside a send."""
        for tap in self.taps:
            tap.apply(scene)


def run(scene, seconds: float) -> None:
    """Let time pass in small steps, with the fault's consequences."""
    for _ in range(round(seconds / 0.2)):
        scene.run(0.2)
        if scene.tap is not None:
            scene.tap.apply(scene)


def heal(scene) -> None:
    """End the fault, whatever it was."""
    scene.frozen.clear()
    scene.cut.clear() if hasattr(scene, "cut") else scene.cuts.clear()


def quorum_cell(tap: Tap) -> None:
    """Election, changes, snapshot, seat and hand-over under one fault."""
    net = quorum.Cluster(["a", "b", "c", "d"])
    net.disks.pop("d")
    net.kill("d")
    net.bootstrap("a")
    net.tap = tap
    for i in range(4):
        net.propose(b"x%d" % i)
        run(net, 0.4)
    lead = net.leader()
    if lead:
        net.perform(lead, net.voters[lead].transfer_leadership(net.now))
    run(net, 3)
    lead = net.leader()
    if lead:
        net.kill(lead)
    run(net, 5)
    restart(net)
    for name in list(net.voters):
        voter = net.voters[name]
        net.perform(name, voter.compact(voter.commit, b"state"))
    net.disks["d"] = quorum.FakeDisk("d")
    net.start("d")
    seat_in_the_end(net, "d")
    run(net, 5)
    heal(net)
    restart(net)
    net.wait_for_leader(20)
    assert net.propose(b"last")
    run(net, 3)
    for name in net.voters:
        assert net.voters[name].commit >= max(net.committed), name


def seat_in_the_end(net, name: str) -> None:
    """Seat a voter; a fault may strike as late as in the recovery."""
    for _ in range(3):
        heal(net)
        restart(net)
        run(net, 5)
        try:
            net.add_voter(name)
        except AssertionError:
            continue
        return
    raise AssertionError(f"{name} never got a vote")


def restart(net) -> None:
    for name in net.disks:
        if name not in net.voters:
            net.start(name)


def claims_cell(tap: Tap) -> None:
    """Claims, a lost owner, repair and resends under one fault."""
    own = claims.ClaimCluster([f"e{i}" for i in range(1, 6)])
    own.tap = tap
    for i in range(6):
        claim(own, f"k{i}", f"r{i}")
    run(own, 2)
    victim = own.owners("k0")[0]
    own.kill(victim)
    own.change_view()
    run(own, 3)
    for i in range(6):
        claim(own, f"k{i}", f"s{i}")
    run(own, 3)
    heal(own)
    for name in [f"e{i}" for i in range(1, 6)]:
        if name not in own.claim_owners:
            own.start(name)
    own.change_view()
    run(own, 8)
    claim(own, "fresh", "fresh")
    run(own, 3)
    told = own.verdicts["fresh"]
    assert told in (claim_const.GRANTED, claim_const.BLIND), told


def claim(own, key: str, rid: str) -> None:
    alive = sorted(set(own.claim_owners) - own.frozen)
    own.claim(alive[len(rid) % len(alive)], key, rid)


def experts_cell(tap: Tap) -> None:
    """Switches, an abort and a new coordinator under one fault."""
    scene = ranks.Ranks()
    scene.tap = tap
    run(scene, 2)
    lead = max(scene.coordinators)
    scene.switch(lead)
    run(scene, 2)
    scene.store_fails = True
    scene.switch(max(scene.coordinators))
    run(scene, 1)
    scene.store_fails = False
    scene.switch(max(scene.coordinators))
    run(scene, 3)
    heal(scene)
    number = len(scene.coordinators) + 4
    scene.appoint(f"c{number}", number)
    run(scene, 6)
    # The fault may strike as late as in the recovery itself.
    heal(scene)
    run(scene, 6)
    before = len(scene.ran)
    run(scene, 3)
    assert len(scene.ran) > before, "the group stands still"


def membership_cell(tap: Tap) -> None:
    """Joins, a death, a leave and a restart under one fault."""
    scene = nodes.NodeCluster(4, 4)
    table = scene.nodes["e1"].table
    table.log_id = "log"
    table.put("x", b"1", 1)
    scene.tap = tap
    scene.start("e5")
    scene.entries.append("e5")
    scene.start("a5")
    run(scene, 5)
    scene.apart = {"e4"}
    run(scene, 7)
    scene.apart = set()
    run(scene, 3)
    if "a1" not in scene.down:
        scene.post("a1", scene.nodes["a1"].announce_leaving())
    scene.down.add("a2")
    run(scene, 8)
    # The fault may strike as late as in the recovery itself.
    for _ in range(2):
        heal(scene)
        for name in sorted(scene.down):
            scene.start(name)
        run(scene, 25)
    alive = member_messages.Status.ALIVE
    for name in scene.nodes:
        if name != "a1":
            assert scene.seen(name) == {alive}, (name, scene.seen(name))
    # A change dies with its only holder, which control's majority is not.
    revisions = {scene.nodes[n].table.revision for n in scene.entries}
    assert len(revisions) == 1, revisions


def declared_cell(tap: Tap) -> None:
    """Changes, reads, a leaving target and a lost disk under one fault."""
    scene = site.Site()
    scene.run(4.0)
    scene.tap = tap
    for version in (3, 5):
        replace_somewhere(scene, version)
        run(scene, 1.0)
    up = running(scene)
    if up:
        scene.announce(up[0], site.target(sequence=1))
        run(scene, 1.0)
    leaving = site.target(sequence=5, presence=1)
    up = running(scene)
    told = scene.announce(up[-1], leaving) if up else None
    run(scene, 1.0)
    for name in running(scene)[:2]:
        scene.describe(name)
    run(scene, 1.0)
    if len(running(scene)) == 3:
        scene.wipe("c3")
    run(scene, 1.0)
    if "e1" in scene.discovery_clients:
        known = site.target("t9", "10.0.0.9:80")
        gone = scene.discovery_clients["e1"].announce_target_gone(
            known, scene.now
        )
        scene.perform("e1", gone)
    run(scene, 1.0)
    # The fault may strike as late as in the recovery itself.
    for _ in range(2):
        heal(scene)
        for name in ("e1", "e2"):
            if name not in scene.discovery_clients:
                scene.start_entry(name)
        scene.settle(8.0)
        scene.tap.apply(scene)
    replace_somewhere(scene, 9)
    run(scene, 3.0)
    heal(scene)
    scene.settle(6.0)
    assert scene.acked[0] == 9, scene.acked
    assert set(scene.versions.values()) == {9}, scene.versions
    if acknowledged(scene, told):
        for follower in scene.discovery_clients.values():
            assert not follower.directory.list_ready("s", scene.now)


def founding_cell(tap: Tap) -> None:
    """The first start of a system whose lowest seed has no disk.

    A process that is killed before the log is founded starts again with the
    settings of the first start.
    """
    scene = site.Site(controls=4, diskless=("c1",))
    scene.tap = tap
    run(scene, 4.0)
    heal(scene)
    for name in scene.names:
        if name not in scene.nodes:
            scene.start(name)
            scene.nodes[name].start_bootstrap(
                decides=name == "c1", now=scene.now
            )
    run(scene, 4.0)
    scene.settle(6.0)
    replace_somewhere(scene, 9)
    run(scene, 3.0)
    assert scene.acked[0] == 9, scene.acked
    logs = {node.voter.seats.log_id for node in scene.nodes.values()}
    assert len(logs - {""}) == 1, logs


def evacuation_cell(tap: Tap) -> None:
    """An evacuation, its withdrawal and another one under one fault."""
    scene = site.Site()
    scene.run(4.0)
    replace_somewhere(scene, 3)
    scene.tap = tap
    followers = [n for n in scene.names if n != scene.leader()]
    for evacuated in (True, False, True):
        order = evacuations.Order(scene, evacuated, [*followers, *scene.names])
        for _ in range(25):
            order.advance()
            run(scene, 0.2)
            if order.acked_at:
                break
        heal(scene)
        for name in scene.names:
            if name not in scene.nodes:
                scene.start(name)
        evacuations.wait_for(scene, [order])
    run(scene, 1.0)
    heal(scene)
    for name in ("e1", "e2"):
        if name not in scene.discovery_clients:
            scene.start_entry(name)
    scene.settle(4.0)
    expected = (evacuations.PLACE,)
    assert set(scene.evacuated.values()) == {expected}, scene.evacuated
    found = evacuations.committed(scene)
    assert set(found.values()) == {expected}, found


def recovery_cell(tap: Tap) -> None:
    """Two of three disks are lost where five voters are wanted."""
    scene = site.Site(wanted=5)
    run(scene, 8.0)
    replace_somewhere(scene, 1)
    assert scene.acked[0] == 1, scene.acked
    for name in scene.names:
        scene.kill(name)
    for name in ("c1", "c2"):
        scene.wipe(name)
    scene.queue.clear()
    scene.tap = tap
    for name in scene.names:
        scene.start(name)
    run(scene, 4.0)
    heal(scene)
    scene.settle(10.0)
    told = scene.describe("c1")
    run(scene, 1.0)
    assert scene.results[told].declared.version == 1, scene.results[told]
    replace_somewhere(scene, 2)
    assert scene.acked[0] == 2, scene.acked


def acknowledged(scene, told) -> bool:
    return isinstance(scene.results.get(told), discovery_server.Acknowledged)


def running(scene) -> list[str]:
    return sorted(n for n in scene.nodes if n not in scene.frozen)


def replace_somewhere(scene, version: int) -> None:
    """Send a change as an operator does: again, until it is acknowledged."""
    for _ in range(6):
        for name in running(scene):
            scene.replace(name, version)
        run(scene, 1.0)
        if scene.acked[0] >= version:
            return
        heal(scene)


def report_cell(tap: Tap) -> None:
    """An entry's report of outdated requests reaches all control VMs."""
    scene = site.Site(controls=5, entries=1, diskless=("c4", "c5"))
    scene.settle(10.0)
    run(scene, 4.0)
    scene.tap = tap
    report = config_messages.OutdatedRequests(
        entry="e1", version=7, requests=(), total=1
    )
    for name in scene.discovery_clients["e1"].control_names:
        scene.post("e1", name, report)
    run(scene, 4.0)
    heal(scene)
    run(scene, 2.0)
    unknown = [
        name
        for name in running(scene)
        if not scene.nodes[name].version_reports.is_known("e1", 7)
    ]
    assert not unknown, unknown


def relay_cell(tap: Tap) -> None:
    """The same with orders that others pass on, however small they are."""
    least = (const.MIN_RELAY_BYTES, const.MIN_RELAY_AGENTS)
    const.MIN_RELAY_BYTES, const.MIN_RELAY_AGENTS = 0, 1
    try:
        mapswitch_cell(tap, relays={"p0": "r0", "p1": "r1"})
    finally:
        const.MIN_RELAY_BYTES, const.MIN_RELAY_AGENTS = least


def mapswitch_cell(tap: Tap, relays: dict[str, str] | None = None) -> None:
    """Switches, a lost order and a new leader under one fault."""
    scene = engines.Deployment()
    scene.relays = relays or {}
    scene.lead()
    scene.tap = tap
    for hot in (1, 2, 3):
        scene.group.hot = hot
        run(scene, 1.0)
    scene.group.lost = 0.3
    run(scene, 2.0)
    scene.group.lost = 0.0
    scene.lead()
    run(scene, 3.0)
    heal(scene)
    scene.lead()
    run(scene, 4.0)
    before = scene.group.passes
    run(scene, 2.0)
    assert not scene.group.broken, scene.group.broken
    assert scene.group.passes > before + 10, "the group stands still"


def quarantine_cell(tap: Tap) -> None:
    """A request that ends targets, a restart, and one fault."""
    scene = quarantine.Scene(entries=4, controls=3, data_centres=2)
    scene.tap = tap
    scene.send_request("e0", "bad")
    run(scene, 1.0)
    scene.send_request("e1", "bad")
    run(scene, 1.0)
    scene.kill("e2")
    run(scene, 2.0)
    heal(scene)
    run(scene, 2.0)
    for name in ("e3", "e2", "e1", "e0"):
        scene.send_request(name, "bad")
        run(scene, 1.0)
    assert len(scene.crashes["bad"]) <= 3, scene.crashes
    run(scene, 2.0)
    assert scene.quarantining_entries("bad") == set(scene.entries), (
        scene.quarantining_entries("bad")
    )


CELLS = {
    "quarantine": quarantine_cell,
    "quorum": quorum_cell,
    "claim": claims_cell,
    "experts": experts_cell,
    "member": membership_cell,
    "configctl": declared_cell,
    "directory": declared_cell,
    "mapswitch": mapswitch_cell,
}


# Messages that only a scene of their own sends.
CELLS_BY_KIND = {
    "configctl.found": founding_cell,
    "configctl.outdated_requests": report_cell,
    "quorum.hello": recovery_cell,
    "quorum.seat_claim_check": recovery_cell,
    "mapswitch.order_relay": relay_cell,
    "configctl.evacuate_ask": evacuation_cell,
    "configctl.evacuate_answer": evacuation_cell,
    "configctl.evacuations": evacuation_cell,
}


def kinds(protocol: str) -> list[str]:
    """Return the protocol's messages, as the code registers them."""
    return [k for k in codec.list_kinds() if k.split(".")[0] == protocol]


def table(protocol: str) -> list[tuple[str, str, str]]:
    """Run all cells of a protocol; tell which were met and held."""
    rows = []
    for kind in kinds(protocol):
        for fault in FAULTS:
            tap = Tap(kind, fault)
            CELLS_BY_KIND.get(kind, CELLS[protocol])(tap)
            rows.append((kind, fault, "held" if tap.met else "not met"))
    return rows
