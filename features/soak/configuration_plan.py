"""A day whose course is given: all three voters are replaced in turn.

A voter that does not lead is replaced first. The leader leaves for good right
after a version is committed, a VM of another name takes its place, versions
follow each other for some seconds, operators race under one number and orders
arrive again late. Then the last of the first voters loses its disk, right after
it has acknowledged a version. Targets answer some requests with 500, which are
repeated, some of them over a change. Entries stop, are suspended and cut
off meanwhile. At the end the disk of one more voter is lost, and all power.
"""

import http.client
import json
import re
import signal
import threading
import time

from features.harness import platform as platform_lib
from features.soak import configuration_day
from features.soak import configuration_world
from features.soak import faults as faults_lib

# VMs that take the places of the lost ones.
FIRST_REPLACEMENT, LEADER_REPLACEMENT, CORE_REPLACEMENT = 12, 13, 15
# One in so many plain requests fails, within so many seconds.
FAIL_EVERY, FAIL_SECONDS = 7, 3.0
# Time after which a new VM counts as caught up, seconds.
CATCH_UP_SECONDS = 4.0
# Longest wait for an acknowledgement or a leader, seconds.
WAIT_SECONDS = 10.0
QUIET_SECONDS = 3.5
POLL_SECONDS = 0.01
RACE_SHARE = 0.25
OLD_SHARE = 0.15
LEADING = re.compile(
    rb'"event":"version in force","version":(\d+),"synced_by":\["'
)


class PlanOperator(configuration_day.DayOperator):
    """Races under one number and repeats orders that were overtaken."""

    def _pause(self):
        drawn = self._rng.random()
        if drawn < RACE_SHARE:
            self._race()
        elif drawn < RACE_SHARE + OLD_SHARE:
            self._send_old()
        super()._pause()

    def _race(self):
        """Send two contents of one version to two VMs at once."""
        world = self._world
        version = world.next_version(self._rng)
        contents = [world.versions.make(version, self._rng)]
        contents.append(world.versions.make_other(version, self._rng))
        world.check.record_sent(version, time.monotonic())
        numbers = self._rng.sample(world.control_vms, len(contents))
        threads = [
            threading.Thread(target=self._send_to, args=(number, version, doc))
            for number, doc in zip(numbers, contents, strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send_to(self, number, version, doc):
        if self._world.send_order(number, doc):
            self._world.check.record_acknowledged(version, time.monotonic())

    def _send_old(self):
        """Send an order again that higher versions have overtaken."""
        world = self._world
        sent = sorted(world.versions.documents)
        version = self._rng.choice(sent[-20:])
        world.send_order(
            self._rng.choice(world.control_vms),
            world.versions.documents[version],
        )


class PlanCourse(configuration_day.DayCourse):
    """The course of the day; only VMs and pauses are drawn."""

    def _play(self):
        world = self._world
        time.sleep(configuration_day.CALM_SHARE * self._seconds)
        self._replace_follower()
        self._suspend_entry()
        self._wait_for_repair()
        self._leave_after_commit()
        world.hasten()
        self._cut_entries()
        self._suspend_entry()
        world.slow_down()
        self._wait_for_repair()
        time.sleep(QUIET_SECONDS)
        self._lose_disk_after_acknowledgement()
        self._deafen_entry()
        self._restart_in_turn()
        self._start_due()
        self._wait_for_repair()
        time.sleep(configuration_day.STILL_SECONDS)
        self._close()

    def _replace_follower(self):
        """Replace a voter that does not lead."""
        leader = self._wait_for_commit()
        others = [n for n in self._world.core_vms if n != leader]
        self._replace_voter(self._rng.choice(others), FIRST_REPLACEMENT)

    def _replace_voter(self, number, replacement):
        """End a voter's VM for good; another one takes its place."""
        names = self._list_processes(number)
        self._log_fault(f"{names} leave, vm-{replacement} comes")
        for name in names:
            self._terminate(name, signal.SIGKILL)
        self._disk_lost_at = time.monotonic()
        self._world.replace_vm(number, replacement)
        time.sleep(self._rng.uniform(0.2, 1.0))
        for name in self._list_processes(replacement):
            self._start(name)

    def _wait_for_repair(self):
        due_at = self._disk_lost_at + faults_lib.REPAIR_SECONDS
        time.sleep(max(due_at - time.monotonic(), 0.0))

    def _leave_after_commit(self):
        """Let the leader's VM leave for good right after a commit."""
        self._replace_voter(self._wait_for_commit(), LEADER_REPLACEMENT)

    def _wait_for_commit(self):
        """Return the VM of a leader that has just committed a version."""
        found = self._find_commit()
        ends_at = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < ends_at:
            time.sleep(POLL_SECONDS)
            newest = self._find_commit()
            if newest[0] > found[0]:
                return newest[1]
        return found[1]

    def _find_commit(self):
        """Return the newest version that a leader committed, and its VM."""
        found = [(0, self._world.core_vms[0])]
        for number in self._world.core_vms:
            log = self._world.plat.folder / f"control-{number}.log"
            versions = LEADING.findall(log.read_bytes())
            found += [(int(version), number) for version in versions[-1:]]
        return max(found)

    def _lose_disk_after_acknowledgement(self):
        """Let a voter acknowledge a version and lose its VM at once."""
        world = self._world
        first = [n for n in world.core_vms if n in faults_lib.VMS]
        rng = self._rng
        number = rng.choice(first or world.core_vms)
        ends_at = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < ends_at:
            version = world.next_version(rng)
            doc = world.versions.make(version, rng)
            world.check.record_sent(version, time.monotonic())
            if world.send_order(number, doc):
                break
        else:
            world.check.violations.append(f"vm-{number} acknowledges nothing")
            return
        names = self._list_processes(number)
        for name in names:
            world.plat.signal(name, signal.SIGKILL)
        world.check.record_acknowledged(version, time.monotonic())
        self._log_fault(f"vm-{number} has just acknowledged {version}")
        self._replace_voter(number, CORE_REPLACEMENT)


class PlanWorld(configuration_day.DayWorld):
    """Processes, operators and callers of the day."""

    COURSE = PlanCourse
    OPERATOR = PlanOperator
    REPLACEMENTS = (
        FIRST_REPLACEMENT,
        LEADER_REPLACEMENT,
        configuration_day.LAST_REPLACEMENT,
        CORE_REPLACEMENT,
    )

    def _target_controls(self):
        numbers = (*self.control_vms, *self.REPLACEMENTS)
        return ",".join(map(platform_lib.control_address, numbers))

    def _start(self):
        super()._start()
        self._let_targets_fail(FAIL_EVERY)

    def _settle(self):
        # Each entry is asked once, and a failure of the target is no decision.
        self._let_targets_fail(0)
        super()._settle()

    def _let_targets_fail(self, every):
        for number in configuration_world.TARGETS:
            self.plat.tell(number, fail_every=every, fail_seconds=FAIL_SECONDS)

    def send_order(self, number, doc):
        """Send an order to a control VM; return if it is acknowledged."""
        try:
            status, _, _ = self.plat.call(
                platform_lib.control_address(number),
                "POST",
                "/Configuration.Replace",
                json.dumps(doc),
                t=1.5,
            )
        except (OSError, http.client.HTTPException):
            return False
        return status == 200

    def hasten(self):
        """Let versions follow each other without lulls."""
        self.rhythm.is_hasty = True

    def slow_down(self):
        """Let bursts and lulls alternate again."""
        self.rhythm.is_hasty = False
