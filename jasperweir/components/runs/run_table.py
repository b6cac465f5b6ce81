"""Sans-I/O table of runs at one agent."""

import collections
import dataclasses
import enum
from typing import NamedTuple

from jasperweir.components.runs import const


class State(enum.StrEnum):
    """Life of a run."""

    RESERVED = "reserved"
    RUNNING = "running"
    DONE = "done"
    BROKEN = "broken"
    REVOKED = "revoked"


class Refused(NamedTuple):
    """The agent did not and will not start this run."""

    reason: str


class Start(NamedTuple):
    """The caller of the table must now start the run, once."""


class Attach(NamedTuple):
    """The run exists: read its answer, do not start anything."""

    state: State


Verdict = Refused | Start | Attach


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """One run and when its record may be forgotten."""

    rid: str
    service: str
    state: State
    readers: int = 0
    bytes: int = 0
    keep_seconds: float = const.RESUME_SECONDS
    keyed: bool = False
    orphaned_at: float | None = None
    expires_at: float = float("inf")


class Table:
    """Decide what happens to each request id in this incarnation.

    A request id starts at most once; a revoked id never starts. Ids are
    remembered for longer than a reservation lives, so a delayed copy is
    refused for lack of one.
    """

    def __init__(self, *, capacity: dict[str, int]) -> None:
        self.leaving = False
        self.ready = False
        self._capacity = dict(capacity)
        self._runs: collections.OrderedDict[str, Run] = (
            collections.OrderedDict()
        )
        self._active: collections.Counter[str] = collections.Counter()
        self._kept_bytes = 0

    def set_capacity(self, service: str, limit: int) -> None:
        """Set how many runs of a service may be active at once."""
        self._capacity[service] = limit

    def active(self, service: str = "") -> int:
        """Return the number of reserved and running requests."""
        if service:
            return self._active[service]
        return sum(self._active.values())

    def get(self, rid: str) -> Run | None:
        """Return a run."""
        return self._runs.get(rid)

    def reserve(self, rid: str, service: str, now: float) -> Verdict:
        """Set a slot aside for a request whose key is yet to be claimed."""
        run = self._runs.get(rid)
        if run is not None:
            return self._known(run)
        refused = self._refuse_new(service)
        if refused is not None:
            return refused
        self._add(rid, service, State.RESERVED, now + const.RESERVE_SECONDS)
        return Attach(state=State.RESERVED)

    def start(
        self, rid: str, service: str, now: float, *, reserved: bool
    ) -> Verdict:
        """Start a run, if this is the first time and nothing forbids it.

        Args:
            rid: Request id.
            service: Service asked for.
            now: Monotonic seconds.
            reserved: Whether only a live reservation may start, as for all
                requests that must not run twice.
        """
        run = self._runs.get(rid)
        if run is None:
            if reserved:
                return Refused(reason=const.REFUSED_RESERVATION)
            refused = self._refuse_new(service)
            if refused is not None:
                return refused
            self._add(rid, service, State.RUNNING, float("inf"))
            return Start()
        if run.state != State.RESERVED:
            return self._known(run)
        if now >= run.expires_at:
            self._revoke(run, now)
            return Refused(reason=const.REFUSED_RESERVATION)
        run.state = State.RUNNING
        run.expires_at = float("inf")
        return Start()

    def revoke(self, rid: str, service: str, now: float) -> Verdict:
        """Make sure that a request id never starts, if it has not yet."""
        run = self._runs.get(rid)
        if run is None:
            expires = now + const.KEPT_SECONDS
            self._runs[rid] = Run(
                rid=rid,
                service=service,
                state=State.REVOKED,
                expires_at=expires,
            )
            return Refused(reason=const.REFUSED_REVOKED)
        if run.state == State.RESERVED:
            self._revoke(run, now)
        return self._known(run)

    def finished(self, rid: str, now: float, *, whole: bool) -> None:
        """Note the end of a run."""
        run = self._runs.get(rid)
        if run is None or run.state != State.RUNNING:
            return
        run.state = State.DONE if whole else State.BROKEN
        run.expires_at = now + run.keep_seconds
        self._active[run.service] -= 1

    def grew(self, rid: str, size: int) -> None:
        """Note bytes that a run's answer now holds."""
        run = self._runs[rid]
        run.bytes += size
        self._kept_bytes += size

    def joined(self, rid: str) -> None:
        """Note a reader."""
        run = self._runs[rid]
        run.readers += 1
        run.orphaned_at = None

    def parted(self, rid: str, now: float) -> None:
        """Note that a reader has gone."""
        run = self._runs.get(rid)
        if run is None:
            return
        run.readers -= 1
        if run.readers == 0 and run.state == State.RUNNING:
            run.orphaned_at = now

    def orphans(self, now: float) -> list[str]:
        """Return running requests that nobody reads and nobody will.

        A keyed run goes on: its caller's resend asks for the answer.
        """
        return [
            run.rid
            for run in self._runs.values()
            if run.orphaned_at is not None
            and not run.keyed
            and run.state == State.RUNNING
            and now - run.orphaned_at >= const.ORPHAN_SECONDS
        ]

    def expire(self, now: float) -> list[str]:
        """Forget what is old or too large; return the ids forgotten."""
        gone = []
        for rid, run in list(self._runs.items()):
            if run.state == State.RUNNING:
                continue
            if run.state == State.RESERVED:
                if now >= run.expires_at:
                    self._revoke(run, now)
                continue
            crowded = self._kept_bytes > const.KEPT_BYTES_MAX and run.bytes
            if now >= run.expires_at or (crowded and run.readers == 0):
                gone.append(rid)
                self._kept_bytes -= run.bytes
                run.bytes = 0
            if now >= run.expires_at:
                del self._runs[rid]
        return gone

    def _known(self, run: Run) -> Verdict:
        if run.state == State.REVOKED:
            return Refused(reason=const.REFUSED_REVOKED)
        return Attach(state=run.state)

    def _refuse_new(self, service: str) -> Refused | None:
        if self.leaving:
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
            run.keep_seconds = const.KEPT_SECONDS
            run.keyed = True
        self._runs[rid] = run
        self._active[service] += 1

    def _revoke(self, run: Run, now: float) -> None:
        run.state = State.REVOKED
        run.expires_at = now + const.KEPT_SECONDS
        self._active[run.service] -= 1
