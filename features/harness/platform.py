"""Real processes under the platform's settings, on loopback addresses."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
INTERNAL_PORT = 21340
CALLERS, READY, LOOKUP, CONTROL, TARGET = 21227, 21220, 21224, 21229, 21080
ENTRY_METRICS = 9101
HOST = "caller.example"
KEY = "key-of-one"
# Longest time that a caller waits, seconds.
STOP_SECONDS = 6.0


# Runs on different networks don't disturb each other.
NETWORK = os.environ.get("JASPERWEIR_TEST_NETWORK", "127.0")


def control_ip(number):
    return f"{NETWORK}.31.{number}"


def find_vm(address):
    """Return the number of the VM of an internal address."""
    return int(address.partition(":")[0].rpartition(".")[2])


def control_address(number):
    """Return the address of a control VM's calls."""
    return f"{control_ip(number)}:{CONTROL}"


def target_ip(number):
    return f"{NETWORK}.32.{number}"


SETTINGS = """\
nodeName = "vm-{number}"
ip = "{ip}"
app = "{app}"
zone = "{zone}"
region = "r"
internalPorts = [{port}, {last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
dataDir = "{folder}"
[listen]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
controlPlane = "{ip}:{control}"
registryAddr = "{ip}:{lookup}"
[limits]
{limits}
[faultTolerance]
machines = 1
[bounds]
graceS = 8
retryBudgetRatio = {retry_ratio}
retryWindowS = 10
retryBurst = {retry_burst}
[zones]
p = "r"
q = "r"
s = "r"
"""


