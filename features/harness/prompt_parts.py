"""Callers whose prompts have parts in common, at real processes."""

import contextlib
import http.client
import itertools
import threading
import time
from typing import NamedTuple

from features.harness import platform as platform_lib

# Parts that harmless requests use, and one that crashes targets.
FIRST = "a1"
SHARED = ("b1", "b2", "b3", "b4", "b5")
CRASHING = "c0ffee"
OTHER_CRASHING = "c0de"


class Reply(NamedTuple):
    """What a caller received.

    Attributes:
        at: When it sent the request, monotonic seconds.
        status: Status, 0 without a response.
        code: Result code of the entry, or empty.
        is_whole: Whether the response was complete.
    """

    at: float
    status: int
    code: str
    is_whole: bool


def header(*parts):
    """Return the header that lists the parts of a prompt."""
    return ",".join(f"{part}:40" for part in parts)


class Load:
    """Callers in turn at the entries of a platform.

    Attributes:
        replies: What callers of harmless requests received.
        crashing_replies: What callers of the others received.
        vm_of: Number of the VM that each request was sent to, by its id.
    """

    def __init__(self, plat, *, kind, vms=(1, 2, 3)):
        self._plat = plat
        self._kind = kind
        self._vms = itertools.cycle(vms)
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = []
        self.replies = []
        self.crashing_replies = []
        self.vm_of = {}

    def _next(self):
        with self._lock:
            return next(self._vms), next(self._numbers)

    def _send(self, parts, found):
        vm, number = self._next()
        self.vm_of[f"{self._kind}-{number}"] = vm
        own = f"{number:x}"
        at = time.monotonic()
        status, code, body = 0, "", b""
        with contextlib.suppress(OSError, http.client.HTTPException):
            status, headers, body = self._plat.request(
                vm,
                f"/{self._kind}/x",
                f"{self._kind}-{number}",
                own.encode(),
                Prefix_Hash=header(*parts, own),
                Token_Usage="120,40",
            )
            code = headers.get("jasperweir-code", "")
        found.append(Reply(at, status, code, status == 200 and bool(body)))
        return status

    def _start(self, func):
        thread = threading.Thread(target=func, daemon=True)
        self._threads.append(thread)
        thread.start()

    def start_harmless(self, callers):
        """Start callers that send harmless requests one after the other."""
        for number in range(callers):
            self._start(lambda number=number: self._run_harmless(number))

    def _run_harmless(self, number):
        turn = itertools.count(number)
        while not self._stopping.is_set():
            parts = (FIRST, SHARED[next(turn) % len(SHARED)])
            if self._send(parts, self.replies) != 200:
                self._stopping.wait(0.1)

    def start_crashing(self, parts_of, every_s):
        """Start to send requests with crashing parts at a fixed rate.

        Args:
            parts_of: Returns the parts but the last one by number.
            every_s: Seconds between two requests.
        """

        def run():
            for number in itertools.count():
                if self._stopping.wait(every_s):
                    return
                parts = parts_of(number)
                self._start(
                    lambda p=parts: self._send(p, self.crashing_replies)
                )

        self._start(run)

    def served(self, since, until):
        """Return the share of harmless requests served at the first attempt."""
        found = [r for r in list(self.replies) if since <= r.at < until]
        assert len(found) >= 20, f"{len(found)} requests"
        return sum(reply.is_whole for reply in found) / len(found)

    def stop(self):
        self._stopping.set()
        for thread in list(self._threads):
            thread.join(timeout=platform_lib.STOP_SECONDS)
