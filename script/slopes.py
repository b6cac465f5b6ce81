"""Measure control's cost against nodes, targets, customers and claims."""

import argparse
import json
import pathlib
import random
import statistics
import tempfile
import time
import tracemalloc
from typing import Any
from typing import NamedTuple

import numpy as np

from jasperweir import core
from jasperweir.components.bundle import flat_content
from jasperweir.components.claims import messages as claim_messages
from jasperweir.components.claims import owner as owner_lib
from jasperweir.components.claims import partitions
from jasperweir.components.config import replica as replica_lib
from jasperweir.components.config import table as table_lib
from jasperweir.components.experts import maps
from jasperweir.components.experts import placement
from jasperweir.components.experts import planner
from jasperweir.components.membership import announcer as announcer_lib
from jasperweir.components.membership import gossip as gossip_lib
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine as state_machine_lib
from jasperweir.helpers import codec
from standins import local as local_lib

TICK = 0.1
DEAD = member_messages.Status.DEAD
SERVICES = 28
PLACES = 4


class Traffic(NamedTuple):
    """Cost of one node's membership and configuration."""

    nodes: int
    targets: int
    entry_out_bytes_s: float
    entry_in_bytes_s: float
    entry_worst_out_bytes_s: float
    entry_cpu_percent: float
    agent_out_bytes_s: float
    agent_in_bytes_s: float


def member(name: str, kind: str, number: int) -> member_messages.Member:
    """Return a record of the size that a real one has."""
    offers: tuple[member_messages.Offer, ...] = ()
    if kind == "agent":
        offers = (member_messages.Offer(f"model-{number % SERVICES}", ("fr",)),)
    return member_messages.Member(
        name=name,
        kind=kind,
        place=f"place-{number % PLACES}",
        inc=1764680000000 + number,
        seq=0,
        status=member_messages.Status.ALIVE,
        addr=f"10.20.{number // 250}.{number % 250}:7000",
        http=f"10.20.{number // 250}.{number % 250}:8080",
        offers=offers,
        group=f"group-{number // 16}" if kind == "agent" else "",
        ranks=8 if kind == "agent" else 0,
    )


class Fleet:
    """The product's own membership objects, with every frame encoded.

    Frames are counted by their encoded size and delivered at the next tick.
    """

    def __init__(self, *, nodes: int, targets: int) -> None:
        self.now = 0.0
        self.out: dict[str, int] = {}
        self.into: dict[str, int] = {}
        self.cpu = 0.0
        self._queue: list[tuple[str, str, Any]] = []
        rng = random.Random(1)
        records = [member(f"entry-{i}", "entry", i) for i in range(nodes)]
        records += [member(f"agent-{i}", "agent", i) for i in range(targets)]
        seeds = tuple(member_messages.Peer(m.name, m.addr) for m in records[:3])
        self.entries: dict[str, gossip_lib.Gossip] = {}
        self.agents: dict[str, announcer_lib.Announcer] = {}
        for record in records:
            if record.kind == "agent":
                self.agents[record.name] = announcer_lib.Announcer(
                    member=record, table=table_lib.Table(), seeds=seeds
                )
                continue
            gossip = gossip_lib.Gossip(
                own=record,
                table=table_lib.Table(),
                seeds=seeds,
                rng=random.Random(rng.random()),
            )
            for other in records:
                gossip.roster.merge(other, 0.0)
            self.entries[record.name] = gossip

    def post(self, src: str, acts: list[Any]) -> None:
        """Encode and count each frame."""
        for act in acts:
            assert isinstance(act, core.Send)
            data = codec.encode(
                act.msg,
                src=src,
                src_inc=1764680000000,
                src_addr="10.20.30.40:7000",
                dst=act.dst,
            )
            self.out[src] = self.out.get(src, 0) + len(data)
            self.into[act.dst] = self.into.get(act.dst, 0) + len(data)
            self._queue.append((src, act.dst, act.msg))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            start = time.process_time()
            for name, gossip in self.entries.items():
                self.post(name, gossip.tick(self.now))
            pending, self._queue = self._queue, []
            for src, dst, msg in pending:
                if dst in self.entries:
                    out = self.entries[dst].receive(src, msg, self.now)
                    self.post(dst, out)
            self.cpu += time.process_time() - start
            for src, dst, msg in pending:
                if dst in self.agents:
                    agent = self.agents[dst]
                    self.post(dst, agent.receive(src, msg, self.now))
            for name, agent in self.agents.items():
                self.post(name, agent.tick(self.now))

    def reset(self) -> None:
        """Forget what was counted."""
        self.out.clear()
        self.into.clear()
        self.cpu = 0.0

    def traffic(self, seconds: float) -> Traffic:
        """Return what was counted, for each node and second."""
        out = [self.out.get(n, 0) / seconds for n in self.entries]
        into = [self.into.get(n, 0) / seconds for n in self.entries]
        agent_out = [self.out.get(n, 0) / seconds for n in self.agents]
        agent_in = [self.into.get(n, 0) / seconds for n in self.agents]
        cpu = self.cpu / seconds / len(self.entries) * 100
        return Traffic(
            nodes=len(self.entries),
            targets=len(self.agents),
            entry_out_bytes_s=statistics.fmean(out),
            entry_in_bytes_s=statistics.fmean(into),
            entry_worst_out_bytes_s=max(out),
            entry_cpu_percent=cpu,
            agent_out_bytes_s=statistics.fmean(agent_out or [0]),
            agent_in_bytes_s=statistics.fmean(agent_in or [0]),
        )


