"""Measure how soon an acknowledged configuration is in force, per entry.

Starts three control VMs and a number of entries as real processes, changes the
configuration and asks each entry by the newest route until it is served. It
counts the first requests after an acknowledgement that an older version decided
and measures how long acknowledgements take, with ``--suspend`` beside an entry
that is suspended. With ``--starts`` it measures how soon an entry is ready
after its start.
"""

import argparse
import collections
import concurrent.futures
import http.client
import pathlib
import random
import signal
import statistics
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.harness import platform as platform_lib  # noqa: E402

POLL_SECONDS = 0.05
# Time for which an entry is suspended, seconds.
SUSPENDED_SECONDS = (0.4, 2.5)
# Status of a request on a route that only a newer version has.
NO_ROUTE = 404


def make_document(version: int, routes: int) -> dict:
    """Return a configuration with a route of its own and filler routes."""
    doc = platform_lib.document(version)
    safe = next(r for r in doc["routes"] if r["pathPrefix"] == "/safe/")
    prefixes = [f"/v{version}/", *[f"/filler-{n}/" for n in range(routes - 4)]]
    for number, prefix in enumerate(prefixes):
        doc["routes"].append(
            {**safe, "name": f"f{number}", "pathPrefix": prefix}
        )
    return doc


class Asker:
    """Asks one entry until it serves a route."""

    def __init__(self, number: int) -> None:
        self._address = platform_lib.control_ip(number)
        self._conn: http.client.HTTPConnection | None = None
        self._sent = 0
        self._number = number

    def status(self, version: int) -> int:
        """Return the status of a request on a version's route, 0 for none."""
        self._sent += 1
        if self._conn is None:
            self._conn = http.client.HTTPConnection(
                self._address, platform_lib.CALLERS, timeout=5.0
            )
        headers = {
            "Host": platform_lib.HOST,
            "Attempt-Id": f"{self._number}-{self._sent}",
            "Deadline-Ms": "5000",
            "Authorization": f"Bearer {platform_lib.KEY}",
        }
        try:
            self._conn.request("GET", f"/v{version}/x", headers=headers)
            resp = self._conn.getresponse()
            resp.read()
        except (OSError, http.client.HTTPException):
            self._conn.close()
            self._conn = None
            return 0
        return resp.status

    def wait(self, version: int, seconds: float) -> float:
        """Return when the entry first served a version's route."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.status(version) == 200:
                return time.monotonic()
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f"entry {self._number} does not serve {version}")


def wait_all(askers: list[Asker], version: int, seconds: float) -> list[float]:
    """Return when each entry first served a version's route."""
    times = [float("inf")] * len(askers)

    def run(index: int) -> None:
        times[index] = askers[index].wait(version, seconds)

    threads = [
        threading.Thread(target=run, args=(n,)) for n in range(len(askers))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times


def ask_all(askers: list[Asker], version: int) -> list[int]:
    """Return the status of one request on a version's route at each entry."""
    with concurrent.futures.ThreadPoolExecutor(len(askers)) as pool:
        return list(pool.map(lambda asker: asker.status(version), askers))


def suspend(plat: platform_lib.Platform, name: str, seconds: float) -> None:
    """Suspend a process, and let it go on after some seconds."""
    plat.signal(name, signal.SIGSTOP)
    threading.Timer(seconds, plat.signal, (name, signal.SIGCONT)).start()


def measure_starts(plat: platform_lib.Platform, count: int) -> None:
    """Kill and start one entry, then all processes, some times each."""
    everything = sorted(n for n in plat.procs if not n.startswith("target"))
    for what, names in (("one entry", ["entry-1"]), ("all", everything)):
        for _ in range(count):
            time.sleep(2.0)
            for name in names:
                plat.signal(name, signal.SIGKILL)
            for name in names:
                plat.procs[name].wait(timeout=5)
                role, _, number = name.partition("-")
                plat.start(role, int(number), bootstrap=False)
            time.sleep(2.0)
            plat.wait("ready", lambda: plat.ready(1))
        log = (plat.folder / "entry-1.log").read_text()
        started, delays = 0.0, []
        for line in log.splitlines():
            at = float(line.partition('"at":')[2].partition(",")[0] or 0.0)
            if '"event":"started"' in line:
                started = at
            elif '"event":"ready"' in line and started:
                delays.append(at - started)
                started = 0.0
        delays = delays[-count:]
        print(
            f"start of {what}: ready after {statistics.median(delays):.3f} s"
            f" at the median of {count}, {max(delays):.3f} s at worst"
        )


def main() -> int:
    """Run one size and print the delays."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=10)
    parser.add_argument("--routes", type=int, default=20)
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--starts", type=int, default=0)
    parser.add_argument("--suspend", action="store_true")
    args = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="jasperweir-configuration-")
    plat = platform_lib.Platform(folder)
    try:
        for number in (1, 2, 3):
            plat.start("control", number)
        for number in range(1, args.entries + 1):
            plat.start("entry", number)
        for number in (1, 2):
            plat.start_target(number, "m")
        doc = make_document(1, args.routes)
        plat.wait("a configuration", lambda: plat.replace(1, doc) == 200, 60)
        askers = [Asker(n) for n in range(1, args.entries + 1)]
        wait_all(askers, 1, 120.0)
        if args.starts:
            measure_starts(plat, args.starts)
        worst, acks, first = [], [], collections.Counter[int]()
        rng = random.Random(1)
        for version in range(2, args.changes + 2):
            doc = make_document(version, args.routes)
            if args.suspend:
                name = f"entry-{rng.randint(1, args.entries)}"
                suspend(plat, name, rng.uniform(*SUSPENDED_SECONDS))
            sent_at = time.monotonic()
            while plat.replace(1 + version % 3, doc) != 200:
                time.sleep(POLL_SECONDS)
            acked_at = time.monotonic()
            acks.append(acked_at - sent_at)
            first.update(ask_all(askers, version))
            served = wait_all(askers, version, 30.0)
            worst.append(max(max(served) - acked_at, 0.0))
            time.sleep(1.0)
    finally:
        plat.stop_all()
    print(
        f"{args.entries} entries, {args.routes} routes, {args.changes} changes:"
        f" in force at the last entry after the acknowledgement, median"
        f" {statistics.median(worst):.3f} s, worst {max(worst):.3f} s;"
        f" acknowledged after {statistics.median(acks):.4f} s at the median,"
        f" {max(acks):.4f} s at worst; first requests by an older version"
        f" {first[NO_ROUTE]} of {first.total()}, by status {dict(first)}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
