"""Prometheus metrics of a process, served at /metrics."""

from collections.abc import Mapping
import threading

import aioprometheus

PREFIX = "jasperweir_"
# Upper bounds of the buckets of latency histograms, seconds: fine around the
# target times of routes, coarse up to the longest deadlines.
SECONDS_BUCKETS = [0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0]


class Metrics:
    """Registry that creates each metric on first use.

    A lock makes aioprometheus, which expects a single event loop, usable from
    several threads.
    """

    def __init__(self, *, labels: Mapping[str, str]) -> None:
        self._registry = aioprometheus.Registry()
        self._labels = dict(labels)
        self._lock = threading.Lock()
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._histograms: dict[str, aioprometheus.Histogram] = {}
        self._values: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}

    def inc(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increment a counter."""
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

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add an observation, in seconds, to a histogram."""
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = aioprometheus.Histogram(
                    PREFIX + name,
                    name.replace("_", " "),
                    const_labels=self._labels,
                    buckets=SECONDS_BUCKETS,
                    registry=self._registry,
                )
                self._histograms[name] = histogram
            histogram.observe(labels, value)

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        key = (name, tuple(sorted(labels.items())))
        return self._values.get(key, 0)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            content, _ = aioprometheus.render(self._registry, ["text/plain"])
        return content
