"""An entry that is cut off from all other VMs while the site goes on.

Its packets and those to it are dropped, so that connections open anew only when
the kernel sends its packets again. The voter of its data centre leaves for good
at the same moment, and the two others are replaced before and meanwhile, so
that after the cut no voter is left that the entry knew at its start. The
configuration changes all the time, and callers go on to ask the entry with keys
that are revoked.
"""

import os
import signal
import time

from features.harness import platform as platform_lib
from features.soak import configuration_day
from features.soak import configuration_faults
from features.soak import configuration_plan
from features.soak import older_decisions

LONE_VM = 3
# VMs that take the places of the first voters, by the order of their losses.
REPLACEMENTS = {2: 6, 3: 7, 1: 8}
CUT_SECONDS = (9.0, 13.0)
# Time from the end of a cut within which the entry must be current.
CURRENT_SECONDS = 3.0
AFTER_SECONDS = 6.0
INTERNAL_ENTRY_PORT = platform_lib.INTERNAL_PORT + 1


class LoneCourse(configuration_plan.PlanCourse):
    """One long cut of one entry."""

    def _play(self):
        world = self._world
        world.hasten()
        time.sleep(configuration_day.CALM_SHARE * self._seconds)
        self._replace_voter(2, REPLACEMENTS[2])
        self._wait_for_repair()
        seconds = self._rng.uniform(*CUT_SECONDS)
        self._log_fault(f"entry-{LONE_VM} is cut off for {seconds:.2f} s")
        began = time.monotonic()
        world.silence()
        self._replace_voter(LONE_VM, REPLACEMENTS[LONE_VM], keeps_entry=True)
        self._wait_for_repair()
        self._replace_voter(1, REPLACEMENTS[1])
        time.sleep(max(began + seconds - time.monotonic(), 0.0))
        world.end_silence()
        name = f"entry-{LONE_VM}"
        self._record_disturbed(name, began)
        self.cuts.append(older_decisions.Cut(name, began, time.monotonic()))
        self._log_fault("the cut ends")
        self._wait_for_repair()
        time.sleep(AFTER_SECONDS)

    def _record_disturbed(self, name, since):
        """Record that a process was disturbed from some moment until now."""
        now = time.monotonic()
        at = since
        while at < now:
            self.disturbances.record(name, at)
            at += configuration_day.CUT_STEP_SECONDS
        self.disturbances.record(name, now)

    def _replace_voter(self, number, replacement, *, keeps_entry=False):
        if not keeps_entry:
            super()._replace_voter(number, replacement)
            return
        name = f"control-{number}"
        self._log_fault(f"{name} leaves, vm-{replacement} comes")
        self._terminate(name, signal.SIGKILL)
        self._disk_lost_at = time.monotonic()
        self._world.replace_control(number, replacement)
        time.sleep(self._rng.uniform(0.2, 1.0))
        for name in self._list_processes(replacement):
            self._start(name)


class LoneWorld(configuration_plan.PlanWorld):
    """A site of five VMs, one of whose entries is cut off."""

    COURSE = LoneCourse
    ENTRIES = 5
    CONTROLS = 5
    AGENTS = 0
    CALLERS = 10
    REPLACEMENTS = tuple(REPLACEMENTS.values())

    def __init__(self, *, seed, folder):
        """Create the site.

        Args:
            seed: Seed of all random choices.
            folder: Folder of the processes' files.
        """
        os.environ["JASPERWEIR_TEST_RELAYS"] = "1"
        super().__init__(seed=seed, folder=folder)

    def run(self, seconds):
        """Run for some seconds and return the violations found."""
        found = super().run(seconds)
        found += [f"older version: {line}" for line in self.trace]
        return found + self._check_recovery()

    def replace_control(self, lost, number):
        """Put another VM in the place of a voter whose entry goes on."""
        self.replace_vm(lost, number)
        self._vms.append(lost)

    def silence(self):
        """Drop all packets between the entry and all other processes."""
        others = [*self.control_vms, *self.REPLACEMENTS]
        names = [configuration_faults.control_name(n) for n in others]
        names += [_entry_name(n) for n in others if n != LONE_VM]
        lines = [f"silent {name}" for name in names]
        # What arrives over connections of the others is lost, too.
        self.plat._disturb_links(f"entry-{LONE_VM}", [*lines, *names])
        lines = [f"silent {_entry_name(LONE_VM)}", _entry_name(LONE_VM)]
        for role, number in self._list_others():
            self.plat._disturb_links(f"{role}-{number}", lines)

    def end_silence(self):
        """Let all packets pass again."""
        self.plat._disturb_links(f"entry-{LONE_VM}", [])
        for role, number in self._list_others():
            self.plat._disturb_links(f"{role}-{number}", [])

    def _list_others(self):
        return [
            (role, number)
            for role in ("entry", "control")
            for number in range(1, max(self.REPLACEMENTS) + 1)
            if (role, number) != ("entry", LONE_VM)
        ]

    def _check_recovery(self):
        """Return how the entry broke what holds in and after the cut."""
        cut = next(c for c in self.faults.cuts if c.name == f"entry-{LONE_VM}")
        standings = older_decisions.Standings(self.plat.folder)
        changes = standings.list_changes(cut.name)
        found = [
            f"{name} {at - cut.began:.2f} s after the cut began"
            for at, name in changes
            if name == "unconfirmed" and at >= cut.began
        ]
        current = [a for a, n in changes if n == "current" and a >= cut.ended]
        took_s = min(current, default=float("inf")) - cut.ended
        self.summary += f", current {took_s:.2f} s after the cut ended"
        if took_s > CURRENT_SECONDS:
            found.append(f"current {took_s:.2f} s after the cut ended")
        return found


def _entry_name(number):
    return f"{platform_lib.control_ip(number)}:{INTERNAL_ENTRY_PORT}"
