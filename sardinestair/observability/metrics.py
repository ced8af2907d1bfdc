"""Metrics in the Prometheus text format."""

import threading
from collections.abc import Callable
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["Metrics"]

# Bounds of the buckets of every histogram: seconds, or a ratio for the stretch.
HISTOGRAM_BUCKETS = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
)  # fmt: skip


class Metrics:
    """The metrics of one process, in a separate registry.

    Counters are added up here, and passed on to the library when they are
    shown, as its counters are slow. Thread-safe.

    Attributes:
        on_render: Called before the metrics are shown, to set gauges.

    Examples:
        >>> metrics = Metrics()
        >>> metrics.count("jobs_total", {"state": "complete"})
        >>> b"sardinestair_jobs_total" in metrics.render()[0]
        True
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.collectors: dict[str, Counter | Gauge | Histogram] = {}
        self.on_render: list[Callable[[], None]] = []
        self.lock = threading.Lock()
        # Amounts by name and labels that have not been passed on.
        self.counts: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}

    def count(
        self, name: str, labels: dict[str, str], amount: float = 1
    ) -> None:
        """Adds to a counter.

        Args:
            name: Name without the prefix `sardinestair_`.
            labels: Label values.
            amount: How much to add.
        """
        key = (name, tuple(labels.items()))
        with self.lock:
            self.counts[key] = self.counts.get(key, 0) + amount

    def gauge(self, name: str, labels: dict[str, str], value: float) -> None:
        """Sets a gauge."""
        self._collector(name, Gauge).set(labels, value)

    def observe(self, name: str, labels: dict[str, str], value: float) -> None:
        """Adds a value to a histogram."""
        self._collector(name, Histogram).observe(labels, value)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics as text, and the HTTP headers for it."""
        for collect in self.on_render:
            collect()
        with self.lock:
            counts, self.counts = self.counts, {}
        for (name, labels), amount in counts.items():
            self._collector(name, Counter).add(dict(labels), amount)
        body, headers = render(self.registry, ["text/plain"])
        return body, dict(headers)

    def _collector(self, name, kind):
        collector = self.collectors.get(name)
        if collector is None:
            options: dict[str, Any] = {"registry": self.registry}
            if kind is Histogram:
                options["buckets"] = HISTOGRAM_BUCKETS
            collector = kind(
                f"sardinestair_{name}", name.replace("_", " "), **options
            )
            self.collectors[name] = collector
        return collector
