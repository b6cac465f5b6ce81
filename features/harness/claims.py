"""Simulated claim owners with view changes, partitions and restarts."""

import collections
import random

from jasperweir import core
from jasperweir.components.claims import client as client_lib
from jasperweir.components.claims import const
from jasperweir.components.claims import keeper as keeper_lib
from jasperweir.components.claims import messages
from jasperweir.components.registry import ops

STEP = 0.1
WINDOW = 60.0


class ClaimCluster:
    """Claim owners and their clients on a virtual clock.

    Attributes:
        granted: Time and request id of each grant, by key.
        no_control: Names of entries that are cut off from control.
        frozen: Names of entries whose process is suspended.
        loss: Share of messages that are lost.
    """

    def __init__(
        self, names: list[str], seed: int = 0, places: int = 3
    ) -> None:
        self.places = places
        self.now = 0.0
        self.rng = random.Random(seed)
        self.view = ops.View(0, ())
        self.inc: dict[str, int] = {}
        self.keepers: dict[str, keeper_lib.Keeper] = {}
        self.clients: dict[str, client_lib.Client] = {}
        self.queue: collections.deque = collections.deque()
        self.cut: set[frozenset] = set()
        self.no_control: set[str] = set()
        self.frozen: set[str] = set()
        self.granted: dict[str, list[tuple[float, str]]] = {}
        self.verdicts: dict[str, str] = {}
        self.late: list = []
        self.loss = 0.0
        self.tap = None
        for name in names:
            self.start(name)
        self.change_view()
        self.run(2)

    def start(self, name: str) -> None:
        self.inc[name] = self.inc.get(name, 0) + 1
        keeper = keeper_lib.Keeper(name=name, inc=self.inc[name], window=WINDOW)
        self.keepers[name] = keeper
        self.clients[name] = client_lib.Client(keeper=keeper)

    def kill(self, name: str) -> None:
        self.keepers.pop(name, None)
        self.clients.pop(name, None)

    def cut_pair(self, one: str, two: str) -> None:
        self.cut.add(frozenset((one, two)))

    def change_view(self) -> None:
        members = tuple(
            sorted(
                (n, self.inc[n], f"p{int(n[1:]) % self.places}")
                for n in self.keepers
                if n not in self.no_control and n not in self.frozen
            )
        )
        if members and members != self.view.members:
            self.view = ops.View(
                self.view.epoch + 1, members, self.view.members
            )

    def repaired(self) -> bool:
        return all(
            name in self.keepers
            and self.keepers[name].ready_epoch >= self.view.epoch
            for name, _, _ in self.view.members
        )

    def perform(self, name: str, acts: list) -> None:
        for act in acts:
            assert isinstance(act, core.Send)
            if self.tap is not None and self.tap(self, name, act.dst, act.msg):
                continue
            if self.rng.random() >= self.loss:
                self.queue.append((name, self.inc[name], act.dst, act.msg))

    def deliver(self) -> None:
        pending, self.queue = list(self.queue), collections.deque()
        for src, inc, dst, msg in pending:
            if dst not in self.keepers or frozenset((src, dst)) in self.cut:
                continue
            if dst in self.frozen:
                self.queue.append((src, inc, dst, msg))
                continue
            if isinstance(msg, messages.Reply):
                out = self.clients[dst].receive(msg, self.now)
            else:
                out = self.keepers[dst].receive(src, inc, msg, self.now)
            self.perform(dst, out)

    def run(self, seconds: float) -> None:
        for _ in range(max(1, round(seconds / STEP))):
            self.now += STEP
            for name in list(self.keepers):
                if name in self.frozen:
                    continue
                keeper = self.keepers[name]
                if name not in self.no_control:
                    self.perform(name, keeper.on_view(self.view, self.now))
                    keeper.confirm(self.view.epoch, self.now)
                self.perform(name, keeper.tick(self.now))
                self.perform(name, self.clients[name].tick(self.now))
            for _ in range(4):
                self.deliver()

    def claim(self, name: str, key: str, rid: str) -> None:
        """Claim a key; a second grant within the window is an error."""
        record = messages.Record(
            key=key, digest=1, rid=rid, target="t", target_inc=1, http="t"
        )

        def done(reply: messages.Reply) -> None:
            self.verdicts[rid] = reply.verdict
            if reply.verdict != const.GRANTED:
                return
            for at, other in self.granted.get(key, []):
                same = other == rid
                expired = self.now - at >= WINDOW
                assert same or expired, f"{key}: {other} then {rid}"
            self.granted.setdefault(key, []).append((self.now, rid))

        self.perform(
            name,
            self.clients[name].ask(
                record=record,
                expect=0,
                done=done,
                deadline=self.now + 1.5,
                now=self.now,
            ),
        )

    def owners(self, key: str) -> list[str]:
        partition = keeper_lib.partitions.partition_index(key)
        owners = keeper_lib.partitions.assign_owners(self.view.members)
        return [name for name, _ in owners[partition]]
