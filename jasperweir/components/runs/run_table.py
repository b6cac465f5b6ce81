"""Sans-I/O table of the runs at one agent."""

import collections
import dataclasses
import enum
from typing import NamedTuple

from jasperweir.components.runs import const


class State(enum.StrEnum):
    """State of a run."""

    RESERVED = "reserved"
    RUNNING = "running"
    DONE = "done"
    BROKEN = "broken"
    REVOKED = "revoked"


class Refused(NamedTuple):
    """Verdict: the agent did not and will not start this run."""

    reason: str


class Start(NamedTuple):
    """Verdict: the caller of the table must start the run now, once."""


class Attach(NamedTuple):
    """Verdict: the run exists; its answer is to be read."""

    state: State


Verdict = Refused | Start | Attach


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """One run and the expiry of its record.

    Attributes:
        rid: Request id.
        service: Name of the service.
        state: State of the run.
        readers: Number of connections that read the answer.
        stored_bytes: Size of the stored answer.
        retention_s: Seconds for which a finished answer is stored.
        keyed: Whether the request has an idempotency key.
        orphaned_at: When the last reader left, or None.
        expires_at: When the record expires, monotonic seconds.
    """

    rid: str
    service: str
    state: State
    readers: int = 0
    stored_bytes: int = 0
    retention_s: float = const.RESUMABLE_SECONDS
    keyed: bool = False
    orphaned_at: float | None = None
    expires_at: float = float("inf")


class RunTable:
    """Table of the runs of one incarnation of an agent.

    A request id starts at most once, and a revoked id never starts. Ids are
    retained for longer than a reservation is valid, so that a delayed
    duplicate is refused for lack of a reservation.

    Attributes:
        draining: Whether new runs are refused because the agent leaves.
        ready: Whether the agent and its engine can accept new runs.
    """

    def __init__(self, *, capacity: dict[str, int]) -> None:
        self.draining = False
        self.ready = False
        self._capacity = dict(capacity)
        self._runs: collections.OrderedDict[str, Run] = (
            collections.OrderedDict()
        )
        self._active: collections.Counter[str] = collections.Counter()
        self._stored_bytes = 0

    def set_capacity(self, service: str, limit: int) -> None:
        """Set how many runs of a service may be active at once."""
        self._capacity[service] = limit

    def active(self, service: str = "") -> int:
        """Return the number of reserved and running requests."""
        if service:
            return self._active[service]
        return sum(self._active.values())

    def get(self, rid: str) -> Run | None:
        """Return a run, or None if it is unknown."""
        return self._runs.get(rid)

    def reserve(self, rid: str, service: str, now: float) -> Verdict:
        """Reserve a slot for a request whose key is not yet claimed."""
        run = self._runs.get(rid)
        if run is not None:
            return self._existing_verdict(run)
        refused = self._check_new_run(service)
        if refused is not None:
            return refused
        self._add(rid, service, State.RESERVED, now + const.RESERVATION_SECONDS)
        return Attach(state=State.RESERVED)

    def start(
        self, rid: str, service: str, now: float, *, reserved: bool
    ) -> Verdict:
        """Start a run unless it exists or must not start.

        Args:
            rid: Request id.
            service: Requested service.
            now: Monotonic seconds.
            reserved: Whether a valid reservation is required, as for all
                requests that must not run twice.
        """
        run = self._runs.get(rid)
        if run is None:
            if reserved:
                return Refused(reason=const.REFUSED_RESERVATION)
            refused = self._check_new_run(service)
            if refused is not None:
                return refused
            self._add(rid, service, State.RUNNING, float("inf"))
            return Start()
        if run.state != State.RESERVED:
            return self._existing_verdict(run)
        if now >= run.expires_at:
            self._revoke(run, now)
            return Refused(reason=const.REFUSED_RESERVATION)
        run.state = State.RUNNING
        run.expires_at = float("inf")
        return Start()

    def revoke(self, rid: str, service: str, now: float) -> Verdict:
        """Prevent a request id from starting, if it has not started yet."""
        run = self._runs.get(rid)
        if run is None:
            expires = now + const.RETENTION_SECONDS
            self._runs[rid] = Run(
                rid=rid,
                service=service,
                state=State.REVOKED,
                expires_at=expires,
            )
            return Refused(reason=const.REFUSED_REVOKED)
        if run.state == State.RESERVED:
            self._revoke(run, now)
        return self._existing_verdict(run)

    def finish(self, rid: str, now: float, *, whole: bool) -> None:
        """Record the end of a run."""
        run = self._runs.get(rid)
        if run is None or run.state != State.RUNNING:
            return
        run.state = State.DONE if whole else State.BROKEN
        run.expires_at = now + run.retention_s
        self._active[run.service] -= 1

    def add_bytes(self, rid: str, size: int) -> None:
        """Add to the stored size of a run's answer."""
        run = self._runs[rid]
        run.stored_bytes += size
        self._stored_bytes += size

    def add_reader(self, rid: str) -> None:
        """Record that a connection reads the answer."""
        run = self._runs[rid]
        run.readers += 1
        run.orphaned_at = None

    def remove_reader(self, rid: str, now: float) -> None:
        """Record that a connection no longer reads the answer."""
        run = self._runs.get(rid)
        if run is None:
            return
        run.readers -= 1
        if run.readers == 0 and run.state == State.RUNNING:
            run.orphaned_at = now

    def orphaned_runs(self, now: float) -> list[str]:
        """Return running requests without readers, to be cancelled.

        A keyed run continues, since its request may be resent.
        """
        return [
            run.rid
            for run in self._runs.values()
            if run.orphaned_at is not None
            and not run.keyed
            and run.state == State.RUNNING
            and now - run.orphaned_at >= const.ORPHAN_TIMEOUT_SECONDS
        ]

    def expire(self, now: float) -> list[str]:
        """Drop answers past their retention or the storage limit.

        Returns:
            Ids of the runs whose answers were dropped.
        """
        dropped = []
        for rid, run in list(self._runs.items()):
            if run.state == State.RUNNING:
                continue
            if run.state == State.RESERVED:
                if now >= run.expires_at:
                    self._revoke(run, now)
                continue
            over_limit = (
                self._stored_bytes > const.MAX_STORED_BYTES and run.stored_bytes
            )
            if now >= run.expires_at or (over_limit and run.readers == 0):
                dropped.append(rid)
                self._stored_bytes -= run.stored_bytes
                run.stored_bytes = 0
            if now >= run.expires_at:
                del self._runs[rid]
        return dropped

    def _existing_verdict(self, run: Run) -> Verdict:
        if run.state == State.REVOKED:
            return Refused(reason=const.REFUSED_REVOKED)
        return Attach(state=run.state)

    def _check_new_run(self, service: str) -> Refused | None:
        if self.draining:
            return Refused(reason=const.REFUSED_LEAVING)
        if not self.ready:
            return Refused(reason=const.REFUSED_NOT_READY)
        if service not in self._capacity:
            return Refused(reason=const.REFUSED_SERVICE)
        if self._active[service] >= self._capacity[service]:
            return Refused(reason=const.REFUSED_FULL)
        return None

    def _add(
        self, rid: str, service: str, state: State, expires: float
    ) -> None:
        run = Run(rid=rid, service=service, state=state, expires_at=expires)
        if state == State.RESERVED:
            run.retention_s = const.RETENTION_SECONDS
            run.keyed = True
        self._runs[rid] = run
        self._active[service] += 1

    def _revoke(self, run: Run, now: float) -> None:
        run.state = State.REVOKED
        run.expires_at = now + const.RETENTION_SECONDS
        self._active[run.service] -= 1
