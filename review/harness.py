"""Starts the deployed roles on loopback, with stand-ins for the platform.

Only the standard library is used. Every process that is started here is ended
here, by its id. All addresses are loopback addresses of one random block, and
all files are in a temporary folder.
"""

import http.client
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "caller.example"
KEY = "n2ctnfzs989anu6wsjnb"
ZONES = ("z-a", "z-b", "z-c")
# The metrics ports are fixed by deploy/system.toml; the block of addresses is
# not, so they are free as well.
FIXED_PORTS = (9101, 9102, 9103)

# Bounds of ../given/kit/more/system/sites/notograf-ljubljana.toml, as
# `fleetbench wire` prints them.
SETTINGS = """\
nodeName = "{machine}-{number}"
role = "{role}"
machineClass = "{machine}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "r"
internalPorts = [{internal}, {internal_last}]
seeds = {seeds}
bootstrap = {bootstrap}
lossCounts = {counts}
{more}
discovery = "registration"
entry = "registry"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","experts"]
configMode = "highest"
[zones]
z-a = "r"
z-b = "r"
z-c = "r"
[listen]
{listen}
[limits]
cpuShare = 0.968
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 64
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
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBurst = 98
recoverS = 12
iterationMs = 120
retryAfterS = 0
stall_ms = 1500
requireFencing = false
ttl_max_s = 5
"""


