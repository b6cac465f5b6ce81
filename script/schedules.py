"""Run many random schedules on the virtual clock and count them."""

import argparse
import concurrent.futures
import pathlib
import random
import sys
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROTOCOLS = ("quorum", "claims", "experts")


def run(task: tuple[str, int, float]) -> dict[str, Any]:
    """Run one protocol's schedules from a seed on for some seconds."""
    protocol, first, seconds = task
    sys.path.insert(0, str(ROOT))
    module: Any = __import__(
        f"features.steps.{protocol}_steps", fromlist=["schedule"]
    )
    until = time.monotonic() + seconds
    seed = first
    events = 0
    failures = []
    while time.monotonic() < until:
        rng = random.Random(seed)
        drawn = [rng.choice(module.EVENTS) for _ in range(rng.randint(20, 80))]
        try:
            module.schedule(seed, drawn)
        except AssertionError as exc:
            failures.append(f"seed {seed}: {exc}")
        events += len(drawn)
        seed += 1
    return {
        "protocol": protocol,
        "schedules": seed - first,
        "events": events,
        "failures": failures,
    }


def main() -> int:
    """Run all protocols side by side and report the counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1_000_000)
    args = parser.parse_args()
    tasks = [(name, args.seed, args.seconds) for name in PROTOCOLS]
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(len(tasks)) as pool:
        for found in pool.map(run, tasks):
            print(
                f"{found['protocol']}: {found['schedules']} schedules, "
                f"{found['events']} events, {len(found['failures'])} failed"
            )
            for line in found["failures"][:5]:
                print(f"  {line}")
            failed += len(found["failures"])
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
