"""Metrics in the Prometheus text format."""

import bisect
import itertools
import threading
from collections.abc import Callable
from typing import Any, TypeAlias

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus import histogram as aio_histogram

__all__ = ["Distribution", "Metrics"]

# Bounds of the buckets of every histogram: seconds, or a ratio for the stretch.
HISTOGRAM_BUCKETS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.35, 0.5,
    0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0,
)  # fmt: skip

_Key: TypeAlias = tuple[str, tuple[tuple[str, str], ...]]


class Distribution:
    """Values of one histogram that are counted by bucket.

    It is not thread-safe.

    Attributes:
        counts: Number of values in each bucket, the last one unbounded.
        total: Sum of the values.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(HISTOGRAM_BUCKETS) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Adds a value."""
        self.counts[bisect.bisect_left(HISTOGRAM_BUCKETS, value)] += 1
        self.total += value

    def to_histogram(self) -> aio_histogram.Histogram:
        """Returns the library's form of it."""
        converted = aio_histogram.Histogram(*HISTOGRAM_BUCKETS)
        cumulative = list(itertools.accumulate(self.counts))
        converted.buckets.update(
            zip(converted.buckets, cumulative, strict=True)
        )
        converted.observations = cumulative[-1]
        converted.sum = self.total
        return converted


class Metrics:
    """The metrics of one process, in a separate registry.

    Counters and histograms are added up here, and passed on to the library
    when they are shown, as its own are slow. Thread-safe.

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
        self.counts: dict[_Key, float] = {}
        # Histograms by name and labels, since the start of the process.
        self.distributions: dict[_Key, Distribution] = {}

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
        distribution = self.distribution(name, labels)
        with self.lock:
            distribution.observe(value)

    def distribution(self, name: str, labels: dict[str, str]) -> Distribution:
        """Returns the values of a histogram, to add many in one thread."""
        key = (name, tuple(labels.items()))
        with self.lock:
            found = self.distributions.get(key)
            if found is None:
                found = self.distributions[key] = Distribution()
            return found

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics as text, and the HTTP headers for it."""
        for collect in self.on_render:
            collect()
        with self.lock:
            counts, self.counts = self.counts, {}
            histograms = {
                key: distribution.to_histogram()
                for key, distribution in self.distributions.items()
            }
        for (name, labels), histogram in histograms.items():
            self._collector(name, Histogram).set_value(dict(labels), histogram)
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
