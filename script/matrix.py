"""Write docs/FAULT_MATRIX.md from what the tests record."""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
GOLDEN = ROOT / "features" / "golden"
PAIRS = ROOT / "docs" / "data" / "pairs.md"
GUARDS = ROOT / "docs" / "data" / "guards.md"
LIFE_STEPS = ("Pick", "Reserve", "Claim", "Run", "Relay", "Attach", "Revoke")
NOT_PROVED = """
- `control.*` messages (beat, floor) under each fault one by one: met as a
  whole by the processes' freezes, kills and missing control VMs.
- Two faults at two messages of *different* protocols: only by the processes,
  not cell by cell.
- A one-way cut: cell by cell for the log only.
- Clock jumps of the wall clock: nothing but records and the first incarnation
  reads it; a restart whose clock went back is proved, a jump in a running
  process is argued.
- A read-only data folder and a failing fsync: a full disk is proved, these go
  the same way and are argued.
- Several disks damaged at once below a majority's reach.
- Engines that check fencing numbers against those that do not, under a
  partition with real processes: the gate and the planner are proved alone.
- A whole place or region lost with real processes; two halves apart are
  proved on the virtual clock.
- "In time" under overload with real processes: routing and admission are
  measured on the virtual clock (docs/MEASUREMENTS.md).
- Prefill and decode as separate roles with KV export and import: the offer
  carries a role and the stand-in exports and imports, no request uses both.
"""


def read_cells(protocol: str) -> tuple[list[str], dict[tuple[str, str], str]]:
    """Return the faults and the recorded cells of one protocol."""
    cells: dict[tuple[str, str], str] = {}
    faults: list[str] = []
    path = GOLDEN / f"matrix-{protocol}.txt"
    for line in path.read_text(encoding="utf-8").splitlines():
        kind, fault, state = (part.strip() for part in line.split("|"))
        cells[(kind, fault)] = state
        if fault not in faults:
            faults.append(fault)
    return faults, cells


def matrix_tables() -> list[str]:
    """Return one table per protocol."""
    out = []
    for protocol in (
        "quorum",
        "claim",
        "experts",
        "member",
        "configctl",
        "directory",
        "mapswitch",
        "quarantine",
    ):
        faults, cells = read_cells(protocol)
        out.append(f"\n### {protocol}\n")
        out.append("| message | " + " | ".join(faults) + " |")
        out.append("| --- |" + " --- |" * len(faults))
        for kind in sorted({kind for kind, _ in cells}):
            row = [
                "held" if cells[(kind, f)] == "held" else "**not proved**"
                for f in faults
            ]
            out.append(f"| {kind} | " + " | ".join(row) + " |")
    return out


def scenarios(name: str) -> list[str]:
    """Return the scenarios of one feature."""
    text = (ROOT / "features" / f"{name}.feature").read_text(encoding="utf-8")
    return re.findall(r"Scenario(?: Outline)?: (.+)", text)


def request_table() -> list[str]:
    """Return which faults meet which step of a request's life."""
    code = (
        "from features.harness import world\n"
        "for a, f in world.FAULTS.items(): print(a.__name__, *[x.replace("
        "' ', '_') for x in f])\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True
    )
    out = ["| step | faults, each alone and each paired with every other |"]
    out.append("| --- | --- |")
    for line in done.stdout.decode().splitlines():
        step, *faults = line.split()
        names = ", ".join(f.replace("_", " ") for f in faults)
        out.append(f"| {step} | {names} |")
    return out


def main() -> None:
    """Write the page."""
    out = [
        "# Fault matrix",
        "",
        "Made by `python script/matrix.py` from the recorded cells in",
        "`features/golden/`, which `script/test` holds against a new run.",
        "",
        "## Messages",
        "",
        "Each fault strikes the first message of a kind while a workload of",
        "its protocol runs on a virtual clock (`features/harness/matrix.py`).",
        "Invariants are checked after every event (one leader a term,",
        "committed entries never lost or changed, one lease, one grant a key,",
        "one map a step); at the end the fault is healed",
        "and the workload must work again.",
        *matrix_tables(),
        "",
        "## Pairs of faults",
        "",
        "`python script/pairs.py`: every pair of the cells above, in one",
        "workload of its protocol; a longer run than CI's.",
        "",
        PAIRS.read_text(encoding="utf-8").rstrip(),
        "",
        "## Requests",
        "",
        "`features/request.feature`: claim, dispatch, stream, resume, revoke,",
        "finish; with and without a key, followed by two resends. The world",
        "counts executions and asserts on each answer.",
        "",
        *request_table(),
        "",
        "## Real processes on loopback",
        "",
        *[f"- {name}" for name in scenarios("processes")],
        "",
        "## What goes without a word",
        "",
        "`features/gone.feature`, each cell a scenario:",
        "",
        *[f"- {name}" for name in scenarios("gone")],
        "",
        "## Guards",
        "",
        "`script/guards.py` takes each guard out of a scratch copy; this test",
        "of the named feature then goes red.",
        "",
        GUARDS.read_text(encoding="utf-8").rstrip(),
        "",
        "## Not proved",
        NOT_PROVED.rstrip(),
    ]
    text = "\n".join(out) + "\n"
    (ROOT / "docs" / "FAULT_MATRIX.md").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
