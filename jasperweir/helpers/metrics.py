"""Counters and gauges of one process, served at /metrics."""

from collections.abc import Mapping
import threading

import aioprometheus

PREFIX = "jasperweir_"


class Metrics:
    """Registry of metrics, created on first use.

    aioprometheus is built for asyncio; only its collectors and its renderer
    are used here, under a lock, since HTTP is served by waitress.
    """

    def __init__(self, *, labels: Mapping[str, str]) -> None:
        self._registry = aioprometheus.Registry()
        self._labels = dict(labels)
        self._lock = threading.Lock()
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._values: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}

    def inc(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        with self._lock:
            counter = self._counters.get(name)
            if counter is None:
                counter = aioprometheus.Counter(
                    PREFIX + name,
                    name.replace("_", " "),
                    const_labels=self._labels,
                    registry=self._registry,
                )
                self._counters[name] = counter
            counter.add(labels, amount)
            key = (name, tuple(sorted(labels.items())))
            self._values[key] = self._values.get(key, 0) + amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        with self._lock:
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = aioprometheus.Gauge(
                    PREFIX + name,
                    name.replace("_", " "),
                    const_labels=self._labels,
                    registry=self._registry,
                )
                self._gauges[name] = gauge
            gauge.set(labels, value)

    def value(self, name: str, **labels: str) -> float:
        """Return a counter's value."""
        key = (name, tuple(sorted(labels.items())))
        return self._values.get(key, 0)

    def render(self) -> bytes:
        """Return the Prometheus text format."""
        with self._lock:
            content, _ = aioprometheus.render(self._registry, ["text/plain"])
        return content