def membership(sizes: list[tuple[int, int]]) -> list[dict[str, Any]]:
    """Measure steady traffic, one failure and one change, per size."""
    rows = []
    for nodes, targets in sizes:
        fleet = Fleet(nodes=nodes, targets=targets)
        fleet.run(5)
        fleet.reset()
        fleet.run(10)
        row: dict[str, Any] = fleet.traffic(10)._asdict()
        row |= _one_change(fleet)
        row |= _one_failure(fleet)
        rows.append(row)
        print(json.dumps(_rounded(row)), flush=True)
    return rows


def _one_change(fleet: Fleet) -> dict[str, Any]:
    """Commit one change of 300 bytes at one node; time until all hold it."""
    before = sum(fleet.out.values())
    first = next(iter(fleet.entries.values()))
    first.table.put("bundle/x", b"v" * 300, first.table.revision + 1)
    start = fleet.now
    revision = first.table.revision
    nodes = list(fleet.entries.values())
    agents = list(fleet.agents.values())
    entries_at = agents_at = 0.0
    while fleet.now - start < 15 and not agents_at:
        fleet.run(TICK)
        if not entries_at and all(n.table.revision >= revision for n in nodes):
            entries_at = fleet.now - start
        if entries_at and all(a.table.revision >= revision for a in agents):
            agents_at = fleet.now - start
    steady = 0.0
    spent = sum(fleet.out.values()) - before - steady
    return {
        "change_at_entries_s": entries_at,
        "change_at_agents_s": agents_at,
        "change_bytes_all_nodes": spent,
    }


def _one_failure(fleet: Fleet) -> dict[str, Any]:
    """Silence one agent; time until every entry knows it dead."""
    if not fleet.agents:
        return {}
    name = next(iter(fleet.agents))
    del fleet.agents[name]
    start = fleet.now
    known = 0.0
    while fleet.now - start < 20 and not known:
        fleet.run(TICK)
        status = [g.roster.get(name) for g in fleet.entries.values()]
        if all(m is not None and m.status >= DEAD for m in status):
            known = fleet.now - start
    return {"failure_known_s": known}