class NotRunError(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self._path = path
        path.write_text("", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        """Return seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text):
        """Write one line."""
        line = f"{self.now():8.3f} {text}\n"
        with self._lock, self._path.open("a", encoding="utf-8") as file:
            file.write(line)


def _find_block(count, ports):
    """Return a prefix of loopback addresses on which all ports are free."""
    rng = random.SystemRandom()
    for _ in range(50):
        prefix = f"127.{rng.randint(64, 250)}.{rng.randint(1, 250)}"
        socks = []
        try:
            for number in range(1, count + 1):
                for port in ports:
                    sock = socket.socket()
                    socks.append(sock)
                    sock.bind((f"{prefix}.{number}", port))
            return prefix
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise NotRunError("no free loopback addresses")


class System:
    """Three machines with a disk, each with the roles control and entry."""

    def __init__(self, record, count=3):
        """Choose addresses and ports; nothing is started yet."""
        rng = random.SystemRandom()
        base = rng.randint(200, 280) * 100
        self.ports = {
            "internal": base,
            "callers": base + 50,
            "ready": base + 51,
            "control": base + 52,
            "lookup": base + 53,
            "target": base + 54,
        }
        ports = [*self.ports.values(), base + 1, base + 2, *FIXED_PORTS]
        self.prefix = _find_block(16, ports)
        self.count = count
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.procs = {}
        # When a call of a replica was acknowledged last.
        self.acked_at = float("-inf")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]

    def ip(self, number):
        """Return the address of a machine, from 1; targets follow them."""
        return f"{self.prefix}.{number}"

    def at(self, number, what):
        """Return the address and port of something on a machine."""
        return f"{self.ip(number)}:{self.ports[what]}"

    def start(self, role, number, bootstrap, service=""):
        """Start a role on a machine, as deploy/system.toml runs it."""
        path = self.folder / f"{role}-{number}.toml"
        is_side = role == "agent"
        data = self.folder / f"data-{role}-{number}"
        if is_side:
            app = f"{self.ip(number)}:{self.ports['target']}"
            more = f'app = "{app}"\nservice = "{service}"'
            listen = ""
        else:
            data.mkdir(exist_ok=True)
            more = f'dataDir = "{data}"'
            listen = "\n".join(
                f'{name} = "{self.at(number, port)}"'
                for name, port in (
                    ("frontend", "callers"),
                    ("ready", "ready"),
                    ("controlPlane", "control"),
                    ("registryAddr", "lookup"),
                )
            )
        path.write_text(
            SETTINGS.format(
                role=role,
                number=number,
                machine="side" if is_side else "edge",
                counts=str(not is_side).lower(),
                more=more,
                listen=listen,
                serves=json.dumps(self.roles[role]["serves"]),
                ip=self.ip(number),
                zone=ZONES[(number - 1) % 3],
                internal=self.ports["internal"],
                internal_last=self.ports["internal"] + 15,
                seeds=json.dumps([self.at(n, "control") for n in range(1, 4)]),
                bootstrap=str(bootstrap).lower(),
            )
        )
        env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        env["JASPERWEIR_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["LANG"] = "C.UTF-8"
        command = shlex.split(self.roles[role]["run"])
        with (self.folder / f"{role}-{number}.log").open("ab") as log:
            self.procs[role, number] = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def start_all(self, bootstrap):
        """Start both roles on all machines, within 0.3 s of each other."""
        for number in range(1, self.count + 1):
            self.start("control", number, bootstrap)
        time.sleep(0.2)
        for number in range(1, self.count + 1):
            self.start("entry", number, bootstrap)

    def kill_all(self):
        """Kill all processes of the system with SIGKILL."""
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGKILL)
        for proc in self.procs.values():
            proc.wait(timeout=10)

    def ended(self):
        """Return the roles and machines whose process has ended by itself."""
        return [k for k, proc in self.procs.items() if proc.poll() is not None]

    def close(self):
        """End what is still running and remove the temporary folder."""
        self.kill_all()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Calls.

    def call(self, address, method, path, body=None, headers=None, wait_s=1.0):
        """Send a request; return status, headers and body."""
        host, _, port = address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=wait_s)
        try:
            conn.request(method, path, body=body, headers=headers or {})
            resp = conn.getresponse()
            found = {k.lower(): v for k, v in resp.getheaders()}
            return resp.status, found, resp.read()
        finally:
            conn.close()

    def replace(self, document, until_s, wait_s=1.0, first=1):
        """Send a configuration as the operator does; return when it is acked.

        It goes on to another machine after a failure, a 5xx, a 408 or 429, or
        `wait_s` without an answer, with a growing pause. Returns None without
        an acknowledgement until `until_s`.
        """
        body = json.dumps(document).encode()
        number, pause_s, tries = first, 0.05, 0
        while self.record.now() < until_s:
            tries += 1
            address = self.at((number - 1) % self.count + 1, "control")
            try:
                status, _, _ = self.call(
                    address,
                    "POST",
                    "/Configuration.Replace",
                    body,
                    {"Content-Type": "application/json"},
                    wait_s,
                )
            except (OSError, http.client.HTTPException) as exc:
                status = type(exc).__name__
            if tries <= 8 or status == 200:
                self.record.add(
                    f"operator: version {document['version']},"
                    f" {len(body)} bytes, to {address}: {status}"
                )
            if status == 200:
                return self.record.now()
            if status in (400, 409, 412, 413, 422):
                raise NotRunError(f"configuration refused: {status}")
            number += 1
            time.sleep(pause_s)
            pause_s = min(pause_s * 1.5, 0.5)
        return None

    def describe(self, number, wait_s=1.0):
        """Return the version that a machine reads back, or what came."""
        address = self.at(number, "control")
        try:
            status, _, body = self.call(
                address, "GET", "/Configuration.Describe", wait_s=wait_s
            )
        except (OSError, http.client.HTTPException) as exc:
            return type(exc).__name__
        return json.loads(body)["version"] if status == 200 else str(status)

    def is_ready(self, number):
        """Return whether an entry answers the platform's check with 200."""
        try:
            address = self.at(number, "ready")
            return self.call(address, "GET", "/readyz")[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, within_s):
        """Wait until all entries are ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if all(self.is_ready(n) for n in range(1, self.count + 1)):
                return
            time.sleep(0.05)
        raise NotRunError(f"not ready within {within_s} s")


def route(name, prefix, kind, service, attempts=2, **more):
    """Return a route of a configuration, with the keys of the pages."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": 8000,
        "targetLatencyMs": 402,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        "sticky": False,
        **more,
    }


def document(version, routes, services, tenants=None):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 188,
                "protocol": "h1",
                "tlsEnabled": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants
        or [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


class _Target(socketserver.ThreadingMixIn, socketserver.TCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128


class Heartbeats:
    """The calls of one replica to the machines that serve control."""

    def __init__(self, system, replica_id, service, address, zone):
        """Prepare the calls; none is made yet."""
        self._system = system
        self._id = replica_id
        self._service = service
        self._address = address
        self._zone = zone
        self._sequence = 0
        self._stop = threading.Event()

    def start(self):
        """Begin to send heartbeats."""
        threading.Thread(target=self._beat, daemon=True).start()

    def stop(self):
        """Send no further heartbeat."""
        self._stop.set()

    def deregister(self):
        """Send the last call of a replica that leaves; return who acked."""
        self._stop.set()
        return self._post(f"/Instances.Deregister/{self._id}", None)

    def _beat(self):
        while not self._stop.is_set():
            self._sequence += 1
            body = {
                "service": self._service,
                "address": self._address,
                "zone": self._zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldRemainingMs": 0,
                "phase": "unified",
                "models": [{"name": "m", "version": 1, "adapterIds": []}],
                "sequence": self._sequence,
            }
            self._post(f"/Instances.Heartbeat/{self._id}", body)
            self._stop.wait(1.2)

    def _post(self, path, body):
        """Call the machines that serve control until one acknowledges."""
        numbers = list(range(1, self._system.count + 1))
        random.shuffle(numbers)
        data = json.dumps(body).encode() if body is not None else None
        for number in numbers:
            address = self._system.at(number, "control")
            try:
                status, _, _ = self._system.call(
                    address,
                    "POST",
                    path,
                    data,
                    {"Content-Type": "application/json"},
                )
            except (OSError, http.client.HTTPException):
                continue
            if status < 300:
                self._system.acked_at = self._system.record.now()
                return address
        return ""


class Replica:
    """A replica that follows the pages: runs each request it is sent once.

    Attributes:
        id: Its id, new with each start.
        runs: Time and id of each request that it ran.
    """

    def __init__(self, system, number, service, answer_bytes=800):
        """Listen on an address of its own; heartbeats begin with `start`."""
        self.id = f"i-{random.SystemRandom().getrandbits(32):08x}"
        self.runs = []
        self._system = system
        self.address = f"{system.ip(number)}:{system.ports['target']}"
        self._answer = b"a" * answer_bytes
        self._lock = threading.Lock()
        self.running = 0
        self.beats = Heartbeats(
            system, self.id, service, self.address, ZONES[(number - 1) % 3]
        )
        replica = self

        class Handler(socketserver.StreamRequestHandler):
            """Reads requests of one connection and answers each."""

            def handle(self):
                """Serve until the connection ends."""
                try:
                    while replica._serve(self.rfile, self.wfile):
                        pass
                except OSError:
                    return

        host, _, port = self.address.rpartition(":")
        self._server = _Target((host, int(port)), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def _serve(self, rfile, wfile):
        line = rfile.readline().decode("latin-1").split()
        if len(line) < 3:
            return False
        headers = {}
        while row := rfile.readline().strip():
            name, _, value = row.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        rfile.read(int(headers.get("content-length", 0)))
        rid = headers.get("attempt-id", "")
        meant = headers.get("target-instance", self.id)
        if meant != self.id:
            self._send(wfile, "421 Misdirected Request", rid, b"", signed=False)
            return True
        with self._lock:
            self.running += 1
            self.runs.append((self._system.record.now(), rid))
        self._system.record.add(f"replica {self.id}: runs {rid}")
        time.sleep(0.02)
        try:
            self._send(wfile, "200 OK", rid, self._answer, signed=True)
        finally:
            with self._lock:
                self.running -= 1
        return True

    def _send(self, wfile, status, rid, body, *, signed):
        head = [
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {rid}",
            f"Content-Length: {len(body)}",
            "Content-Type: application/octet-stream",
        ]
        if signed:
            head.append(f"Server-Signature: {self.id}.{rid}")
            head.append(f"Instance-Load: {self.running},0,6")
        wfile.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        wfile.flush()

    def close(self):
        """Stop serving."""
        self.beats.stop()
        self._server.shutdown()
        self._server.server_close()


def main(case_folder, play, is_troubled):
    """Run a case and exit with 0, 1 or 2.

    Args:
        case_folder: Where record.txt is written.
        play: Called with the record, the system and whether the disruption is
            wanted; returns whether the rule held.
        is_troubled: Whether the disruption is wanted.
    """
    record = Record(pathlib.Path(case_folder) / "record.txt")
    record.add(f"trouble: {is_troubled}")
    code = 2
    system = None
    try:
        system = System(record)
        code = 0 if play(record, system, is_troubled) else 1
    except NotRunError as exc:
        record.add(f"could not run: {exc}")
    finally:
        if system is not None:
            system.close()
    record.add(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
