"""Measure what one entry's decisions cost, on a manual clock without sockets.

One Forwarder in a deployment with 43 entries, 72 targets in three groups and
three of a plain service. Targets and messages are simulated. With ``--against``
an earlier checkout runs beside this one, in turns, and the times are compared.
"""

import argparse
import asyncio
import collections
import cProfile
import gc
import hashlib
import heapq
import importlib
import inspect
import itertools
import json
import os
import pathlib
import pstats
import random
import statistics
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple

import logbook

from jasperweir import core
from jasperweir.components.balance import balancer
from jasperweir.components.balance import budget
from jasperweir.components.balance import entry_cell
from jasperweir.components.balance import messages
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.directory import directory
from jasperweir.components.directory import records
from jasperweir.components.forward import dialect
from jasperweir.components.forward import forwarder
from jasperweir.components.forward import request_state
from jasperweir.helpers import clocks
from jasperweir.helpers import codec
from jasperweir.helpers import http_client
from jasperweir.helpers import http_message
from jasperweir.helpers import metrics


def _import_optional(name: str) -> Any:
    """Import a module that an earlier version may not have."""
    try:
        return importlib.import_module(name)
    except ModuleNotFoundError:
        return None


groups_messages = _import_optional("jasperweir.components.groups.messages")
ops = _import_optional("jasperweir.components.registry.ops")
progress_lib = _import_optional(
    "jasperweir.components.forward.response_progress"
)
demand_lib = _import_optional("jasperweir.components.scheduling.demand")

PLACES = ("north", "south", "west")
ENTRIES = 43
RANKS = 24
SLOTS = 5
START = 1000.0
# Time before the first request, so that the startup grace is over, seconds.
SETTLE_SECONDS = 60.0
SECONDS = 10.0
TICK_SECONDS = 0.02
SHARE_SECONDS = 0.5
TIDY_SECONDS = 0.5
REQUESTS_PER_S = 4.0
# Load reports that a peer sends in a second: one for each request that begins
# or ends, and two at intervals.
REPORTS_PER_S = 10.0
STREAM_EVENTS = 23
PATIENCE_SECONDS = 8.0


class Case(NamedTuple):
    """A state of the deployment.

    Attributes:
        name: Its name.
        evacuated: Evacuated data centres.
        load: Share of the slots that the other entries use.
        refusing: Targets that another entry reports as refusing.
        cold: Targets that are cold.
    """

    name: str
    evacuated: tuple[str, ...] = ()
    load: float = 0.4
    refusing: int = 0
    cold: int = 0


CASES = (
    Case("calm"),
    Case("evacuated", evacuated=("south",)),
    Case("own evacuated", evacuated=("north",)),
    Case("refusing", refusing=3),
    Case("cold", cold=30),
    Case("evacuated refusing", evacuated=("south",), refusing=3),
    Case("evacuated cold", evacuated=("south",), cold=30),
    Case("waiting", load=1.05),
    Case("full", load=1.5),
    Case("evacuated waiting", evacuated=("south",), load=1.05, refusing=3),
)


class Dialect:
    """A protocol without headers."""

    def build_target_headers(self, req: Any, target_request: Any) -> Any:
        """Return no headers."""
        return []

    def build_own_headers(self, caller_headers: Any) -> Any:
        """Return no headers."""
        return []


class Answering:
    """Drops the response to a caller."""

    def __init__(self) -> None:
        self.request = http_message.Request(
            method=b"POST",
            target=b"/",
            headers=[(b"host", b"h")],
            body=b"{}",
            keep_alive=True,
        )
        self.done = False

    def reply(self, status: int, headers: Any, body: bytes) -> None:
        """Drop a response."""


# Parts of a prompt that others share, if the version reads them.
_PARTS = (
    (("a1", "b2"),) if "prompt_parts" in dialect.CallerHeaders._fields else ()
)