def memory_of(build: Any, count: int) -> float:
    """Return bytes per item that a builder of ``count`` items holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build(count)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert kept is not None
    return (after - before) / count


def state() -> dict[str, Any]:
    """Measure memory and processor time per record of each kind."""

    def roster(count: int) -> Any:
        own = member("own", "entry", 0)
        found = gossip_lib.Gossip(
            own=own,
            table=table_lib.Table(),
            seeds=(),
            rng=random.Random(1),
        )
        for i in range(count):
            found.roster.merge(member(f"agent-{i}", "agent", i), 0.0)
        return found

    def claims(count: int) -> Any:
        owner = owner_lib.ClaimOwner(name="e", inc=1, window=600)
        owner.on_view(ops.View(1, (("e", 1, "p"),)), 0.0)
        owner.confirm(1, 0.0)
        for i in range(count):
            record = claim_messages.Record(
                key=f"customer-{i % 15000}\x1f{i:016x}",
                digest=i,
                rid=f"{i:016x}",
                target="agent-1",
                target_inc=1764680000000,
                http="10.20.30.40:8090",
            )
            owner.receive(
                "e", 1, claim_messages.ClaimRequest(1, "a", record, 0), 0.0
            )
        return owner

    row = {
        "roster_bytes_per_record": memory_of(roster, 2000),
        "claim_bytes_per_record": memory_of(claims, 20000),
    }
    start = time.process_time()
    claims(20000)
    row["claim_us"] = (time.process_time() - start) / 20000 * 1e6
    members = tuple((f"entry-{i}", 1, f"p{i % 4}") for i in range(530))
    start = time.process_time()
    partitions.assign_owners(members)
    row["view_layout_ms_530"] = (time.process_time() - start) * 1000
    print(json.dumps(_rounded(row)), flush=True)
    return row


def bundle_content(customers: int) -> flat_content.Content:
    """Return a bundle of the target's shape."""
    lines = ["[bundle]", "name = big"]
    for i in range(PLACES):
        lines += [f"[place place-{i}]", f"region = r{i % 2}"]
    for i in range(SERVICES):
        lines += [f"[service model-{i}]", "kind = model", "adapters = fr, ar"]
    for i in range(customers):
        lines += [f"[customer customer-{i}]", f"weight = {1 + i % 7}"]
    return flat_content.from_ini("\n".join(lines), "big")


def changes(sizes: list[int]) -> list[dict[str, Any]]:
    """Measure one configuration change against the number of customers."""
    rows = []
    for customers in sizes:
        machine = state_machine_lib.StateMachine()
        machine.table.log_id = "log"
        content = bundle_content(customers)
        _apply(machine, 1, _sign_off(machine, content))
        _apply(machine, 2, ops.Roll(1))
        for i in range(PLACES):
            _apply(machine, 3 + i, ops.RollStep(1, f"place-{i}"))
        node = replica_lib.Replica(place="place-0")
        tracemalloc.start()
        delta = machine.table.delta(0, 10**9)
        codec_copy = codec.unpack(codec.pack(delta), table_lib.Delta)
        node.table.apply(codec_copy)
        node.refresh()
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        content = dict(content)
        content["customer customer-1\x1fweight"] = "9"
        op = _sign_off(machine, content)
        start = time.process_time()
        _apply(machine, 20, op)
        accept = time.process_time() - start
        _apply(machine, 21, ops.Roll(2))
        _apply(machine, 22, ops.RollStep(2, "place-0"))
        delta = machine.table.delta(node.table.revision)
        size = len(codec.pack(delta))
        start = time.process_time()
        node.table.apply(delta)
        node.refresh()
        follow = time.process_time() - start
        assert node.version == 2
        start = time.process_time()
        dumped = machine.dump()
        dump = time.process_time() - start
        row = {
            "customers": customers,
            "node_memory_mb": held / 1e6,
            "delta_bytes": size,
            "control_apply_ms": accept * 1000,
            "node_follow_ms": follow * 1000,
            "snapshot_mb": len(dumped) / 1e6,
            "snapshot_ms": dump * 1000,
        }
        rows.append(row)
        print(json.dumps(_rounded(row)), flush=True)
    return rows


