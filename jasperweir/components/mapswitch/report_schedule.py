"""Schedules an agent's reads of its engine and its heartbeats; sans-I/O.

Reads are local and cheap. Heartbeats are sent less often, so that the leader
of a large group can process them all.
"""

from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import members
from jasperweir.components.mapswitch import messages

# Tolerance for early ticks, seconds: without it, an action that is due at every
# second tick would slip to the third.
_EARLY_SECONDS = 0.005


class ReportSchedule:
    """Schedules reads and heartbeats of one agent.

    Attributes:
        busy: Whether a switch is running.
        counted: Whether the leader needs the counts of this engine.
        near: Whether the leader is in the same data centre.
    """

    def __init__(self) -> None:
        self.busy = False
        self.counted = False
        self.near = False
        self._read_at = float("-inf")
        self._reported_at = float("-inf")
        self._last_reported: messages.EngineState | None = None
        self._leader = ""

    def on_rate_request(
        self, leader: str, request: messages.ReportRateRequest
    ) -> None:
        """Apply a leader's rate request."""
        if leader != self._leader:
            self._leader = leader
            self._last_reported = None
        self.busy = request.busy
        self.counted = request.counted
        self.near = request.near

    def is_read_due(self, now: float) -> bool:
        """Return whether to read the engine now, and record the read."""
        if now < self.next_read_at - _EARLY_SECONDS:
            return False
        self._read_at = now
        return True

    @property
    def next_read_at(self) -> float:
        """Time of the next read, monotonic seconds."""
        interval_s = const.READ_SECONDS
        if self.counted and self.near:
            interval_s = const.NEAR_READ_SECONDS
        if self.busy:
            interval_s = const.BUSY_READ_SECONDS
        return self._read_at + interval_s

    def is_report_due(self, state: messages.EngineState, now: float) -> bool:
        """Return whether to send a heartbeat now, and record it as sent."""
        old = self._last_reported
        silence_s = now - self._reported_at
        due = (
            old is None
            or not members.is_same_step(state, old)
            or abs(state.pace - old.pace) >= const.MIN_SLOWDOWN_CHANGE
            or silence_s >= self._max_report_interval(state) - _EARLY_SECONDS
        )
        if due:
            self._last_reported = state
            self._reported_at = now
        return due

    def _max_report_interval(self, state: messages.EngineState) -> float:
        """Return the longest interval between two heartbeats, seconds."""
        if self.counted and self.near:
            return const.NEAR_READ_SECONDS
        if self.counted or state.size <= const.COUNTED_RANKS:
            return const.READ_SECONDS
        return const.QUIET_REPORT_SECONDS
