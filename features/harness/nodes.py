"""Simulated cluster of entries and agents for the membership protocol."""

import random

from jasperweir import core
from jasperweir.components.config import table as table_lib
from jasperweir.components.membership import announcer as announcer_lib
from jasperweir.components.membership import gossip as gossip_lib
from jasperweir.components.membership import messages

STEP = 0.1


def member(name, kind, place="p", inc=1):
    return messages.Member(
        name=name,
        kind=kind,
        place=place,
        inc=inc,
        seq=0,
        status=messages.Status.ALIVE,
        addr=f"{name}:1",
        http=f"{name}:2",
        offers=(messages.Offer("s"),) if kind == "agent" else (),
    )


class NodeCluster:
    """Entries e1, e2, ... and agents a1, ... on a virtual clock and network.

    Attributes:
        apart: Nodes on one side of a network partition.
        cuts: Pairs of nodes whose link is cut.
        down: Nodes that have failed.
        frozen: Nodes whose process is suspended.
        sent: Number of messages sent.
        tap: Called with each message; drops it if it returns true.
    """

    def __init__(self, entries: int, agents: int) -> None:
        self.now = 0.0
        self.rng = random.Random(1)
        self.queue: list = []
        self.down: set[str] = set()
        self.apart: set[str] = set()
        self.frozen: set[str] = set()
        self.inc: dict[str, int] = {}
        self.nodes: dict = {}
        self.sent = 0
        self.tap = None
        self.cuts: set[frozenset] = set()
        self.entries = [f"e{i}" for i in range(1, entries + 1)]
        self.seeds = tuple(messages.Peer(n, f"{n}:1") for n in self.entries[:2])
        for name in self.entries:
            self.start(name)
        for i in range(1, agents + 1):
            self.start(f"a{i}")
        self.run(8)

    def start(self, name: str, inc: int = 0) -> None:
        self.inc[name] = inc or self.inc.get(name, 0) + 1
        self.down.discard(name)
        kind = "entry" if name.startswith("e") else "agent"
        own = member(name, kind, inc=self.inc[name])
        table = table_lib.Table()
        if kind == "agent":
            self.nodes[name] = announcer_lib.Announcer(
                member=own, table=table, seeds=self.seeds
            )
            return
        gossip = gossip_lib.Gossip(
            own=own,
            table=table,
            seeds=self.seeds,
            rng=random.Random(self.rng.random()),
        )
        self.nodes[name] = gossip
        self.post(name, gossip.join())

    def post(self, src: str, acts: list) -> None:
        for act in acts:
            assert isinstance(act, core.Send)
            self.sent += 1
            if self.tap is not None and self.tap(self, src, act.dst, act.msg):
                continue
            self.queue.append((src, act.dst, act.msg))

    def kill(self, name: str) -> None:
        self.down.add(name)

    def cut_pair(self, one: str, two: str) -> None:
        self.cuts.add(frozenset((one, two)))

    def reachable(self, src: str, dst: str) -> bool:
        if dst in self.down or dst not in self.nodes:
            return False
        if frozenset((src, dst)) in self.cuts:
            return False
        return (src in self.apart) == (dst in self.apart)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for name, node in self.nodes.items():
                if name not in self.down and name not in self.frozen:
                    self.post(name, node.tick(self.now))
            for _ in range(3):
                pending, self.queue = self.queue, []
                for src, dst, msg in pending:
                    if not self.reachable(src, dst):
                        continue
                    if dst in self.frozen:
                        self.queue.append((src, dst, msg))
                        continue
                    out = self.nodes[dst].receive(src, msg, self.now)
                    self.post(dst, out)

    def seen(self, name: str, among: list[str] | None = None) -> set:
        """Return the statuses that running entries have for a node."""
        found = set()
        for entry in among or self.entries:
            if entry in self.down or entry == name:
                continue
            known = self.nodes[entry].roster.get(name)
            found.add(known.status if known else None)
        return found
