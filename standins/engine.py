"""Test double of a model engine with continuous batching."""

import collections
from collections.abc import Iterator
import json
import os
import random
import threading
import time
from typing import Any

from jasperweir.helpers import hashing
from jasperweir.helpers import web
from standins import const
from standins import faults as faults_lib
from standins import ledger as ledger_lib
from standins import slots as slots_lib


class BrokenOffError(Exception):
    """Raised to close the connection during a response."""


def answer_text(prompt: str, tokens: int) -> str:
    """Return the completion that the engine generates for a prompt."""
    digest = hashing.hash64(prompt) & 0xFFFFFFFF
    return "".join(f"{digest:08x}-{i} " for i in range(tokens))


class Engine:
    """Chat completions engine with a fixed token rate per stream.

    Attributes:
        ledger: Executions, by the request's ``user`` field.
        faults: Injected faults.
        fence: Highest fencing number received.
        orders: Accepted orders.
    """

    def __init__(
        self,
        *,
        slots: int,
        token_seconds: float = const.DEFAULT_TOKEN_SECONDS,
        checks_fence: bool = True,
        seed: int = 0,
        ends_on: bytes = b"",
    ) -> None:
        """Create an engine with an empty cache.

        Args:
            slots: Number of batch slots.
            token_seconds: Time per token, seconds.
            checks_fence: Whether orders with an old fence are rejected.
            seed: Seed for the loss of cache events.
            ends_on: Request body content that crashes the process, none if
                empty.
        """
        self.ledger = ledger_lib.Ledger()
        self.faults = faults_lib.Faults()
        self.fence = 0
        self.orders: list[dict[str, Any]] = []
        self._token_seconds = token_seconds
        self._checks_fence = checks_fence
        self._rng = random.Random(seed)
        self._ends_on = ends_on
        self._slots = slots_lib.PrioritySlots(count=slots)
        self._active = 0
        self._reported = (0.0, 0)
        self._lock = threading.Lock()
        self._cache: collections.OrderedDict[int, bool] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[float, int]] = []
        self._adapters: set[str] = set()
        self._role = "both"

    def routes(self) -> list[web.Route]:
        """Return the HTTP routes of the engine."""
        return [
            web.Route("POST", "/v1/chat/completions", self._complete),
            web.Route("GET", "/load", self._load),
            web.Route("GET", "/cache-events", self._cache_events),
            web.Route("POST", "/orders", self._order),
            web.Route("GET", "/kv/", self._export_kv),
            web.Route("PUT", "/kv/", self._import_kv),
            web.Route("GET", "/ledger", self._ledger),
            web.Route("POST", "/fault", self._fault),
        ]

    # Completions.

    def _complete(self, req: web.Req) -> web.Resp:
        try:
            body = json.loads(req.body)
            prompt = json.dumps(body["messages"], sort_keys=True)
        except (ValueError, KeyError):
            return web.json_resp(400, {"error": "bad request"})
        tokens = int(body.get("max_tokens", const.DEFAULT_TOKENS))
        fault = self.faults.take()
        key = str(body.get("user", ""))
        self.ledger.started(key)
        if self._ends_on and self._ends_on in req.body:
            threading.Timer(const.CRASH_DELAY_SECONDS, os._exit, (1,)).start()
        priority = int(req.header("jasperweir-priority", "5"))
        if body.get("stream"):
            headers = [("Content-Type", "text/event-stream")]
            stream = self._stream(prompt, tokens, fault, key, priority)
            return web.Resp(200, headers, stream)
        return self._complete_unstreamed(prompt, tokens, fault, key, priority)

    def _complete_unstreamed(
        self,
        prompt: str,
        tokens: int,
        fault: dict[str, float],
        key: str,
        priority: int,
    ) -> web.Resp:
        with _BatchSlot(engine=self, priority=priority):
            self._prefill(prompt, fault)
            time.sleep(tokens * self._token_seconds * fault.get("slow", 1))
            if "break_after" in fault:
                raise BrokenOffError
        self.ledger.finished(key)
        text = answer_text(prompt, tokens)
        choice = {"index": 0, "message": {"content": text}}
        return web.json_resp(200, {"choices": [choice]})

    def _stream(
        self,
        prompt: str,
        tokens: int,
        fault: dict[str, float],
        key: str,
        priority: int,
    ) -> Iterator[bytes]:
        digest = f"{hashing.hash64(prompt) & 0xFFFFFFFF:08x}"
        pause = self._token_seconds * fault.get("slow", 1)
        with _BatchSlot(engine=self, priority=priority):
            self._prefill(prompt, fault)
            due = time.monotonic()
            for i in range(tokens):
                if i == fault.get("break_after"):
                    raise BrokenOffError
                yield _event(f"{digest}-{i} ")
                due += pause
                time.sleep(max(0.0, due - time.monotonic()))
        self.ledger.finished(key)
        if "unmarked" not in fault:
            yield b"data: [DONE]\n\n"

    def acquire_slot(self, priority: int) -> None:
        """Wait for a batch slot; 0 is the highest priority."""
        self._slots.acquire(priority)
        with self._lock:
            self._active += 1

    def release_slot(self) -> None:
        """Release the batch slot."""
        with self._lock:
            self._active -= 1
        self._slots.release()

    def _prefill(self, prompt: str, fault: dict[str, float]) -> None:
        time.sleep(fault.get("stall_s", 0.0))
        prefix = hashing.checksum(prompt.encode()[:256])
        with self._lock:
            cached = prefix in self._cache
            self._cache[prefix] = True
            self._cache.move_to_end(prefix)
            if len(self._cache) > const.CACHE_PREFIXES:
                self._cache.popitem(last=False)
            if self._rng.random() >= const.EVENT_LOSS:
                at = time.monotonic() + const.EVENT_LAG_SECONDS
                self._events.append((at, prefix))
                del self._events[: -const.CACHE_PREFIXES]
        quick = const.PREFILL_CACHED_SECONDS
        time.sleep(quick if cached else const.PREFILL_SECONDS)

    # Reports and orders.

    def _load(self, req: web.Req) -> web.Resp:
        """Return the load, up to `LOAD_LAG_SECONDS` old."""
        now = time.monotonic()
        at, active = self._reported
        if now - at >= const.LOAD_LAG_SECONDS:
            self._reported = (now, self._active)
        return web.json_resp(
            200,
            {
                "active": active,
                "adapters": sorted(self._adapters),
                "role": self._role,
                "fence": self.fence,
            },
        )

    def _cache_events(self, req: web.Req) -> web.Resp:
        now = time.monotonic()
        with self._lock:
            due = [prefix for at, prefix in self._events if at <= now]
            self._events = [e for e in self._events if e[0] > now]
        return web.json_resp(200, {"prefixes": due})

    def _order(self, req: web.Req) -> web.Resp:
        order = json.loads(req.body)
        with self._lock:
            fence = int(order["fence"])
            if self._checks_fence and fence < self.fence:
                return web.json_resp(409, {"fence": self.fence})
            self.fence = max(self.fence, fence)
            self.orders.append(order)
            match order["op"]:
                case "load_adapter":
                    self._adapters.add(order["name"])
                case "unload_adapter":
                    self._adapters.discard(order["name"])
                case "set_role":
                    self._role = order["name"]
        return web.json_resp(200, {"fence": self.fence})

    def _export_kv(self, req: web.Req) -> web.Resp:
        prefix = int(req.path.removeprefix("/kv/"))
        if prefix not in self._cache:
            return web.json_resp(404, {})
        headers = [("Content-Type", "application/octet-stream")]
        return web.Resp(200, headers, prefix.to_bytes(8, "little"))

    def _import_kv(self, req: web.Req) -> web.Resp:
        with self._lock:
            self._cache[int.from_bytes(req.body, "little")] = True
        return web.json_resp(200, {})

    def _ledger(self, req: web.Req) -> web.Resp:
        return web.json_resp(200, self.ledger.counts())

    def _fault(self, req: web.Req) -> web.Resp:
        self.faults.set(json.loads(req.body))
        return web.json_resp(200, {})


class _BatchSlot:
    """Context manager that occupies a batch slot."""

    def __init__(self, *, engine: Engine, priority: int) -> None:
        self._engine = engine
        self._priority = priority

    def __enter__(self) -> None:
        self._engine.acquire_slot(self._priority)

    def __exit__(self, *exc: object) -> None:
        self._engine.release_slot()


def _event(text: str) -> bytes:
    delta = json.dumps({"choices": [{"delta": {"content": text}}]})
    return b"data: " + delta.encode() + b"\n\n"
