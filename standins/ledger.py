"""Counts of executions, to compare with the responses to callers."""

import collections
import threading


class Ledger:
    """Counts of executions by the id in the request."""

    def __init__(self) -> None:
        self._started: collections.Counter[str] = collections.Counter()
        self._finished: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()

    def started(self, key: str) -> None:
        """Record that an execution started."""
        with self._lock:
            self._started[key] += 1

    def finished(self, key: str) -> None:
        """Record that an execution finished."""
        with self._lock:
            self._finished[key] += 1

    def counts(self) -> dict[str, dict[str, int]]:
        """Return the counts by id."""
        with self._lock:
            return {
                "started": dict(self._started),
                "finished": dict(self._finished),
            }
