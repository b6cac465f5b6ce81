"""Seeded run of a soak whose configuration changes all the time."""

import collections
import http.client
import json
import random
import threading
import time

from features.harness import platform as platform_lib
from features.soak import configuration_check
from features.soak import configuration_faults
from features.soak import configuration_versions
from features.soak import faults as faults_lib
from features.soak import ledger as ledger_lib
from features.soak import proxy as proxy_lib
from jasperweir import result_codes

SERVICES = {"i-1.1": "m", "i-2.1": "m", "i-3.1": "n", "i-4.1": "n"}
TARGETS = {1: "m", 2: "m", 3: "n", 4: "n"}
CHANGE_SECONDS = 0.5
# VM with an entry and a control VM without a disk, in a soak of all kinds.
DISKLESS_VM = 4
# Event after which resumed streams continue.
RESUMED_AFTER = "1"
CALL_SECONDS = 4.0
# Code of requests that an entry can't decide on.
UNCONFIRMED = str(int(result_codes.Code.CONFIGURATION_UNCONFIRMED))
# Time within which service must recover after the last fault, seconds.
RECOVER_SECONDS = 12.0
# Time within which all processes must be ready at first, seconds.
START_SECONDS = 60.0


class Operator(threading.Thread):
    """Sends, repeats and reads versions; some orders are invalid."""

    def __init__(self, *, world, number):
        super().__init__(name=f"operator-{number}")
        self._rng = random.Random(f"{world.seed}/operator/{number}")
        self._world = world

    def run(self):
        """Change the configuration until the soak stops."""
        while not self._world.stopping.is_set():
            match self._rng.randrange(8):
                case 0:
                    self._send_invalid()
                case 1:
                    self._send_again()
                case _:
                    self.send_next()
            self._read()
            self._pause()

    def _pause(self):
        """Wait until the next order."""
        self._world.stopping.wait(self._rng.uniform(0, CHANGE_SECONDS))

    def send_next(self):
        """Send the next version; return whether it was acknowledged."""
        return self.send(self._world.next_version(self._rng))

    def send(self, version):
        """Send a new version and record its acknowledgement."""
        world = self._world
        doc = world.versions.make(version, self._rng)
        world.check.record_sent(version, time.monotonic())
        if self._call("POST", "/Configuration.Replace", doc)[0] == 200:
            world.check.record_acknowledged(version, time.monotonic())
            return True
        return False

    def _send_again(self):
        check = self._world.check
        version = check.newest_acknowledged(time.monotonic())
        if not version:
            return
        doc = self._world.versions.documents[version]
        status, _ = self._call("POST", "/Configuration.Replace", doc)
        if 400 <= status < 500:
            check.violations.append(f"version {version} again: {status}")

    def _send_invalid(self):
        doc = platform_lib.document(self._world.next_version(self._rng))
        doc["routes"][0]["pathPrefix"] = "/invalid/"
        doc["routes"].append({**doc["routes"][1], "service": "unknown"})
        status, _ = self._call("POST", "/Configuration.Replace", doc)
        if status == 200:
            self._world.check.violations.append("an invalid one was taken")

    def _read(self):
        check = self._world.check
        floor = check.newest_acknowledged(
            time.monotonic() - configuration_check.APPLY_SECONDS
        )
        status, body = self._call("GET", "/Configuration.Describe", None)
        if status != 200:
            return
        found = json.loads(body)
        if found["version"] < floor:
            check.violations.append(f"read {found['version']} after {floor}")
        if not self._world.versions.is_content(found["version"], found):
            check.violations.append(f"read other content: {found}"[:300])

    def _call(self, method, path, doc):
        number = self._rng.choice(self._world.control_vms)
        address = f"{platform_lib.control_ip(number)}:{platform_lib.CONTROL}"
        body = json.dumps(doc) if doc is not None else None
        try:
            status, _, data = self._world.plat.call(
                address, method, path, body, t=1.5
            )
        except (OSError, http.client.HTTPException):
            return 0, b""
        return status, data


