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


class Pacer:
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
        self._told_at = float("-inf")
        self._told: messages.EngineState | None = None
        self._leader = ""

    def on_ask(self, leader: str, ask: messages.PaceAsk) -> None:
        """Take in what the leader wants."""
        if leader != self._leader:
            self._leader = leader
            self._told = None
        self.busy = ask.busy
        self.counted = ask.counted
        self.near = ask.near

    def read_due(self, now: float) -> bool:
        """Tell whether the engine is to be read now."""
        if now < self.next_read - _EARLY_SECONDS:
            return False
        self._read_at = now
        return True

    @property
    def next_read(self) -> float:
        """When the engine is to be read next, monotonic seconds."""
        pause = const.READ_SECONDS
        if self.counted and self.near:
            pause = const.NEAR_READ_SECONDS
        if self.busy:
            pause = const.BUSY_READ_SECONDS
        return self._read_at + pause

    def tell_due(self, state: messages.EngineState, now: float) -> bool:
        """Tell whether the leader is to be told of a state now."""
        old = self._told
        silent = now - self._told_at
        due = (
            old is None
            or not members.same_step(state, old)
            or abs(state.pace - old.pace) >= const.PACE_STEP
            or silent >= self._pause(state) - _EARLY_SECONDS
        )
        if due:
            self._told = state
            self._told_at = now
        return due

    def _pause(self, state: messages.EngineState) -> float:
        """Return how long the leader may go without a beat."""
        if self.counted and self.near:
            return const.NEAR_READ_SECONDS
        if self.counted or state.size <= const.COUNTED_RANKS:
            return const.READ_SECONDS
        return const.QUIET_BEAT_SECONDS
