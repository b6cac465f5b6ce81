"""Write docs/CAPACITY.md from the measured files in docs/data."""

import json
import pathlib
from typing import Any

import numpy as np

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / "docs" / "data"

VMS = 530
PROCESSES = 4
NODES = VMS * PROCESSES
TARGETS = 1400
REQUESTS = 22_000
TOKENS = 5_100_000
CUSTOMERS = 15_000
CHANGES_DAY = 1200
FAILURES_DAY = 24 + 150
DAY = 86_400
WINDOW = 600
KEYED_SHARE = 0.1
VOTERS = 5
BEATS_PER_SECOND = 20.0
CLAIM_MESSAGES = 12
CLAIM_BYTES = 230


class Fit:
    """A straight line through measured points."""

    def __init__(self, *, points: list[tuple[float, float]]) -> None:
        xs, ys = np.array(points, dtype=float).T
        self.slope, self.base = (float(v) for v in np.polyfit(xs, ys, 1))
        self.spread = float(np.abs(ys - self.base - self.slope * xs).max())
        self.points = len(points)

    def at(self, x: float) -> float:
        """Return the line's value."""
        return self.base + self.slope * x


def fit(rows: list[dict[str, Any]], x: str, y: str) -> Fit:
    """Fit one measured column against another."""
    return Fit(points=[(row[x], row[y]) for row in rows])


def load(name: str) -> Any:
    """Read one data file."""
    return json.loads((DATA / name).read_text(encoding="utf-8"))


def figures() -> dict[str, Any]:
    """Work out everything the page says."""
    slopes = load("slopes.json")
    entry = load("entry.json")
    member = slopes["membership"]
    top = member[-1]
    procs = [r for r in slopes["processes"] if r["voters"] == 3]
    five = next(r for r in slopes["processes"] if r["voters"] == 5)
    state = slopes["state"]
    changes = slopes["changes"]
    bundle = fit(changes, "customers", "node_memory_mb")
    follow = fit(changes, "customers", "node_follow_ms")
    apply = fit(changes, "customers", "control_apply_ms")
    rss = fit(procs, "entries", "entry_rss_mb")
    lead = fit(procs, "entries", "control_worst_out_bytes_s")
    lead_cpu = fit(procs, "entries", "control_worst_cpu_percent")
    force = fit(procs, "entries", "in_force_everywhere_s")
    keyed = REQUESTS * KEYED_SHARE
    claims = keyed * WINDOW * 3 / NODES
    streams = [
        r for r in entry if r.get("streams") == 530 and r["way"] == "entry"
    ]
    four = next(r for r in streams if r["entries"] == PROCESSES)
    one = next(r for r in streams if r["entries"] == 1)
    straight = next(
        r for r in entry if r.get("streams") == 530 and r["way"] == "straight"
    )
    requests = {r["requests"]: r for r in entry if "requests" in r}
    memory = {
        "interpreter, libraries, zmq": rss.base,
        "links to peers (at most 96)": rss.slope * 96,
        "records of nodes": (NODES + TARGETS)
        * state["roster_bytes_per_record"]
        / 1e6,
        "bundle": bundle.at(CUSTOMERS),
        "claims": claims * state["claim_bytes_per_record"] / 1e6,
    }
    change_bytes = top["change_bytes_all_nodes"] / NODES
    entry_bytes = {
        "gossip and heartbeats out": top["entry_out_bytes_s"],
        "beats to control": 130.0 * BEATS_PER_SECOND / NODES,
        "changes": change_bytes * CHANGES_DAY / DAY,
        "failures and restarts": change_bytes * 4 * FAILURES_DAY / DAY,
    }
    idle = procs[0]["entry_cpu_percent"]
    entry_cpu = {
        "idle process (ticks, link)": idle,
        "gossip and detection": top["entry_cpu_percent"],
        "changes": follow.at(CUSTOMERS) / 10 * CHANGES_DAY / DAY,
        "claim views": state["view_layout_ms_530"]
        * (NODES / 530)
        / 10
        * FAILURES_DAY
        * 2
        / DAY,
    }
    voters_more = (
        five["control_worst_out_bytes_s"]
        - procs[0]["control_worst_out_bytes_s"]
    )
    # A report restarts a node's beat timer, so regular beats fill only the
    # pauses between changes that are longer than it.
    pause = DAY / CHANGES_DAY
    every = NODES / BEATS_PER_SECOND
    fill = sum(np.exp(-k * every / pause) for k in range(1, 20))
    answer = lead.slope * 5.0
    leader_bytes = {
        "log and gossip, 3 voters": lead.base,
        "two more voters (5 in all)": voters_more,
        "answers to reports of changes": answer * NODES / pause,
        "answers to beats in between": answer * NODES / pause * float(fill),
    }
    accept = load("control.json")["accept"]
    three = accept[0]
    # An entry beats every 5 s where the slope was measured.
    beats = NODES / pause * (1 + float(fill))
    leader_cpu = (
        lead_cpu.base
        + lead_cpu.slope * 5.0 * beats
        + apply.at(CUSTOMERS) / 10 * (CHANGES_DAY / DAY)
    )
    return locals()