class Caller(threading.Thread):
    """Asks one entry by routes and keys that only some versions have."""

    # Share of requests for which a new connection is opened.
    RECONNECT_SHARE = 0.2
    # Mean pause between requests, seconds.
    PAUSE_SECONDS = 0.03

    def __init__(self, *, world, number, vm):
        super().__init__(name=f"caller-{number}")
        self._rng = random.Random(f"{world.seed}/caller/{number}")
        self._world = world
        self._number = number
        self._vm = vm
        self._sent = 0
        self._conn = None

    def run(self):
        """Send requests until the soak stops."""
        while not self._world.stopping.is_set():
            self._ask()
            time.sleep(self._rng.uniform(0, 2 * self.PAUSE_SECONDS))

    def _draw(self):
        # An entry that is seconds behind still serves what is long dropped.
        versions = self._world.check.sent_versions()
        version = self._rng.choice(versions[-self._rng.choice((6, 60)) :])
        key = platform_lib.KEY
        kind = self._rng.choice(self._world.request_kinds)
        match kind:
            case "stream" | "resumed":
                return kind, "/stream/moved/x", key
            case "lasting":
                first = version - version % configuration_versions.LASTING
                return kind, f"/lasting-{first}/x", key
            case "moved":
                return kind, "/moved/x", key
            case "route":
                return kind, f"/v{version}/x", key
            case "key":
                return kind, "/safe/x", f"key-{version}"
            case "invalid":
                return kind, "/invalid/x", key
            case "deep":
                return kind, "/moved/deep/x", key
            case "split":
                return kind, "/split/x", key
            case "open":
                return kind, "/open/x", ""
            case "moving key":
                return kind, "/safe/x", configuration_versions.MOVING_KEY
        return kind, "/safe/x", key

    def _ask(self):
        kind, path, key = self._draw()
        world = self._world
        # A request is judged by the start that it was sent to and answered by.
        start = world.faults.count_launches(f"entry-{self._vm}")
        sent_at = time.monotonic()
        got = self._send(kind, path, key)
        ended_at = time.monotonic()
        if got is None:
            return
        world.outcomes[kind, got.status] += 1
        world.count_added(kind, path, got.status, sent_at)
        if got.status not in (200, 401, 404):
            return
        if start != world.faults.count_launches(f"entry-{self._vm}"):
            return
        allowed = self._find_allowed(path, key, got)
        world.check.record_decision(
            configuration_check.Decision(
                vm=self._vm,
                start=start,
                sent_at=sent_at,
                ended_at=ended_at,
                what=f"{path} {key} {got}",
                versions=allowed,
            )
        )

    def _find_allowed(self, path, key, got):
        """Return the versions sent so far that allow an outcome."""
        world = self._world
        return frozenset(
            version
            for version in world.check.sent_versions()
            if world.versions.allows(version, path, key, got)
        )

    def _send(self, kind, path, key):
        self._sent += 1
        if self._conn is None or self._rng.random() < self.RECONNECT_SHARE:
            self._close()
            self._conn = http.client.HTTPConnection(
                platform_lib.control_ip(self._vm),
                platform_lib.CALLERS,
                timeout=CALL_SECONDS,
            )
        headers = {
            "Host": platform_lib.HOST,
            "Attempt-Id": f"{self._number}-{self._sent}",
            "Deadline-Ms": str(round(CALL_SECONDS * 1000)),
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        method, body = "GET", None
        if kind in ("stream", "resumed"):
            method, body = "POST", b""
        if kind == "resumed":
            headers["Last-Event-Id"] = RESUMED_AFTER
        try:
            self._conn.request(method, path, body=body, headers=headers)
            resp = self._conn.getresponse()
            resp.read()
        except (OSError, http.client.HTTPException):
            self._close()
            return None
        signature = resp.getheader("Server-Signature") or ""
        if resp.will_close:
            self._close()
        return configuration_versions.Outcome(
            status=resp.status,
            service=SERVICES.get(signature, ""),
            customer=resp.getheader("Ran-For") or "",
        )

    def _close(self):
        if self._conn is not None:
            self._conn.close()
        self._conn = None


class ConfigurationWorld:
    """Processes, operators, callers and faults of one run."""

    TARGETS = ()
    EVENTS = 0

    def __init__(
        self,
        *,
        seed,
        folder,
        callers=6,
        entries=3,
        fillers=0,
        links=False,
        all_kinds=False,
    ):
        """Create the world.

        Args:
            seed: Seed of all random choices.
            folder: Folder of the processes' files.
            callers: Number of callers.
            entries: Number of entries; only the first three are disturbed.
            fillers: Number of routes of each version that nobody asks for.
            links: Whether links are cut one way.
            all_kinds: Whether there are streams, targets that refuse or lose
                answers, slow links, and a VM that is replaced and has a
                control VM without a disk.
        """
        self.seed = seed
        if all_kinds:
            entries = max(entries, DISKLESS_VM)
        self._vms = list(range(1, entries + 1))
        self.request_kinds = (
            "first", "moved", "route", "lasting", "key", "invalid", "deep",
            "split", "open", "moving key",
        )  # fmt: skip
        self.control_vms = faults_lib.VMS
        # Control VMs with a disk.
        self.core_vms = faults_lib.VMS
        if all_kinds:
            self.request_kinds += ("stream", "resumed")
            self.control_vms += (DISKLESS_VM,)
        self.began = time.monotonic()
        self.stopping = threading.Event()
        self.plat = configuration_faults.DeafPlatform(folder)
        self.proxies = proxy_lib.ProxySet()
        self.ledger = ledger_lib.Ledger(events=0)
        self.check = configuration_check.ConfigurationCheck()
        self.versions = configuration_versions.Versions(
            fillers=fillers, streams=all_kinds, list_keys=self._list_keys
        )
        self.outcomes = collections.Counter()
        self.faults = configuration_faults.ConfigurationFaults(
            world=self,
            links=links,
            targets=tuple(TARGETS) if all_kinds else (),
            replaced=(DISKLESS_VM,) if all_kinds else (),
        )
        self._last_version = 7
        self._lock = threading.Lock()
        self._operators = [Operator(world=self, number=n) for n in (1, 2)]
        self._callers = [
            Caller(world=self, number=n, vm=self._vms[n % entries])
            for n in range(max(callers, entries))
        ]
        self.summary = ""

    def next_version(self, rng):
        """Return a version above all earlier ones, before it is made."""
        with self._lock:
            self._last_version += 1
            self._plan_version(self._last_version, rng)
            return self._last_version

    def _plan_version(self, version, rng):
        """Decide which keys a version revokes for good."""

    def _list_keys(self, version):
        """Return further keys of a version."""
        return []

    def count_added(self, kind, path, status, sent_at):
        """Count requests on first routes, and on added ones that stay."""
        if kind not in ("first", "lasting"):
            return
        check = self.check
        floor = check.newest_acknowledged(
            sent_at - configuration_check.APPLY_SECONDS
        )
        if any(
            self.versions.find_status(version, path, platform_lib.KEY) != 200
            for version in check.sent_versions()
            if version >= floor
        ):
            return
        prefix = "first " if kind == "first" else ""
        check.added[f"{prefix}sent"] += 1
        check.added[f"{prefix}served"] += status == 200

    def run(self, seconds):
        """Run for some seconds and return the violations found."""
        threads = [*self._operators, *self._callers, self.faults]
        try:
            self._start()
            for thread in threads:
                thread.start()
            self.faults.run_for(seconds)
            time.sleep(2 * configuration_check.STABLE_SECONDS)
            self.stopping.set()
            for thread in (*self._operators, *self._callers):
                thread.join()
            self._settle()
        finally:
            self.stopping.set()
            self.plat.stop_all()
            self.proxies.stop()
        found = self.check.find_violations(self._is_in_touch)
        decided = len(self.check.decisions)
        self.summary = (
            f"{len(self.check.sent_versions())} versions, {decided} decisions,"
            f" {dict(self.outcomes)}, {dict(self.check.added)},"
            f" after an acknowledgement {dict(self.check.after_ack)}"
        )
        return self.ledger.violations + found

    def _target_controls(self):
        """Return the control VMs that targets announce themselves to."""
        return ""

    def _prepare(self):
        """Set what the processes start with."""

    def _start(self):
        self.plat.diskless.update(set(self.control_vms) - set(faults_lib.VMS))
        self._prepare()
        self.plat.start_all()
        for number in self.plat.diskless:
            self.plat.start("control", number)
        for number in self._vms[len(faults_lib.VMS) :]:
            self.plat.start("entry", number)
        for number, service in TARGETS.items():
            self.plat.start_target(
                number, service, events=3, controls=self._target_controls()
            )
        operator = self._operators[0]
        self.plat.wait(
            "a configuration",
            operator.send_next,
            START_SECONDS,
        )
        for number in self._vms:
            self.plat.wait(
                "ready", lambda n=number: self.plat.ready(n), START_SECONDS
            )

    def _settle(self):
        """Check that the newest version is in force everywhere and read."""
        operator = self._operators[0]
        self.plat.wait(
            "an acknowledgement",
            operator.send_next,
            RECOVER_SECONDS,
        )
        for number in self._vms:
            # The last fault may have ended a process.
            self.plat.wait(
                "ready", lambda n=number: self.plat.ready(n), RECOVER_SECONDS
            )
        newest = self.check.newest_acknowledged(time.monotonic())
        time.sleep(configuration_check.APPLY_SECONDS)
        for number in self._vms:
            # No entry decides while the control VMs are too slow to answer.
            self.plat.wait(
                f"a decision at vm-{number}",
                lambda n=number: self._ask_at_end(n, newest),
                RECOVER_SECONDS,
            )
        for number in self.control_vms:
            # No leader confirms a read during an election.
            self.plat.wait(
                f"a read at vm-{number}",
                lambda n=number: self._read_at_end(n, newest),
                RECOVER_SECONDS,
            )

    def _ask_at_end(self, number, newest):
        """Return whether an entry decided a request; check what it decided."""
        status, headers, _ = self.plat.request(
            number, f"/v{newest}/x", f"end-{number}"
        )
        code = headers.get("jasperweir-code", "")
        if code == UNCONFIRMED:
            return False
        if status != 200:
            self.check.violations.append(
                f"vm-{number}: {status} {code} on the newest route at the end"
            )
        return True

    def _read_at_end(self, number, newest):
        """Return whether a control VM answered; check its version."""
        status, body = self.plat.describe(number)
        if status != 200:
            return False
        found = json.loads(body)["version"]
        if found != newest:
            self.check.violations.append(
                f"vm-{number}: read {found} at the end, not {newest}"
            )
        return True

    def _is_in_touch(self, vm, begin, end):
        names = [f"entry-{vm}", *[f"control-{n}" for n in self.core_vms]]
        log = self.faults.disturbances
        return not any(log.was_disturbed(name, begin, end) for name in names)

    def tell(self, number, **what):
        """Targets are not disturbed in this soak."""
