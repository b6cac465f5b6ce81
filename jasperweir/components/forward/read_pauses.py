"""Pauses in reading a target's response, which its caller causes."""

from jasperweir.components.forward import const


class ReadPauses:
    """Pauses in reading one request's response; sans-I/O.

    Attributes:
        is_paused: Whether reading pauses now.
        resumed_at: When the last pause ended, monotonic seconds.
    """

    def __init__(self) -> None:
        self.is_paused = False
        self.resumed_at = float("-inf")
        self._paused_at = 0.0
        self._longest_s = 0.0

    def begin(self, now: float) -> None:
        """Record that a pause begins."""
        self.is_paused = True
        self._paused_at = now

    def end(self, now: float) -> None:
        """Record that a pause ends."""
        self.is_paused = False
        self.resumed_at = now
        self._longest_s = max(self._longest_s, now - self._paused_at)

    def was_held_up(self, now: float) -> bool:
        """Return whether the target had to wait until just now."""
        if self.is_paused:
            return now - self._paused_at >= const.UNREAD_SECONDS
        if now - self.resumed_at > const.HELD_UP_SECONDS:
            return False
        return self._longest_s >= const.UNREAD_SECONDS
