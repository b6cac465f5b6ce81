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
# Delay of all messages to a process with a slow link, seconds.
SLOW_SECONDS = 0.2
# Time from the end of a VM until another one has its address, seconds.
REUSE_SECONDS = (2.0, 3.0)
# Longest time for which a target refuses requests, seconds.
REFUSE_SECONDS = 1.5
# Answers in a row that a target loses.
LOST_ANSWERS = 2
DEAF_PROGRAM = [str(platform_lib.ROOT / "features/harness/deaf_role.py")]


class DeafPlatform(platform_lib.Platform):
    """Processes that can be made deaf to others."""

    def start(self, role, number, bootstrap=True, program=None):
        """Start a role on a VM."""
        super().start(role, number, bootstrap, program or DEAF_PROGRAM)

    def set_deaf(self, name, numbers):
        """Make a process deaf to the control VMs with these numbers."""
        self._disturb_links(name, map(control_name, numbers))

    def set_slow(self, name):
        """Delay all messages to a process."""
        self._disturb_links(name, [f"delay {SLOW_SECONDS}"])

    def set_late(self, name, numbers, seconds):
        """Delay the messages of control VMs to a process."""
        self._disturb_links(
            name, [f"late {seconds} {control_name(n)}" for n in numbers]
        )

    def set_cut(self, name, numbers):
        """Cut the links between a process and control VMs, both ways."""
        self._disturb_links(
            name, [f"cut {control_name(number)}" for number in numbers]
        )

    def set_plant(self, name, kind):
        """Plant a fault in a process that starts later."""
        (self.folder / f"{name}.plant").write_text(kind)

    def _disturb_links(self, name, lines):
        (self.folder / f"{name}.deaf").write_text("\n".join(lines))


def control_name(number):
    """Return the name of a control VM among the system's processes."""
    return f"{platform_lib.control_ip(number)}:{platform_lib.INTERNAL_PORT}"


class ConfigurationFaults(faults_lib.FaultInjector):
    """Disturbs one process, those of a VM, all of a kind, or their links."""

    def __init__(self, *, world, links, targets=(), replaced=()):
        """Create the injector.

        Args:
            world: Run of the soak.
            links: Whether links are cut one way.
            targets: Numbers of targets that refuse and lose answers.
            replaced: Numbers of VMs that end and whose address is used again;
                links are slow, too, if there are any.
        """
        super().__init__(world=world, planned_only=False)
        self._links = links
        self._targets = targets
        self._replaced = replaced
        # Until when processes are deaf or have a slow link, by name.
        self._deaf = {}
        # When processes on a new VM start, by name.
        self._starts_due = {}
        # Until when targets refuse, by number.
        self._refusing = {}
        self._launches = collections.Counter()
        self._ended = threading.Event()

    def run(self):
        """Inject faults one after another until ``stop``."""
        kinds = self._list_kinds()
        while not self._ended.wait(
            self._rng.uniform(*faults_lib.PAUSE_SECONDS)
        ):
            self._thaw_due()
            self._end_due(time.monotonic())
            self._rng.choice(kinds)()
        self._end_due(float("inf"))
        self._restore_all()

    def _end_due(self, now):
        self._undeafen(now)
        for name, at in list(self._starts_due.items()):
            if now >= at:
                del self._starts_due[name]
                self._start(name)
        for number, until in list(self._refusing.items()):
            if now >= until:
                del self._refusing[number]
                self._world.plat.tell(number, refuse=False)

    def run_for(self, seconds):
        """Let faults happen for some seconds, and end them."""
        time.sleep(seconds)
        self.stop()

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
        if self._targets:
            links += [self._refuse, self._lose_answers]
        if self._replaced:
            links += [self._slow_link, self._replace_vm]
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

    def _slow_link(self):
        name = f"entry-{self._rng.choice(faults_lib.VMS)}"
        if name in self._deaf:
            return
        self._log_fault(f"slow link to {name}")
        self._world.plat.set_slow(name)
        seconds = self._rng.uniform(0.3, DEAF_SECONDS)
        self._deaf[name] = time.monotonic() + seconds

    def _replace_vm(self):
        """End a VM; another one has its address later."""
        number = self._rng.choice(self._replaced)
        names = [f"entry-{number}", f"control-{number}"]
        if any(name in self._starts_due for name in names):
            return
        self._log_fault(f"replace vm-{number}")
        for name in names:
            self._terminate(name, signal.SIGKILL)
            self._starts_due[name] = time.monotonic() + self._rng.uniform(
                *REUSE_SECONDS
            )

    def _refuse(self):
        number = self._rng.choice(self._targets)
        self._log_fault(f"target {number} refuses")
        self._world.plat.tell(number, refuse=True)
        seconds = self._rng.uniform(0.1, REFUSE_SECONDS)
        self._refusing[number] = time.monotonic() + seconds

    def _lose_answers(self):
        number = self._rng.choice(self._targets)
        self._log_fault(f"target {number} loses answers")
        self._world.plat.tell(number, lose_answers=LOST_ANSWERS)

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
