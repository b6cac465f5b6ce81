"""Measure what switches and a lost host cost a lock-step group."""

import argparse
import json
import pathlib
import tempfile
import time
from typing import Any

from standins import local as local_lib

STEP_S = 0.02
BUNDLE = """[bundle]
name = group
[experts]
skew_weight = {weight}
store_moves_per_s = {rate}
[place p]
region = r
[service m]
kind = model
"""
FIRST = "127.0.3.1:9000"


def deploy(
    local: local_lib.LocalDeployment, weight: float, rate: float
) -> None:
    """Start one control VM, one entry and two hosts of one group."""
    local.add(
        local_lib.NodeSpec(
            "control", "c1", "p", "127.0.1.1:47000", "127.0.1.1:47100"
        ),
        local_lib.NodeSpec(
            "entry", "e1", "p", "127.0.2.1:47000", "127.0.2.1:48080"
        ),
    )
    models = []
    for i in (1, 2):
        models.append(f"127.0.3.{i}:9000")
        local.add(
            local_lib.NodeSpec(
                "agent",
                f"a{i}",
                "p",
                f"127.0.4.{i}:47000",
                f"127.0.4.{i}:48090",
                {
                    "url": f"http://{models[-1]}",
                    "kind": "model",
                    "service": "m",
                    "group": "g",
                    "ranks": "8",
                },
            )  # fmt: skip
        )
    local.start_standins(
        "s", "--model", models[0], "--model", models[1], "--group",
        ",".join(models), "--ranks", "8", "--per-rank", "8", "--experts",
        "64", "--layers", "4", "--store-rate", str(rate), "--step-seconds",
        str(STEP_S),
    )  # fmt: skip
    local.start("c1")
    local.bootstrap()
    local.start("e1", "a1", "a2")
    path = local.folder / "bundle.ini"
    path.write_text(BUNDLE.format(weight=weight, rate=rate), encoding="utf-8")
    local.cli("bundle", "sign-off", "--file", str(path))
    local.cli("bundle", "roll", "--version", "1")
    local.wait_for("ready", lambda: local.ready("e1", "a1", "a2"))
    local.wait_for("steps", lambda: verdict(local)["steps"] > 100, 90)


def verdict(local: local_lib.LocalDeployment) -> dict[str, Any]:
    """Return what the group counted."""
    found: dict[str, Any] = local.get(FIRST, "/verdict")[1]
    return found


def measure(weight: float, rate: float, seconds: float) -> dict[str, Any]:
    """Run steadily, then lose a host and get it back."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="jasperweir-group-"))
    local = local_lib.LocalDeployment(folder=folder)
    try:
        deploy(local, weight, rate)
        before = verdict(local)
        time.sleep(seconds)
        after = verdict(local)
        switches = len(after["versions"]) - len(before["versions"])
        local.kill("a2")
        local.wait_for("stall", lambda: _stands(local))
        local.start("a2")
        start = time.monotonic()
        count = verdict(local)["steps"]
        local.wait_for("steps", lambda: verdict(local)["steps"] > count)
        back = time.monotonic() - start
        return {
            "skew_weight": weight,
            "store_per_s": rate,
            "seconds": seconds,
            "steps": after["steps"] - before["steps"],
            "switches": switches,
            "stalled_s": (after["stalls"] - before["stalls"]) * STEP_S,
            "experts_loaded": after["experts_loaded"]
            - before["experts_loaded"],
            "skew_at_first": after["first_skew"],
            "skew_at_last": after["last_skew"],
            "lost_host_back_s": back,
            "violations": len(verdict(local)["violations"]),
        }
    finally:
        local.stop_all()


def _stands(local: local_lib.LocalDeployment) -> bool:
    count = verdict(local)["steps"]
    time.sleep(5 * STEP_S)
    return bool(verdict(local)["steps"] == count)


def main() -> None:
    """Measure both users' weights with a quick and a slow store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--out", type=pathlib.Path)
    args = parser.parse_args()
    rows = []
    for weight in (0.1, 0.9):
        for rate in (40.0, 200.0):
            rows.append(measure(weight, rate, args.seconds))
            print(json.dumps(rows[-1]), flush=True)
    if args.out:
        args.out.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
