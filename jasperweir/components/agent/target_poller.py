"""Polling of the target: load, cache events and engine orders."""

import collections
from collections.abc import Callable
import threading
from typing import Any

import urllib3

from jasperweir.components.orders import planner
from jasperweir.components.runs import const as run_const
from jasperweir.helpers import http_pool
from jasperweir.helpers import logs

_log = logs.logger("agent")

POLL_SECONDS = 0.5
ORDER_SECONDS = 30.0


class TargetPoller(threading.Thread):
    """Thread that polls the target and sends it orders.

    Attributes:
        is_up: Whether the last poll succeeded.
        gate: Fencing check for orders.
        prefixes: Hashes of the prompt prefixes cached last.
        skew: Load skew between the ranks, as the engine reported it.
        switching: Whether the group is switching its expert map.
    """

    def __init__(
        self,
        *,
        url: str,
        orders: Callable[[planner.EngineState], list[planner.Order]],
    ) -> None:
        super().__init__(name="target", daemon=True)
        self.is_up = False
        self.gate = planner.FencingGate()
        self.prefixes: collections.deque[int] = collections.deque(
            maxlen=run_const.MAX_REPORTED_PREFIXES
        )
        self._has_events = True
        self._orders = orders
        self.skew = 0.0
        self.switching = False
        self._url = url
        self._http = http_pool.create(num_pools=1, maxsize=2)
        self._stopping = threading.Event()

    def run(self) -> None:
        """Poll until stopped."""
        while not self._stopping.wait(POLL_SECONDS):
            self.poll()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()

    def poll(self) -> None:
        """Read the target's load, send due orders and read cache events."""
        try:
            resp = self._http.request(
                "GET", self._url + "/load", timeout=urllib3.Timeout(total=1.0)
            )
            load = resp.json()
            if "skew" in load:
                self.skew = float(load["skew"])
            self.is_up = resp.status == 200
            if "adapters" in load:
                self._send_orders(load)
            if self._has_events:
                self._read_cache_events()
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            AttributeError,
            LookupError,
            TypeError,
        ) as exc:
            # The body may be any JSON value.
            if self.is_up:
                _log.warning(f"target {self._url} cannot be read: {exc!r}")
            self.is_up = False

    def _read_cache_events(self) -> None:
        """Read the engine's cache events, which may be late or incomplete."""
        resp = self._http.request(
            "GET", self._url + "/cache-events", timeout=1.0
        )
        if resp.status != 200:
            # A service without a model has no cache events.
            self._has_events = False
            return
        self.prefixes.extend(int(p) for p in resp.json()["prefixes"])

    def _send_orders(self, load: dict[str, Any]) -> None:
        """Send the engine the due orders that pass the fencing check."""
        reported = planner.EngineState(
            adapters=frozenset(load["adapters"]),
            role=str(load["role"]),
            fence=int(load["fence"]),
        )
        for order in self._orders(reported):
            if not self.gate.admit(order):
                continue
            self._http.request(
                "POST",
                self._url + "/orders",
                json=order._asdict(),
                timeout=urllib3.Timeout(total=ORDER_SECONDS),
            )