class Exchange:
    """A request whose target and caller are simulated."""

    def __init__(self, bench: "Bench", number: int, state: Any, service: str):
        self.number = number
        self.service = service
        self.state = state
        self.done = False
        self.first_byte_at = 0.0
        self.longest_gap_s = 0.0
        self.target: Any = None
        self.target_id = ""
        self.answering = Answering()
        if progress_lib is not None:
            self.progress = progress_lib.ResponseProgress()
        self._bench = bench

    @property
    def request(self) -> http_message.Request:
        """The caller's request."""
        return self.answering.request

    def send_to(self, target: Any, *, is_counted_cold: bool = False) -> None:
        """Start the request at a target."""
        self.target = target
        self.target_id = target.target_id
        self.state.on_sent(target.target_id)
        self._bench.forwarder.balancer.begin(target.target_id)
        self._bench.on_sent(self)

    def fail(self, code: Any) -> None:
        """Reject the request."""
        if self.done:
            return
        self.done = True
        self._bench.decide("reject", self.number, code.name)
        self._bench.forwarder.reject(self, code)
        self._bench.forwarder.on_finished(self, code.name.lower())


class Bench:
    """One entry on a manual clock.

    Attributes:
        times: Processor time by kind of call, seconds.
        calls: Calls by kind.
        decisions: Digest of the chosen targets and results.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.times: dict[str, float] = {}
        self.calls: dict[str, int] = {}
        self.chosen = 0
        self.rejected = 0
        self.decisions = hashlib.sha256()
        self.profile: cProfile.Profile | None = None
        self._rng = random.Random(seed)
        self._clock = core.ManualClock(start=START)
        self._events: list[Any] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._tick_scheduled = False
        self._share_scheduled = False
        self._sequences: dict[str, int] = {}
        # Targets of the requests that each peer has open.
        self._held: dict[str, list[str]] = {}
        self.directory = directory.Directory()
        self.forwarder = forwarder.Forwarder(
            clock=self._clock,
            rng=random.Random(seed + 1),
            dialect=Dialect(),  # type: ignore[arg-type]
            directory=self.directory,
            cell=entry_cell.EntryCell(name="e0", place=PLACES[0]),
            bounds=budget.BudgetBounds(ratio=0.2, burst=230.0, window_s=10.0),
            times=http_client.ClientTimeouts(),
            metrics=metrics.Metrics(labels={}),
        )
        self._nodes = tuple(
            records.Node(f"e{n}", "entry", PLACES[n % 3], "", True, 1, 1)
            for n in range(ENTRIES)
        )
        self._set_up()

    # Set-up.

    def _set_up(self) -> None:
        fwd = self.forwarder
        fwd.on_work = self._schedule_tick
        fwd.balancer.on_change = self._schedule_share
        self._routes = [
            _make_route("draft", "pool", 0, 0.406),
            _make_route("review", "pool", 1, 0.407),
            _make_route("digest", "pool", 2, 0.807),
            _make_route("lodge", "app", 0, 0.152),
        ]
        deployment = model.Deployment(
            version=1,
            routes=tuple(self._routes),
            services=(
                _make_service("pool", engine=_ENGINE),
                _make_service("app", engine=None),
            ),
            limits=model.Limits(),
            customers=(),
        )
        fwd.index = index.DeploymentIndex(deployment=deployment)
        if hasattr(fwd.targets, "warmup"):
            fwd.targets.warmup.on_services(fwd.index.services)
        fwd.pass_monitor.limits.on_bounds(fwd.index.get_pass_bounds())
        self._targets = [self._make_target(n) for n in range(3 * RANKS)]
        self._targets += [
            self._make_target(n, "app") for n in range(len(PLACES))
        ]
        self._beat()
        for _ in range(int(SETTLE_SECONDS / SHARE_SECONDS)):
            self._clock.advance(SHARE_SECONDS)
            fwd.on_entries(self._nodes, hears_leader=True)
            self._beat()
        if groups_messages is not None:
            groups = tuple(
                groups_messages.Group(
                    "pool",
                    place,
                    1,
                    addresses=tuple(
                        t.address
                        for t in self._targets
                        if t.place == place and t.service == "pool"
                    ),
                )
                for place in PLACES
            )
            fwd.on_groups(groups_messages.GroupList(1, 1, groups))
        if self.case.evacuated and hasattr(fwd, "on_evacuations"):
            fwd.on_evacuations(ops.EvacuationList(1, self.case.evacuated))
        elif self.case.evacuated:
            # Without evacuations these targets are taken away.
            self._targets = [
                t for t in self._targets if t.place not in self.case.evacuated
            ]
            for target in self.directory.targets():
                if target.place in self.case.evacuated:
                    self.directory.mark_gone(target.target_id, self.now)

    def _make_target(self, number: int, service: str = "pool") -> Any:
        place = PLACES[number % len(PLACES)]
        return records.Target(
            target_id=f"{service}-{number}",
            service=service,
            address=f"10.0.{len(service)}.{number}:80",
            place=place,
            slots=SLOTS,
            presence=records.Presence.READY,
            sequence=1,
            cold_s=3.0
            if service == "pool" and number < self.case.cold
            else 0.0,
        )

    def _beat(self) -> None:
        """Receive a heartbeat of each target."""
        self._targets = [
            t._replace(sequence=t.sequence + 1) for t in self._targets
        ]
        for target in self._targets:
            self.directory.merge(target, self.now)

    # Events.

    @property
    def now(self) -> float:
        """The time on the manual clock, seconds."""
        return self._clock.now

    def at(self, when: float, what: Any, *args: Any) -> None:
        """Call something at a time."""
        heapq.heappush(self._events, (when, next(self._order), what, args))

    def run(self) -> None:
        """Play the case."""
        begin = self.now
        rate = self._rng.expovariate
        for node in self.forwarder.cell.peers:
            at = begin + rate(REPORTS_PER_S)
            while at < begin + SECONDS:
                self.at(at, self._receive_share, node.name)
                at += rate(REPORTS_PER_S)
        at = begin + 1.0 + rate(REQUESTS_PER_S)
        while at < begin + SECONDS:
            self.at(at, self._arrive)
            at += rate(REQUESTS_PER_S)
        for step in range(int(SECONDS / SHARE_SECONDS)):
            at = begin + step * SHARE_SECONDS
            self.at(at, self._update_entries)
            self.at(at + 0.1, self._tidy)
            self.at(at + 0.2, self._receive_targets)
        with logbook.NullHandler().applicationbound():
            while self._events and self._events[0][0] < begin + SECONDS:
                when, _, what, args = heapq.heappop(self._events)
                self._clock.now = max(self.now, when)
                what(*args)

    def measure(self, kind: str, call: Any, *args: Any, **more: Any) -> Any:
        """Call something and add its processor time to a kind."""
        if self.profile is not None:
            self.profile.enable()
        begin = time.thread_time()
        try:
            return call(*args, **more)
        finally:
            spent = time.thread_time() - begin
            if self.profile is not None:
                self.profile.disable()
            self.times[kind] = self.times.get(kind, 0.0) + spent
            self.calls[kind] = self.calls.get(kind, 0) + 1

    def decide(self, *what: Any) -> None:
        """Add a decision to the digest."""
        self.rejected += what[0] == "reject"
        self.decisions.update(repr((round(self.now, 6), *what)).encode())

    def _schedule_tick(self) -> None:
        if not self._tick_scheduled:
            self._tick_scheduled = True
            self.at(self.now + TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        self.measure("tick", self.forwarder.tick)
        if self.forwarder.has_work:
            self._schedule_tick()

    def _schedule_share(self) -> None:
        if not self._share_scheduled:
            self._share_scheduled = True
            self.at(self.now + 0.004, self._send_share)

    def _send_share(self) -> None:
        self._share_scheduled = False
        self.measure("send report", self._send_to_peers)

    def _send_to_peers(self) -> None:
        share = self.forwarder.share()
        names = [node.name for node in self.forwarder.cell.peers]
        if not hasattr(codec, "encode_body"):
            for name in names:
                _encode(share, name)
            return
        body = codec.encode_body(share)
        for name in names:
            codec.encode_frame(body, dst=name, **_HEADER)

    def _update_entries(self) -> None:
        self.measure(
            "entries",
            self.forwarder.on_entries,
            self._nodes,
            hears_leader=True,
        )
        self._send_share()

    def _tidy(self) -> None:
        self.measure("tidy", self.forwarder.tidy)

    def _receive_targets(self) -> None:
        """Receive some heartbeats that a control VM passes on."""
        self.measure("heartbeats", self._beat)

    def _receive_share(self, src: str) -> None:
        data = _encode(self._make_share(src), "e0", src=src)
        self.measure("report", self._accept_share, src, data)

    def _accept_share(self, src: str, data: bytes) -> None:
        _, msg = codec.decode(data)
        self.forwarder.on_share(src, msg)

    def _make_share(self, src: str) -> messages.Share:
        rng = self._rng
        sequence = self._sequences.get(src, 0) + 1
        self._sequences[src] = sequence
        # Entries of other cells are seen only in the reports of targets.
        local = [t for t in self._targets if t.place not in self.case.evacuated]
        held = self._held.get(src)
        if held is None:
            expected = self.case.load * SLOTS * len(local) / 14
            count = int(expected + rng.random())
            held = [rng.choice(local).target_id for _ in range(count)]
            self._held[src] = held
        elif held:
            # Each report follows a request that has ended or begun.
            held[rng.randrange(len(held))] = rng.choice(local).target_id
        loads = collections.Counter(held)
        refusing: tuple[messages.Refusing, ...] = ()
        if src == self.forwarder.cell.peers[0].name:
            refusing = tuple(
                messages.Refusing(t.target_id, 0, 1.0)
                for t in local[: self.case.refusing]
            )
        is_waiting = self.case.load > 1
        queues = (messages.Queue("pool", 1, 1),) if is_waiting else ()
        more: dict[str, Any] = {}
        if demand_lib is not None and (is_waiting or sequence % 3 == 0):
            more["demand"] = tuple(
                demand_lib.BandDemand(
                    service="pool",
                    band=band,
                    timely=int(is_waiting),
                    late=int(is_waiting and band == 2),
                    running=3,
                    oldest_s=0.1,
                    arrivals_per_s=1.0,
                )
                for band in range(3)
            )
        return messages.Share(
            sequence=sequence,
            loads=tuple(messages.OpenLoad(*each) for each in loads.items()),
            queues=queues,
            refusing=refusing,
            **more,
        )

    # Requests.

    def _arrive(self) -> None:
        route = self._rng.choices(self._routes, (46, 61, 20, 18))[0]
        number = next(self._numbers)
        state = request_state.RequestState(
            match=index.RouteMatch(route=route, customer=None),
            caller_headers=dialect.CallerHeaders(
                f"id{number}", PATIENCE_SECONDS, "", 700, 160, "", *_PARTS
            ),
            now=self.now,
            **_USED,
        )
        service = route.backends[0].service
        exchange = Exchange(self, number, state, service)
        self.measure("request", self._admit, exchange)

    def _admit(self, exchange: Exchange) -> None:
        fwd: Any = self.forwarder
        if hasattr(fwd, "admit"):
            fwd.admit(exchange)
            return
        fwd._open_exchanges[exchange.number] = exchange
        fwd._budget.count_first(exchange.service, self.now)
        fwd._admit(exchange, self.now)

    def on_sent(self, exchange: Exchange) -> None:
        """Play the response of a target."""
        self.chosen += 1
        self.decide("send", exchange.number, exchange.target_id)
        if exchange.service == "app":
            self.at(self.now + 0.02, self._on_head, exchange)
            self.at(self.now + 0.03, self._on_end, exchange, self.now)
            return
        at = self.now + 0.1 + 0.1 * self._rng.random()
        self.at(at, self._on_head, exchange)
        for _ in range(STREAM_EVENTS):
            pause_s = 0.03 + 0.02 * self._rng.random()
            at += pause_s
            self.at(at, self._on_event, exchange, pause_s)
        self.at(at + 0.001, self._on_end, exchange, self.now)

    def _on_head(self, exchange: Exchange) -> None:
        exchange.first_byte_at = self.now
        self.measure("response head", self._accept_head, exchange)

    def _accept_head(self, exchange: Exchange) -> None:
        fwd = self.forwarder
        running = 1 + int(self.case.load * SLOTS)
        report = balancer.Report(min(running, SLOTS), running // 6, SLOTS)
        fwd.balancer.on_report(exchange.target_id, report, self.now)
        if hasattr(fwd.targets, "warmup"):
            fwd.targets.warmup.on_answer(exchange.target, 0.0, self.now)
        fwd.outcomes.on_accepted(exchange, exchange.target)
        fwd.balancer.succeeded(exchange.target_id, 0.1)

    def _on_event(self, exchange: Exchange, pause_s: float) -> None:
        if _PARTS and exchange.progress.on_data(self.now):
            fwd: Any = self.forwarder
            self.measure("answering", fwd.quarantine.on_answering, exchange)
        record = self.forwarder.record_pause
        args: tuple[Any, ...] = (exchange.service, exchange.target, pause_s)
        if len(inspect.signature(record).parameters) == 2:
            args = (exchange.service, pause_s)
        self.measure("stream event", record, *args)

    def _on_end(self, exchange: Exchange, sent_at: float) -> None:
        self.measure("end", self._finish, exchange, sent_at)

    def _finish(self, exchange: Exchange, sent_at: float) -> None:
        exchange.done = True
        self.forwarder.outcomes.on_completed(exchange, sent_at)
        self.forwarder.balancer.finish(exchange.target_id)
        self.forwarder.on_finished(exchange, "answered 200")


def _make_route(
    name: str, service: str, priority: int, target_s: float
) -> model.Route:
    return model.Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        kind=model.RouteKind.STREAM,
        timeout_s=PATIENCE_SECONDS,
        target_s=target_s,
        gap_s=0.12 if service == "pool" else 0.0,
        priority=priority,
        backends=(model.Backend(service, 1.0),),
        max_attempts=2,
        public=True,
        resumable=True,
    )


def _make_service(name: str, engine: model.Engine | None) -> model.Service:
    more: dict[str, Any] = {}
    if engine and "warmup_per_s" in model.Service._fields:
        more = {"cold_start_s": 3.0, "warmup_per_s": 26.0}
    return model.Service(name, 710, engine, **more)


_ENGINE = model.Engine(
    slots=SLOTS,
    kv_tokens=205_833,
    stride=7,
    step_ms=4.84,
    per_seq_ms=0.435,
    context_ms_per_k=0.0132,
    read_tokens_per_s=74_800.0,
    chunk=512,
    usual_prompt=800.0,
    usual_answer=160.0,
    sets=16,
    experts=96,
    places=5,
)
_USED: dict[str, Any] = (
    {"used_s": 0.0}
    if "used_s"
    in inspect.signature(request_state.RequestState.__init__).parameters
    else {}
)


_HEADER: dict[str, Any] = {
    "src": "e0",
    "src_inc": 1,
    "src_addr": "10.1.0.1:7000",
}


def _encode(msg: Any, dst: str, src: str = "e0") -> bytes:
    return codec.encode(msg, dst=dst, **_HEADER | {"src": src})


def play(case: Case, seed: int) -> dict[str, Any]:
    """Play one case and return its times, calls and decisions."""
    bench = Bench(case, seed)
    gc.collect()
    gc.disable()
    bench.run()
    gc.enable()
    return {
        "times": bench.times,
        "calls": bench.calls,
        "chosen": bench.chosen,
        "rejected": bench.rejected,
        "decisions": bench.decisions.hexdigest()[:16],
    }


def profile(case: Case, seed: int) -> pstats.Stats:
    """Return the profile of one case; its calls don't depend on the machine."""
    bench = Bench(case, seed)
    bench.profile = cProfile.Profile()
    bench.run()
    return pstats.Stats(bench.profile)


