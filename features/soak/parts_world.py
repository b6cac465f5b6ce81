"""Seeded run of a soak whose targets crash on parts of prompts."""

import random
import signal
import threading
import time

from features.harness import platform as platform_lib
from features.harness import prompt_parts
from features.harness import respawn
from features.soak import faults as faults_lib
from features.soak import ledger as ledger_lib
from features.soak import proxy as proxy_lib

TARGETS = 8
CALLERS = 8
BACK_SECONDS = 2.0
BEFORE_SECONDS = 3.0
# Without faults at the end; harmless requests are served by its second half.
AFTER_SECONDS = 8.0
SERVED_SHARE = 0.95
# Crashes for each part, then requests that may still reach targets from so long
# after the last of them.
KNOWN_CRASHES = 3
KNOWN_SECONDS = 0.5
LATE_MAX = 3
# Entries that were disturbed so recently may have missed marks, seconds.
DISTURBED_SECONDS = 3.0


class PartFaults(faults_lib.FaultInjector):
    """Kills, freezes and restarts processes, and kills targets."""

    def _list_kinds(self):
        return [
            self._kill,
            self._freeze,
            self._stop_and_start,
            self._kill_targets,
        ]

    def _kill_targets(self):
        numbers = self._rng.sample(
            range(1, TARGETS + 1), self._rng.choice((1, 1, 3))
        )
        self._log_fault(f"kill targets {numbers}")
        for number in numbers:
            self._world.plat.signal(f"target-{number}", signal.SIGKILL)


class PartsWorld:
    """Processes, callers and results of one run."""

    TARGETS = ()

    def __init__(self, *, seed, folder):
        self.seed = seed
        self.began = time.monotonic()
        self.stopping = threading.Event()
        self.plat = platform_lib.Platform(folder)
        self.proxies = proxy_lib.ProxySet()
        self.ledger = ledger_lib.Ledger(events=0)
        self.faults = PartFaults(world=self, planned_only=False)
        rng = random.Random(f"{seed}/parts")
        self._kind = rng.choice(("stream", "safe"))
        self._every_s = rng.choice((0.1, 0.25, 1.0))
        self._position = rng.randrange(3)
        self._crashing = [prompt_parts.CRASHING]
        if rng.random() < 0.5:
            self._crashing.append(prompt_parts.OTHER_CRASHING)
        self.load = prompt_parts.Load(self.plat, kind=self._kind)
        self.summary = ""

    def run(self, seconds):
        """Run for some seconds and return the violations found."""
        targets = None
        try:
            self.plat.start_all()
            targets = respawn.Respawner(
                self.plat,
                range(1, TARGETS + 1),
                back_s=BACK_SECONDS,
                crash_parts=self._crashing,
            )
            self._settle()
            self.load.start_harmless(CALLERS)
            time.sleep(BEFORE_SECONDS)
            self.load.start_crashing(self._list_parts, self._every_s)
            self.faults.start()
            time.sleep(seconds)
            self.stopping.set()
            self.faults.join()
            time.sleep(AFTER_SECONDS)
            ended_at = time.monotonic()
            self.load.stop()
            self._check(targets, ended_at)
        finally:
            self.stopping.set()
            if targets is not None:
                targets.stop()
            self.plat.stop_all()
        return self.ledger.violations

    def _list_parts(self, number):
        shared = prompt_parts.SHARED
        parts = [prompt_parts.FIRST, shared[number % len(shared)]]
        crashing = self._crashing[number % len(self._crashing)]
        parts.insert(self._position, crashing)
        return tuple(parts)

    def _settle(self):
        document = platform_lib.document(7)
        self.plat.wait(
            "a configuration", lambda: self.plat.replace(1, document) == 200
        )
        for number in faults_lib.VMS:
            self.plat.wait("ready", lambda n=number: self.plat.ready(n))
            self.plat.wait(
                "service",
                lambda n=number: (
                    self.plat.request(n, "/safe/x", f"probe-{n}")[0] == 200
                ),
            )

    def _check(self, targets, ended_at):
        arrived = targets.records("arrived")
        crashed = [row["at"] for row in targets.records("crashed")]
        known = KNOWN_CRASHES * len(self._crashing)
        late = []
        if len(crashed) >= known:
            known_at = crashed[known - 1] + KNOWN_SECONDS
            late = [
                row
                for row in arrived
                if row["at"] > known_at and not self._is_excused(row)
            ]
        served = self.load.served(ended_at - AFTER_SECONDS / 2, ended_at - 1.0)
        self.summary = (
            f"{self._kind} each {self._every_s} s, {len(self._crashing)} parts:"
            f" {len(crashed)} crashes, {len(arrived)} reached targets,"
            f" {len(late)} late, {served:.3f} served"
        )
        if len(late) > LATE_MAX * len(self._crashing):
            self.ledger.violations.append(f"late: {self.summary}")
        if served < SERVED_SHARE:
            self.ledger.violations.append(f"served: {self.summary}")

    def _is_excused(self, row):
        entry = f"entry-{self.load.vm_of.get(row['id'])}"
        return self.faults.disturbances.was_disturbed(
            entry, row["at"] - DISTURBED_SECONDS, row["at"]
        )

    # Used by the fault injector.

    def tell(self, number, **what):
        """Targets of this soak are not told anything."""
