"""Lays decisions by an older version beside cuts and an entry's standing."""

import bisect
import collections
import json
import math
import pathlib
from typing import NamedTuple

from features.soak import configuration_check


class Cut(NamedTuple):
    """A span in which links of a process were cut.

    Attributes:
        name: Name of the process.
        began: Begin, monotonic seconds.
        ended: End, monotonic seconds; infinite while it lasts.
    """

    name: str
    began: float
    ended: float = math.inf


class Standings:
    """Standings of entries as their logs state them.

    The logs' clock includes suspensions of the machine, which does not happen
    in a run, so its times are monotonic seconds.
    """

    def __init__(self, folder):
        """Read the logs of a run.

        Args:
            folder: Folder of the processes' files.
        """
        self._changes = collections.defaultdict(list)
        for path in sorted(pathlib.Path(folder).glob("entry-*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if '"event":"standing changed"' in line:
                    body = json.loads(line)
                    self._changes[path.stem].append(
                        (body["at"], body["standing"])
                    )

    def list_changes(self, name):
        """Return when an entry's standing changed, and to which.

        Args:
            name: Name of the process.
        """
        return list(self._changes[name])

    def find(self, name, at):
        """Return the standing of an entry, and for how long it had had it.

        Args:
            name: Name of the process.
            at: Monotonic seconds.
        """
        changes = self._changes[name]
        index = bisect.bisect(changes, (at, "")) - 1
        if index < 0:
            return "unknown", math.inf
        began, standing = changes[index]
        return standing, at - began


def describe(found, *, cuts, standings, is_in_touch):
    """Return a line on an older decision.

    Args:
        found: The decision.
        cuts: Cuts of all processes.
        standings: Standings of the entries.
        is_in_touch: Returns whether an entry was in touch in a span, by the
            number of its VM, begin and end in monotonic seconds.
    """
    decision = found.decision
    name = f"entry-{decision.vm}"
    begun = [
        cut
        for cut in cuts
        if cut.name == name and cut.began <= decision.ended_at
    ]
    place = "not cut before"
    if begun:
        last = max(begun)
        place = f"{decision.sent_at - last.began:.2f} s after its cut began"
        if decision.sent_at > last.ended:
            place = f"{decision.sent_at - last.ended:.2f} s after its cut ended"
    sent, sent_s = standings.find(name, decision.sent_at)
    ended, _ = standings.find(name, decision.ended_at)
    in_touch = is_in_touch(
        decision.vm,
        decision.sent_at - configuration_check.STABLE_SECONDS,
        decision.ended_at,
    )
    return (
        f"{name} start {decision.start}: {decision.what.split()[0]} decided by"
        f" {found.decided_by}, {found.acknowledged} acknowledged"
        f" {found.acknowledged_s:.3f} s before, {place}, {sent} for"
        f" {sent_s:.2f} s, {ended} at its end,"
        f" {'in touch' if in_touch else 'not in touch'}"
    )