class Worker:
    """A process that plays cases with the code of one checkout."""

    def __init__(self, folder: pathlib.Path) -> None:
        env = dict(os.environ, PYTHONPATH=str(folder), PYTHONHASHSEED="0")
        self._proc = subprocess.Popen(
            [sys.executable, "-P", __file__, "--worker"],
            cwd=folder,
            env=env,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def play(
        self, case: Case, seed: int, *, is_profiled: bool = False
    ) -> dict[str, Any]:
        """Play one case and return its figures, or its function calls."""
        assert self._proc.stdin is not None
        assert self._proc.stdout is not None
        self._proc.stdin.write(json.dumps([case, seed, is_profiled]) + "\n")
        self._proc.stdin.flush()
        found: dict[str, Any] = json.loads(self._proc.stdout.readline())
        return found

    def stop(self) -> None:
        """End the process."""
        assert self._proc.stdin is not None
        self._proc.stdin.close()
        self._proc.wait()


async def _serve() -> None:
    """Play cases from standard input."""
    for line in sys.stdin:
        fields, seed, is_profiled = json.loads(line)
        case = Case(*fields)._replace(evacuated=tuple(fields[1]))
        if is_profiled:
            found = {"functions": vars(profile(case, seed))["total_calls"]}
        else:
            found = play(case, seed)
        print(json.dumps(found), flush=True)


def _compare(folders: list[pathlib.Path], rounds: int, names: list[str]) -> Any:
    """Play all cases in turns and print the times of each checkout."""
    workers = [Worker(folder) for folder in folders]
    rows = []
    for case in CASES:
        if names and case.name not in names:
            continue
        best: list[dict[str, float]] = [{} for _ in workers]
        found: list[dict[str, Any]] = [{} for _ in workers]
        ratios: list[list[float]] = [[] for _ in workers]
        for number in range(rounds):
            # Each checkout is the first one in turn.
            for place in range(len(workers)):
                at = (number + place) % len(workers)
                worker = workers[at]
                found[at] = worker.play(case, seed=7)
                for kind, spent in found[at]["times"].items():
                    # The least time is the one with the least interference.
                    best[at][kind] = min(best[at].get(kind, spent), spent)
            totals = [sum(each["times"].values()) for each in found]
            for at, total in enumerate(totals):
                ratios[at].append(totals[0] / total)
        for at, worker in enumerate(workers):
            found[at] |= worker.play(case, seed=7, is_profiled=True)
        medians = [statistics.median(each) for each in ratios]
        rows.append(
            {
                "case": case.name,
                "times": best,
                "found": found,
                "ratios": medians,
            }
        )
        _print_case(case, best, found, medians)
    for worker in workers:
        worker.stop()
    return rows


def _print_case(
    case: Case,
    best: list[dict[str, float]],
    found: list[dict[str, Any]],
    medians: list[float],
) -> None:
    decided = " ".join(
        f"{each['chosen']} sent {each['rejected']} refused {each['decisions']}"
        for each in found
    )
    print(f"{case.name}: {decided}")
    for kind in sorted({kind for times in best for kind in times}):
        line = f"  {kind:14}"
        for times, each in zip(best, found, strict=True):
            calls = each["calls"].get(kind, 0)
            spent = times.get(kind, 0.0)
            line += f" {calls:6} x {spent / max(calls, 1) * 1e6:7.1f} us"
            line += f" = {spent / SECONDS * 1e3:6.2f} ms/s"
        print(line)
    functions = [each["functions"] for each in found]
    text = " ".join(f"{count:8}" for count in functions)
    ratios = " ".join(f"{functions[0] / each:.2f}" for each in functions[1:])
    print(f"  {'functions':14} {text}  ratio {ratios}")
    totals = [sum(times.values()) for times in best]
    text = " ".join(f"{total / SECONDS * 1e3:6.2f} ms/s" for total in totals)
    ratios = " ".join(f"{median:.2f}" for median in medians[1:])
    print(f"  {'all':14} {text}  median ratio {ratios}", flush=True)


def main() -> None:
    """Compare checkouts, or profile one case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", type=pathlib.Path, action="append")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--case", action="append", default=[])
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--worker", action="store_true")
    parser.add_argument("--out", type=pathlib.Path)
    args = parser.parse_args()
    if args.worker:
        asyncio.run(_serve())
        return
    if args.profile:
        for case in CASES:
            if not args.case or case.name in args.case:
                print(case.name)
                stats = profile(case, seed=7)
                stats.sort_stats("tottime").print_stats(25)
                stats.sort_stats("cumulative").print_stats(45)
        return
    here = pathlib.Path(__file__).resolve().parent.parent
    folders = [here, *(f.resolve() for f in args.against or [])]
    print(f"at {clocks.elapsed():.0f} s, checkouts {len(folders)}")
    rows = _compare(folders, args.rounds, args.case)
    if args.out:
        args.out.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