def _sign_off(
    machine: state_machine_lib.StateMachine, new: flat_content.Content
) -> ops.SignOff:
    change = flat_content.diff(machine.content(machine.head), new)
    return ops.SignOff(
        machine.head,
        tuple(sorted(change.items())),
        flat_content.content_hash(new),
        "",
    )


def _apply(machine: state_machine_lib.StateMachine, idx: int, op: Any) -> None:
    req = ops.Request(f"op-{idx}", "bench", 0.0, codec.pack_tagged(op))
    answer = machine.apply(idx, codec.pack(req))
    assert answer.code == 1002, answer


def plans() -> list[dict[str, Any]]:
    """Measure one planning round and the map's size against the group."""
    rows = []
    rng = np.random.default_rng(1)
    for ranks, per_rank, layers in (
        (16, 8, 4), (128, 1, 4), (128, 2, 4), (128, 2, 16), (128, 2, 32),
    ):  # fmt: skip
        slots = placement.initial_slots(ranks, per_rank, 64)
        layer = placement.Layer(slots, placement.even_split(slots, 64))
        shares = rng.dirichlet(np.full(64, 2.0), layers)
        start = time.process_time()
        plan = planner.plan(
            (layer,) * layers,
            shares,
            np.ones(ranks),
            skew_weight=0.5,
            budget=64,
        )
        spent = time.process_time() - start
        packed = maps.pack(plan.layers, 1)
        row = {
            "ranks": ranks,
            "per_rank": per_rank,
            "layers": layers,
            "plan_ms": spent * 1000,
            "moves": len(plan.moves),
            "map_bytes": len(codec.pack(packed)),
        }
        rows.append(row)
        print(json.dumps(_rounded(row)), flush=True)
    return rows


BUNDLE = """[bundle]
name = slopes
[callers]
deadline_s = {value}
[place p]
region = r
[service m]
kind = model
"""


def processes(counts: list[int], voters: int) -> list[dict[str, Any]]:
    """Measure real entries: bytes, processor, memory, time to follow."""
    rows = []
    folder = pathlib.Path(tempfile.mkdtemp(prefix="jasperweir-slopes-"))
    local = local_lib.LocalDeployment(folder=folder)
    try:
        for i in range(1, voters + 1):
            local.add(_spec("control", i, 1))
        for i in range(1, max(counts) + 1):
            local.add(_spec("entry", i, 2))
        local.start(*[f"control-{i}" for i in range(1, voters + 1)])
        local.bootstrap()
        path = folder / "bundle.ini"
        started = 0
        for count in counts:
            names = [f"entry-{i}" for i in range(1, count + 1)]
            local.start(*names[started:])
            started = count
            accepts, follows = [], []
            for number in range(4):
                value = 10 * count + number
                path.write_text(BUNDLE.format(value=value), encoding="utf-8")
                start = time.monotonic()
                signed = local.cli("bundle", "sign-off", "--file", str(path))
                accepts.append(time.monotonic() - start)
                start = time.monotonic()
                version = signed["version"]
                local.cli("bundle", "roll", "--version", str(version))
                local.wait_for(
                    "in force",
                    lambda names=names, version=version: _in_force(
                        local, names, version
                    ),
                    60,
                )
                follows.append(time.monotonic() - start)
                if number == 0:
                    time.sleep(6)
                    follows.clear()
            row = {"voters": voters, "entries": count}
            row |= _cost(local, names, "entry")
            lead = [f"control-{i}" for i in range(1, voters + 1)]
            row |= _cost(local, lead, "control")
            row["sign_off_command_s"] = statistics.median(accepts)
            row["in_force_everywhere_s"] = statistics.median(follows)
            rows.append(row)
            print(json.dumps(_rounded(row)), flush=True)
    finally:
        local.stop_all()
    return rows


