"""Simulated control VMs with their discovery clients."""

import collections
import random

from features.harness import quorum as quorum_lib
from jasperweir import core
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import evacuations as evacuations_lib
from jasperweir.components.configctl import leader_requests as requests_lib
from jasperweir.components.configctl import node as node_lib
from jasperweir.components.confirmation import tracker as tracker_lib
from jasperweir.components.directory import records
from jasperweir.components.discovery import client as discovery_client
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import voter as voter_lib

STEP = 0.05
# Time after which a connection that receives nothing is closed.
CLOSE_SECONDS = 2.0


class OneContent:
    """Equals the first content that it is compared with, and no other."""

    def __init__(self):
        self.data = None

    def __eq__(self, other):
        if self.data is None:
            self.data = other
        return self.data == other

    __hash__ = None


class Site:
    """Processes on a virtual clock; invariants are checked during the run.

    Attributes:
        acked: Highest version whose commit was acknowledged to an operator,
            and the time of the acknowledgement.
        deaf: Pairs of a sender and a receiver that does not hear it.
        delays: Delay of messages by pairs of a sender and a receiver, seconds.
        observe: Called with each entry or agent after each step, and after
            each message that it has received.
    """

    def __init__(
        self,
        controls=3,
        entries=2,
        seed=0,
        bootstrap=True,
        wanted=3,
        diskless=(),
        places=None,
    ):
        self.wanted = wanted
        self.diskless = set(diskless)
        self.places = places or {}
        self.now = 0.0
        self.rng = random.Random(seed)
        self.names = [f"c{i}" for i in range(1, controls + 1)]
        self.disks = {n: quorum_lib.FakeDisk(n) for n in self.names}
        self.saved_commits = collections.Counter()
        self.soft_states = {}
        self.nodes = {}
        self.discovery_clients = {}
        self.versions = {}
        # Content in force by entry.
        self.applied = {}
        self.evacuated = {}
        self.starts = 0
        self.cut = set()
        self.deaf = set()
        self.delays = {}
        self.delayed = []
        self.observe = lambda name: None
        self.frozen = set()
        # Since when an entry's connection to a control VM receives nothing.
        self.broken_since = {}
        self.queue = collections.deque()
        self.drop = 0.0
        self.acked = (0, 0.0)
        self.contents = {}
        self.calls = {}
        self.results = {}
        self.tap = None
        for name in self.names:
            self.start(name)
        if bootstrap:
            for name, node in self.nodes.items():
                node.start_bootstrap(
                    decides=name == min(self.names[:3]), now=self.now
                )
        for i in range(1, entries + 1):
            self.start_entry(f"e{i}")

    # Processes.

    def start(self, name, seeds=None):
        disk = self.disks.setdefault(name, quorum_lib.FakeDisk(name))
        voter = voter_lib.Voter(
            name=name, recovered=disk.recovered(), rng=self.rng, now=self.now
        )
        self.starts += 1
        self.nodes[name] = node_lib.ConfigNode(
            name=name,
            place=self.places.get(name, "p"),
            voter=voter,
            seeds=tuple(seeds or self.names[:3]),
            wanted_seats=self.wanted,
            has_disk=name not in self.diskless,
            first_number=1000 * self.starts,
        )
        acts = self.nodes[name].restore(
            self.saved_commits[name], self.soft_states.get(name, b""), self.now
        )
        self.perform(name, acts)

    def kill(self, name):
        node = self.nodes.pop(name, None)
        if node is not None:
            self.saved_commits[name] = node.voter.commit
            self.soft_states[name] = node.soft_state(self.now)
        self.discovery_clients.pop(name, None)

    def wipe(self, name):
        self.kill(name)
        self.disks[name].wipe()
        self.saved_commits[name] = 0
        self.soft_states.pop(name, None)

    def start_entry(self, name):
        node = records.Node(
            name, "entry", self.places.get(name, "p"), f"{name}:80", False,
            self.rng.getrandbits(30), 0,
        )  # fmt: skip
        self.discovery_clients[name] = discovery_client.DiscoveryClient(
            node=node,
            seeds=tuple(self.names[:3]),
            now=self.now,
            is_connected=lambda control: self.is_connected(name, control),
        )
        self.versions[name] = 0
        self.evacuated[name] = ()

    def start_agent(self, name):
        node = records.Node(
            name, "agent", "p", "", False, self.rng.getrandbits(30), 0
        )
        self.discovery_clients[name] = discovery_client.DiscoveryClient(
            node=node,
            seeds=tuple(self.names[:3]),
            now=self.now,
            heartbeat_s=1.0,
            wants_content=False,
        )

    def serves(self, name):
        """Return the version by which an entry lets requests through, or 0.

        Requests that it holds are not let through.
        """
        standing = self.discovery_clients[name].confirmations.standing(self.now)
        is_decided = standing in (
            tracker_lib.Standing.CURRENT,
            tracker_lib.Standing.UNCONFIRMED,
        )
        return self.versions[name] if is_decided else 0

    # Time and messages.

    def is_connected(self, entry, control):
        """Return whether an entry's connection to a control VM is open."""
        if control not in self.nodes:
            return False
        since = self.broken_since.get((entry, control), self.now)
        return self.now - since < CLOSE_SECONDS

    def _update_connections(self):
        if not self.cut and not self.frozen:
            self.broken_since.clear()
            return
        for entry in self.discovery_clients:
            for control in self.nodes:
                pair = entry, control
                if self._is_broken(*pair):
                    self.broken_since.setdefault(pair, self.now)
                else:
                    self.broken_since.pop(pair, None)

    def _is_broken(self, a, b):
        if b in self.frozen:
            return True
        return (a, b) in self.cut or (b, a) in self.cut

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self._update_connections()
            for name, node in list(self.nodes.items()):
                if name not in self.frozen:
                    self.perform(name, node.tick(self.now))
            for name, follower in list(self.discovery_clients.items()):
                if name in self.frozen:
                    continue
                is_open = follower.is_ready(self.now)
                self.perform(
                    name, follower.set_open(is_open=is_open, now=self.now)
                )
                self.perform(name, follower.tick(self.now))
            self.deliver()
            for name in list(self.discovery_clients):
                self.observe(name)

    def deliver(self):
        due = [item for item in self.delayed if item[0] <= self.now]
        self.delayed = [item for item in self.delayed if item[0] > self.now]
        self.queue.extend(item[1:] for item in due)
        for _ in range(len(self.queue) * 6):
            if not self.queue:
                return
            src, dst, msg = self.queue.popleft()
            if self.is_cut(src, dst) or self.rng.random() < self.drop:
                continue
            if dst in self.frozen:
                self.queue.append((src, dst, msg))
                continue
            if dst in self.nodes:
                acts = self.nodes[dst].receive(src, msg, self.now)
                self.perform(dst, acts)
            elif dst in self.discovery_clients:
                acts = self.discovery_clients[dst].receive(src, msg, self.now)
                self.perform(dst, acts)
                self.observe(dst)

    def is_cut(self, a, b):
        if (a, b) in self.deaf:
            return True
        return (a, b) in self.cut or (b, a) in self.cut

    def perform(self, name, acts):
        for act in acts:
            match act:
                case core.Send():
                    self.post(name, act.dst, act.msg)
                case actions.SaveMeta() | actions.SaveEntries():
                    assert name not in self.diskless, act
                    self.disks[name].save(act)
                case actions.SaveSnapshot():
                    self.disks[name].save(act)
                case discovery_client.ApplyConfiguration():
                    assert act.version > self.versions[name], "went back"
                    self.versions[name] = act.version
                    self.applied[name] = act.data
                    assert act.data == self.contents[act.version]
                    client = self.discovery_clients[name]
                    self.perform(name, client.on_applied(act.version, self.now))
                case discovery_client.ApplyEvacuations():
                    self.evacuated[name] = act.evacuations.places
                case evacuations_lib.Evacuated():
                    self.results[(name, act.number)] = act
                case requests_lib.Replaced():
                    self.on_replaced(name, act)
                case requests_lib.Described():
                    self.on_described(name, act)
                case (
                    discovery_server.Acknowledged()
                    | discovery_server.Unconfirmed()
                ):
                    self.results[(name, act.number)] = act

    def post(self, src, dst, msg):
        if self.tap is not None and self.tap(self, src, dst, msg):
            return
        delay_s = self.delays.get((src, dst), 0.0)
        if delay_s:
            self.delayed.append((self.now + delay_s, src, dst, msg))
            return
        self.queue.append((src, dst, msg))

    def cut_pair(self, a, b):
        self.cut.add((a, b))

    # Operators and targets.

    def replace(self, name, version, data=None):
        data = data or f"content of {version}".encode()
        self.contents.setdefault(version, data)
        asked = self.nodes[name].replace(version, data, self.now)
        self.calls[(name, asked.number)] = (version, self.now)
        self.perform(name, asked.acts)
        return (name, asked.number)

    def describe(self, name):
        asked = self.nodes[name].describe(self.now)
        self.calls[(name, asked.number)] = (self.acked[0], self.now)
        self.perform(name, asked.acts)
        return (name, asked.number)

    def on_replaced(self, name, act):
        version, _ = self.calls[(name, act.number)]
        self.results[(name, act.number)] = act
        late = self.list_behind(version)
        assert not late, f"{version} is acknowledged and not in force at {late}"
        if version > self.acked[0]:
            self.acked = (version, self.now)

    def list_behind(self, version):
        """Return the entries that may act on an older version as current."""
        return [
            name
            for name, client in self.discovery_clients.items()
            if 0 < self.versions[name] < version
            and client.confirmations.age_s(self.now)
            < client.confirmations.valid_s
        ]

    def on_described(self, name, act):
        floor, _ = self.calls[(name, act.number)]
        got = act.declared
        assert got.version >= floor, f"read {got.version} after {floor}"
        assert got.data == self.contents[got.version], "other content"
        self.results[(name, act.number)] = act

    def announce(self, name, target):
        asked = self.nodes[name].announce(target, self.now)
        self.perform(name, asked.acts)
        return (name, asked.number)

    def leader(self):
        found = [
            n
            for n, node in self.nodes.items()
            if n not in self.frozen and node.voter.has_lease(self.now)
        ]
        return found[0] if found else ""

    def settle(self, seconds=8.0):
        """Remove all faults, restart all control VMs and run."""
        self.cut.clear()
        self.deaf.clear()
        self.delays.clear()
        self.frozen.clear()
        self.drop = 0.0
        for name in self.names:
            if name not in self.nodes:
                self.start(name)
        self.run(seconds)


def target(target_id="t1", address="10.0.0.1:80", sequence=1, presence=0):
    return records.Target(
        target_id=target_id,
        service="s",
        address=address,
        place="p",
        slots=6,
        presence=records.Presence(presence),
        sequence=sequence,
    )
