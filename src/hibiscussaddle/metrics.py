"""Metrics of one instance, in the Prometheus text format."""

import collections
import math
import typing

from aioprometheus import collectors
from aioprometheus import renderer

# Upper bounds of the histogram, from fast refusals to long streams.
_BUCKET_SECONDS: typing.Final = (
    0.005,
    0.02,
    0.1,
    0.5,
    2.0,
    10.0,
    60.0,
    600.0,
    math.inf,
)


class Metrics:
    """Count requests and render every metric of the registry."""

    def __init__(self) -> None:
        """Register the request metrics."""
        self.registry = collectors.Registry()
        self._requests = collectors.Counter(
            "hibiscussaddle_requests_total",
            "Requests by kind and result code.",
            registry=self.registry,
        )
        self._running = collectors.Gauge(
            "hibiscussaddle_requests_running",
            "Requests in progress by kind.",
            registry=self.registry,
        )
        self._seconds = collectors.Histogram(
            "hibiscussaddle_request_seconds",
            "Seconds from the request to the end of its answer.",
            buckets=_BUCKET_SECONDS,
            registry=self.registry,
        )
        # The library hashes labels as JSON, which is slow, so the counts are
        # passed to it on a scrape only.
        self._counts: collections.Counter[tuple[str, int]]
        self._counts = collections.Counter()

    def count(self, kind: str, code: int, seconds: float) -> None:
        """Count one finished request."""
        self._counts[kind, code] += 1
        self._seconds.observe({"kind": kind}, seconds)

    def render(
        self, running: dict[str, int], accept: list[str]
    ) -> tuple[bytes, dict[str, str]]:
        """Return the text of all metrics and its headers."""
        for (kind, code), total in self._counts.items():
            self._requests.set({"kind": kind, "code": str(code)}, total)
        for kind, total in running.items():
            self._running.set({"kind": kind}, total)
        return typing.cast(
            tuple[bytes, dict[str, str]],
            renderer.render(self.registry, accept),
        )
