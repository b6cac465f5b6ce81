"""Cluster of voters on a virtual clock with fault injection."""

import collections
import random

from jasperweir import core
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import voter as voter_lib

STEP = 0.05


class FakeDisk:
    """Synced data of a voter; ``wipe`` replaces it with a new, empty disk."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.generation = 0
        self.wipe()

    def wipe(self) -> None:
        self.generation += 1
        self.meta = messages.Meta()
        self.snapshot = messages.Snapshot()
        self.entries: dict[int, messages.Entry] = {}
        self.tail_uncertain = False

    def recovered(self) -> messages.Recovered:
        return messages.Recovered(
            disk=f"{self.name}-disk-{self.generation}",
            meta=self.meta,
            snapshot=self.snapshot,
            entries=tuple(self.entries[i] for i in sorted(self.entries)),
            tail_uncertain=self.tail_uncertain,
        )

    def save(self, act) -> None:
        match act:
            case actions.SaveMeta():
                self.meta = act.meta
            case actions.SaveEntries():
                for idx in [i for i in self.entries if i >= act.first]:
                    del self.entries[idx]
                self.entries.update({e.idx: e for e in act.entries})
            case actions.SaveSnapshot():
                self.snapshot = act.snapshot
                self.entries = {e.idx: e for e in act.kept}


class Cluster:
    """Voters, their disks and a network that can lose and reorder messages.

    All invariants are checked after each performed action.
    """

    def __init__(self, names: list[str], seed: int = 0) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.disks = {n: FakeDisk(n) for n in names}
        self.voters: dict[str, voter_lib.Voter] = {}
        self.queue: collections.deque = collections.deque()
        self.cut: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.committed: dict[int, messages.Entry] = {}
        self.applied: dict[str, list[messages.Entry]] = {}
        self.leaders: dict[int, str] = {}
        self.leases: list[str] = []
        self.actions_until_crash: dict[str, int] = {}
        self.drop_rate = 0.0
        self.duplicate_rate = 0.0
        self.shuffle = False
        self.action_count = 0
        self.tap = None
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        disk = self.disks[name]
        self.voters[name] = voter_lib.Voter(
            name=name,
            recovered=disk.recovered(),
            rng=random.Random(self.rng.random()),
            now=self.now,
        )
        self.applied[name] = []

    def kill(self, name: str) -> None:
        self.voters.pop(name, None)
        self.frozen.discard(name)

    def perform(self, name: str, acts: list) -> None:
        for act in acts:
            if self.actions_until_crash.get(name) == 0:
                del self.actions_until_crash[name]
                self.kill(name)
                return
            if name in self.actions_until_crash:
                self.actions_until_crash[name] -= 1
            self.action_count += 1
            match act:
                case core.Send():
                    self.post(name, act)
                case actions.Commit():
                    self.check_commit(name, act)
                case actions.RoleChanged():
                    self.check_role(name, act)
                case _:
                    self.disks[name].save(act)

    def post(self, name: str, act: core.Send) -> None:
        if (name, act.dst) in self.cut or self.rng.random() < self.drop_rate:
            return
        if self.tap is not None and self.tap(self, name, act.dst, act.msg):
            return
        self.queue.append((name, act.dst, act.msg))
        if self.rng.random() < self.duplicate_rate:
            self.queue.append((name, act.dst, act.msg))

    def check_commit(self, name: str, act: actions.Commit) -> None:
        for entry in act.entries:
            known = self.committed.setdefault(entry.idx, entry)
            assert known == entry, f"committed {known} became {entry}"
        self.applied[name] += act.entries

    def check_role(self, name: str, act: actions.RoleChanged) -> None:
        if act.role != voter_lib.LEADER:
            return
        other = self.leaders.setdefault(act.term, name)
        assert other == name, f"{other} and {name} lead term {act.term}"

    def check_leases(self) -> None:
        held = [
            n
            for n, v in self.voters.items()
            if n not in self.frozen and v.has_lease(self.now)
        ]
        assert len(held) <= 1, f"leases held by {held}"

    def deliver_messages(self) -> None:
        pending = list(self.queue)
        self.queue.clear()
        if self.shuffle:
            self.rng.shuffle(pending)
        for src, dst, msg in pending:
            voter = self.voters.get(dst)
            if voter is None or (src, dst) in self.cut:
                continue
            if dst in self.frozen:
                self.queue.append((src, dst, msg))
                continue
            self.perform(dst, voter.receive(src, msg, self.now))
            self.check_leases()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for name in list(self.voters):
                if name in self.frozen or name not in self.voters:
                    continue
                self.perform(name, self.voters[name].tick(self.now))
                self.check_leases()
            for _ in range(4):
                self.deliver_messages()

    def leader(self) -> str:
        found = [
            n
            for n, v in self.voters.items()
            if n not in self.frozen and v.has_lease(self.now)
        ]
        return found[0] if found else ""

    def wait_for_leader(self, seconds: float = 12.0) -> str:
        for _ in range(round(seconds / 0.2)):
            self.run(0.2)
            if self.leader():
                return self.leader()
        raise AssertionError(f"no leader within {seconds} s")

    def bootstrap(self, first: str) -> None:
        self.perform(first, self.voters[first].bootstrap("a"))
        self.wait_for_leader()
        for name in self.disks:
            if name != first:
                self.add_voter(name)

    def add_voter(self, name: str) -> None:
        leader = self.voters[self.wait_for_leader()]
        disk = self.disks[name].recovered().disk
        seat = messages.Seat(name=name, disk=disk, addr="a", voting=False)
        for _ in range(50):
            held = leader.seats
            idx, out = leader.change_seats(
                held._replace(seats=(*held.seats, seat)), self.now
            )
            if idx:
                self.perform(leader.name, out)
                break
            self.run(0.2)
        for _ in range(50):
            self.run(0.2)
            found = leader.find_seat(name)
            if found and found.voting and leader.seats_index <= leader.commit:
                return
        raise AssertionError(f"{name} did not become a voter")

    def propose(self, data: bytes, name: str = "") -> int:
        name = name or self.leader()
        if not name:
            return 0
        idx, out = self.voters[name].propose(data, self.now)
        self.perform(name, out)
        return idx

    def cut_pair(self, one: str, two: str) -> None:
        self.cut |= {(one, two), (two, one)}

    def cut_off(self, name: str) -> None:
        for other in self.disks:
            if other != name:
                self.cut |= {(name, other), (other, name)}

    def committed_ops(self) -> list[bytes]:
        return [
            self.committed[i].data
            for i in sorted(self.committed)
            if self.committed[i].kind == "op"
        ]
