"""Test double of an expert group whose ranks run in lock-step."""

import json
import threading
import time
from typing import NamedTuple

import numpy as np

from jasperweir.components.experts import maps
from jasperweir.components.experts import messages
from jasperweir.helpers import codec
from jasperweir.helpers import web
from standins import weight_store

DRIFT = 0.02
TOKENS_PER_STEP = 4096
REPORT_LOSS = 0.1
WINDOW_REPORTS = 20


class Sizes(NamedTuple):
    """Dimensions of a group; `per_rank` is the number of slots per rank."""

    layers: int
    hosts: int
    ranks_per_host: int
    per_rank: int
    experts: int


class Host:
    """Ranks of one target VM, with their loaded maps and step grants."""

    def __init__(self, *, ranks: range) -> None:
        self.ranks = ranks
        self.maps: dict[int, messages.Map] = {}
        self.grants: list[tuple[int, int, int]] = []
        self.current: messages.Map | None = None

    def version_for(self, step: int) -> int | None:
        """Return the map version granted for a step, or None."""
        for version, first, last in self.grants:
            if first <= step <= last:
                return version
        return None

    def next_step(self, done: int) -> int | None:
        """Return the first granted step after `done`, or None."""
        if self.version_for(done + 1) is not None:
            return done + 1
        later = [first for _, first, _ in self.grants if first > done]
        return min(later, default=None)


class Group:
    """Lock-step loop over all hosts that checks the map of every step.

    Attributes:
        violations: Steps in which hosts had different maps or missing
            weights; any of them is a fault.
    """

    def __init__(
        self,
        *,
        sizes: Sizes,
        store: weight_store.WeightStore,
        step_seconds: float,
        seed: int,
    ) -> None:
        self.sizes = sizes
        self.done = 0
        self.steps = 0
        self.stalls = 0
        self.violations: list[str] = []
        self.skews: list[float] = []
        self.versions: list[int] = []
        self.frozen = False
        self._store = store
        self._step_seconds = step_seconds
        self._rng = np.random.default_rng(seed)
        self._logits = self._rng.normal(0, 1, (sizes.layers, sizes.experts))
        count = sizes.ranks_per_host
        self.hosts = [
            Host(ranks=range(i * count, (i + 1) * count))
            for i in range(sizes.hosts)
        ]
        self._lock = threading.Lock()
        self._counts = np.zeros((sizes.layers, sizes.experts))
        self._loads = np.ones(sizes.hosts * count)
        threading.Thread(target=self._run, name="group", daemon=True).start()

    def routes(self, number: int) -> list[web.Route]:
        """Return the HTTP routes of one host's engine."""
        host = self.hosts[number]
        return [
            web.Route("GET", "/group", lambda req: self._shape(host)),
            web.Route("GET", "/steps", lambda req: self._report()),
            web.Route("GET", "/verdict", lambda req: self._verdict()),
            web.Route("POST", "/map", lambda req: self._load(host, req)),
            web.Route("POST", "/grants", lambda req: self._grant(host, req)),
            web.Route("POST", "/clear", lambda req: self._clear(host)),
            web.Route("POST", "/drop", lambda req: self._drop(host, req)),
        ]

    def _shape(self, host: Host) -> web.Resp:
        sizes = self.sizes
        return web.json_resp(
            200,
            {
                "layers": sizes.layers,
                "ranks": sizes.hosts * sizes.ranks_per_host,
                "per_rank": sizes.per_rank,
                "experts": sizes.experts,
                "first_rank": host.ranks.start,
                "own_ranks": len(host.ranks),
            },
        )

    def _report(self) -> web.Resp:
        """Return the counts since the last report; some are lost on purpose."""
        with self._lock:
            counts = self._counts.tolist()
            lost = self._rng.random() < REPORT_LOSS
            self._counts[:] = 0
            loads = self._loads.tolist()
        seconds = [self._step_seconds * load for load in loads]
        return web.json_resp(
            200,
            {
                "done": self.done,
                "counts": [] if lost else counts,
                "seconds": seconds,
                "loads": loads,
                "skew": self.skews[-1] if self.skews else 0.0,
            },
        )

    def _verdict(self) -> web.Resp:
        return web.json_resp(
            200,
            {
                "steps": self.steps,
                "stalls": self.stalls,
                "violations": self.violations,
                "versions": self.versions,
                "skew_p50": float(np.median(self.skews or [0.0])),
                "first_skew": self.skews[0] if self.skews else 0.0,
                "last_skew": float(np.mean(self.skews[-20:] or [0.0])),
                "experts_loaded": self._store.loads,
            },
        )

    def _load(self, host: Host, req: web.Req) -> web.Resp:
        new = codec.unpack(req.body, messages.Map)
        self._store.load(maps.count_loads(host.current, new, host.ranks))
        host.maps[new.version] = new
        return web.json_resp(200, {"loaded": new.version})

    def _grant(self, host: Host, req: web.Req) -> web.Resp:
        grant = json.loads(req.body)
        entry = (grant["version"], grant["first"], grant["last"])
        with self._lock:
            host.grants = [g for g in host.grants if g[2] > self.done]
            if entry not in host.grants:
                host.grants.append(entry)
        return web.json_resp(200, {"done": self.done})

    def _clear(self, host: Host) -> web.Resp:
        with self._lock:
            host.grants = []
        return web.json_resp(200, {})

    def _drop(self, host: Host, req: web.Req) -> web.Resp:
        version = json.loads(req.body)["version"]
        for old in [v for v in host.maps if v < version]:
            del host.maps[old]
        return web.json_resp(200, {})

    # The lock-step loop.

    def _run(self) -> None:
        while True:
            with self._lock:
                ran = not self.frozen and self._step()
            if not ran:
                self.stalls += self.steps > 0
            time.sleep(self._step_seconds)

    def _step(self) -> bool:
        wanted = [host.next_step(self.done) for host in self.hosts]
        if any(step is None for step in wanted):
            return False
        steps = [step for step in wanted if step is not None]
        step = max(steps)
        versions = [host.version_for(step) for host in self.hosts]
        if any(version is None for version in versions):
            return False
        self._check(step, versions)
        for host, version in zip(self.hosts, versions, strict=True):
            host.current = host.maps.get(version or 0, host.current)
        self._count()
        self.done = step
        self.steps += 1
        if versions[0] not in self.versions:
            self.versions.append(versions[0] or 0)
        return True

    def _check(self, step: int, versions: list[int | None]) -> None:
        if len(set(versions)) > 1:
            self.violations.append(f"step {step}: maps {versions}")
        for number, host in enumerate(self.hosts):
            if versions[number] not in host.maps:
                self.violations.append(f"step {step}: host {number} unloaded")

    def _count(self) -> None:
        sizes = self.sizes
        self._logits += self._rng.normal(0, DRIFT, self._logits.shape)
        shares = np.exp(self._logits)
        shares /= shares.sum(axis=1, keepdims=True)
        self._counts += shares * TOKENS_PER_STEP
        current = self.hosts[0].current
        if current is None:
            return
        layers = maps.unpack(current, sizes.experts)
        loads = np.zeros(sizes.hosts * sizes.ranks_per_host)
        skews = []
        for row, layer in zip(shares, layers, strict=True):
            here = (row[layer.slots] * layer.split).sum(axis=1)
            loads += here
            skews.append(here.max() / here.mean() - 1)
        self._loads = loads
        self.skews.append(float(np.mean(skews)))
