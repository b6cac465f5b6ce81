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
