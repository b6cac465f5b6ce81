"""Simulated claim owners with view changes, partitions and restarts."""

import collections
import random

from jasperweir import core
from jasperweir.components.claims import client as client_lib
from jasperweir.components.claims import const
from jasperweir.components.claims import messages
from jasperweir.components.claims import owner as owner_lib
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
        self.claim_owners: dict[str, owner_lib.ClaimOwner] = {}
        self.clients: dict[str, client_lib.ClaimClient] = {}
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
        owner = owner_lib.ClaimOwner(
            name=name, inc=self.inc[name], window=WINDOW
        )
        self.claim_owners[name] = owner
        self.clients[name] = client_lib.ClaimClient(owner=owner)

    def kill(self, name: str) -> None:
        self.claim_owners.pop(name, None)
        self.clients.pop(name, None)

    def cut_pair(self, one: str, two: str) -> None:
        self.cut.add(frozenset((one, two)))

    def change_view(self) -> None:
        members = tuple(
            sorted(
                (n, self.inc[n], f"p{int(n[1:]) % self.places}")
                for n in self.claim_owners
                if n not in self.no_control and n not in self.frozen
            )
        )
        if members and members != self.view.members:
            self.view = ops.View(
                self.view.epoch + 1, members, self.view.members
            )

    def repaired(self) -> bool:
        return all(
            name in self.claim_owners
            and self.claim_owners[name].ready_epoch >= self.view.epoch
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
            if (
                dst not in self.claim_owners
                or frozenset((src, dst)) in self.cut
            ):
                continue
            if dst in self.frozen:
                self.queue.append((src, inc, dst, msg))
                continue
            if isinstance(msg, messages.ClaimReply):
                out = self.clients[dst].receive(msg, self.now)
            else:
                out = self.claim_owners[dst].receive(src, inc, msg, self.now)
            self.perform(dst, out)

    def run(self, seconds: float) -> None:
        for _ in range(max(1, round(seconds / STEP))):
            self.now += STEP
            for name in list(self.claim_owners):
                if name in self.frozen:
                    continue
                owner = self.claim_owners[name]
                if name not in self.no_control:
                    self.perform(name, owner.on_view(self.view, self.now))
                    owner.confirm(self.view.epoch, self.now)
                self.perform(name, owner.tick(self.now))
                self.perform(name, self.clients[name].tick(self.now))
            for _ in range(4):
                self.deliver()

    def claim(self, name: str, key: str, rid: str) -> None:
        """Claim a key; a second grant within the window is an error."""
        record = messages.Record(
            key=key, digest=1, rid=rid, target="t", target_inc=1, http="t"
        )

        def done(reply: messages.ClaimReply) -> None:
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
            self.clients[name].send_request(
                record=record,
                expect=0,
                done=done,
                deadline=self.now + 1.5,
                now=self.now,
            ),
        )

    def owners(self, key: str) -> list[str]:
        partition = owner_lib.partitions.partition_index(key)
        owners = owner_lib.partitions.assign_owners(self.view.members)
        return [name for name, _ in owners[partition]]
