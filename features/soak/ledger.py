"""What callers and operators saw, held against what targets ran."""

import collections
import threading
from typing import NamedTuple

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


class Seen(NamedTuple):
    """One attempt of a caller.

    Attributes:
        kind: ``safe``, ``book`` or ``stream``.
        status: Status of the answer, 0 if the connection ended before one.
        whole: Whether the answer ended as HTTP says that it should.
        signed: Whether it bears a target's signature.
        body: Its bytes.
        reason: What ended the connection too early, or empty.
        planned: Whether its connection stood and the run does planned work
            only, so that nothing may cut it off.
    """

    kind: str
    status: int
    whole: bool
    signed: bool
    body: bytes
    reason: str
    planned: bool


class Ledger:
    """Attempts by id, acknowledged versions, and broken promises."""

    def __init__(self, *, events):
        self.broken = []
        self.attempts = {}
        self.acked = 0
        self._events = events
        self._lock = threading.Lock()

    def sent(self, rid):
        """Note an id before its request leaves."""
        with self._lock:
            self.attempts[rid] = None

    def ended(self, rid, seen):
        """Note what became of an attempt, and check what it shows."""
        with self._lock:
            self.attempts[rid] = seen
        if seen.status == 200 and not seen.signed:
            self._break(rid, "a success without a target's signature", seen)
        if seen.status == 200 and seen.whole:
            self._check_body(rid, seen)

    def acknowledged(self, version):
        """Note a version that control acknowledged."""
        with self._lock:
            self.acked = max(self.acked, version)

    def read(self, version, floor):
        """Check a read that was sent when ``floor`` had been acknowledged."""
        if version < floor:
            self._break("operator", f"read {version} after {floor}", None)

    def settle(self, runs):
        """Check attempts against the runs of all targets at the end."""
        counts = collections.Counter(runs)
        for rid in counts:
            if rid not in self.attempts:
                self._break(rid, "ran, though nobody sent it", None)
        for rid, seen in self.attempts.items():
            if seen is not None and seen.planned and not seen.whole:
                # One that crossed the close of an idle connection and was
                # not passed on is the caller's to repeat.
                if counts[rid] or seen.status:
                    self._break(rid, "cut off by planned work", seen)
            if not rid.startswith("book"):
                continue
            if counts[rid] > 1:
                self._break(rid, f"ran {counts[rid]} times", seen)
            if seen is None:
                continue
            if seen.status in PROMISES and counts[rid]:
                self._break(rid, "refused as not run, but it ran", seen)
            if seen.status == 200 and seen.whole and not counts[rid]:
                self._break(rid, "answered, but it never ran", seen)

    def served(self):
        """Return how many attempts were served whole, by kind."""
        return collections.Counter(
            seen.kind
            for seen in self.attempts.values()
            if seen is not None and seen.status == 200 and seen.whole
        )

    def _check_body(self, rid, seen):
        if seen.kind != "stream":
            want = b"ran " + (rid.encode() if seen.kind == "book" else b"")
            if seen.body != want:
                self._break(rid, "an answer to another request", seen)
            return
        ids = [
            int(line[4:])
            for line in seen.body.split(b"\n")
            if line.startswith(b"id: ")
        ]
        if ids != list(range(1, self._events + 1)):
            self._break(rid, f"events {ids}", seen)

    def _break(self, rid, what, seen):
        with self._lock:
            self.broken.append(f"{rid}: {what}; {seen}"[:400])
