"""Run drawn cases of entries and control VMs in trouble, on a virtual clock."""

import argparse
import concurrent.futures
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.harness import configuration_matrix  # noqa: E402
from features.harness import configuration_schedules  # noqa: E402

# Schedules that a process runs before it reports.
CHUNK = 50


def run_cases(args: argparse.Namespace) -> int:
    """Run combinations of the matrix; return the number of findings."""
    broken = 0
    for finding in configuration_matrix.run_drawn(
        cases=args.cases, seed=args.seed, entries=args.entries
    ):
        broken += 1
        print(finding, flush=True)
    print(f"{args.cases} cases, {args.entries} entries: {broken} findings")
    return broken


def run_chunk(first: int, count: int) -> list[configuration_schedules.Finding]:
    """Run schedules with consecutive seeds; return the findings."""
    return list(configuration_schedules.run_schedules(first, count))


def run_schedules(args: argparse.Namespace) -> int:
    """Run drawn schedules on some processes; return the number of findings."""
    broken = 0
    last = args.seed + args.schedules
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        chunks = [
            pool.submit(run_chunk, first, min(CHUNK, last - first))
            for first in range(args.seed, last, CHUNK)
        ]
        for chunk in chunks:
            for finding in chunk.result():
                broken += 1
                print(finding, flush=True)
    print(f"{args.schedules} schedules from {args.seed}: {broken} findings")
    return broken


def main() -> int:
    """Run the cases or schedules; return 1 if any broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=103)
    parser.add_argument("--cases", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--schedules",
        type=int,
        default=0,
        help="number of drawn schedules, in place of cases",
    )
    parser.add_argument("--jobs", type=int, default=1)
    args = parser.parse_args()
    broken = run_schedules(args) if args.schedules else run_cases(args)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
