"""Threads that act as callers and as an operator during a soak."""

import http.client
import json
import random
import threading
import time
from typing import NamedTuple

from features.harness import platform as platform_lib
from features.soak import ledger as ledger_lib

CALL_SECONDS = 5.0
# Status of an attempt without a connection.
NO_CONNECTION = -1
PAUSE_SECONDS = 0.02
CHANGE_SECONDS = 0.7
# Deadline that a caller states in its request, milliseconds.
DEADLINE_MS = 4500
# Longest wait of a refused caller before its retry, seconds.
MAX_RETRY_WAIT_SECONDS = 1.5


class AttemptResult(NamedTuple):
    """Result of one attempt.

    Attributes:
        status: HTTP status, 0 without a response, NO_CONNECTION without a
            connection.
        reason: Error that closed the connection, or empty.
        signed: Whether the response has the signature of a target.
        body: Body of the response.
        retry_after_s: Seconds after which to retry, 0 if none are stated.
    """

    status: int
    reason: str = ""
    signed: bool = False
    body: bytes = b""
    retry_after_s: float = 0.0


class Caller(threading.Thread):
    """Sends requests over reused and new connections."""

    def __init__(self, *, number, world):
        super().__init__(name=f"caller-{number}")
        self._rng = random.Random(f"{world.seed}/caller/{number}")
        self._world = world
        self._number = number
        self._sent = 0
        self._addresses = []
        self._asked_at = 0.0
        self._conns = {}

    def run(self):
        """Send requests until the soak stops."""
        while not self._world.stopping.is_set():
            self._call_once()
            time.sleep(self._rng.uniform(0, 2 * PAUSE_SECONDS))

    def _call_once(self):
        address = self._address()
        if address is None:
            time.sleep(0.1)
            return
        kind = self._rng.choice(("safe", "book", "stream"))
        got = self._attempt(address, kind, DEADLINE_MS)
        if got.retry_after_s and self._rng.random() < 0.5:
            retry_after_s = min(got.retry_after_s, MAX_RETRY_WAIT_SECONDS)
            time.sleep(retry_after_s)
            self._attempt(
                address, kind, DEADLINE_MS - round(retry_after_s * 1000)
            )

    def _attempt(self, address, kind, deadline_ms):
        """Send a request once and record its outcome in the ledger."""
        self._sent += 1
        rid = f"{kind}-{self._number}-{self._sent}"
        self._world.ledger.record_sent(rid)
        self._world.sent_to[rid] = _entry(address)
        got = self._send(address, kind, rid, deadline_ms)
        # Without a connection no request was sent.
        planned = (
            self._world.faults.planned_only and got.status != NO_CONNECTION
        )
        self._world.ledger.record_outcome(
            rid,
            ledger_lib.AttemptOutcome(
                kind=kind,
                status=max(got.status, 0),
                whole=not got.reason,
                signed=got.signed,
                body=got.body,
                reason=got.reason,
                planned=planned,
            ),
        )
        if got.reason:
            self._conns.pop(address, None)
            self._addresses = [a for a in self._addresses if a != address]
        return got

    def _send(self, address, kind, rid, deadline_ms):
        conn = self._conns.get(address)
        if conn is None or self._rng.random() < 0.2:
            host, _, port = address.rpartition(":")
            conn = http.client.HTTPConnection(
                host, int(port), timeout=CALL_SECONDS
            )
            self._conns[address] = conn
            try:
                conn.connect()
            except OSError as exc:
                return AttemptResult(NO_CONNECTION, repr(exc))
        method = "GET" if kind == "safe" else "POST"
        body = None if kind == "safe" else rid.encode()
        got = AttemptResult(0)
        try:
            conn.request(
                method, f"/{kind}/1", body=body,
                headers=_headers(rid, deadline_ms),
            )  # fmt: skip
            resp = conn.getresponse()
            got = got._replace(
                status=resp.status,
                signed=resp.getheader("Server-Signature") is not None,
                retry_after_s=float(resp.getheader("Retry-After") or 0.0),
            )
            got = got._replace(body=resp.read())
            if resp.will_close:
                self._conns.pop(address, None)
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            return got._replace(reason=repr(exc))
        return got

    def _address(self):
        now = time.monotonic()
        if not self._addresses or now - self._asked_at > 0.5:
            self._asked_at = now
            found = self._world.lookup(self._rng)
            self._addresses = found or self._addresses
        return self._rng.choice(self._addresses) if self._addresses else None


def _entry(address):
    """Return the name of the entry behind a proxy's address."""
    return f"entry-{address.partition(':')[0].rpartition('.')[2]}"


def _headers(rid, deadline_ms):
    return {
        "Host": platform_lib.HOST,
        "Attempt-Id": rid,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {platform_lib.KEY}",
    }


class Operator(threading.Thread):
    """Replaces the configuration and reads it back at random control VMs."""

    def __init__(self, *, world):
        super().__init__(name="operator")
        self._rng = random.Random(f"{world.seed}/operator")
        self._world = world
        self._version = 7
        self.documents = {}

    def run(self):
        """Replace and read the configuration until the soak stops."""
        while not self._world.stopping.is_set():
            self._version += self._rng.randint(1, 4)
            document = platform_lib.document(self._version)
            self.documents[self._version] = document
            self._replace(document)
            self._describe()
            self._world.stopping.wait(self._rng.uniform(0, CHANGE_SECONDS))

    def _replace(self, document):
        body = json.dumps(document)
        status, _ = self._call("POST", "/Configuration.Replace", body)
        if status == 200:
            self._world.ledger.record_acknowledged(document["version"])

    def _describe(self):
        floor = self._world.ledger.acked
        status, body = self._call("GET", "/Configuration.Describe", None)
        if status != 200:
            return
        found = json.loads(body)
        self._world.ledger.check_read(found["version"], floor)
        sent = self.documents.get(found["version"])
        if sent is not None and sent != found:
            self._world.ledger.violations.append(
                f"operator: read {found}"[:400]
            )

    def _call(self, method, path, body):
        address = self._rng.choice(self._world.control_addresses())
        try:
            status, _, data = self._world.plat.call(
                address, method, path, body, t=1.5
            )
        except (OSError, http.client.HTTPException):
            return 0, b""
        return status, data