def table(title: str, rows: dict[str, float], unit: str, digits: int) -> str:
    """Return a table with its sum."""
    lines = [f"| {title} | {unit} |", "| --- | ---: |"]
    lines += [f"| {k} | {v:.{digits}f} |" for k, v in rows.items()]
    lines.append(f"| **sum** | **{sum(rows.values()):.{digits}f}** |")
    return "\n".join(lines)


def slope_rows(f: dict[str, Any]) -> str:
    """Return the table of fits."""
    rows = [
        ("entry memory, MB", "entries", f["rss"]),
        ("leader's bytes out a second", "entries", f["lead"]),
        ("leader's processor, % of a core", "entries", f["lead_cpu"]),
        ("command to in force everywhere, s", "entries", f["force"]),
        ("bundle in a node, MB", "customers", f["bundle"]),
        ("a node follows a change, ms", "customers", f["follow"]),
        ("control applies a change, ms", "customers", f["apply"]),
    ]
    out = [
        "| measured | against | at 0 | slope | worst distance | points |",
        "| --- | --- | ---: | ---: | ---: | ---: |",
    ]
    for name, against, line in rows:
        out.append(
            f"| {name} | {against} | {line.base:.3f} | {line.slope:.6f} "
            f"| {line.spread:.3f} | {line.points} |"
        )
    return "\n".join(out)


def member_rows(f: dict[str, Any]) -> str:
    """Return the membership table."""
    out = [
        "| entry processes | agents | entry out B/s | worst entry | entry in "
        "B/s | entry % core | agent out B/s | agent in B/s | a change at all, "
        "s | a dead agent known, s |",
        "|" + " ---: |" * 10,
    ]
    for r in f["member"]:
        out.append(
            f"| {r['nodes']} | {r['targets']} | {r['entry_out_bytes_s']:.0f} "
            f"| {r['entry_worst_out_bytes_s']:.0f} "
            f"| {r['entry_in_bytes_s']:.0f} | {r['entry_cpu_percent']:.2f} "
            f"| {r['agent_out_bytes_s']:.0f} | {r['agent_in_bytes_s']:.0f} "
            f"| {max(r['change_at_entries_s'], r['change_at_agents_s']):.1f} "
            f"| {r['failure_known_s']:.1f} |"
        )
    return "\n".join(out)


