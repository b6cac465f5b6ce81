"""Write docs/MEASUREMENTS.md from the measured files in docs/data."""

import json
import pathlib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / "docs" / "data"
TENTH = "scratch tenth"
HEAD = """# Measurements

Made by `python script/measurements.py` from `docs/data/*.json`. All figures
are from one machine with 8 shared cores; compare ratios within one run, not
times between runs. Repeat them with `script/bench` and `script/slopes`.
"""


def load(name: str) -> Any:
    """Read one data file."""
    return json.loads((DATA / name).read_text(encoding="utf-8"))


def entry_part() -> list[str]:
    """Return the part on one entry."""
    rows = load("entry.json")
    out = [
        "\n## One entry VM (`script/bench_entry.py`)\n",
        "145 tokens a stream at 55 ms, opened within 4 s; four agents and four",
        "stand-ins share the machine with the entries and the load.",
        "",
        "| entry processes | streams | way | whole | tokens/s | gap p50 | gap "
        "p95 | first p95 | us a token, entry | agent | MB | threads |",
        "|" + " ---: |" * 12,
    ]
    for r in rows:
        if "streams" not in r:
            continue
        straight = r["way"] == "straight"
        own = "" if straight else f"{r['entry_us_per_token']:.0f}"
        agent = "" if straight else f"{r['agent_us_per_token']:.0f}"
        out.append(
            f"| {'' if straight else r['entries']} | {r['streams']} "
            f"| {r['way']} | {r['whole']} | {r['tokens_per_s']:.0f} "
            f"| {r['gap_p50_ms']:.1f} | {r['gap_p95_ms']:.1f} "
            f"| {r['first_p95_ms']:.0f} | {own} | {agent} "
            f"| {r['entry_rss_mb']:.0f} | {r['entry_threads']} |"
        )
    out.append("\nSmall plain requests, 8 callers, one entry process:\n")
    out += ["| way | requests/s | p50, ms | p95, ms |", "|" + " ---: |" * 4]
    for r in rows:
        if "requests" in r:
            out.append(
                f"| {r['requests']} | {r['per_s']} | {r['p50_ms']} "
                f"| {r['p95_ms']} |"
            )
    out += [
        "",
        "This run was made on a quiet machine, before streams were tried at a",
        "second target and before ticks went from 20 to 5 a second. A later",
        "run on the newer code fell into an hour in which the host took up to",
        "30 % of the processors: straight to the stand-ins 300 streams had",
        "gaps p95 of 110 ms themselves, so it says nothing and was not kept.",
        "",
        "Conclusion: the hop holds 530 streams in one process without the",
        "collapse of the first trial (one wake-up a chunk at the agent, since",
        "the thread that serves the reader also pulls), but its gaps pass",
        "55 ms; four processes on the VM keep them. That the interpreter lock,",
        "shared by hundreds of threads, is the cause is argued, not profiled.",
    ]
    return out


def routing_part() -> list[str]:
    """Return the part on routing."""
    rows = load("routing.json")
    out = [
        "\n## Routing and admission (`script/bench_routing.py`)\n",
        "Ten entries, 16 targets of 32 slots, the same seeded load for all;",
        "ten customers, two of which send four fifths. Goodput: first token",
        "within 0.62 s and the whole within the deadline, of all offered.",
        "",
        "| case | policy | goodput | small customers | worst small | refused "
        "| first p50, s | p95 | p99 | prefix hits | wasted tokens a request |",
        "|" + " ---: |" * 11,
    ]
    for r in rows:
        out.append(
            f"| {r['case']} | {r['policy']} | {r['goodput']:.3f} "
            f"| {r['small_customers']:.3f} | {r['worst_small']:.2f} "
            f"| {r['refused']:.2f} | {r['first_p50_s']:.2f} "
            f"| {r['first_p95_s']:.2f} | {r['first_p99_s']:.2f} "
            f"| {r['prefix_hits']:.2f} | {r['wasted_tokens']:.1f} |"
        )
    out += [
        "",
        "Ahead of or equal to every baseline but for goodput at 100 %, where",
        "least own requests serves 0.989 and jasperweir 0.977: at the edge it",
        "refuses 2 % at once so that small customers keep 0.993, and its p99",
        "stays below the limit of 0.62 s, where least own's does not.",
        "",
        "Tried: reports trusted in full up to 10 s of age (goodput 0.776 with",
        "reports 10 s late); no feedback from full targets (150 %: 0.151, then",
        "0.698 with small customers at 0.708); floors of the feedback of 0.6",
        "(100 %: 0.899) and 0.85 (small customers 0.712 at 150 %).",
    ]
    return out


