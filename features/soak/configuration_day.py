"""Soak of a day at a site in three data centres whose configuration changes.

Eleven VMs have an entry, nine of these a control VM, three of these a disk;
sixteen agents report to them. Bursts of changes revoke keys, which callers on
kept connections go on to use, and alternate with lulls that are longer than the
bound on configurations. Meanwhile VMs restart in turn, links are cut, answers
are late, a VM with a disk is replaced, and the day closes with the loss of
another disk and of all power.
"""

import random
import shutil
import signal
import time

from features.harness import planted_faults
from features.soak import audit_check
from features.soak import configuration_faults
from features.soak import configuration_world
from features.soak import faults as faults_lib
from features.soak import key_callers
from features.soak import older_decisions

ZONES = "pqs"
# VMs that replace one whose disk is lost, in the day and at its end.
REPLACEMENT, LAST_REPLACEMENT = 13, 14
# Share of the day before its troubles begin.
CALM_SHARE = 0.2
STEP_SECONDS = (0.2, 1.0)
# Time before the closing loss without other faults: longer than the bound on
# configurations and the time after which a process is in touch.
STILL_SECONDS = 4.5
SUSPENDED_SECONDS = (0.4, 2.0)
CUT_SECONDS = (1.0, 4.0)
CUT_STEP_SECONDS = 0.5
# Share of the entries that are cut off together.
CUT_SHARE = 0.4
# Delay of the answers of control VMs, and for how long they are late, seconds.
# The delay is longer than the bound on configurations.
LATE_SECONDS = 2.5
LATE_FOR_SECONDS = 4.0
POWER_SECONDS = 1.2
START_SECONDS = 0.05
# VMs that restart one after the other.
IN_TURN = 3
BURST_SECONDS = (0.8, 2.0)
LULL_SECONDS = (3.2, 4.5)
# Share of the versions that revoke keys.
REVOKING_SHARE = 0.6


class Rhythm:
    """Bursts of changes and the lulls between them."""

    def __init__(self, rng):
        # Whether there are no lulls.
        self.is_hasty = False
        self._rng = rng
        self._burst_until = 0.0
        self._next_at = time.monotonic()

    def find_pause_s(self, now):
        """Return the time until the next burst, 0 during one; seconds."""
        if self.is_hasty:
            return 0.0
        if now >= self._next_at:
            self._burst_until = now + self._rng.uniform(*BURST_SECONDS)
            self._next_at = self._burst_until + self._rng.uniform(*LULL_SECONDS)
        return 0.0 if now < self._burst_until else self._next_at - now


class DayOperator(configuration_world.Operator):
    """Changes the configuration in bursts."""

    def _pause(self):
        super()._pause()
        pause_s = self._world.rhythm.find_pause_s(time.monotonic())
        self._world.stopping.wait(pause_s)