def page(f: dict[str, Any]) -> str:
    """Return the whole page."""
    template = (DATA / "capacity.md.in").read_text(encoding="utf-8")
    process_mb = sum(f["memory"].values())
    own_mb = process_mb - f["memory"]["interpreter, libraries, zmq"]
    top = f["top"]
    change_s = max(top["change_at_entries_s"], top["change_at_agents_s"])
    entry_us = f["four"]["entry_us_per_token"]
    agent_us = f["four"]["agent_us_per_token"]
    values = {
        "slopes": slope_rows(f),
        "members": member_rows(f),
        "memory": table("an entry process holds", f["memory"], "MB", 1),
        "own_mb": f"{own_mb:.0f}",
        "own_vm_mb": f"{own_mb * PROCESSES:.0f}",
        "process_mb": f"{process_mb:.0f}",
        "entry_bytes": table(
            "an entry process sends", f["entry_bytes"], "B/s", 0
        ),
        "entry_vm_bytes": f"{sum(f['entry_bytes'].values()) * PROCESSES:.0f}",
        "entry_worst_bytes": f"{f['top']['entry_worst_out_bytes_s']:.0f}",
        "entry_cpu": table(
            "an entry process spends on control", f["entry_cpu"],
            "% of a core", 3,
        ),
        "entry_vm_cpu": f"{sum(f['entry_cpu'].values()) * PROCESSES:.1f}",
        "leader_bytes": table(
            "the leader sends", f["leader_bytes"], "B/s", 0
        ),
        "leader_cpu": f"{f['leader_cpu']:.1f}",
        "follower_bytes": f"{f['five']['control_out_bytes_s']:.0f}",
        "force_all": f"{f['force'].at(VMS):.1f}",
        "change_s": f"{change_s:.1f}",
        "change_kb": f"{f['change_bytes'] / 1000:.1f}",
        "dead_s": f"{f['top']['failure_known_s']:.1f}",
        "agent_out": f"{f['top']['agent_out_bytes_s']:.0f}",
        "agent_in": f"{f['top']['agent_in_bytes_s']:.0f}",
        "claims": f"{f['claims']:.0f}",
        "claim_us": f"{f['state']['claim_us']:.1f}",
        "claim_bytes": f"{f['state']['claim_bytes_per_record']:.0f}",
        "claim_all_mb": f"{f['memory']['claims'] / KEYED_SHARE:.0f}",
        "layout_ms": f"{f['state']['view_layout_ms_530'] * NODES / 530:.0f}",
        "one_gap": f"{f['one']['gap_p95_ms']:.1f}",
        "one_first": f"{f['one']['first_p95_ms']:.0f}",
        "one_tokens": f"{f['one']['tokens_per_s']:.0f}",
        "four_gap": f"{f['four']['gap_p95_ms']:.1f}",
        "four_first": f"{f['four']['first_p95_ms']:.0f}",
        "four_tokens": f"{f['four']['tokens_per_s']:.0f}",
        "straight_gap": f"{f['straight']['gap_p95_ms']:.1f}",
        "straight_first": f"{f['straight']['first_p95_ms']:.0f}",
        "four_us": f"{f['four']['entry_us_per_token']:.0f}",
        "agent_us": f"{f['four']['agent_us_per_token']:.0f}",
        "vm_cores": f"{entry_us * TOKENS / VMS / 1e6:.1f}",
        "agent_cores": f"{agent_us * TOKENS / TARGETS / 1e6:.2f}",
        "lead_slope": f"{f['lead_cpu'].slope:.4f}",
        "beats": f"{f['beats']:.0f}",
        "kill_s": f"{f['three']['no_leader_kill_s']:.1f}",
        "freeze_s": f"{f['three']['no_leader_freeze_s']:.1f}",
        "stop_s": f"{f['three']['no_leader_stop_s']:.2f}",
        "accept3": f"{f['three']['accept_p50_ms']:.1f}",
        "accept5": f"{f['accept'][1]['accept_p50_ms']:.1f}",
        "per_s": f"{f['requests']['entry']['per_s']}",
        "map_bytes": f"{f['slopes']['plans'][-1]['map_bytes']}",
        "plan_ms": f"{f['slopes']['plans'][-1]['plan_ms']:.0f}",
    }  # fmt: skip
    for name, value in values.items():
        template = template.replace("{{" + name + "}}", value)
    assert "{{" not in template, template[template.index("{{") :][:40]
    return template


def main() -> None:
    """Write the page."""
    text = page(figures())
    (ROOT / "docs" / "CAPACITY.md").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
