"""Injects random faults into the processes and connections of a soak."""

import contextlib
import random
import resource
import shutil
import signal
import subprocess
import threading
import time

from features.soak import signal_check
from standins import cut_answers

VMS = (1, 2, 3)
STOP_SECONDS = 10.0
# Shortest and longest time between faults, seconds.
PAUSE_SECONDS = (0.05, 0.8)
# Most answers in a row that a target cuts off.
MAX_CUTS = 3
# Bytes of an event, and of the shortest body of a plain answer.
EVENT_BYTES = 21
PLAIN_BYTES = 4
# Time for the recovery of a control VM before the next may fail, seconds.
REPAIR_SECONDS = 6.0


class FaultInjector(threading.Thread):
    """Injects faults until the soak stops, then removes them.

    Attributes:
        planned_only: Whether only planned stops and reloads are injected.
        log: Injected faults with their times, to reproduce a seed.
        disturbances: Times at which processes were disturbed.
    """

    def __init__(self, *, world, planned_only, asks=False):
        super().__init__(name="faults")
        self.planned_only = planned_only
        self.log = []
        self.disturbances = signal_check.DisturbanceLog()
        self._asks = asks
        self._rng = random.Random(f"{world.seed}/faults")
        self._world = world
        self._frozen = {}
        # Control processes whose writes fail, and until when.
        self._failing_disks = {}
        self._control_lost_at = float("-inf")
        # Number of completed starts of each process at its last start.
        self._starts_before = {}

    def run(self):
        """Inject faults one after another."""
        kinds = self._list_kinds()
        while not self._world.stopping.wait(self._rng.uniform(*PAUSE_SECONDS)):
            self._thaw_due()
            self._restore_disks(time.monotonic())
            self._rng.choice(kinds)()
        self._restore_all()

    def _list_kinds(self):
        """Return what is drawn from."""
        kinds = [self._stop_and_start, self._reload]
        if not self.planned_only:
            kinds += [
                self._kill, self._freeze, self._wipe, self._reset,
                self._slow, self._cut, self._refuse_writes,
                # Most invariants depend on the behaviour of targets.
                *[self._disturb_target] * 4,
            ]  # fmt: skip
        if self._asks:
            # Without link faults a target's records show exactly what
            # entries sent.
            kinds = [
                self._kill, self._freeze, self._stop_and_start, self._reset,
                *[self._ask] * 5,
            ]  # fmt: skip
        return kinds

    def _log_fault(self, what):
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
        frozen = frozen or bool(self._failing_disks)
        waited = time.monotonic() - self._control_lost_at > REPAIR_SECONDS
        return waited and not frozen

    def _kill(self):
        name = self._pick()
        self._log_fault(f"kill {name}")
        self._terminate(name, signal.SIGKILL)
        self._start(name)

    def _stop_and_start(self):
        name = self._pick()
        self._log_fault(f"stop {name}")
        code = self._terminate(name, signal.SIGTERM)
        # A process that is still loading has no signal handler yet, and no
        # requests that could be cut off.
        early = code == -signal.SIGTERM and not self._has_started(name)
        if code != 0 and not early:
            self._world.ledger.violations.append(f"{name}: exited with {code}")
        self._start(name)

    def _reload(self):
        name = self._pick()
        self._log_fault(f"reload {name}")
        self._thaw(name)
        self._world.plat.signal(name, signal.SIGHUP)

    def _freeze(self):
        name = self._pick()
        if name in self._frozen:
            return
        self._log_fault(f"freeze {name}")
        self.disturbances.record(name, time.monotonic())
        self._world.plat.signal(name, signal.SIGSTOP)
        seconds = self._rng.uniform(0.2, 3.0)
        self._frozen[name] = time.monotonic() + seconds

    def _wipe(self):
        if not self._may_lose_control():
            return
        number = self._rng.choice(VMS)
        name = f"control-{number}"
        self._log_fault(f"wipe {name}")
        self._terminate(name, signal.SIGKILL)
        shutil.rmtree(self._world.plat.folder / f"data-{number}")
        self._start(name)

    def _refuse_writes(self):
        """Make all file writes of a control process fail."""
        name = f"control-{self._rng.choice(VMS)}"
        if self._failing_disks or not self._may_lose_control():
            return
        self._log_fault(f"disk of {name} refuses")
        self._limit_files(name, 0)
        seconds = self._rng.uniform(0.3, 3.0)
        self._failing_disks[name] = time.monotonic() + seconds

    def _restore_disks(self, now):
        for name, until in list(self._failing_disks.items()):
            if now < until:
                continue
            del self._failing_disks[name]
            self._control_lost_at = time.monotonic()
            self._log_fault(f"disk of {name} takes writes")
            self._limit_files(name, resource.RLIM_INFINITY)

    def _limit_files(self, name, size):
        # A process that has exited meanwhile restarts without the limit.
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(
                self._world.plat.procs[name].pid,
                resource.RLIMIT_FSIZE,
                (size, resource.RLIM_INFINITY),
            )

    def _terminate(self, name, what):
        self.disturbances.record(name, time.monotonic())
        if name.startswith("control"):
            self._control_lost_at = time.monotonic()
        self._thaw(name)
        proc = self._world.plat.procs[name]
        proc.send_signal(what)
        try:
            return proc.wait(timeout=STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self._world.ledger.violations.append(f"{name}: did not exit")
            proc.kill()
            return proc.wait(timeout=STOP_SECONDS)

    def _has_started(self, name):
        """Return whether a process logged its start since its last launch."""
        return self._count_starts(name) > self._starts_before.get(name, 0)

    def _count_starts(self, name):
        log = self._world.plat.folder / f"{name}.log"
        if not log.exists():
            return 0
        return log.read_text(errors="replace").count('"event":"started"')

    def _start(self, name):
        self.disturbances.record(name, time.monotonic())
        self._starts_before[name] = self._count_starts(name)
        role, _, number = name.partition("-")
        self._world.plat.start(role, int(number), bootstrap=False)
        if role == "control":
            self._control_lost_at = time.monotonic()

    def _thaw(self, name):
        if self._frozen.pop(name, None) is not None:
            self.disturbances.record(name, time.monotonic())
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
        self._log_fault(f"reset {name}")
        self._world.proxies.reset(name)

    def _slow(self):
        name = self._proxy()
        conditions = self._world.proxies.by_name[name].conditions
        conditions.delay_s = self._rng.choice((0.0, 0.02, 0.2))
        self._log_fault(f"delay {name} {conditions.delay_s}")

    def _cut(self):
        name = self._proxy()
        conditions = self._world.proxies.by_name[name].conditions
        conditions.deaf = self._rng.random() < 0.4
        conditions.mute = self._rng.random() < 0.4
        self._log_fault(
            f"cut {name} deaf={conditions.deaf} mute={conditions.mute}"
        )

    # Targets.

    def _ask(self):
        """Make a target send or stop sending a signal to entries."""
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
            # These signals are permanent, so each is limited to one target.
            number = 1 if "limit" in what else 2
        self._log_fault(f"target {number} {what}")
        self._world.tell(number, **what)

    def _disturb_target(self):
        number = self._rng.choice(self._world.TARGETS)
        what = self._rng.choice(
            (
                {"break_after": 3},
                {"lose_answers": 3},
                {"refuse": True},
                {"refuse": False},
                {"framing": self._rng.choice(("", *cut_answers.FRAMINGS))},
                {"stream_cuts": self._draw_cuts(is_stream=True)},
                {"plain_cuts": self._draw_cuts(is_stream=False)},
            )
        )
        self._log_fault(f"target {number} {what}")
        self._world.tell(number, **what)

    def _draw_cuts(self, *, is_stream):
        """Return cuts of the next answers, all of which can be noticed."""
        count = self._rng.randint(1, MAX_CUTS)
        cuts = []
        while len(cuts) < count:
            cut = self._draw_cut(is_stream)
            if cut.is_possible and can_be_noticed(cut, is_stream=is_stream):
                cuts.append(cut)
        return cuts

    def _draw_cut(self, is_stream):
        return cut_answers.Cut(
            self._rng.choice(cut_answers.CUT_FRAMINGS),
            self._rng.randint(0, self._world.EVENTS if is_stream else 1),
            self._rng.randrange(EVENT_BYTES if is_stream else PLAIN_BYTES),
            self._rng.choice(cut_answers.ENDS),
        )

    def _restore_all(self):
        for name in list(self._frozen):
            self._thaw(name)
        self._restore_disks(float("inf"))
        self._world.proxies.restore()
        for number in self._world.TARGETS:
            self._world.tell(
                number, refuse=False, break_after=0,
                framing="", stream_cuts=[], plain_cuts=[],
            )  # fmt: skip
        self._log_fault("mended")


def can_be_noticed(cut, *, is_stream):
    """Return whether something tells a cut answer from a complete one.

    Neither the close of a connection without other framing nor a complete
    framing does, unless a stream ends inside an event.
    """
    is_complete = cut.end == "complete" or (
        cut.end == "close" and cut.framing in cut_answers.UNSTATED_FRAMINGS
    )
    if not is_complete:
        return True
    return is_stream and cut.event > 0 and cut.offset > 0
