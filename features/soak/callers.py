"""Callers and an operator, each in a thread, until they are told to stop."""

import http.client
import json
import random
import threading
import time
from typing import NamedTuple

from features.harness import platform as platform_lib
from features.soak import ledger as ledger_lib

CALL_SECONDS = 5.0
# Stands for a status where no connection came about.
REFUSED = -1
PAUSE_SECONDS = 0.02
CHANGE_SECONDS = 0.7
# What a caller states that it will wait, milliseconds.
DEADLINE_MS = 4500
# A refused caller comes back as asked, but for no longer than this.
RETURN_SECONDS = 1.5


class Got(NamedTuple):
    """What one attempt brought.

    Attributes:
        status: Status, 0 without an answer, REFUSED without a connection.
        reason: What broke the connection, or empty.
        signed: Whether a target has signed the answer.
        body: Bytes of the answer.
        back_s: Seconds after which to come back, 0 if not asked to.
    """

    status: int
    reason: str = ""
    signed: bool = False
    body: bytes = b""
    back_s: float = 0.0


class Caller(threading.Thread):
    """Send requests, on kept connections and on new ones."""

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
        """Call until the world stops."""
        while not self._world.stopping.is_set():
            self._one()
            time.sleep(self._rng.uniform(0, 2 * PAUSE_SECONDS))

    def _one(self):
        address = self._address()
        if address is None:
            time.sleep(0.1)
            return
        kind = self._rng.choice(("safe", "book", "stream"))
        got = self._attempt(address, kind, DEADLINE_MS)
        if got.back_s and self._rng.random() < 0.5:
            back_s = min(got.back_s, RETURN_SECONDS)
            time.sleep(back_s)
            self._attempt(address, kind, DEADLINE_MS - round(back_s * 1000))

    def _attempt(self, address, kind, deadline_ms):
        """Send a request once and enter what came of it in the ledger."""
        self._sent += 1
        rid = f"{kind}-{self._number}-{self._sent}"
        self._world.ledger.sent(rid)
        self._world.sent_to[rid] = _entry(address)
        got = self._send(address, kind, rid, deadline_ms)
        # A connection that was refused carried no request.
        planned = self._world.faults.planned_only and got.status != REFUSED
        self._world.ledger.ended(
            rid,
            ledger_lib.Seen(
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
                return Got(REFUSED, repr(exc))
        method = "GET" if kind == "safe" else "POST"
        body = None if kind == "safe" else rid.encode()
        got = Got(0)
        try:
            conn.request(
                method, f"/{kind}/1", body=body,
                headers=_headers(rid, deadline_ms),
            )  # fmt: skip
            resp = conn.getresponse()
            got = got._replace(
                status=resp.status,
                signed=resp.getheader("Server-Signature") is not None,
                back_s=float(resp.getheader("Retry-After") or 0.0),
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
    """Return the entry behind a proxy's address."""
    return f"entry-{address.partition(':')[0].rpartition('.')[2]}"


def _headers(rid, deadline_ms):
    return {
        "Host": platform_lib.HOST,
        "Attempt-Id": rid,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {platform_lib.KEY}",
    }


class Operator(threading.Thread):
    """Change the configuration and read it back, at any control VM."""

    def __init__(self, *, world):
        super().__init__(name="operator")
        self._rng = random.Random(f"{world.seed}/operator")
        self._world = world
        self._version = 7
        self.documents = {}

    def run(self):
        """Change and read until the world stops."""
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
            self._world.ledger.acknowledged(document["version"])

    def _describe(self):
        floor = self._world.ledger.acked
        status, body = self._call("GET", "/Configuration.Describe", None)
        if status != 200:
            return
        found = json.loads(body)
        self._world.ledger.read(found["version"], floor)
        sent = self.documents.get(found["version"])
        if sent is not None and sent != found:
            self._world.ledger.broken.append(f"operator: read {found}"[:400])

    def _call(self, method, path, body):
        address = self._rng.choice(self._world.control_addresses())
        try:
            status, _, data = self._world.plat.call(
                address, method, path, body, t=1.5
            )
        except (OSError, http.client.HTTPException):
            return 0, b""
        return status, data
