"""Count real executions, to hold against what callers were told."""

import collections
import threading


class Ledger:
    """Executions by the id that the caller put into its request."""

    def __init__(self) -> None:
        self._started: collections.Counter[str] = collections.Counter()
        self._finished: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()

    def started(self, key: str) -> None:
        """Note that an execution began."""
        with self._lock:
            self._started[key] += 1

    def finished(self, key: str) -> None:
        """Note that an execution reached its end."""
        with self._lock:
            self._finished[key] += 1

    def counts(self) -> dict[str, dict[str, int]]:
        """Return all counts."""
        with self._lock:
            return {
                "started": dict(self._started),
                "finished": dict(self._finished),
            }
