"""Measure control: accept latency, time without a leader, recovery."""

import argparse
import json
import pathlib
import signal
import statistics
import tempfile
import time
from typing import Any

import urllib3

from jasperweir.components.bundle import flat_content
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import storage
from standins import local as local_lib

CHANGES = 200
ROUNDS = 5
BUNDLE = (
    "[bundle]\nname = c\n[place p]\nregion = r\n[callers]\ndeadline_s = 9\n"
)
KEY = "callers\x1fdeadline_s"


class Operator:
    """Sign off small changes by HTTP, one after the other."""

    def __init__(self, *, addresses: list[str]) -> None:
        self._addresses = addresses
        self._http = urllib3.PoolManager(retries=False)
        self._content = flat_content.from_ini(BUNDLE, "bench")
        self._before: dict[str, str] = {}
        self.version = 0
        self._number = 0

    def change(self, timeout: float = 6.0) -> bool:
        """Sign off one change at whichever control VM accepts it."""
        self._number += 1
        new = {**self._content, KEY: str(10 + self._number % 500)}
        body = {
            "op_id": f"op-{self._number}",
            "parent": self.version,
            "change": flat_content.diff(self._before, new),
            "content_hash": flat_content.content_hash(new),
            "note": "",
        }
        for address in list(self._addresses):
            try:
                resp = self._http.request(
                    "POST",
                    f"http://{address}/ops/sign_off",
                    json=body,
                    headers={"Authorization": f"Bearer {local_lib.TOKEN}"},
                    timeout=timeout,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if resp.status == 200:
                self.version = resp.json()["version"]
                self._before = new
                self._addresses.remove(address)
                self._addresses.insert(0, address)
                return True
        self._number -= 1
        return False


def deploy(voters: int) -> local_lib.LocalDeployment:
    """Start and found a quorum."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="jasperweir-bench-"))
    local = local_lib.LocalDeployment(folder=folder)
    for i in range(1, voters + 1):
        local.add(
            local_lib.NodeSpec(
                "control",
                f"control-{i}",
                "p",
                f"127.0.1.{i}:37000",
                f"127.0.1.{i}:37100",
                threads=8,
            )  # fmt: skip
        )
    local.start(*local.specs)
    local.bootstrap()
    return local


def leader(local: local_lib.LocalDeployment) -> str:
    """Return the name of the leader."""
    for name in local.procs:
        _, found = local.get(local.specs[name].http, "/status")
        if found and found["role"] == "leader":
            return name
    return ""


def accepts(voters: int) -> dict[str, Any]:
    """Measure latency and time without a leader for some voters."""
    local = deploy(voters)
    try:
        operator = Operator(addresses=local.control_http())
        local.wait_for("first", operator.change)
        times = []
        for _ in range(CHANGES):
            start = time.monotonic()
            assert operator.change()
            times.append(time.monotonic() - start)
        times.sort()
        row: dict[str, Any] = {
            "voters": voters,
            "accept_p50_ms": times[len(times) // 2] * 1000,
            "accept_p95_ms": times[int(len(times) * 0.95)] * 1000,
            "changes_per_s": CHANGES / sum(times),
        }
        row |= _without_leader(local, operator)
    finally:
        local.stop_all()
    return row


def _without_leader(
    local: local_lib.LocalDeployment, operator: Operator
) -> dict[str, float]:
    gaps: dict[str, list[float]] = {"kill": [], "freeze": [], "stop": []}
    for _ in range(ROUNDS):
        for kind, found in gaps.items():
            local.wait_for("leader", lambda: leader(local))
            name = leader(local)
            start = time.monotonic()
            match kind:
                case "kill":
                    local.kill(name)
                case "freeze":
                    local.signal(name, signal.SIGSTOP)
                case "stop":
                    local.stop(name)
            while not operator.change(timeout=0.4):
                time.sleep(0.02)
            found.append(time.monotonic() - start)
            if kind == "freeze":
                local.signal(name, signal.SIGCONT)
            else:
                local.start(name)
            local.wait_for("back", lambda n=name: local.ready(n))
            time.sleep(1.5)
    return {
        f"no_leader_{kind}_s": statistics.median(found)
        for kind, found in gaps.items()
    }


def recovery() -> list[dict[str, Any]]:
    """Measure how long a data folder takes to read."""
    rows = []
    for entries in (1_000, 10_000, 50_000):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="jasperweir-disk-"))
        disk = storage.DiskStorage(folder=folder)
        disk.open()
        log = tuple(
            messages.Entry(i, 1, "op", b"x" * 250)
            for i in range(1, entries + 1)
        )
        disk.save_entries(1, log)
        disk.close()
        start = time.monotonic()
        storage.DiskStorage(folder=folder).open()
        plain = time.monotonic() - start
        disk = storage.DiskStorage(folder=folder)
        disk.open()
        state = messages.Snapshot(entries - 500, 1, data=b"s" * 700_000)
        disk.save_snapshot(state, log[-500:])
        disk.close()
        start = time.monotonic()
        storage.DiskStorage(folder=folder).open()
        rows.append(
            {
                "entries": entries,
                "log_only_ms": plain * 1000,
                "snapshot_and_500_ms": (time.monotonic() - start) * 1000,
            }
        )
    return rows


def main() -> None:
    """Run all parts and write the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path)
    args = parser.parse_args()
    found = {"recovery": recovery(), "accept": [accepts(3), accepts(5)]}
    print(json.dumps(found, indent=1))
    if args.out:
        args.out.write_text(
            json.dumps(found, indent=1) + "\n", encoding="utf-8"
        )


if __name__ == "__main__":
    main()
