"""Stand-in for the weight store: so many experts a second, no more."""

import threading
import time


class WeightStore:
    """Hand out experts at a limited rate, to all hosts together."""

    def __init__(self, *, per_second: float) -> None:
        self._per_second = per_second
        self._free_at = 0.0
        self._lock = threading.Lock()
        self.loads = 0

    def load(self, experts: int) -> None:
        """Wait until that many experts have been read."""
        with self._lock:
            start = max(time.monotonic(), self._free_at)
            self._free_at = start + experts / self._per_second
            self.loads += experts
            until = self._free_at
        time.sleep(max(0.0, until - time.monotonic()))
