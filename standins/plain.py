"""Test double of a plain service with non-idempotent bookings."""

import json
import threading
import time
from typing import Any

from jasperweir.helpers import web
from standins import faults as faults_lib
from standins import ledger as ledger_lib


class Plain:
    """Service for time slot queries and bookings.

    Attributes:
        ledger: Executed bookings, by their ``id`` field.
        faults: Injected faults.
    """

    def __init__(self, *, seconds: float = 0.005) -> None:
        self.ledger = ledger_lib.Ledger()
        self.faults = faults_lib.Faults()
        self._seconds = seconds
        self._lock = threading.Lock()
        self._active = 0

    def routes(self) -> list[web.Route]:
        """Return the HTTP routes of the service."""
        return [
            web.Route("GET", "/slots", self._slots),
            web.Route("POST", "/book", self._book),
            web.Route("GET", "/load", self._load),
            web.Route("GET", "/ledger", self._ledger),
            web.Route("POST", "/fault", self._fault),
        ]

    def _slots(self, req: web.Req) -> web.Resp:
        time.sleep(self._seconds)
        return web.json_resp(200, {"slot": req.path, "window": "08:00-10:00"})

    def _book(self, req: web.Req) -> web.Resp:
        body: dict[str, Any] = json.loads(req.body)
        fault = self.faults.take()
        key = str(body["id"])
        self.ledger.started(key)
        with self._lock:
            self._active += 1
        time.sleep(fault.get("stall_s", 0.0) + self._seconds)
        with self._lock:
            self._active -= 1
        self.ledger.finished(key)
        return web.json_resp(200, {"booked": body["id"]})

    def _load(self, req: web.Req) -> web.Resp:
        return web.json_resp(200, {"active": self._active})

    def _ledger(self, req: web.Req) -> web.Resp:
        return web.json_resp(200, self.ledger.counts())

    def _fault(self, req: web.Req) -> web.Resp:
        self.faults.set(json.loads(req.body))
        return web.json_resp(200, {})
