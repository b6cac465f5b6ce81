"""Measure one entry against going straight to the stand-in, in one run."""

import argparse
import json
import pathlib
import tempfile
import threading
import time
from typing import Any
from typing import NamedTuple

import urllib3

from standins import local as local_lib

TOKENS = 145
TOKEN_SECONDS = 0.055
RAMP_SECONDS = 4.0
BUNDLE = """[bundle]
name = bench
[callers]
deadline_s = 120
[place p]
region = r
[service m]
kind = model
max_in_flight = 1000
[service plain]
kind = plain
max_in_flight = 1000
"""


class Streams(NamedTuple):
    """What some concurrent streams gave."""

    whole: int
    failed: int
    first_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float
    tokens_per_s: float


class Usage(NamedTuple):
    """Processor time and memory of a process."""

    cpu_s: float
    rss_mb: float
    threads: int


def usage(pid: int) -> Usage:
    """Read a process's own counters."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return Usage(
        cpu_s=ticks / 100,
        rss_mb=int(fields[21]) * 4096 / 1e6,
        threads=int(fields[17]),
    )


def percentile(values: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(int(len(ranked) * share), len(ranked) - 1)] * 1000


def one_stream(address: str, number: int, out: list[Any]) -> None:
    """Read one stream and note when each chunk came."""
    http = urllib3.PoolManager(retries=False)
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": f"bench {number}"}],
        "stream": True,
        "max_tokens": TOKENS,
    }
    start = time.monotonic()
    times: list[float] = []
    tail = b""
    try:
        resp = http.request(
            "POST",
            f"http://{address}/v1/chat/completions",
            json=body,
            preload_content=False,
            timeout=60.0,
        )
        for chunk in resp.stream(65536):
            times += [time.monotonic()] * chunk.count(b"data: ")
            tail = chunk[-20:]
        whole = resp.status == 200 and b"[DONE]" in tail
    except urllib3.exceptions.HTTPError:
        whole = False
    out.append((whole, start, times))


def run_streams(addresses: list[str], count: int) -> Streams:
    """Open streams over a few seconds and read them to their ends."""
    out: list[Any] = []
    threads = []
    for number in range(count):
        address = addresses[number % len(addresses)]
        thread = threading.Thread(
            target=one_stream, args=(address, number, out)
        )
        threads.append(thread)
        thread.start()
        time.sleep(RAMP_SECONDS / count)
    for thread in threads:
        thread.join()
    good = [o for o in out if o[0]]
    gaps = [b - a for o in good for a, b in zip(o[2], o[2][1:], strict=False)]
    firsts = [o[2][0] - o[1] for o in good]
    # Rate while all streams are open.
    begin = max((o[1] for o in out), default=0.0)
    end = min((o[2][-1] for o in good), default=0.0)
    inside = sum(begin <= t <= end for o in good for t in o[2])
    return Streams(
        whole=len(good),
        failed=len(out) - len(good),
        first_p95_ms=percentile(firsts, 0.95),
        gap_p50_ms=percentile(gaps, 0.5),
        gap_p95_ms=percentile(gaps, 0.95),
        tokens_per_s=inside / (end - begin) if end > begin else 0.0,
    )


def run_requests(address: str, seconds: float, workers: int) -> Any:
    """Send small plain requests as fast as some workers can."""
    path = "/svc/plain/slots" if address.endswith("8080") else "/slots"
    times: list[float] = []
    stop = time.monotonic() + seconds

    def work() -> None:
        http = urllib3.PoolManager(retries=False)
        while time.monotonic() < stop:
            start = time.monotonic()
            resp = http.request("GET", f"http://{address}{path}")
            if resp.status == 200:
                times.append(time.monotonic() - start)

    threads = [threading.Thread(target=work) for _ in range(workers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return {
        "per_s": round(len(times) / seconds),
        "p50_ms": round(percentile(times, 0.5), 2),
        "p95_ms": round(percentile(times, 0.95), 2),
    }


def start(local: local_lib.LocalDeployment, entries: int, threads: int) -> None:
    """Start one control VM, some entries and one agent of each kind."""
    local.add(
        local_lib.NodeSpec(
            "control", "c1", "p", "127.0.1.1:7000", "127.0.1.1:7100"
        )
    )
    for i in range(1, entries + 1):
        local.add(
            local_lib.NodeSpec(
                "entry",
                f"e{i}",
                "p",
                f"127.0.2.{i}:7000",
                f"127.0.2.{i}:8080",
                threads=threads,
                max_streams=threads,
            )  # fmt: skip
        )
    # Several agents share the streams, as the target's 200 a replica do.
    models = []
    for i in range(1, 5):
        models += ["--model", f"127.0.3.{i}:9000"]
        local.add(
            local_lib.NodeSpec(
                "agent",
                f"a{i}",
                "p",
                f"127.0.4.{i}:7000",
                f"127.0.4.{i}:8090",
                {
                    "url": f"http://127.0.3.{i}:9000",
                    "kind": "model",
                    "service": "m",
                    "max_in_flight": "1000",
                },
                threads=400,
            )  # fmt: skip
        )
    local.add(
        local_lib.NodeSpec(
            "agent",
            "plain",
            "p",
            "127.0.4.9:7000",
            "127.0.4.9:8090",
            {
                "url": "http://127.0.3.9:9000",
                "kind": "plain",
                "service": "plain",
                "max_in_flight": "1000",
            },
        )  # fmt: skip
    )
    for i in range(1, 5):
        local.start_standins(
            f"s{i}", "--model", f"127.0.3.{i}:9000", "--slots", "400",
            "--threads", "400", "--token-seconds", str(TOKEN_SECONDS),
        )  # fmt: skip
    local.start_standins("s9", "--plain", "127.0.3.9:9000")
    local.start("c1")
    local.bootstrap()
    local.start(*[n for n in local.specs if n != "c1"])
    path = local.folder / "bundle.ini"
    path.write_text(BUNDLE, encoding="utf-8")
    local.cli("bundle", "sign-off", "--file", str(path))
    local.cli("bundle", "roll", "--version", "1")
    others = [n for n in local.specs if n != "c1"]
    local.wait_for("ready", lambda: local.ready(*others))
    time.sleep(1.5)


def measure(entries: int, counts: list[int]) -> list[dict[str, Any]]:
    """Measure streams through some entry processes, and straight."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="jasperweir-bench-"))
    local = local_lib.LocalDeployment(folder=folder)
    rows = []
    try:
        start(local, entries, threads=700)
        straight = [f"127.0.3.{i}:9000" for i in range(1, 5)]
        if entries == 1:
            for way, address in (
                ("straight", "127.0.3.9:9000"),
                ("entry", "127.0.2.1:8080"),
            ):
                found = run_requests(address, 4.0, 8)
                print(f"requests {way:8} {found}", flush=True)
                rows.append({"requests": way} | found)
        pids = [local.procs[f"e{i}"].pid for i in range(1, entries + 1)]
        agents = [local.procs[f"a{i}"].pid for i in range(1, 5)]
        for count in counts:
            ways = {"straight": straight, "entry": local.entry_http()}
            if entries > 1:
                del ways["straight"]
            for way, addresses in ways.items():
                before = [usage(p) for p in pids]
                agent_before = sum(usage(p).cpu_s for p in agents)
                found = run_streams(addresses, count)
                after = [usage(p) for p in pids]
                tokens = max(found.whole * TOKENS, 1)
                cpu = sum(a.cpu_s for a in after) - sum(b.cpu_s for b in before)
                agent = sum(usage(p).cpu_s for p in agents) - agent_before
                row = {
                    "entries": entries,
                    "streams": count,
                    "way": way,
                    **found._asdict(),
                    "entry_us_per_token": cpu / tokens * 1e6,
                    "agent_us_per_token": agent / tokens * 1e6,
                    "entry_rss_mb": max(a.rss_mb for a in after),
                    "entry_threads": max(a.threads for a in after),
                }
                rows.append(row)
                print(
                    json.dumps({k: _short(v) for k, v in row.items()}),
                    flush=True,
                )
    finally:
        local.stop_all()
    return rows


def _short(value: Any) -> Any:
    return round(value, 1) if isinstance(value, float) else value


def main() -> None:
    """Measure one process, then several, and write the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", default="1,4")
    parser.add_argument("--streams", default="100,300,530")
    parser.add_argument("--out", type=pathlib.Path)
    args = parser.parse_args()
    counts = [int(n) for n in args.streams.split(",")]
    rows = []
    for entries in args.entries.split(","):
        rows += measure(int(entries), counts)
    if args.out:
        args.out.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
