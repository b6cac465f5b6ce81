"""Soak the real programs under random faults; every seed can be repeated."""

import argparse
import pathlib
import sys
import tempfile
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.harness import planted_faults  # noqa: E402
from features.soak import configuration_day  # noqa: E402
from features.soak import configuration_plan  # noqa: E402
from features.soak import configuration_world  # noqa: E402
from features.soak import cut_recovery  # noqa: E402
from features.soak import lone_entry  # noqa: E402
from features.soak import parts_world  # noqa: E402
from features.soak import world as world_lib  # noqa: E402


def run_recovery(seed: int, count: int) -> int:
    """Time recoveries from cuts; return 1 if one took too long."""
    folder = tempfile.mkdtemp(prefix=f"jasperweir-recovery-{seed}-")
    found = cut_recovery.RecoveryRun(seed=seed, folder=folder).run(count)
    print("\n".join([*cut_recovery.summarize(found), folder]))
    return int(any(r.left_s > cut_recovery.LEAVE_SECONDS for r in found))


def main() -> int:
    """Run the seeds one after the other; return 1 if any broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument(
        "--asks",
        action="store_true",
        help="targets ask for rest, limits and to be left alone",
    )
    parser.add_argument(
        "--parts",
        action="store_true",
        help="targets crash on parts of prompts",
    )
    parser.add_argument(
        "--configurations",
        action="store_true",
        help="two operators change the configuration all the time",
    )
    parser.add_argument(
        "--links",
        action="store_true",
        help="with --configurations: links are cut one way",
    )
    parser.add_argument(
        "--all-kinds",
        action="store_true",
        help="with --configurations: streams, targets that refuse, slow links,"
        " and a VM that is replaced and has a control VM without a disk",
    )
    parser.add_argument(
        "--day",
        action="store_true",
        help="the configuration changes in the course of a day at a site of 11"
        " entries, 9 control VMs, 3 of them with disks, and 16 agents",
    )
    parser.add_argument(
        "--plan",
        action="store_true",
        help="the same site; two voters leave right after commits, operators"
        " race under one number, orders arrive again, and all power is lost",
    )
    parser.add_argument(
        "--lone",
        action="store_true",
        help="a site of five VMs; an entry is cut off from all others for 9 to"
        " 13 s, and all voters are replaced",
    )
    parser.add_argument(
        "--plant",
        choices=planted_faults.KINDS,
        default="",
        help="with --day or --plan: fault to plant in one entry, to prove that"
        " it is found",
    )
    parser.add_argument(
        "--entries",
        type=int,
        default=3,
        help="with --configurations: number of entries",
    )
    parser.add_argument(
        "--fillers",
        type=int,
        default=0,
        help="with --configurations: further routes of each version",
    )
    parser.add_argument(
        "--trace",
        action="store_true",
        help="with --day or --plan: print each decision by a version older"
        " than one that was acknowledged before",
    )
    parser.add_argument(
        "--recovery",
        type=int,
        default=0,
        help="number of cuts of each kind after which an entry that acted"
        " unconfirmed is timed",
    )
    args = parser.parse_args()
    if args.recovery:
        return run_recovery(args.first, args.recovery)
    failed = []
    for seed in range(args.first, args.first + args.seeds):
        folder = tempfile.mkdtemp(prefix=f"jasperweir-soak-{seed}-")
        world: Any
        if args.lone:
            world = lone_entry.LoneWorld(seed=seed, folder=folder)
        elif args.plan:
            world = configuration_plan.PlanWorld(
                seed=seed, folder=folder, plant=args.plant
            )
        elif args.day:
            world = configuration_day.DayWorld(
                seed=seed, folder=folder, plant=args.plant
            )
        elif args.configurations:
            world = configuration_world.ConfigurationWorld(
                seed=seed,
                folder=folder,
                entries=args.entries,
                fillers=args.fillers,
                links=args.links,
                all_kinds=args.all_kinds,
            )
        elif args.parts:
            world = parts_world.PartsWorld(seed=seed, folder=folder)
        else:
            world = world_lib.World(seed=seed, folder=folder, asks=args.asks)
        broken = world.run(args.seconds)
        summary = (
            world.summary
            if args.parts
            or args.configurations
            or args.day
            or args.plan
            or args.lone
            else f"served {dict(world.ledger.served())}"
        )
        print(f"seed {seed}: {len(broken)} broken, {summary}", flush=True)
        if args.trace:
            print("\n".join(world.trace), flush=True)
        if broken:
            failed.append(seed)
            print("\n".join([*broken[:8], *world.faults.log, folder]))
    print(f"{args.seeds - len(failed)} passed, {len(failed)} failed {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
