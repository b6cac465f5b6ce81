"""Seeded run of the soak: processes, proxies, callers and faults."""

import http.client
import json
import threading
import time

from features.harness import platform as platform_lib
from features.soak import callers
from features.soak import faults as faults_lib
from features.soak import ledger as ledger_lib
from features.soak import proxy as proxy_lib
from features.soak import retry_check
from features.soak import signal_check

EVENTS = 8
CALLERS = 6
# Every fourth seed does planned work only, which must not cut off requests.
PLANNED_EVERY = 4
# Time within which service must recover after the last fault, seconds.
RECOVER_SECONDS = 12.0


class World:
    """Processes, threads and results of one run."""

    TARGETS = (1, 2, 3)
    EVENTS = EVENTS

    def __init__(self, *, seed, folder, asks=False):
        """Prepare a run.

        Args:
            seed: Seed of all random choices.
            folder: Folder for the files of the processes.
            asks: Whether targets send back-off, limit and draining signals.
        """
        self.seed = seed
        self._asks = asks
        # The entry that each request was sent to.
        self.sent_to = {}
        self.began = time.monotonic()
        self.stopping = threading.Event()
        self.ledger = ledger_lib.Ledger(events=EVENTS)
        self.plat = platform_lib.Platform(folder)
        self.proxies = proxy_lib.ProxySet()
        self.faults = faults_lib.FaultInjector(
            world=self,
            planned_only=seed % PLANNED_EVERY == 0 and not asks,
            asks=asks,
        )
        self.operator = callers.Operator(world=self)
        self._callers = [
            callers.Caller(number=n, world=self) for n in range(CALLERS)
        ]

    def run(self, seconds):
        """Run for some seconds and return the violations found."""
        try:
            self._start()
            threads = [*self._callers, self.operator, self.faults]
            for thread in threads:
                thread.start()
            time.sleep(seconds)
            self.stopping.set()
            for thread in threads:
                thread.join()
            self._settle()
        finally:
            self.stopping.set()
            self.plat.stop_all()
            self.proxies.stop()
        return self.ledger.violations

    def _start(self):
        self._add_proxies()
        self.plat.start_all()
        controls = ",".join(self.control_addresses())
        for number in self.TARGETS:
            announced = f"127.0.33.{number}:{platform_lib.TARGET}"
            self.plat.start_target(
                number, "m", EVENTS, announced=announced, controls=controls
            )
        first = platform_lib.document(7)
        self.operator.documents[7] = first
        self.plat.wait(
            "the first configuration",
            lambda: self.plat.replace(1, first) == 200,
        )
        self.ledger.record_acknowledged(7)
        for number in faults_lib.VMS:
            self.plat.wait("ready", lambda n=number: self.plat.ready(n))
            self.plat.wait("service", lambda n=number: self._serves(n))

    def _add_proxies(self):
        for number in faults_lib.VMS:
            ip = platform_lib.control_ip(number)
            self.proxies.add(
                f"callers-{number}",
                listen=f"127.0.34.{number}:{platform_lib.CALLERS}",
                server=f"{ip}:{platform_lib.CALLERS}",
            )
            self.proxies.add(
                f"control-{number}",
                listen=f"127.0.35.{number}:{platform_lib.CONTROL}",
                server=f"{ip}:{platform_lib.CONTROL}",
            )
        for number in self.TARGETS:
            self.proxies.add(
                f"target-{number}",
                listen=f"127.0.33.{number}:{platform_lib.TARGET}",
                server=f"{platform_lib.target_ip(number)}:"
                f"{platform_lib.TARGET}",
            )

    def _serves(self, number):
        rid = f"safe-probe-{number}-{time.monotonic()}"
        self.ledger.record_sent(rid)
        try:
            return self.plat.request(number, "/safe/x", rid)[0] == 200
        except http.client.HTTPException:
            return False

    def _settle(self):
        """Check that service recovered, and compare attempts with runs."""
        for number in faults_lib.VMS:
            try:
                self.plat.wait(
                    "service",
                    lambda n=number: self.plat.ready(n) and self._serves(n),
                    RECOVER_SECONDS,
                )
                self.plat.wait(
                    "a read", lambda n=number: self._reads(n), RECOVER_SECONDS
                )
            except AssertionError as exc:
                self.ledger.violations.append(f"vm-{number}: {exc}")
        records = {number: self.plat.told(number) for number in self.TARGETS}
        self.ledger.check_runs(
            [run for told in records.values() for run in told["runs"]]
        )
        self.ledger.violations += retry_check.find_violations(records.values())
        if self._asks:
            for number, told in records.items():
                self._check_signals(number, told)

    def _check_signals(self, number, records):
        seen = signal_check.TargetObservations(
            name=f"target-{number}", records=records, entry_of=self.sent_to.get
        )
        excused = self.faults.disturbances.was_disturbed
        self.ledger.violations += sorted(set(seen.find_violations(excused)))

    def _reads(self, number):
        try:
            status, body = self.plat.describe(number)
        except http.client.HTTPException:
            return False
        if status == 200:
            found = json.loads(body)["version"]
            self.ledger.check_read(found, self.ledger.acked)
        return status == 200

    # Used by callers, the operator and the fault injector.

    def control_addresses(self):
        """Return the proxy addresses of the control VMs."""
        return [
            f"127.0.35.{number}:{platform_lib.CONTROL}"
            for number in faults_lib.VMS
        ]

    def lookup(self, rng):
        """Look up entries at a random VM and return their proxy addresses."""
        number = rng.choice(faults_lib.VMS)
        try:
            found = self.plat.addresses(number)
        except (OSError, http.client.HTTPException, ValueError):
            return []
        return [address.replace("127.0.31.", "127.0.34.") for address in found]

    def tell(self, number, **what):
        """Set the behaviour of a target; a failure is only logged."""
        try:
            self.plat.tell(number, **what)
        except (OSError, http.client.HTTPException) as exc:
            self.faults.log.append(f"target {number} not reached: {exc}")