class DayCourse(configuration_faults.ConfigurationFaults):
    """Faults of the day; their order, times and VMs are drawn."""

    def __init__(self, *, world):
        super().__init__(world=world, links=False)
        self._rng = random.Random(f"{world.seed}/day")
        # Cuts of entries and control VMs, for traces.
        self.cuts = []
        self._seconds = 0.0
        self._disk_lost_at = float("-inf")

    def run_for(self, seconds):
        """Let the day happen."""
        self._seconds = seconds
        self._play()

    def run(self):
        """Nothing happens beside the course of the day."""

    def _play(self):
        ends_at = time.monotonic() + self._seconds
        time.sleep(CALM_SHARE * self._seconds)
        self._world.plat.tell(4, presence="draining")
        steps = [
            self._restart_vm,
            self._restart_in_turn,
            self._suspend_control,
            self._suspend_entry,
            self._replace_diskless,
            self._replace_core,
            self._end_target,
            self._cut_entries,
            self._cut_core,
            self._deafen_entry,
            self._deafen_entry,
            self._delay_answers,
        ]
        self._rng.shuffle(steps)
        for step in steps:
            if time.monotonic() > ends_at - STILL_SECONDS:
                break
            step()
            time.sleep(self._rng.uniform(*STEP_SECONDS))
        self._start_due()
        time.sleep(STILL_SECONDS)
        repaired_at = self._disk_lost_at + faults_lib.REPAIR_SECONDS
        time.sleep(max(repaired_at - time.monotonic(), 0.0))
        self._close()

    # Processes.

    def _list_running(self):
        """Return the VMs whose processes run."""
        return [
            number
            for number in self._world.vms
            if f"entry-{number}" not in self._starts_due
        ]

    def _restart_vm(self):
        self._restart(self._rng.choice(self._list_running()))

    def _restart_in_turn(self):
        for number in self._rng.sample(self._list_running(), IN_TURN):
            self._restart(number)

    def _restart(self, number):
        """Stop a VM's processes as planned and start them again."""
        names = self._list_processes(number)
        self._log_fault(f"restart {names}")
        for name in names:
            self.disturbances.record(name, time.monotonic())
            self._world.plat.signal(name, signal.SIGTERM)
        for name in names:
            # Signal 0 is not delivered: this only waits.
            self._terminate(name, 0)
        for name in names:
            self._start(name)

    def _suspend_control(self):
        """Suspend a control VM, so that it runs and is silent afterwards."""
        controls = set(self._list_running()) & set(self._world.control_vms)
        self._suspend(f"control-{self._rng.choice(sorted(controls))}")

    def _suspend_entry(self):
        self._suspend(f"entry-{self._rng.choice(self._list_running())}")

    def _suspend(self, name):
        self._log_fault(f"suspend {name}")
        self.disturbances.record(name, time.monotonic())
        self._world.plat.signal(name, signal.SIGSTOP)
        time.sleep(self._rng.uniform(*SUSPENDED_SECONDS))
        self._world.plat.signal(name, signal.SIGCONT)
        self.disturbances.record(name, time.monotonic())

    def _replace_diskless(self):
        """End a VM without a disk; another one has its address later."""
        diskless = set(self._list_running()) - set(self._world.core_vms)
        number = self._rng.choice(sorted(diskless))
        names = self._list_processes(number)
        self._log_fault(f"replace {names}")
        for name in names:
            self._terminate(name, signal.SIGKILL)
            self._starts_due[name] = time.monotonic() + 2.0

    def _replace_core(self):
        """Replace a VM with a disk by an empty one at another address."""
        lost = self._rng.choice(self._world.core_vms)
        names = self._list_processes(lost)
        self._log_fault(f"replace {names} by vm-{REPLACEMENT}")
        for name in names:
            self._terminate(name, signal.SIGKILL)
        self._disk_lost_at = time.monotonic()
        self._world.replace_vm(lost, REPLACEMENT)
        time.sleep(self._rng.uniform(*SUSPENDED_SECONDS))
        for name in self._list_processes(REPLACEMENT):
            self._start(name)

    def _end_target(self):
        self._log_fault("target 4 ends")
        self._world.plat.signal("target-4", signal.SIGKILL)

    def _start_due(self):
        for name, at in list(self._starts_due.items()):
            time.sleep(max(at - time.monotonic(), 0.0))
            del self._starts_due[name]
            self._start(name)

    # Links.

    def _cut_entries(self):
        """Cut entries off from all control VMs."""
        vms = self._world.vms
        count = round(CUT_SHARE * len(vms))
        names = [f"entry-{n}" for n in self._rng.sample(vms, count)]
        self._cut(dict.fromkeys(names, self._world.control_vms))

    def _cut_core(self):
        """Cut a control VM with a disk off from the others."""
        core = self._world.core_vms
        number = self._rng.choice(core)
        others = [n for n in core if n != number]
        self._cut({f"control-{number}": others})

    def _cut(self, links):
        self._log_fault(f"cut {links}")
        began = time.monotonic()
        for name, numbers in links.items():
            self._world.plat.set_cut(name, numbers)
        ends_at = time.monotonic() + self._rng.uniform(*CUT_SECONDS)
        # A cut may be longer than the time after which a process is in touch.
        while time.monotonic() < ends_at:
            for name in links:
                self.disturbances.record(name, time.monotonic())
            time.sleep(CUT_STEP_SECONDS)
        for name in links:
            self._world.plat.set_deaf(name, [])
            ended = time.monotonic()
            self.disturbances.record(name, ended)
            self.cuts.append(older_decisions.Cut(name, began, ended))

    def _deafen_entry(self):
        """Make an entry deaf to some control VMs; it hears the others."""
        name = f"entry-{self._rng.choice(self._world.vms)}"
        core = self._world.core_vms
        senders = self._rng.sample(core, self._rng.randint(1, len(core) - 1))
        self._log_fault(f"{name} is deaf to {senders}")
        self._world.plat.set_deaf(name, senders)
        began = time.monotonic()
        time.sleep(self._rng.uniform(*CUT_SECONDS))
        self._world.plat.set_deaf(name, [])
        self.cuts.append(older_decisions.Cut(name, began, time.monotonic()))

    def _delay_answers(self):
        """Let all control VMs answer the entries late."""
        names = [f"entry-{number}" for number in self._world.vms]
        self._log_fault(f"answers to entries are {LATE_SECONDS} s late")
        for name in names:
            self._world.plat.set_late(
                name, self._world.control_vms, LATE_SECONDS
            )
        time.sleep(LATE_FOR_SECONDS)
        for name in names:
            self._world.plat.set_deaf(name, [])

    def _close(self):
        """Lose a disk and, at the same moment, the power of all VMs."""
        world = self._world
        lost = self._rng.choice(world.core_vms)
        self._log_fault(f"disk of vm-{lost} and all power")
        names = [n for v in world.vms for n in self._list_processes(v)]
        agents = [f"agent-{n}" for n in range(1, world.AGENTS + 1)]
        for name in (*names, *agents):
            self.disturbances.record(name, time.monotonic())
            world.plat.signal(name, signal.SIGKILL)
        for name in (*names, *agents):
            world.plat.procs[name].wait()
        shutil.rmtree(world.plat.folder / f"data-{lost}")
        time.sleep(POWER_SECONDS)
        world.replace_vm(lost, LAST_REPLACEMENT)
        names = [n for v in world.vms for n in self._list_processes(v)]
        self._rng.shuffle(names)
        for name in (*names, *agents):
            self._start(name)
            time.sleep(self._rng.uniform(0, START_SECONDS))

    def _list_processes(self, number):
        names = [f"entry-{number}"]
        if number in self._world.control_vms:
            names.append(f"control-{number}")
        return names


