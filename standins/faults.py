"""Fault injection for the test doubles."""

import threading
from typing import Any


class Faults:
    """Named fault settings, set over HTTP or directly.

    Names: ``break_after`` (chunks until the connection is closed),
    ``stall_s`` (seconds before the first byte), ``slow`` (factor on the time
    per token), ``unmarked`` (stream without its end marker) and ``times``
    (number of requests affected, all if absent).
    """

    def __init__(self) -> None:
        self._values: dict[str, float] = {}
        self._lock = threading.Lock()

    def set(self, values: dict[str, Any]) -> None:
        """Replace all fault settings."""
        with self._lock:
            self._values = {k: float(v) for k, v in values.items()}

    def take(self) -> dict[str, float]:
        """Return the fault settings for one request and count it."""
        with self._lock:
            if not self._values:
                return {}
            left = self._values.get("times")
            if left is None:
                return dict(self._values)
            if left <= 0:
                return {}
            self._values["times"] = left - 1
            return dict(self._values)
