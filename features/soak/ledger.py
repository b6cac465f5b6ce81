"""Compares what callers and operators observed with what targets ran."""

import collections
import threading
from typing import NamedTuple

# Statuses which guarantee that a request did not and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class AttemptOutcome(NamedTuple):
    """Outcome of one attempt of a caller.

    Attributes:
        kind: ``safe``, ``book`` or ``stream``.
        status: Status of the response, 0 if none arrived.
        whole: Whether the response is complete.
        signed: Whether the response has the signature of a target.
        body: Body of the response.
        reason: Error that closed the connection, or empty.
        planned: Whether the connection was established in a run with planned
            work only, so that the response must not be cut off.
    """

    kind: str
    status: int
    whole: bool
    signed: bool
    body: bytes
    reason: str
    planned: bool


class Ledger:
    """Records attempts and acknowledged versions, and checks invariants."""

    def __init__(self, *, events):
        self.violations = []
        self.attempts = {}
        self.acked = 0
        self._events = events
        self._lock = threading.Lock()

    def record_sent(self, rid):
        """Record an id before its request is sent."""
        with self._lock:
            self.attempts[rid] = None

    def record_outcome(self, rid, seen):
        """Record and check the outcome of an attempt."""
        with self._lock:
            self.attempts[rid] = seen
        if seen.status == 200 and not seen.signed:
            self._add_violation(
                rid, "a success without a target's signature", seen
            )
        if seen.status == 200 and seen.whole:
            self._check_body(rid, seen)

    def record_acknowledged(self, version):
        """Record a version that a control VM acknowledged."""
        with self._lock:
            self.acked = max(self.acked, version)

    def check_read(self, version, floor):
        """Check that a read is no older than an acknowledged version."""
        if version < floor:
            self._add_violation(
                "operator", f"read {version} after {floor}", None
            )

    def check_runs(self, runs):
        """Compare all attempts with the runs of all targets."""
        counts = collections.Counter(runs)
        for rid in counts:
            if rid not in self.attempts:
                self._add_violation(rid, "ran without having been sent", None)
        for rid, seen in self.attempts.items():
            if seen is not None and seen.planned and not seen.whole:
                # A request that arrived while its idle connection was closed
                # and that was not forwarded may be retried by the caller.
                if counts[rid] or seen.status:
                    self._add_violation(rid, "cut off by planned work", seen)
            if not rid.startswith("book"):
                continue
            if counts[rid] > 1:
                self._add_violation(rid, f"ran {counts[rid]} times", seen)
            if seen is None:
                continue
            if seen.status in NOT_RUN_STATUSES and counts[rid]:
                self._add_violation(rid, "refused as not run, but it ran", seen)
            if seen.status == 200 and seen.whole and not counts[rid]:
                self._add_violation(rid, "answered, but it never ran", seen)

    def served(self):
        """Return the number of complete successful responses by kind."""
        return collections.Counter(
            seen.kind
            for seen in self.attempts.values()
            if seen is not None and seen.status == 200 and seen.whole
        )

    def _check_body(self, rid, seen):
        if seen.kind != "stream":
            want = b"ran " + (rid.encode() if seen.kind == "book" else b"")
            if seen.body != want:
                self._add_violation(rid, "an answer to another request", seen)
            return
        ids = [
            int(line[4:])
            for line in seen.body.split(b"\n")
            if line.startswith(b"id: ")
        ]
        if ids != list(range(1, self._events + 1)):
            self._add_violation(rid, f"events {ids}", seen)
            return
        want = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (number, number) for number in ids
        )
        if seen.body != want:
            self._add_violation(rid, f"{len(seen.body)} bytes of events", seen)

    def _add_violation(self, rid, what, seen):
        with self._lock:
            self.violations.append(f"{rid}: {what}; {seen}"[:400])
