"""When an agent tells the leader of its engine; sans-I/O.

Reading the engine is free on its own VM, telling is not: the leader of a
group of 72 ranks that all told it ten times a second could not keep up.
"""

from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import members
from jasperweir.components.mapswitch import messages

# A tick that comes this much too early still counts, so that what is due every
# other tick is not put off to the third. Seconds.
_EARLY_SECONDS = 0.005


class ReportSchedule:
    """Beats of one agent.

    Attributes:
        busy: Whether the leader has a switch under way.
        counted: Whether the leader wants the counts of this engine.
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
        self, leader: str, ask: messages.ReportRateRequest
    ) -> None:
        """Take in what the leader wants."""
        if leader != self._leader:
            self._leader = leader
            self._last_reported = None
        self.busy = ask.busy
        self.counted = ask.counted
        self.near = ask.near

    def is_read_due(self, now: float) -> bool:
        """Tell whether the engine is to be read now."""
        if now < self.next_read_at - _EARLY_SECONDS:
            return False
        self._read_at = now
        return True

    @property
    def next_read_at(self) -> float:
        """When the engine is to be read next, monotonic seconds."""
        pause = const.READ_SECONDS
        if self.counted and self.near:
            pause = const.NEAR_READ_SECONDS
        if self.busy:
            pause = const.BUSY_READ_SECONDS
        return self._read_at + pause

    def is_report_due(self, state: messages.EngineState, now: float) -> bool:
        """Tell whether the leader is to be told of a state now."""
        old = self._last_reported
        silent = now - self._reported_at
        due = (
            old is None
            or not members.is_same_step(state, old)
            or abs(state.pace - old.pace) >= const.MIN_PACE_CHANGE
            or silent >= self._max_report_interval(state) - _EARLY_SECONDS
        )
        if due:
            self._last_reported = state
            self._reported_at = now
        return due

    def _max_report_interval(self, state: messages.EngineState) -> float:
        """Return how long the leader may go without a beat."""
        if self.counted and self.near:
            return const.NEAR_READ_SECONDS
        if self.counted or state.size <= const.COUNTED_RANKS:
            return const.READ_SECONDS
        return const.QUIET_BEAT_SECONDS
