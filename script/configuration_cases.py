"""Run drawn cases of entries and control VMs in trouble, on a virtual clock."""

import argparse
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.harness import configuration_matrix  # noqa: E402


def main() -> int:
    """Run the cases; return 1 if any broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=103)
    parser.add_argument("--cases", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    broken = 0
    for finding in configuration_matrix.run_drawn(
        cases=args.cases, seed=args.seed, entries=args.entries
    ):
        broken += 1
        print(finding, flush=True)
    print(f"{args.cases} cases, {args.entries} entries: {broken} findings")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
