"""Reads what control VMs log of requests that an older version let through."""

import collections
import json
import pathlib
from typing import NamedTuple

from features.harness import platform as platform_lib
from features.soak import configuration_check

EVENT = "request run by an older version"


class Report(NamedTuple):
    """A request that an entry has reported.

    Attributes:
        vm: Number of the entry's VM.
        request_id: Id of the request.
        standing: Standing of the version that let it through.
        late_s: Time from the commit of a newer version until it was sent,
            seconds.
        logged_by: Control processes whose logs name it.
    """

    vm: int
    request_id: str
    standing: str
    late_s: float
    logged_by: frozenset[str]


def read_reports(folder):
    """Return the reports in the logs of the control VMs of a run.

    Args:
        folder: Folder of the processes' files.
    """
    found = {}
    for path in sorted(pathlib.Path(folder).glob("control-*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if EVENT not in line:
                continue
            body = json.loads(line)
            key = body["entry"], body["id"]
            found.setdefault(key, (body, set()))[1].add(path.stem)
    return [
        Report(
            vm=platform_lib.find_vm(body["entry"]),
            request_id=body["id"],
            standing=body["standing"],
            late_s=body["late_ms"] / 1000,
            logged_by=frozenset(names),
        )
        for body, names in found.values()
    ]


def find_violations(reports):
    """Return the reports that break the bound wherever the entry is.

    An entry that is cut off acts by a version that it can't have confirmed;
    one that calls its version current may not be late.
    """
    return [
        f"vm-{report.vm} reports {report.request_id}: {report.standing},"
        f" {report.late_s:.2f} s after a newer version, logged by"
        f" {len(report.logged_by)} control VMs"
        for report in reports
        if report.late_s > configuration_check.APPLY_SECONDS
        and report.standing != "unconfirmed"
    ]


# Lines of control VMs that state a broken rule wherever the entry is.
BROKEN = (
    "request decided by another version",
    "request not allowed by its version",
    "entry has other content than the log",
    "acknowledged version is lost",
)


def find_broken(folder):
    """Return the broken rules that control VMs log.

    Args:
        folder: Folder of the processes' files.
    """
    found = set()
    for body in _read_lines(folder, "control-*.log", BROKEN):
        entry = body.get("entry", body.get("by", ""))
        vm = platform_lib.find_vm(entry) if entry else 0
        version = body.get("version", body.get("v"))
        found.add(f"vm-{vm}: {body['event']}, version {version}")
    return sorted(found)


def check_acknowledgements(folder, acknowledged):
    """Compare each acknowledged order with what the log put into force.

    Args:
        folder: Folder of the processes' files.
        acknowledged: Versions that operators were told are in force.

    Returns:
        Broken rules, and the number of orders by what became of them.
    """
    in_force = collections.defaultdict(set)
    lines = _read_lines(folder, "*.log", ["version in force"])
    for body in lines:
        in_force[body["version"]].add(body["content"])
    orders = {}
    for body in _read_lines(folder, "control-*.log", ORDERS):
        orders[body["by"], body["number"], body["v"]] = body
    counts = collections.Counter(body["event"] for body in orders.values())
    newest = max(in_force, default=0)
    recorded = {body["v"] for body in orders.values()}
    broken = [
        f"version {version} was acknowledged, and no control VM recorded it"
        for version in sorted(acknowledged - recorded)
    ]
    for body in orders.values():
        contents = in_force[body["v"]]
        is_told = body["event"] != "order acknowledged"
        if body["v"] > newest or (
            contents and body["content"] not in contents and not is_told
        ):
            broken.append(
                f"vm-{platform_lib.find_vm(body['by'])}: version {body['v']}"
                f" was acknowledged and is not in force"
            )
    return broken, dict(counts)


ORDERS = (
    "order acknowledged",
    "acknowledged order was overtaken",
    "order has other content than the log",
)


def _read_lines(folder, pattern, events):
    """Return the lines of some events in the logs of a run."""
    quoted = [f'"event":"{event}"' for event in events]
    return [
        json.loads(line)
        for path in sorted(pathlib.Path(folder).glob(pattern))
        for line in path.read_text(errors="replace").splitlines()
        if any(text in line for text in quoted)
    ]


def find_other_contents(folder):
    """Return the versions that processes put into force with two contents.

    Args:
        folder: Folder of the processes' files.
    """
    contents = collections.defaultdict(lambda: collections.defaultdict(set))
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if '"event":"version in force"' in line:
                body = json.loads(line)
                contents[body["version"]][body["content"]].add(path.stem)
    return [
        f"version {version} has {len(found)} contents:"
        f" {sorted(map(sorted, found.values()))}"
        for version, found in contents.items()
        if len(found) > 1
    ]
