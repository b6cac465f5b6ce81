"""Random faults from outside the processes, in series and overlapping."""

import contextlib
import random
import resource
import shutil
import signal
import subprocess
import threading
import time

from features.soak import asking

VMS = (1, 2, 3)
STOP_SECONDS = 10.0
# From one fault to the next.
PAUSE_SECONDS = (0.05, 0.8)
# A wiped or killed control VM has this long before another may be lost.
REPAIR_SECONDS = 6.0


class Faults(threading.Thread):
    """Inject faults until told to stop, then mend everything.

    Attributes:
        planned_only: Whether only planned work is done: stops, reloads.
        log: What was done when, for whoever traces a seed.
        excuses: When processes were disturbed.
    """

    def __init__(self, *, world, planned_only, asks=False):
        super().__init__(name="faults")
        self.planned_only = planned_only
        self.log = []
        self.excuses = asking.Excuses()
        self._asks = asks
        self._rng = random.Random(f"{world.seed}/faults")
        self._world = world
        self._frozen = {}
        # Control processes whose disks refuse writes, and until when.
        self._full = {}
        self._control_lost_at = float("-inf")
        # How often each process had begun when it was started last.
        self._begun_before = {}

    def run(self):
        """Do one thing after the other."""
        kinds = [self._stop_and_start, self._reload]
        if not self.planned_only:
            kinds += [
                self._kill, self._freeze, self._wipe, self._reset,
                self._slow, self._cut, self._refuse_writes,
                # What targets do is what most promises are about.
                *[self._bend_target] * 4,
            ]  # fmt: skip
        if self._asks:
            # Links stay as they are, so that what a target sees is what
            # entries do.
            kinds = [
                self._kill, self._freeze, self._stop_and_start, self._reset,
                *[self._ask] * 5,
            ]  # fmt: skip
        while not self._world.stopping.wait(self._rng.uniform(*PAUSE_SECONDS)):
            self._thaw_due()
            self._mend_disks(time.monotonic())
            self._rng.choice(kinds)()
        self._mend()

    def _note(self, what):
        self.log.append(f"{time.monotonic() - self._world.began:.2f} {what}")

    # Processes.

    def _pick(self):
        role = self._rng.choice(("entry", "control"))
        name = f"{role}-{self._rng.choice(VMS)}"
        if role == "control" and not self._may_lose_control():
            name = name.replace("control", "entry")
        return name

    def _may_lose_control(self):
        frozen = any(name.startswith("control") for name in self._frozen)
        frozen = frozen or bool(self._full)
        waited = time.monotonic() - self._control_lost_at > REPAIR_SECONDS
        return waited and not frozen

    def _kill(self):
        name = self._pick()
        self._note(f"kill {name}")
        self._end(name, signal.SIGKILL)
        self._start(name)

    def _stop_and_start(self):
        name = self._pick()
        self._note(f"stop {name}")
        code = self._end(name, signal.SIGTERM)
        # One that has not begun yet knows nothing of the signal, and has
        # nothing that could be cut off.
        early = code == -signal.SIGTERM and not self._has_begun(name)
        if code != 0 and not early:
            self._world.ledger.broken.append(f"{name}: ended with {code}")
        self._start(name)

    def _reload(self):
        name = self._pick()
        self._note(f"reload {name}")
        self._thaw(name)
        self._world.plat.signal(name, signal.SIGHUP)

    def _freeze(self):
        name = self._pick()
        if name in self._frozen:
            return
        self._note(f"freeze {name}")
        self.excuses.note(name, time.monotonic())
        self._world.plat.signal(name, signal.SIGSTOP)
        seconds = self._rng.uniform(0.2, 3.0)
        self._frozen[name] = time.monotonic() + seconds

    def _wipe(self):
        if not self._may_lose_control():
            return
        number = self._rng.choice(VMS)
        name = f"control-{number}"
        self._note(f"wipe {name}")
        self._end(name, signal.SIGKILL)
        shutil.rmtree(self._world.plat.folder / f"data-{number}")
        self._start(name)

    def _refuse_writes(self):
        """Let every write of one control process to any file fail."""
        name = f"control-{self._rng.choice(VMS)}"
        if self._full or not self._may_lose_control():
            return
        self._note(f"disk of {name} refuses")
        self._limit_files(name, 0)
        seconds = self._rng.uniform(0.3, 3.0)
        self._full[name] = time.monotonic() + seconds

    def _mend_disks(self, now):
        for name, until in list(self._full.items()):
            if now < until:
                continue
            del self._full[name]
            self._control_lost_at = time.monotonic()
            self._note(f"disk of {name} takes writes")
            self._limit_files(name, resource.RLIM_INFINITY)

    def _limit_files(self, name, size):
        # A process that has ended meanwhile is started without a limit.
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(
                self._world.plat.procs[name].pid,
                resource.RLIMIT_FSIZE,
                (size, resource.RLIM_INFINITY),
            )

    def _end(self, name, what):
        self.excuses.note(name, time.monotonic())
        if name.startswith("control"):
            self._control_lost_at = time.monotonic()
        self._thaw(name)
        proc = self._world.plat.procs[name]
        proc.send_signal(what)
        try:
            return proc.wait(timeout=STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self._world.ledger.broken.append(f"{name}: did not end")
            proc.kill()
            return proc.wait(timeout=STOP_SECONDS)

    def _has_begun(self, name):
        """Tell whether a process has said that it started since it was."""
        return self._begun(name) > self._begun_before.get(name, 0)

    def _begun(self, name):
        log = self._world.plat.folder / f"{name}.log"
        return log.read_text(errors="replace").count('"event":"started"')

    def _start(self, name):
        self.excuses.note(name, time.monotonic())
        self._begun_before[name] = self._begun(name)
        role, _, number = name.partition("-")
        self._world.plat.start(role, int(number), bootstrap=False)
        if role == "control":
            self._control_lost_at = time.monotonic()

    def _thaw(self, name):
        if self._frozen.pop(name, None) is not None:
            self.excuses.note(name, time.monotonic())
            self._world.plat.signal(name, signal.SIGCONT)
            if name.startswith("control"):
                self._control_lost_at = time.monotonic()

    def _thaw_due(self):
        now = time.monotonic()
        for name, until in list(self._frozen.items()):
            if now >= until:
                self._thaw(name)

    # Connections.

    def _proxy(self):
        return self._rng.choice(sorted(self._world.proxies.by_name))

    def _reset(self):
        name = self._proxy()
        self._note(f"reset {name}")
        self._world.proxies.reset(name)

    def _slow(self):
        name = self._proxy()
        weather = self._world.proxies.by_name[name].weather
        weather.delay_s = self._rng.choice((0.0, 0.02, 0.2))
        self._note(f"delay {name} {weather.delay_s}")

    def _cut(self):
        name = self._proxy()
        weather = self._world.proxies.by_name[name].weather
        weather.deaf = self._rng.random() < 0.4
        weather.mute = self._rng.random() < 0.4
        self._note(f"cut {name} deaf={weather.deaf} mute={weather.mute}")

    # Targets.

    def _ask(self):
        """Let a target ask for something, or for nothing more."""
        number = self._rng.choice(self._world.TARGETS)
        what = self._rng.choice(
            (
                {"refuse": True, "rest": "3"},
                {"refuse": True, "rest": "1"},
                {"refuse": True, "rest": ""},
                {"refuse": False, "rest": ""},
                {"refuse": False, "rest": ""},
                {"leaving": "1"},
                {"limit": "2"},
            )
        )
        if "limit" in what or "leaving" in what:
            # One target for good each, so that others are left to serve.
            number = 1 if "limit" in what else 2
        self._note(f"target {number} {what}")
        self._world.tell(number, **what)

    def _bend_target(self):
        number = self._rng.choice(self._world.TARGETS)
        what = self._rng.choice(
            (
                {"break_after": 3},
                {"lose_answers": 3},
                {"refuse": True},
                {"refuse": False},
            )
        )
        self._note(f"target {number} {what}")
        self._world.tell(number, **what)

    def _mend(self):
        for name in list(self._frozen):
            self._thaw(name)
        self._mend_disks(float("inf"))
        self._world.proxies.calm()
        for number in self._world.TARGETS:
            self._world.tell(number, refuse=False, break_after=0)
        self._note("mended")
