"""Soak of a day at a site in three data centres whose configuration changes.

Eleven VMs have an entry, nine of these a control VM, three of these a disk;
sixteen agents report to them. Towards its end the day changes its
configuration often, restarts VMs in turn, removes a target, replaces a VM, and
closes with the loss of a disk and of all power.
"""

import random
import shutil
import signal
import time

from features.soak import configuration_faults
from features.soak import configuration_world

ENTRIES = 11
CONTROLS = 9
CORE = (1, 2, 3)
AGENTS = 16
CALLERS = 22
ZONES = "pqs"
# VM that replaces the one whose disk is lost at the end.
REPLACEMENT = 13
# Share of the day after which its end begins, and pauses there.
CALM_SHARE = 0.4
STEP_SECONDS = (0.2, 1.5)
# Time before the closing loss without other faults: longer than the bound on
# configurations and the time after which a process is in touch.
STILL_SECONDS = 4.5
SUSPENDED_SECONDS = (0.4, 2.0)
POWER_SECONDS = 1.2
START_SECONDS = 0.05


class DayCourse(configuration_faults.ConfigurationFaults):
    """Faults of the day in their order; their times and VMs are drawn."""

    def __init__(self, *, world):
        super().__init__(world=world, links=False)
        self._rng = random.Random(f"{world.seed}/day")
        self._seconds = 0.0

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
            *[self._restart_vm] * 4,
            self._suspend_control,
            self._suspend_entry,
            self._replace_diskless,
            self._end_target,
        ]
        self._rng.shuffle(steps)
        for step in steps:
            if time.monotonic() > ends_at - STILL_SECONDS:
                break
            step()
            time.sleep(self._rng.uniform(*STEP_SECONDS))
        self._start_due()
        time.sleep(STILL_SECONDS)
        self._close()

    def _restart_vm(self):
        """Stop a VM's processes as planned and start them again."""
        number = self._rng.choice(self._world.vms)
        names = self._list_processes(number)
        self._log_fault(f"restart {names}")
        for name in names:
            self._terminate(name, signal.SIGTERM)
        for name in names:
            self._start(name)

    def _suspend_control(self):
        """Suspend a control VM, so that it runs and is silent afterwards."""
        self._suspend(f"control-{self._rng.choice(self._world.control_vms)}")

    def _suspend_entry(self):
        self._suspend(f"entry-{self._rng.choice(self._world.vms)}")

    def _suspend(self, name):
        self._log_fault(f"suspend {name}")
        self.disturbances.record(name, time.monotonic())
        self._world.plat.signal(name, signal.SIGSTOP)
        time.sleep(self._rng.uniform(*SUSPENDED_SECONDS))
        self._world.plat.signal(name, signal.SIGCONT)
        self.disturbances.record(name, time.monotonic())

    def _replace_diskless(self):
        """End a VM without a disk; another one has its address later."""
        number = self._rng.choice([n for n in self._world.vms if n > CORE[-1]])
        names = self._list_processes(number)
        self._log_fault(f"replace {names}")
        for name in names:
            self._terminate(name, signal.SIGKILL)
            self._starts_due[name] = time.monotonic() + 2.0

    def _end_target(self):
        self._log_fault("target 4 ends")
        self._world.plat.signal("target-4", signal.SIGKILL)

    def _start_due(self):
        for name, at in list(self._starts_due.items()):
            time.sleep(max(at - time.monotonic(), 0.0))
            del self._starts_due[name]
            self._start(name)

    def _close(self):
        """Lose a disk and, at the same moment, the power of all VMs."""
        world = self._world
        lost = self._rng.choice(CORE)
        self._log_fault(f"disk of vm-{lost} and all power")
        names = [n for v in world.vms for n in self._list_processes(v)]
        agents = [f"agent-{n}" for n in range(1, AGENTS + 1)]
        for name in (*names, *agents):
            self.disturbances.record(name, time.monotonic())
            world.plat.signal(name, signal.SIGKILL)
        for name in (*names, *agents):
            world.plat.procs[name].wait()
        shutil.rmtree(world.plat.folder / f"data-{lost}")
        time.sleep(POWER_SECONDS)
        world.replace_vm(lost, REPLACEMENT)
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
    """Processes, operators and callers of one day."""

    def __init__(self, *, seed, folder):
        """Create the day.

        Args:
            seed: Seed of all random choices.
            folder: Folder of the processes' files.
        """
        super().__init__(
            seed=seed, folder=folder, callers=CALLERS, entries=ENTRIES
        )
        self.control_vms = tuple(range(1, CONTROLS + 1))
        self.faults = DayCourse(world=self)

    @property
    def vms(self):
        """Numbers of the VMs."""
        return tuple(self._vms)

    def replace_vm(self, lost, number):
        """Put another VM in the place of one that is lost."""
        self._vms = [number if n == lost else n for n in self._vms]
        self.control_vms = tuple(
            number if n == lost else n for n in self.control_vms
        )
        self.core_vms = tuple(number if n == lost else n for n in self.core_vms)
        self.plat.zones[number] = self.plat.zones[lost]

    def _prepare(self):
        zones = {n: ZONES[(n - 1) % 3] for n in self._vms}
        self.plat.zones.update(zones)
        for number in range(1, AGENTS + 1):
            self.plat.start("agent", number)
