"""Faults that a test or a person can switch on."""

import threading
from typing import Any


class Faults:
    """Named switches, set over HTTP or directly.

    Known names: ``break_after`` (chunks until the answer breaks off),
    ``stall_s`` (seconds before the first byte), ``slow`` (factor on the time
    per token), ``unmarked`` (end without the completeness mark), ``times``
    (how many requests the fault hits; absent for all).
    """

    def __init__(self) -> None:
        self._values: dict[str, float] = {}
        self._lock = threading.Lock()

    def set(self, values: dict[str, Any]) -> None:
        """Replace all switches."""
        with self._lock:
            self._values = {k: float(v) for k, v in values.items()}

    def take(self) -> dict[str, float]:
        """Return the switches for one request."""
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
