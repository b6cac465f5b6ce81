"""The agent's view of its target: load, cache events, orders."""

import collections
from collections.abc import Callable
import threading
from typing import Any

import urllib3

from jasperweir.components.orders import planner as orders_lib
from jasperweir.components.runs import const as run_const

SIDE_POLL_SECONDS = 0.5
ORDER_SECONDS = 30.0


class TargetSide(threading.Thread):
    """Poll the target and order it; one slow target delays nothing else."""

    def __init__(
        self,
        *,
        url: str,
        orders: Callable[[orders_lib.Reported], list[orders_lib.Order]],
    ) -> None:
        super().__init__(name="target", daemon=True)
        self.up = False
        self.gate = orders_lib.Gate()
        self.prefixes: collections.deque[int] = collections.deque(
            maxlen=run_const.MAX_REPORTED_PREFIXES
        )
        self._has_events = True
        self._orders = orders
        self.skew = 0.0
        self.switching = False
        self._url = url
        self._http = urllib3.PoolManager(num_pools=1, maxsize=2, retries=False)
        self._stopping = threading.Event()

    def run(self) -> None:
        """Poll until stopped."""
        while not self._stopping.wait(SIDE_POLL_SECONDS):
            self.poll()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()

    def poll(self) -> None:
        """Read the target's load once."""
        try:
            resp = self._http.request(
                "GET", self._url + "/load", timeout=urllib3.Timeout(total=1.0)
            )
            load = resp.json()
            if "skew" in load:
                self.skew = float(load["skew"])
            self.up = resp.status == 200
            if "adapters" in load:
                self._order(load)
            if self._has_events:
                self._take_events()
        except (urllib3.exceptions.HTTPError, ValueError, AttributeError):
            self.up = False

    def _take_events(self) -> None:
        """Take in the engine's late and gappy cache events."""
        resp = self._http.request(
            "GET", self._url + "/cache-events", timeout=1.0
        )
        if resp.status != 200:
            # A plain service has none.
            self._has_events = False
            return
        self.prefixes.extend(int(p) for p in resp.json()["prefixes"])

    def _order(self, load: dict[str, Any]) -> None:
        """Send the engine what it still needs, past the fencing gate."""
        reported = orders_lib.Reported(
            adapters=frozenset(load["adapters"]),
            role=str(load["role"]),
            fence=int(load["fence"]),
        )
        for order in self._orders(reported):
            if not self.gate.passes(order):
                continue
            self._http.request(
                "POST",
                self._url + "/orders",
                json=order._asdict(),
                timeout=urllib3.Timeout(total=ORDER_SECONDS),
            )
