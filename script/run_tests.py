"""Run formatter, linter, types and behave; print what passed and failed."""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any

import known_red

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
REAL_PROCESSES_TAG = "@real-processes"
# Groups of features without real processes that run at the same time.
PARALLEL_GROUPS = 3
CHECKS = (
    ("names", [sys.executable, str(ROOT / "script" / "check_names.py")]),
    (
        "guards",
        [sys.executable, str(ROOT / "script" / "guards.py"), "--texts"],
    ),
    ("format", [str(BIN / "ruff"), "format", "--check", "."]),
    ("lint", [str(BIN / "ruff"), "check", "."]),
    ("types", [str(BIN / "mypy")]),
    (
        "types of the adapter",
        [
            *("env", "MYPYPATH=platform", str(BIN / "mypy")),
            *("--explicit-package-bases", "platform/adapter"),
        ],
    ),
)


def list_untracked() -> set[str]:
    """Return the files of the work tree that git neither tracks nor ignores."""
    command = ["git", "ls-files", "--others", "--exclude-standard"]
    done = subprocess.run(
        command, cwd=ROOT, check=True, capture_output=True, text=True
    )
    return set(done.stdout.splitlines())


def run_checks() -> tuple[int, list[str]]:
    """Run the static checks; return how many passed and which failed."""
    failed = []
    for name, command in CHECKS:
        print(f"== {name}", flush=True)
        if subprocess.run(command, cwd=ROOT, check=False).returncode:
            failed.append(name)
    return len(CHECKS) - len(failed), failed


def print_failures(feature: dict[str, Any]) -> None:
    """Print each failed step with what it saw."""
    for element in feature.get("elements", []):
        for step in element.get("steps", []):
            result = step.get("result", {})
            if result.get("status") not in ("failed", "error"):
                continue
            print(f"-- {element['name']}: {step['name']}")
            seen = result.get("error_message", [])
            print("\n".join(seen) if isinstance(seen, list) else seen)


def split_features() -> list[list[str]]:
    """Return groups of features that run at the same time.

    Tests with real processes use the same loopback addresses, so they form one
    group and run one after the other.
    """
    real, other = [], []
    for path in sorted((ROOT / "features").glob("*.feature")):
        text = path.read_text(encoding="utf-8")
        (real if REAL_PROCESSES_TAG in text else other).append(str(path))
    return [real, *(other[n::PARALLEL_GROUPS] for n in range(PARALLEL_GROUPS))]


def run_group(args: list[str], folder: pathlib.Path) -> list[Any]:
    """Run some features and print their progress; return their results.

    A feature that did not run counts as failed.
    """
    report = folder / "report.json"
    command = [
        str(BIN / "behave"),
        *("--format", "progress", "--outfile", "-"),
        *("--format", "json", "--outfile", str(report)),
        *args,
    ]
    done = subprocess.run(
        command, cwd=ROOT, check=False, capture_output=True, text=True
    )
    print(done.stdout + done.stderr, flush=True)
    features: list[Any] = []
    if report.exists():
        features = json.loads(report.read_text(encoding="utf-8") or "[]")
    ran = {feature["location"].rpartition(":")[0] for feature in features}
    missed = [arg for arg in args if not any(arg.endswith(r) for r in ran)]
    for name in (m for m in missed if m.endswith(".feature")):
        failure = {"name": f"{name} did not run", "status": "failed"}
        features.append({"elements": [{**failure, "type": "scenario"}]})
    if done.returncode and not any(
        element["status"] != "passed" for element in list_scenarios(features)
    ):
        name = f"behave ended with {done.returncode}"
        failure = {"name": name, "type": "scenario", "status": "failed"}
        features.append({"elements": [failure]})
    return features


def list_scenarios(features: list[Any]) -> list[Any]:
    """Return the scenarios of some features."""
    return [
        element
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]


def run_behave(args: list[str]) -> tuple[int, list[str]]:
    """Run the features; return how many scenarios passed, which failed."""
    print("== behave", flush=True)
    groups = [args] if args else split_features()
    with (
        tempfile.TemporaryDirectory() as folder,
        concurrent.futures.ThreadPoolExecutor(len(groups)) as pool,
    ):
        folders = [pathlib.Path(tempfile.mkdtemp(dir=folder)) for _ in groups]
        features = [
            feature
            for found in pool.map(run_group, groups, folders)
            for feature in found
        ]
    scenarios = list_scenarios(features)
    for feature in features:
        print_failures(feature)
    passed = sum(1 for found in scenarios if found["status"] == "passed")
    failed = [f["name"] for f in scenarios if f["status"] != "passed"]
    if not scenarios:
        failed.append("no scenario was run")
    return passed, failed


def main() -> int:
    """Run everything and close with the counted line."""
    red = known_red.read(KNOWN_RED)
    untracked = list_untracked()
    good, bad = run_checks()
    passed, failed = run_behave(sys.argv[1:])
    left = sorted(list_untracked() - untracked)
    bad += [f"a test left {name} in the work tree" for name in left]
    for name in failed:
        if name in red.scenarios:
            print(f"known red: {name}")
    for name in set(red.scenarios) - set(failed):
        print(f"no longer red, take it off the list: {name}")
    for command in red.scripts:
        print(f"known red, not run: {command}")
    failed = bad + [name for name in failed if name not in red.scenarios]
    for name in failed:
        print(f"FAILED {name}")
    print(f"{good + passed} passed, {len(failed)} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
