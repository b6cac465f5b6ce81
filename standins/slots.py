"""Semaphore for batch slots, with priorities."""

import heapq
import threading


class PrioritySlots:
    """Semaphore that serves waiters by priority, then in arrival order."""

    def __init__(self, *, count: int) -> None:
        self._free = count
        self._waiting: list[tuple[int, int, threading.Event]] = []
        self._order = 0
        self._lock = threading.Lock()

    def acquire(self, priority: int) -> None:
        """Wait for a slot; 0 is the highest priority."""
        with self._lock:
            if self._free and not self._waiting:
                self._free -= 1
                return
            self._order += 1
            turn = threading.Event()
            heapq.heappush(self._waiting, (priority, self._order, turn))
        turn.wait()

    def release(self) -> None:
        """Pass the slot to the next waiter, or free it."""
        with self._lock:
            if self._waiting:
                heapq.heappop(self._waiting)[2].set()
                return
            self._free += 1