def _spec(role: str, i: int, net: int) -> local_lib.NodeSpec:
    return local_lib.NodeSpec(
        role, f"{role}-{i}", "p", f"127.0.{net}.{i}:27000",
        f"127.0.{net}.{i}:28080", threads=4, max_streams=16,
    )  # fmt: skip


def _in_force(
    local: local_lib.LocalDeployment, names: list[str], version: int
) -> bool:
    for name in names:
        _, found = local.get(local.specs[name].http, "/readyz")
        if not found or found["version"] != version:
            return False
    return True


def _cost(
    local: local_lib.LocalDeployment,
    names: list[str],
    kind: str,
    seconds: float = 8.0,
) -> dict[str, float]:
    before = [_counters(local, name) for name in names]
    time.sleep(seconds)
    after = [_counters(local, name) for name in names]
    pairs = list(zip(before, after, strict=True))
    out = [(a["bytes_out"] - b["bytes_out"]) / seconds for b, a in pairs]
    into = [(a["bytes_in"] - b["bytes_in"]) / seconds for b, a in pairs]
    cpu = [(a["cpu"] - b["cpu"]) / seconds * 100 for b, a in pairs]
    return {
        f"{kind}_out_bytes_s": statistics.fmean(out),
        f"{kind}_in_bytes_s": statistics.fmean(into),
        f"{kind}_worst_out_bytes_s": max(out),
        f"{kind}_cpu_percent": statistics.fmean(cpu),
        f"{kind}_worst_cpu_percent": max(cpu),
        f"{kind}_rss_mb": statistics.fmean(a["rss"] for _, a in pairs),
    }


def _counters(local: local_lib.LocalDeployment, name: str) -> dict[str, float]:
    resp = local.http.request(
        "GET", f"http://{local.specs[name].http}/metrics", timeout=5.0
    )
    found = {"bytes_in": 0.0, "bytes_out": 0.0}
    for line in resp.data.decode().splitlines():
        for kind in found:
            if "link_total" in line and f'kind="{kind}"' in line:
                found[kind] = float(line.rsplit(" ", 1)[1])
    pid = local.procs[name].pid
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rsplit(")", 1)[1].split()
    found["cpu"] = (int(fields[11]) + int(fields[12])) / 100
    found["rss"] = int(fields[21]) * 4096 / 1e6
    return found


def _rounded(row: dict[str, Any]) -> dict[str, Any]:
    return {
        k: round(v, 3) if isinstance(v, float) else v for k, v in row.items()
    }


def main() -> None:
    """Run the chosen parts and write their rows to one file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--parts", default="state,changes,plans,membership,processes"
    )
    parser.add_argument(
        "--full",
        action="store_true",
        help="membership at 2,120 entry processes too, some six minutes more",
    )
    parser.add_argument("--out", type=pathlib.Path)
    args = parser.parse_args()
    found: dict[str, Any] = {}
    if args.out and args.out.exists():
        found = json.loads(args.out.read_text(encoding="utf-8"))
    for part in args.parts.split(","):
        print(f"== {part}", flush=True)
        match part:
            case "state":
                found[part] = state()
            case "changes":
                found[part] = changes([10, 500, 2000, 5000, 15000])
            case "plans":
                found[part] = plans()
            case "membership":
                sizes = [(10, 20), (40, 100), (130, 350), (530, 1400)]
                if args.full:
                    # Four entry processes a VM make 2,120 nodes.
                    sizes.append((2120, 1400))
                found[part] = membership(sizes)
            case "processes":
                rows = processes([10, 20, 40, 60], voters=3)
                found[part] = rows + processes([10], voters=5)
        if args.out:
            args.out.write_text(
                json.dumps(found, indent=1) + "\n", encoding="utf-8"
            )


if __name__ == "__main__":
    main()
