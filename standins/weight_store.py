"""Test double of a weight store with a limited read rate."""

import threading
import time


class WeightStore:
    """Weight store whose read rate is shared by all hosts.

    Attributes:
        loads: Number of experts read.
    """

    def __init__(self, *, per_second: float) -> None:
        self._per_second = per_second
        self._free_at = 0.0
        self._lock = threading.Lock()
        self.loads = 0

    def load(self, experts: int) -> None:
        """Block for the time that reading `experts` experts takes."""
        with self._lock:
            start = max(time.monotonic(), self._free_at)
            self._free_at = start + experts / self._per_second
            self.loads += experts
            until = self._free_at
        time.sleep(max(0.0, until - time.monotonic()))
