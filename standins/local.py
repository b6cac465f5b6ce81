"""Deployment of local processes, for demos and tests."""

import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple

import urllib3

TOKEN = "operator-token"
START_SECONDS = 30.0
STOP_SECONDS = 20.0


class NodeSpec(NamedTuple):
    """Process to run.

    Attributes:
        role: control, entry or agent.
        target: Settings of the target, for agents.
    """

    role: str
    name: str
    place: str
    internal: str
    http: str
    target: dict[str, str] = {}
    threads: int = 64
    max_streams: int = 256


class LocalDeployment:
    """Processes of a deployment on loopback addresses.

    Attributes:
        folder: Folder for the settings, data and logs of all processes.
        procs: Running processes by name.
    """

    def __init__(self, *, folder: pathlib.Path, host: str = "127.0.0") -> None:
        self.folder = folder
        self.procs: dict[str, subprocess.Popen[bytes]] = {}
        self.specs: dict[str, NodeSpec] = {}
        self._host = host
        self._port = 0
        self.http = urllib3.PoolManager(retries=False)
        self.keys_file = ""
        folder.mkdir(parents=True, exist_ok=True)

    def add(self, *specs: NodeSpec) -> None:
        """Add processes without starting them."""
        for spec in specs:
            self.specs[spec.name] = spec

    def control_http(self) -> list[str]:
        """Return the HTTP addresses of the control VMs."""
        return [s.http for s in self.specs.values() if s.role == "control"]

    def entry_http(self) -> list[str]:
        """Return the HTTP addresses of the entries."""
        return [s.http for s in self.specs.values() if s.role == "entry"]

    def start(self, *names: str) -> None:
        """Write the settings of nodes and start them."""
        for name in names:
            spec = self.specs[name]
            path = self.folder / f"{name}.ini"
            path.write_text(self._settings(spec), encoding="utf-8")
            command = ["-m", "jasperweir", spec.role, "--config", str(path)]
            self._spawn(name, command)

    def start_standins(self, name: str, *args: str) -> None:
        """Start a process that runs test doubles."""
        self._spawn(name, ["-m", "standins", *args])

    def cli(self, *args: str) -> dict[str, Any]:
        """Run an operator command and return its JSON output.

        Raises:
            RuntimeError: The command printed no output.
        """
        control = ",".join(self.control_http())
        env = {**os.environ, "JASPERWEIR_TOKEN": TOKEN}
        done = subprocess.run(
            [sys.executable, "-m", "jasperweir", *args]
            + ["--control", control, "--json"],
            env=env,
            capture_output=True,
            timeout=60,
            check=False,
        )
        if not done.stdout:
            raise RuntimeError(done.stderr.decode())
        found: dict[str, Any] = json.loads(done.stdout)
        return found

    def get(self, address: str, path: str) -> tuple[int, Any]:
        """Return status and JSON of a path, or (0, None) on failure."""
        try:
            resp = self.http.request(
                "GET", f"http://{address}{path}", timeout=2.0
            )
            return resp.status, resp.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, None

    def wait_for(
        self, what: str, check: Any, seconds: float = START_SECONDS
    ) -> float:
        """Wait until a check holds; return the time in seconds.

        Raises:
            TimeoutError: The check did not hold in time.
        """
        start = time.monotonic()
        while time.monotonic() - start < seconds:
            if check():
                return time.monotonic() - start
            time.sleep(0.05)
        raise TimeoutError(f"{what} not reached in {seconds} s")

    def ready(self, *names: str) -> bool:
        """Return whether all named processes report that they are ready."""
        return all(
            self.get(self.specs[name].http, "/readyz")[0] == 200
            for name in names
        )

    def bootstrap(self) -> None:
        """Bootstrap the log on the first control VM and add the others."""
        controls = [s for s in self.specs.values() if s.role == "control"]
        first = controls[0]

        def founded() -> bool:
            headers = {"Authorization": f"Bearer {TOKEN}"}
            try:
                resp = self.http.request(
                    "POST",
                    f"http://{first.http}/bootstrap",
                    headers=headers,
                    timeout=2.0,
                )
            except urllib3.exceptions.HTTPError:
                return False
            return resp.status == 200

        self.wait_for("bootstrap", founded)
        self.wait_for("leader", lambda: self.ready(first.name))
        for spec in controls[1:]:
            self.add_seat(spec.name)

    def add_seat(self, name: str) -> None:
        """Add a control VM and wait until it is a voter."""

        def seated() -> bool:
            for address in self.control_http():
                _, status = self.get(address, "/status")
                if not status or status["role"] != "leader":
                    continue
                if [name, True] in [[s[0], s[3]] for s in status["seats"]]:
                    return True
                self.http.request(
                    "POST",
                    f"http://{address}/seats/add/{name}",
                    headers={"Authorization": f"Bearer {TOKEN}"},
                    timeout=5.0,
                )
            return False

        self.wait_for(f"seat of {name}", seated)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a running process."""
        self.procs[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process, also if it is suspended."""
        proc = self.procs.pop(name)
        proc.send_signal(signal.SIGCONT)
        proc.kill()
        proc.wait(timeout=STOP_SECONDS)

    def stop(self, name: str, seconds: float = STOP_SECONDS) -> int:
        """Terminate a process and return its exit code."""
        proc = self.procs.pop(name)
        proc.terminate()
        return proc.wait(timeout=seconds)

    def stop_all(self) -> None:
        """Kill every process that is still running."""
        for proc in self.procs.values():
            proc.send_signal(signal.SIGCONT)
            proc.kill()
        for proc in self.procs.values():
            proc.wait(timeout=STOP_SECONDS)
        self.procs.clear()

    def _spawn(self, name: str, args: list[str]) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.procs[name] = subprocess.Popen(
                [sys.executable, *args],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def _settings(self, spec: NodeSpec) -> str:
        voters = ", ".join(
            f"{s.name}@{s.internal}"
            for s in self.specs.values()
            if s.role == "control"
        )
        entries = ", ".join(
            f"{s.name}@{s.internal}"
            for s in self.specs.values()
            if s.role == "entry" and s.name != spec.name
        )
        lines = [
            "[node]",
            f"name = {spec.name}",
            f"place = {spec.place}",
            "[listen]",
            f"internal = {spec.internal}",
            f"http = {spec.http}",
            f"threads = {spec.threads}",
            "[control]",
            f"voters = {voters}",
        ]
        if entries:
            lines += ["[membership]", f"seeds = {entries}"]
        if self.keys_file:
            lines += ["[keys]", f"file = {self.keys_file}"]
        lines += self._role_settings(spec)
        return "\n".join(lines) + "\n"

    def _role_settings(self, spec: NodeSpec) -> list[str]:
        if spec.role == "control":
            digest = hashlib.sha256(TOKEN.encode()).hexdigest()
            folder = self.folder / f"{spec.name}.data"
            return [
                "[data]",
                f"folder = {folder}",
                "[operators]",
                f"demo = {digest}",
            ]
        if spec.role == "agent":
            target = [f"{key} = {val}" for key, val in spec.target.items()]
            return ["[target]", *target]
        return ["[limits]", f"max_streams = {spec.max_streams}"]
