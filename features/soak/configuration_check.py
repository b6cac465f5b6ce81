"""Judges by which configuration versions entries decided requests."""

import collections
import threading
from typing import NamedTuple

# Time from an acknowledgement within which a version must be in force.
APPLY_SECONDS = 2.0
# An entry that was undisturbed for so long, like all control VMs, is in touch.
STABLE_SECONDS = 3.0
# Time after which no request may be decided by a version that is older than
# one whose effect was seen at the same process.
BACK_SECONDS = 0.25
# Smallest share of requests on added routes that must be served, against those
# on the first routes, when at least so many were sent.
ADDED_SHARE = 0.25
ADDED_MIN = 20


class Decision(NamedTuple):
    """Outcome of a request that some versions allow.

    Attributes:
        vm: Number of the entry's VM.
        start: Which start of the entry's process answered.
        sent_at: When the request was sent, monotonic seconds.
        ended_at: When it was answered, monotonic seconds.
        what: Request and outcome, for messages.
        versions: Versions that allow the outcome, of all that were sent.
    """

    vm: int
    start: int
    sent_at: float
    ended_at: float
    what: str
    versions: frozenset[int]


class OlderDecision(NamedTuple):
    """A decision by a version older than the newest acknowledged one.

    Attributes:
        decision: The decision.
        acknowledged: Newest version acknowledged when the request was sent.
        acknowledged_s: Time since its acknowledgement, seconds.
        decided_by: Newest version that allows the decision.
    """

    decision: Decision
    acknowledged: int
    acknowledged_s: float
    decided_by: int


class ConfigurationCheck:
    """Collects orders and decisions, and finds broken rules at the end."""

    def __init__(self):
        self.decisions = []
        self.violations = []
        # Decisions on requests sent after an acknowledgement, and those of them
        # that only an older version allows.
        self.after_ack = collections.Counter()
        self.added = collections.Counter()
        self._sent = {}
        self._acked = []
        self._lock = threading.Lock()

    def record_sent(self, version, now):
        """Record a valid version before it is sent."""
        with self._lock:
            self._sent.setdefault(version, now)

    def record_acknowledged(self, version, now):
        """Record an acknowledged version."""
        with self._lock:
            self._acked.append((now, version))

    @property
    def acknowledged(self):
        """Versions that were acknowledged to an operator."""
        with self._lock:
            return {version for _, version in self._acked}

    def sent_versions(self):
        """Return all versions sent so far."""
        with self._lock:
            return sorted(self._sent)

    def record_decision(self, decision):
        """Record the outcome of a request."""
        with self._lock:
            self.decisions.append(decision)

    def newest_acknowledged(self, at):
        """Return the newest version acknowledged until some moment."""
        return max((v for t, v in self._acked if t <= at), default=0)

    def list_older(self):
        """Return the decisions by a version older than an acknowledged one."""
        found = []
        for decision in self.decisions:
            acked = self.newest_acknowledged(decision.sent_at)
            possible = self._possible(decision)
            if any(version >= acked for version in possible):
                continue
            acked_at = min(t for t, v in self._acked if v == acked)
            found.append(
                OlderDecision(
                    decision=decision,
                    acknowledged=acked,
                    acknowledged_s=decision.sent_at - acked_at,
                    decided_by=max(possible, default=0),
                )
            )
        return found

    def find_violations(self, is_in_touch):
        """Return the broken rules.

        Args:
            is_in_touch: Returns whether an entry was in touch in a span, by
                the number of its VM, begin and end in monotonic seconds.
        """
        seen = collections.defaultdict(list)
        for found in sorted(self.decisions, key=lambda item: item.ended_at):
            self._check_late(found, is_in_touch)
            seen[found.vm, found.start].append(found)
        for decisions in seen.values():
            self._check_back(decisions)
        if self.added["sent"] >= ADDED_MIN:
            added = self.added["served"] / self.added["sent"]
            first = self.added["first served"] / max(
                self.added["first sent"], 1
            )
            if added < ADDED_SHARE * first:
                self.violations.append(f"added routes: {dict(self.added)}")
        return self.violations

    def _possible(self, found):
        """Return the versions that may have decided a request."""
        return {
            version
            for version in found.versions
            if self._sent[version] <= found.ended_at
        }

    def _count_after_ack(self, found):
        """Count whether a version was in force once it was acknowledged."""
        acked = self.newest_acknowledged(found.sent_at)
        is_older = not any(v >= acked for v in self._possible(found))
        self.after_ack["older" if is_older else "in force"] += 1

    def _check_late(self, found, is_in_touch):
        self._count_after_ack(found)
        due = self.newest_acknowledged(found.sent_at - APPLY_SECONDS)
        if any(version >= due for version in self._possible(found)):
            return
        if is_in_touch(
            found.vm, found.sent_at - STABLE_SECONDS, found.ended_at
        ):
            self._add(found, f"version {due} was acknowledged 2 s before")

    def _check_back(self, decisions):
        """Check that one process does not go back to an older version."""
        highest, since = 0, 0.0
        for found in decisions:
            possible = self._possible(found)
            if not possible:
                self._add(found, "no version allows it")
                continue
            if found.sent_at > since + BACK_SECONDS and (
                max(possible) < highest
            ):
                self._add(found, f"version {highest} was in force before")
            if min(possible) > highest:
                highest, since = min(possible), found.ended_at

    def _add(self, found, why):
        self.violations.append(
            f"vm-{found.vm} start {found.start} at {found.sent_at:.2f}:"
            f" {found.what}; {why}; allowed by {sorted(found.versions)[-4:]}"
        )