class Platform:
    """Three control VMs with entries, and stand-in targets."""

    def __init__(self, folder, *, retry_ratio=0.2, retry_burst=96):
        self.folder = pathlib.Path(folder)
        self.procs = {}
        # Numbers of the VMs without a disk.
        self.diskless = set()
        # Data centre by number of a VM, "p" for the others.
        self.zones = {}
        # Numbers of the control VMs that processes connect to first.
        self.seeds = (1, 2, 3)
        # Limits of the VMs, as the platform states them.
        self.limits = {}
        self._retry_bounds = {
            "retry_ratio": retry_ratio,
            "retry_burst": retry_burst,
        }

    def start_all(self, count=3, control_program=None):
        for number in range(1, count + 1):
            self.start("control", number, program=control_program)
            self.start("entry", number)

    def start(self, role, number, bootstrap=True, program=None):
        path = self.folder / f"{role}-{number}.toml"
        ip = control_ip(number)
        if role == "agent":
            ip = target_ip(number)
        seeds = ", ".join(f'"{control_ip(n)}:{CONTROL}"' for n in self.seeds)
        path.write_text(
            SETTINGS.format(
                number=number,
                ip=ip,
                app=f"{ip}:{TARGET}" if role == "agent" else "",
                zone=self.zones.get(number, "p"),
                port=INTERNAL_PORT,
                last=INTERNAL_PORT + 15,
                seeds=seeds,
                bootstrap=str(bootstrap).lower(),
                folder=self._data_folder(number),
                callers=CALLERS,
                ready=READY,
                control=CONTROL,
                lookup=LOOKUP,
                limits="\n".join(f"{k} = {v}" for k, v in self.limits.items()),
                **self._retry_bounds,
            )
        )
        env = {**os.environ, "JASPERWEIR_CONFIG": str(path)}
        env["PYTHONPATH"] = ""
        env["JASPERWEIR_TEST_DEAF"] = str(self.folder / f"{role}-{number}.deaf")
        program = program or [str(ROOT / "platform/run.py")]
        command = [sys.executable, *program, role]
        with (self.folder / f"{role}-{number}.log").open("ab") as log:
            self.procs[f"{role}-{number}"] = subprocess.Popen(
                command, env=env, cwd=ROOT, stdout=log, stderr=log
            )

    def _data_folder(self, number):
        if number in self.diskless:
            return ""
        return self.folder / f"data-{number}"

    def start_target(
        self, number, service, events=10, announced="", controls="",
        target_id="", extra=(),
    ):  # fmt: skip
        address = f"{target_ip(number)}:{TARGET}"
        direct = ",".join(f"{control_ip(n)}:{CONTROL}" for n in (1, 2, 3))
        self.procs[f"target-{number}"] = subprocess.Popen(
            [
                sys.executable, "-m", "standins.platform_target",
                "--address", address, "--service", service,
                "--id", target_id or f"i-{number}",
                "--controls", controls or direct,
                "--events", str(events),
                "--announced", announced or address, *extra,
            ],
            cwd=ROOT,
        )  # fmt: skip

    def signal(self, name, what):
        self.procs[name].send_signal(what)

    def stop_all(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGKILL)
        for proc in self.procs.values():
            proc.wait(timeout=5)

    def wait(self, what, func, seconds=20.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                if func():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise AssertionError(f"waited {seconds} s for {what}")

    # Calls.

    def call(self, address, method, path, body=None, headers=None, t=5.0):
        host, _, port = address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=t)
        try:
            conn.request(method, path, body=body, headers=headers or {})
            resp = conn.getresponse()
            found = {k.lower(): v for k, v in resp.getheaders()}
            return resp.status, found, resp.read()
        finally:
            conn.close()

    def request(self, number, path, rid, body=None, key=KEY, **headers):
        fields = {"Host": HOST, "Attempt-Id": rid, "Deadline-Ms": "5000"}
        if key:
            fields["Authorization"] = f"Bearer {key}"
        fields.update({k.replace("_", "-"): v for k, v in headers.items()})
        method = "GET" if body is None else "POST"
        address = f"{control_ip(number)}:{CALLERS}"
        return self.call(address, method, path, body, fields)

    def replace(self, number, document, t=5.0):
        address = f"{control_ip(number)}:{CONTROL}"
        body = document if isinstance(document, bytes) else json.dumps(document)
        return self.call(address, "POST", "/Configuration.Replace", body, t=t)[
            0
        ]

    def describe(self, number):
        address = f"{control_ip(number)}:{CONTROL}"
        status, _, body = self.call(address, "GET", "/Configuration.Describe")
        return status, body

    def told(self, number):
        address = f"{target_ip(number)}:{TARGET}"
        return json.loads(self.call(address, "GET", "/told")[2])

    def tell(self, number, **what):
        address = f"{target_ip(number)}:{TARGET}"
        self.call(address, "POST", "/tell", json.dumps(what))

    def ready(self, number):
        address = f"{control_ip(number)}:{READY}"
        return self.call(address, "GET", "/readyz")[0] == 200

    def addresses(self, number):
        address = f"{control_ip(number)}:{LOOKUP}"
        path = f"/lookup?name={HOST}&region=r&zone=p"
        status, _, body = self.call(address, "GET", path)
        return json.loads(body)["addresses"] if status == 200 else []

    def raw(self, number, data, seconds=2.0):
        """Send bytes as they are; return what comes back until the close."""
        found = b""
        with socket.create_connection((control_ip(number), CALLERS), 2) as s:
            s.sendall(data)
            s.settimeout(seconds)
            try:
                while chunk := s.recv(65536):
                    found += chunk
            except TimeoutError:
                pass
        return found


def document(version, **changes):
    """Return a configuration with a stream, a safe and an unsafe route."""

    def route(name, prefix, kind, service, attempts, **more):
        return {
            "name": name, "host": HOST, "pathPrefix": prefix, "type": kind,
            "timeoutMs": 4000, "targetLatencyMs": 400, "priority": 1,
            "service": service, "maxAttempts": attempts, "public": False,
            **more,
        }  # fmt: skip

    doc = {
        "version": version,
        "routes": [
            route("r1", "/stream/", "streaming", "m", 2, resumable=True),
            route("r2", "/safe/", "safe", "m", 2),
            route("r3", "/book/", "unsafe", "m", 1),
        ],
        "services": [{"name": "m", "healthPath": "/healthz"}],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 65536,
            "headerTimeoutMs": 1000, "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "one", "apiKeys": [KEY]}],
    }  # fmt: skip
    doc.update(changes)
    return doc
