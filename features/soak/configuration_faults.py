"""Faults of a soak whose configuration changes: of processes and of links."""

import collections
import signal
import threading
import time

from features.harness import platform as platform_lib
from features.soak import faults as faults_lib

# Longest time for which a process is deaf, seconds. It is shorter than the time
# that a process must be undisturbed to be in touch.
DEAF_SECONDS = 2.5
DEAF_PROGRAM = [str(platform_lib.ROOT / "features/harness/deaf_role.py")]


class DeafPlatform(platform_lib.Platform):
    """Processes that can be made deaf to others."""

    def start(self, role, number, bootstrap=True, program=None):
        """Start a role on a VM."""
        super().start(role, number, bootstrap, program or DEAF_PROGRAM)

    def set_deaf(self, name, numbers):
        """Make a process deaf to the control VMs with these numbers."""
        senders = [
            f"{platform_lib.control_ip(n)}:{platform_lib.INTERNAL_PORT}"
            for n in numbers
        ]
        (self.folder / f"{name}.deaf").write_text("\n".join(senders))


class ConfigurationFaults(faults_lib.FaultInjector):
    """Disturbs one process, those of a VM, all of a kind, or their links."""

    def __init__(self, *, world, links):
        super().__init__(world=world, planned_only=False)
        self._links = links
        # Until when processes are deaf, by name.
        self._deaf = {}
        self._launches = collections.Counter()
        self._ended = threading.Event()

    def run(self):
        """Inject faults one after another until ``stop``."""
        kinds = self._list_kinds()
        while not self._ended.wait(
            self._rng.uniform(*faults_lib.PAUSE_SECONDS)
        ):
            self._thaw_due()
            self._undeafen(time.monotonic())
            self._rng.choice(kinds)()
        self._undeafen(float("inf"))
        self._restore_all()

    def stop(self):
        """End the faults, and wait until all processes run."""
        self._ended.set()
        self.join()

    def count_launches(self, name):
        """Return how often a process was started again."""
        return self._launches[name]

    def _terminate(self, name, what):
        # What answers from now on may be either process.
        self._launches[name] += 1
        return super()._terminate(name, what)

    def _start(self, name):
        self._launches[name] += 1
        super()._start(name)

    def _list_kinds(self):
        links = [self._deafen] * 4 if self._links else []
        return [
            self._kill,
            self._freeze,
            self._freeze,
            self._stop_and_start,
            self._reload,
            self._wipe,
            self._kill_vm,
            self._kill_all,
            *links,
        ]

    def _deafen(self):
        """Cut links to a process one way.

        An entry that still hears a control VM is judged as in touch.
        """
        name = self._pick()
        role, _, number = name.partition("-")
        others = [
            n for n in faults_lib.VMS if role == "entry" or n != int(number)
        ]
        senders = self._rng.sample(others, self._rng.randint(1, 2))
        if name in self._deaf:
            return
        self._log_fault(f"{name} is deaf to {senders}")
        if role == "control":
            self.disturbances.record(name, time.monotonic())
            self._control_lost_at = time.monotonic()
        self._world.plat.set_deaf(name, senders)
        seconds = self._rng.uniform(0.3, DEAF_SECONDS)
        self._deaf[name] = time.monotonic() + seconds

    def _undeafen(self, now):
        for name, until in list(self._deaf.items()):
            if now < until:
                continue
            del self._deaf[name]
            self._world.plat.set_deaf(name, [])
            if name.startswith("control"):
                self.disturbances.record(name, time.monotonic())
                self._control_lost_at = time.monotonic()

    def _kill_vm(self):
        number = self._rng.choice(faults_lib.VMS)
        self._kill_names([f"entry-{number}", f"control-{number}"])

    def _kill_all(self):
        roles = self._rng.choice((["control"], ["entry", "control"]))
        self._kill_names(
            [f"{role}-{n}" for role in roles for n in faults_lib.VMS]
        )

    def _kill_names(self, names):
        if not self._may_lose_control():
            return
        self._log_fault(f"kill {names}")
        for name in names:
            self._terminate(name, signal.SIGKILL)
        for name in names:
            self._start(name)
