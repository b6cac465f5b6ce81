"""Monotonic clock that includes the time a VM was suspended."""

from collections.abc import Callable
import time

# Linux only; other systems fall back to a clock without suspensions.
_SINCE_BOOT = getattr(time, "CLOCK_BOOTTIME", None)


def elapsed() -> float:
    """Return monotonic seconds, including suspensions of the VM.

    ``time.monotonic`` stops during a suspension, so leases and deadlines that
    expired meanwhile would still count as valid.
    """
    if _SINCE_BOOT is None:
        return time.monotonic()
    return time.clock_gettime(_SINCE_BOOT)


# Longest time that reading both clocks may take, seconds, and how often it is
# tried: a process may be preempted in between.
READING_SECONDS = 0.005
MAX_READINGS = 3


class ClockComparison:
    """Compares the clock that counts suspensions with the one that doesn't.

    Both are steady. If they part, the VM was suspended or one of them was set,
    and times that were taken before can't be compared with later ones.
    """

    def __init__(
        self,
        *,
        counting: Callable[[], float] = elapsed,
        skipping: Callable[[], float] = time.monotonic,
    ) -> None:
        """Read both clocks.

        Args:
            counting: Clock that counts suspensions, seconds.
            skipping: Clock that does not, seconds.
        """
        self._counting = counting
        self._skipping = skipping
        self._offset_s = self._read_offset()

    def find_step(self) -> float:
        """Return by how much the clocks have parted since the last call.

        Returns:
            Seconds; positive if the clock that counts suspensions has gained.
        """
        offset_s = self._read_offset()
        if offset_s is None or self._offset_s is None:
            self._offset_s = offset_s or self._offset_s
            return 0.0
        step_s, self._offset_s = offset_s - self._offset_s, offset_s
        return step_s

    def _read_offset(self) -> float | None:
        """Return the clocks' difference, None if the process was preempted."""
        for _ in range(MAX_READINGS):
            before = self._skipping()
            counted = self._counting()
            after = self._skipping()
            if after - before < READING_SECONDS:
                return counted - after
        return None
