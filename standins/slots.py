"""Places in a batch, given to the most urgent first."""

import heapq
import threading


class PrioritySlots:
    """A semaphore whose waiters are served by priority, then by order."""

    def __init__(self, *, count: int) -> None:
        self._free = count
        self._waiting: list[tuple[int, int, threading.Event]] = []
        self._order = 0
        self._lock = threading.Lock()

    def acquire(self, priority: int) -> None:
        """Wait for a place; 0 is the most urgent."""
        with self._lock:
            if self._free and not self._waiting:
                self._free -= 1
                return
            self._order += 1
            turn = threading.Event()
            heapq.heappush(self._waiting, (priority, self._order, turn))
        turn.wait()

    def release(self) -> None:
        """Hand the place to the next, or set it free."""
        with self._lock:
            if self._waiting:
                heapq.heappop(self._waiting)[2].set()
                return
            self._free += 1