class DayWorld(configuration_world.ConfigurationWorld):
    """Processes, operators and callers of one day.

    Attributes:
        keys: Keys that are revoked one after the other.
        reports: Requests that entries reported as outdated.
        rhythm: Bursts and lulls of the changes.
        trace: A line for each decision by a version older than one that was
            acknowledged before.
        planted_vm: Number of the VM whose entry gets the planted fault.
    """

    COURSE = DayCourse
    OPERATOR = DayOperator
    ENTRIES = 11
    CONTROLS = 9
    AGENTS = 16
    CALLERS = 22
    # VMs that take the places of lost ones.
    REPLACEMENTS = (REPLACEMENT, LAST_REPLACEMENT)

    def __init__(self, *, seed, folder, plant=""):
        """Create the day.

        Args:
            seed: Seed of all random choices.
            folder: Folder of the processes' files.
            plant: Fault to plant in one entry, see planted_faults.
        """
        self.keys = key_callers.KeyRing()
        self.reports = []
        self.trace = []
        super().__init__(
            seed=seed, folder=folder, callers=self.CALLERS, entries=self.ENTRIES
        )
        self.control_vms = tuple(range(1, self.CONTROLS + 1))
        self.faults = self.COURSE(world=self)
        self.rhythm = Rhythm(random.Random(f"{seed}/rhythm"))
        self._plant = plant
        is_control = plant in planted_faults.CONTROL_KINDS
        self.planted_vm = random.Random(f"{seed}/plant").choice(
            self.control_vms if is_control else self._vms
        )
        self._operators = [self.OPERATOR(world=self, number=n) for n in (1, 2)]
        vms = (*self._vms, *self.REPLACEMENTS)
        self._kept_callers = [
            key_callers.KeptCaller(world=self, number=self.CALLERS + vm, vm=vm)
            for vm in vms
        ]
        self._callers += self._kept_callers
        # All control VMs that have had a disk in the course of the day.
        self._all_core = set(self.core_vms)

    @property
    def vms(self):
        """Numbers of the VMs."""
        return tuple(self._vms)

    def run(self, seconds):
        """Run for some seconds and return the violations found."""
        found = super().run(seconds)
        counts = key_callers.count_requests(self._kept_callers)
        self.reports = audit_check.read_reports(self.plat.folder)
        self.summary += f", {counts}, {len(self.reports)} reported by entries"
        found += audit_check.find_violations(self.reports)
        found += audit_check.find_broken(self.plat.folder)
        broken, orders = audit_check.check_acknowledgements(
            self.plat.folder, self.check.acknowledged
        )
        found += broken
        self.summary += f", orders {orders}"
        self.trace = self._trace_older()
        return found + audit_check.find_other_contents(self.plat.folder)

    def _trace_older(self):
        """Return a line for each decision by a version that was replaced."""
        standings = older_decisions.Standings(self.plat.folder)
        return [
            older_decisions.describe(
                found,
                cuts=self.faults.cuts,
                standings=standings,
                is_in_touch=self._is_in_touch,
            )
            for found in self.check.list_older()
        ]

    def replace_vm(self, lost, number):
        """Put another VM in the place of one that is lost."""
        self._vms = [number if n == lost else n for n in self._vms]
        self.control_vms = tuple(
            number if n == lost else n for n in self.control_vms
        )
        self.core_vms = tuple(number if n == lost else n for n in self.core_vms)
        self._all_core.update(self.core_vms)
        self.plat.seeds = self.core_vms
        self.plat.zones[number] = self.plat.zones[lost]

    def _plan_version(self, version, rng):
        if rng.random() < REVOKING_SHARE:
            self.keys.revoke(version, rng)

    def _list_keys(self, version):
        return self.keys.list_keys(version)

    def _prepare(self):
        zones = {n: ZONES[(n - 1) % 3] for n in self._vms}
        self.plat.zones.update(zones)
        if self._plant:
            is_control = self._plant in planted_faults.CONTROL_KINDS
            role = "control" if is_control else "entry"
            self.plat.set_plant(f"{role}-{self.planted_vm}", self._plant)
        for number in range(1, self.AGENTS + 1):
            self.plat.start("agent", number)

    def _is_in_touch(self, vm, begin, end):
        names = [f"entry-{vm}", *[f"control-{n}" for n in self._all_core]]
        log = self.faults.disturbances
        return not any(log.was_disturbed(name, begin, end) for name in names)