def experts_part() -> list[str]:
    """Return the part on experts."""
    rows = load("experts.json")
    out = [
        "\n## Expert placement (`script/bench_experts.py`)\n",
        "64 experts, 4 layers, 400 intervals, seeded drift: `season` drifts",
        "slowly, `repertoire` lets a third of the experts change places every",
        "50 intervals. Skew is max/mean - 1 of the ranks' loads in the next",
        "interval. Baselines split an expert's load evenly between copies.",
        "The planner's name carries the bundle's `skew_weight`: 0.1 is",
        "Notograf's, 0.9 the Association's.",
        "",
        "| size | trace | method | skew p50 | p99 | p99 against scratch tenth "
        "| experts moved | moves against it | planning, ms |",
        "|" + " ---: |" * 9,
    ]
    base = {(r["size"], r["trace"]): r for r in rows if r["method"] == TENTH}
    for r in rows:
        ref = base[(r["size"], r["trace"])]
        out.append(
            f"| {r['size']} | {r['trace']} | {r['method']} | {r['p50']:.3f} "
            f"| {r['p99']:.3f} | {r['p99'] / ref['p99']:.2f} | {r['moves']} "
            f"| {r['moves'] / ref['moves']:.3f} | {r['plan_ms']:.1f} |"
        )
    out += ["", *_aims(rows, base), "", "![curve](data/experts.svg)"]
    return out


def group_part() -> list[str]:
    """Return the part on a group of real processes."""
    out = [
        "\n## A lock-step group (`script/bench_group.py`)\n",
        "Real processes: two hosts of 8 ranks, 64 experts, 4 layers, 8 slots a",
        "rank, 20 ms a step, 15 s; then one host's agent is killed, started.",
        "Before hosts reported the first step of a window at once, the same",
        "runs made 249 to 251 steps and stood still for 9.6 to 9.7 s.",
        "",
        "| skew_weight | store, experts/s | steps | switches | stood still, s "
        "| experts loaded | skew at first | at last | lost host back, s "
        "| steps that broke the one-map rule |",
        "|" + " ---: |" * 10,
    ]
    for r in load("group.json"):
        out.append(
            f"| {r['skew_weight']} | {r['store_per_s']:.0f} | {r['steps']} "
            f"| {r['switches']} | {r['stalled_s']:.1f} "
            f"| {r['experts_loaded']} | {r['skew_at_first']:.2f} "
            f"| {r['skew_at_last']:.2f} | {r['lost_host_back_s']:.1f} "
            f"| {r['violations']} |"
        )
    return out


def _aims(rows: list[Any], base: dict[tuple[str, str], Any]) -> list[str]:
    """Hold the two aims against the rows."""
    out = ["| size | trace | Notograf: p99 within 1.1, moves a tenth | "
           "Association: p99 below, moves a third |",
           "| --- | --- | --- | --- |"]  # fmt: skip
    for (size, trace), ref in base.items():
        mine = {
            r["method"]: r
            for r in rows
            if (r["size"], r["trace"]) == (size, trace)
        }
        notograf = mine["planner 0.1"]
        association = mine["planner 0.9"]
        first = (
            notograf["p99"] <= 1.1 * ref["p99"]
            and notograf["moves"] <= ref["moves"] / 10
        )
        second = (
            association["p99"] < ref["p99"]
            and association["moves"] < ref["moves"] / 3
        )
        out.append(
            f"| {size} | {trace} | {'met' if first else '**not met**'} "
            f"| {'met' if second else '**not met**'} |"
        )
    return out


def control_part() -> list[str]:
    """Return the part on control."""
    found = load("control.json")
    out = [
        "\n## Control (`script/bench_control.py`)\n",
        "200 changes signed off one after the other over HTTP; then, five",
        "times each, the leader killed, frozen and stopped by plan: time until",
        "the next change is accepted. Slopes against nodes, targets, customers",
        "and voters stand in [CAPACITY](CAPACITY.md).",
        "",
        "| voters | accept p50, ms | p95 | changes/s | no leader after kill, s "
        "| after freeze | at a planned stop |",
        "|" + " ---: |" * 7,
    ]
    for r in found["accept"]:
        out.append(
            f"| {r['voters']} | {r['accept_p50_ms']:.1f} "
            f"| {r['accept_p95_ms']:.1f} | {r['changes_per_s']:.0f} "
            f"| {r['no_leader_kill_s']:.2f} | {r['no_leader_freeze_s']:.2f} "
            f"| {r['no_leader_stop_s']:.2f} |"
        )
    out += [
        "\nReading a data folder at the start:\n",
        "| entries | log only, ms | snapshot and 500 entries, ms |",
        "|" + " ---: |" * 3,
    ]
    for r in found["recovery"]:
        out.append(
            f"| {r['entries']} | {r['log_only_ms']:.1f} "
            f"| {r['snapshot_and_500_ms']:.1f} |"
        )
    return [*out, ""]


def main() -> None:
    """Write the page."""
    parts = [HEAD, *entry_part(), *routing_part(), *experts_part()]
    parts += group_part()
    parts += control_part()
    parts.append((DATA / "platform.md").read_text(encoding="utf-8"))
    text = "\n".join(parts)
    (ROOT / "docs" / "MEASUREMENTS.md").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
