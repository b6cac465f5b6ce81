"""Run every pair of faults at two messages of one protocol."""

import argparse
import concurrent.futures
import itertools
import pathlib
import sys
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent


def run(task: tuple[str, int, int, float]) -> dict[str, Any]:
    """Run one worker's share of a protocol's pairs, until time is up."""
    protocol, part, parts, seconds = task
    sys.path.insert(0, str(ROOT))
    from features.harness import matrix

    cells = list(itertools.product(matrix.kinds(protocol), matrix.FAULTS))
    pairs = list(itertools.combinations(cells, 2))[part::parts]
    until = time.monotonic() + seconds
    both = done = 0
    failures = []
    for first, second in pairs:
        if time.monotonic() > until:
            break
        taps = matrix.Taps([matrix.Tap(*first), matrix.Tap(*second)])
        try:
            matrix.CELLS[protocol](taps)
        except Exception as exc:  # noqa: BLE001
            failures.append(f"{first} then {second}: {exc!r}")
        done += 1
        both += taps.met
    return {
        "protocol": protocol,
        "pairs": len(pairs),
        "done": done,
        "both": both,
        "failures": failures,
    }


def main() -> int:
    """Share the pairs out and report the counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--markdown", type=pathlib.Path)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--protocols", default="quorum,claim,experts,member")
    args = parser.parse_args()
    failed = 0
    rows = ["| protocol | pairs | both faults met | failed |",
            "| --- | ---: | ---: | ---: |"]  # fmt: skip
    for protocol in args.protocols.split(","):
        tasks = [
            (protocol, part, args.jobs, args.seconds)
            for part in range(args.jobs)
        ]
        with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
            found = list(pool.map(run, tasks))
        failures = [line for f in found for line in f["failures"]]
        print(
            f"{protocol}: {sum(f['done'] for f in found)} of "
            f"{sum(f['pairs'] for f in found)} pairs run, both faults met in "
            f"{sum(f['both'] for f in found)}, {len(failures)} failed",
            flush=True,
        )
        rows.append(
            f"| {protocol} | {sum(f['done'] for f in found)} "
            f"| {sum(f['both'] for f in found)} | {len(failures)} |"
        )
        for line in failures[:8]:
            print(f"  {line}")
        failed += len(failures)
    if args.markdown:
        args.markdown.write_text("\n".join(rows) + "\n", encoding="utf-8")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
