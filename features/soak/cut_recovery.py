"""How soon an entry stops acting unconfirmed once a cut has ended.

One entry of three is cut off from all control VMs, again and again, by packets
that are dropped, connections that are reset, or that stay silent for good. Both
directions fail. The configuration changes all the time.
"""

import json
import os
import random
import threading
import time
from typing import NamedTuple

from features.harness import platform as platform_lib
from features.soak import configuration_faults

VMS = (1, 2, 3)
ENTRY = 1
# Time from the end of a cut within which the entry must not act unconfirmed.
LEAVE_SECONDS = 2.0
CUT_SECONDS = (0.5, 7.0)
REST_SECONDS = 4.0
CHANGE_SECONDS = 0.3
INTERNAL_ENTRY_PORT = platform_lib.INTERNAL_PORT + 1


class Kind(NamedTuple):
    """Kind of a cut.

    Attributes:
        name: Its name.
        during: Disturbance while it lasts.
        after: Disturbance at its end, empty if connections go on.
    """

    name: str
    during: str
    after: str


KINDS = (
    Kind("packets dropped", "silent", ""),
    Kind("packets dropped, connections silent for good", "silent", "dead"),
    Kind("packets dropped, then reset", "silent", "reset"),
    Kind("reset again and again", "reset", ""),
    Kind("frames lost", "cut", ""),
)


class Recovery(NamedTuple):
    """How an entry recovered from a cut.

    Attributes:
        kind: Name of the kind.
        cut_s: How long it lasted, seconds.
        was_unconfirmed: Whether the entry acted unconfirmed at its end.
        left_s: Time from its end until the entry did not any more, seconds.
        current_s: Time from its end until it was current, seconds.
    """

    kind: str
    cut_s: float
    was_unconfirmed: bool
    left_s: float
    current_s: float


class RecoveryRun:
    """Cuts one entry off and measures when it recovers."""

    def __init__(self, *, seed, folder):
        os.environ["JASPERWEIR_TEST_RELAYS"] = "1"
        self._rng = random.Random(seed)
        self.plat = configuration_faults.DeafPlatform(folder)
        self._stopping = threading.Event()
        self._version = 0

    def run(self, count):
        """Cut the entry off some times in each way; return the recoveries."""
        found = []
        try:
            self.plat.start_all()
            self.plat.start_target(1, "m")
            self.plat.wait("a configuration", self._change, 60.0)
            for vm in VMS:
                self.plat.wait("ready", lambda n=vm: self.plat.ready(n), 60.0)
            changes = threading.Thread(target=self._change_always)
            changes.start()
            for _ in range(count):
                for kind in self._rng.sample(KINDS, len(KINDS)):
                    time.sleep(REST_SECONDS)
                    found.append(self._cut(kind))
            self._stopping.set()
            changes.join()
        finally:
            self._stopping.set()
            self.plat.stop_all()
        return found

    def _change(self):
        self._version += 1
        doc = platform_lib.document(self._version)
        vm = self._rng.choice(VMS)
        try:
            return self.plat.replace(vm, doc, t=1.0) == 200
        except OSError:
            return False

    def _change_always(self):
        while not self._stopping.wait(CHANGE_SECONDS):
            self._change()

    def _cut(self, kind):
        seconds = self._rng.uniform(*CUT_SECONDS)
        until = time.monotonic() + seconds
        self._disturb(kind.during)
        while time.monotonic() < until:
            time.sleep(0.1)
            if kind.during == "reset":
                self._disturb("")
                time.sleep(0.03)
                self._disturb("reset")
        ended_at = _now()
        self._disturb(kind.after)
        # Each file is read every 20 ms.
        time.sleep(0.1)
        self._disturb("")
        time.sleep(REST_SECONDS)
        return self._measure(kind, seconds, ended_at)

    def _disturb(self, kind):
        controls = [configuration_faults.control_name(n) for n in VMS]
        entry = f"{platform_lib.control_ip(ENTRY)}:{INTERNAL_ENTRY_PORT}"
        prefix = f"{kind} "
        lines = [prefix + name for name in controls] if kind else []
        if kind == "silent":
            # What arrives over connections of the control VMs is lost, too.
            lines += controls
        self.plat._disturb_links(f"entry-{ENTRY}", lines)
        tcp = kind in ("silent", "dead", "reset")
        for vm in VMS:
            lines = [prefix + entry] if tcp else []
            self.plat._disturb_links(f"control-{vm}", lines)

    def _measure(self, kind, seconds, ended_at):
        standing, left_at, current_at = "", ended_at, float("inf")
        was_unconfirmed = False
        for at, name in self._read_standings():
            if at < ended_at:
                standing = name
                continue
            if standing == "unconfirmed":
                was_unconfirmed = True
                left_at = at
            standing = name
            if name == "current":
                current_at = min(current_at, at)
        if standing == "unconfirmed":
            left_at = float("inf")
        if current_at == float("inf") and standing == "current":
            current_at = ended_at
        return Recovery(
            kind.name,
            seconds,
            was_unconfirmed,
            left_at - ended_at,
            current_at - ended_at,
        )

    def _read_standings(self):
        log = self.plat.folder / f"entry-{ENTRY}.log"
        return [
            (body["at"], body["standing"])
            for line in log.read_text(errors="replace").splitlines()
            if '"event":"standing changed"' in line
            for body in [json.loads(line)]
        ]


def _now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def summarize(found):
    """Return a line for each kind of cut."""
    lines = []
    for kind in KINDS:
        of_kind = [r for r in found if r.kind == kind.name]
        unconfirmed = [r for r in of_kind if r.was_unconfirmed]
        worst = max((r.left_s for r in unconfirmed), default=0.0)
        late = sum(r.left_s > LEAVE_SECONDS for r in unconfirmed)
        current = max((r.current_s for r in of_kind), default=0.0)
        lines.append(
            f"{kind.name}: {len(of_kind)} cuts, unconfirmed at the end"
            f" {len(unconfirmed)}, left after {worst:.2f} s at worst,"
            f" later than {LEAVE_SECONDS} s {late}, current after"
            f" {current:.2f} s at worst"
        )
    return lines
