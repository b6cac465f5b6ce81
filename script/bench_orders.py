"""Measure large orders, departures of targets and the writes of a calm site.

Starts three control VMs and a number of entries as real processes. For each
size it prints how long an order takes until it is acknowledged and until it is
in force at the last entry, and the peak memory of the processes. To compare two
versions of the code, run it in a checkout of each, one after the other.
"""

import argparse
import http.client
import json
import pathlib
import random
import statistics
import string
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import bench_configuration  # noqa: E402

from features.harness import platform as platform_lib  # noqa: E402

KEY_CHARS = 40
LETTERS = string.ascii_letters + string.digits
ORDER_SECONDS = 12.0
CALM_SECONDS = 10.0
DEPARTURES = 20


def make_document(version: int, size: int) -> bytes:
    """Return a configuration of about a size in bytes, mostly API keys."""
    doc = bench_configuration.make_document(version, 6)
    rng = random.Random(version)
    held = len(json.dumps(doc))
    while held < size:
        keys = ["".join(rng.choices(LETTERS, k=KEY_CHARS)) for _ in range(9)]
        name = "".join(rng.choices(LETTERS, k=7))
        customer = {"name": name, "apiKeys": keys, "priority": 1}
        doc["tenants"].append(customer)
        held += len(json.dumps(customer)) + 2
    return json.dumps(doc).encode()


def post(number: int, path: str, body: bytes, seconds: float) -> int:
    """Return the status of a call to a control VM, 0 for none."""
    conn = http.client.HTTPConnection(
        platform_lib.control_ip(number), platform_lib.CONTROL, timeout=seconds
    )
    try:
        conn.request("POST", path, body, {"Content-Type": "application/json"})
        return conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()


def order(body: bytes) -> float | None:
    """Send an order until it is acknowledged; return how long that took."""
    begin, tries = time.monotonic(), 0
    while time.monotonic() - begin < ORDER_SECONDS:
        number = 1 + tries % 3
        if post(number, "/Configuration.Replace", body, 5.0) == 200:
            return time.monotonic() - begin
        tries += 1
        time.sleep(0.1)
    return None


def read_peaks(plat: platform_lib.Platform) -> dict[str, float]:
    """Return the highest peak memory by role, MB."""
    peaks: dict[str, float] = {}
    for name, proc in plat.procs.items():
        role = name.partition("-")[0]
        status = pathlib.Path(f"/proc/{proc.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        peaks[role] = max(peaks.get(role, 0.0), int(line.split()[1]) / 1024)
    return peaks


def read_written(plat: platform_lib.Platform) -> int:
    """Return the bytes that the control VMs have written to disk."""
    written = 0
    for name, proc in plat.procs.items():
        if name.startswith("control"):
            text = pathlib.Path(f"/proc/{proc.pid}/io").read_text()
            found = dict(line.split(": ") for line in text.splitlines())
            written += int(found["write_bytes"])
    return written


def measure_departures() -> list[float]:
    """Let targets register and deregister; return the seconds of the latter."""
    times = []
    for number in range(DEPARTURES):
        heartbeat = {
            "service": "m",
            "address": f"127.9.9.{number + 1}:9",
            "zone": "a",
            "state": "ready",
            "slots": 1,
            "sequence": 1,
        }
        body = json.dumps(heartbeat).encode()
        control = 1 + number % 3
        post(control, f"/Instances.Heartbeat/bench-{number}", body, 2.0)
        begin = time.monotonic()
        path = f"/Instances.Deregister/bench-{number}"
        if post(control, path, b"{}", 2.0) == 200:
            times.append(time.monotonic() - begin)
        time.sleep(0.05)
    return times


def main() -> int:
    """Run one number of entries and print a line a size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument(
        "--sizes", type=int, nargs="*", default=[100_000, 1_000_000]
    )
    args = parser.parse_args()
    plat = platform_lib.Platform(tempfile.mkdtemp(prefix="jasperweir-orders-"))
    try:
        for number in (1, 2, 3):
            plat.start("control", number)
        for number in range(1, args.entries + 1):
            plat.start("entry", number)
        plat.start_target(1, "m")
        first = bench_configuration.make_document(1, 6)
        plat.wait("a version", lambda: plat.replace(1, first) == 200, 60)
        askers = [
            bench_configuration.Asker(n) for n in range(1, args.entries + 1)
        ]
        bench_configuration.wait_all(askers, 1, 60.0)
        time.sleep(2.0)
        before = read_written(plat)
        time.sleep(CALM_SECONDS)
        calm = (read_written(plat) - before) / CALM_SECONDS
        times = measure_departures()
        print(
            f"{args.entries} entries: calm {calm / 1024:.1f} KiB/s written;"
            f" {len(times)} of {DEPARTURES} deregistrations acknowledged,"
            f" median"
            f" {1000 * statistics.median(times):.1f} ms, worst"
            f" {1000 * max(times):.1f} ms"
        )
        for version, size in enumerate(args.sizes, 2):
            body = make_document(version, size)
            begin = time.monotonic()
            acked_s = order(body)
            if acked_s is None:
                print(f"{len(body)} bytes: not acknowledged")
                break
            served = bench_configuration.wait_all(askers, version, 30.0)
            peaks = ", ".join(
                f"{role} {peak:.0f} MB"
                for role, peak in sorted(read_peaks(plat).items())
                if role != "target"
            )
            print(
                f"{len(body)} bytes: acknowledged after {acked_s:.3f} s, in"
                f" force after {max(served) - begin:.3f} s; peak {peaks}"
            )
            time.sleep(1.0)
    finally:
        plat.stop_all()
    return 0


if __name__ == "__main__":
    sys.exit(main())
