"""Small deployment of the deployed roles as processes on loopback addresses.

The settings are those of DEPLOY.md for a small site. The platform, the operator
and the callers are played by the case that uses this module.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "caller.example"
KEY = "key-of-one"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-a", "zone-b", "zone-c")
HELD, BROKEN, NOT_RUN = 0, 1, 2

_SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{kind}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "region"
internalPorts = [{port}, {last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
lossCounts = {counts}
{disk}discovery = "registration"
entry = "registry"
heartbeatMs = 1200
configMode = "highest"
{side}
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
{listen}
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
unsettledSlackMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBurst = 98
recoverS = 12
iterationMs = 120
stall_ms = 1500
ttl_max_s = 5
"""


def _list_free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free at an address."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Site:
    """Processes of one run, with their settings and their record."""

    def __init__(self, case: str) -> None:
        """Choose addresses and ports, and create the temporary folder."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.began = time.monotonic()
        path = ROOT / "review" / case / "record.txt"
        self._record = path.open("w", encoding="utf-8")
        self._net = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        ports = _list_free_ports(self.ip(1), 5)
        self.callers, self.ready, self.lookup, self.control, self.app = ports
        self.internal = random.choice(range(15000, 30000, 16))
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self.log("run", trouble=TROUBLE, net=self._net)

    # Record.

    def now(self) -> float:
        """Return seconds since the start of the run."""
        return time.monotonic() - self.began

    def log(self, what: str, **fields: object) -> None:
        """Write a line to the record."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._record.write(f"{self.now():8.3f} {what} {text}\n")
        self._record.flush()

    # Processes.

    def ip(self, number: int) -> str:
        """Return the address of a machine."""
        return f"{self._net}.{number}"

    def zone(self, number: int) -> str:
        """Return the zone of a machine."""
        return ZONES[(number - 1) % len(ZONES)]

    def start(
        self, role: str, number: int, *, bootstrap: bool, disk: bool = True
    ) -> None:
        """Start a deployed role on a machine with the deploy file's command."""
        ip, kind = self.ip(number), "side" if role == "agent" else "edge"
        listen = {
            "frontend": self.callers,
            "ready": self.ready,
            "controlPlane": self.control,
            "registryAddr": self.lookup,
        }
        seeds = ", ".join(f'"{self.ip(n)}:{self.control}"' for n in (1, 2, 3))
        data = self.folder / f"data-{number}"
        has_disk = disk and role == "control"
        if has_disk:
            data.mkdir(exist_ok=True)
        text = _SETTINGS.format(
            name=f"{kind}-{number}",
            role=role,
            kind=kind,
            serves=json.dumps(
                {
                    "entry": ["edge", "registry"],
                    "control": ["control"],
                    "agent": ["side"],
                }[role]
            ),
            ip=ip,
            zone=self.zone(number),
            port=self.internal,
            last=self.internal + 15,
            seeds=seeds,
            bootstrap=str(bootstrap).lower(),
            counts=str(has_disk).lower(),
            disk=f'dataDir = "{data}"\n' if has_disk else "",
            side=f'app = "{ip}:{self.app}"\nservice = "llm"'
            if role == "agent"
            else "",
            listen=""
            if role == "agent"
            else "\n".join(f'{k} = "{ip}:{v}"' for k, v in listen.items()),
        )
        name = f"{role}-{number}"
        path = self.folder / f"{name}.toml"
        path.write_text(text, encoding="utf-8")
        env = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        env["JASPERWEIR_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.spawn(name, ["python3", "platform/run.py", role], env)

    def spawn(
        self, name: str, command: list[str], env: dict[str, str] | None = None
    ) -> None:
        """Start a process whose output goes to the temporary folder."""
        with (self.folder / f"{name}.log").open("ab") as out:
            self.procs[name] = subprocess.Popen(
                command, env=env, cwd=ROOT, stdout=out, stderr=out
            )
        self.log("start", process=name)

    def start_replica(self, number: int) -> None:
        """Start a sound replica on a machine of its own."""
        controls = ",".join(f"{self.ip(n)}:{self.control}" for n in (1, 2, 3))
        command = ["python3", "review/replica_2.py"]
        command += ["--address", f"{self.ip(100 + number)}:{self.app}"]
        command += ["--id", f"i-{number}", "--zone", self.zone(number)]
        command += ["--controls", controls]
        command += ["--runs", str(self.folder / "runs.txt")]
        self.spawn(f"replica-{number}", command)

    def list_runs(self) -> list[str]:
        """Return the runs of all replicas: replica and attempt."""
        path = self.folder / "runs.txt"
        return (
            path.read_text(encoding="utf-8").splitlines()
            if path.exists()
            else []
        )

    def signal(self, name: str, what: signal.Signals) -> None:
        """Send a signal to a process of this run."""
        self.log("signal", process=name, signal=what.name)
        self.procs[name].send_signal(what)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.procs[name].wait(timeout=5)

    def close(self) -> None:
        """Kill all processes and remove the temporary folder."""
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.kill()
        for proc in self.procs.values():
            proc.wait(timeout=5)
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    # Calls.

    def call(
        self,
        number: int,
        port: int,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        seconds: float = 1.0,
    ) -> tuple[int, bytes]:
        """Call a machine; status 0 stands for no response."""
        conn = http.client.HTTPConnection(
            self.ip(number), port, timeout=seconds
        )
        try:
            conn.request(method, path, body=body, headers=headers or {})
            resp = conn.getresponse()
            return resp.status, resp.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            conn.close()

    def order(self, document: dict[str, object], number: int) -> int:
        """Send a configuration to one machine as the operator does."""
        body = json.dumps(document).encode()
        status, _ = self.call(
            number,
            self.control,
            "POST",
            "/Configuration.Replace",
            body,
            {"Content-Type": "application/json"},
        )
        self.log(
            "order", version=document["version"], machine=number, status=status
        )
        return status

    def describe(self, number: int) -> tuple[int, int]:
        """Read the configuration; return the status and the version."""
        status, body = self.call(
            number, self.control, "GET", "/Configuration.Describe"
        )
        version = json.loads(body)["version"] if status == 200 else 0
        self.log("read", machine=number, status=status, version=version)
        return status, version

    def is_ready(self, number: int) -> bool:
        """Return whether a machine is ready for clients."""
        return self.call(number, self.ready, "GET", "/readyz")[0] == 200

    def wait(self, what: str, func, seconds: float) -> bool:
        """Wait until a condition holds; return whether it does."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if func():
                self.log("reached", goal=repr(what))
                return True
            time.sleep(0.05)
        self.log("not reached", goal=repr(what))
        return False


def document(version: int, routes: list[dict[str, object]] | None = None):
    """Return a configuration with a stream, a safe and an unsafe route."""

    def route(name: str, prefix: str, kind: str, attempts: int, **more: object):
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "type": kind,
            "timeoutMs": 8000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "llm",
            "maxAttempts": attempts,
            "public": False,
            **more,
        }

    return {
        "version": version,
        "routes": routes
        or [
            route("r1", "/stream/", "streaming", 2, resumable=True),
            route("r2", "/safe/", "safe", 2),
            route("r3", "/book/", "unsafe", 1),
        ],
        "services": [{"name": "llm", "healthPath": "/healthz"}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "one", "apiKeys": [KEY]}],
    }


def run(case: str, main) -> int:
    """Run a case; return its exit code."""
    # The processes are ended as well when the case is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    site = Site(case)
    try:
        code = main(site)
    except Exception as exc:  # noqa: BLE001
        site.log("error", kind=type(exc).__name__, text=exc)
        print(f"{type(exc).__name__}: {exc}", file=sys.stderr)
        code = NOT_RUN
    finally:
        site.log("end")
        site.close()
    print(f"case {case}: exit {code}")
    return code
