"""Metrics of a gateway instance, in the Prometheus text format."""

from collections import abc
import typing

from aioprometheus import collectors
from aioprometheus import renderer

from hibiscussaddle.callers import connections
from hibiscussaddle.callers import memory
from hibiscussaddle import logs

# Upper bounds of the histogram around the latency targets of plain requests.
_BUCKET_SECONDS: typing.Final = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    float("inf"),
)

# Functions that return the current values of gauges, by name.
Gauges: typing.TypeAlias = abc.Mapping[str, abc.Callable[[], float]]


class GatewayMetrics:
    """Keep histograms and render every metric of an instance."""

    def __init__(
        self,
        gauges: Gauges,
        score_attempts: abc.Mapping[str, int],
        permits: abc.Mapping[tuple[str, str], int],
        account: memory.Account,
        tables: abc.Mapping[str, connections.ConnectionTable],
        waiting_seconds: abc.Mapping[str, float],
        item_events: abc.Mapping[tuple[str, str], int],
        unfinished_items: abc.Callable[[], abc.Mapping[tuple[str, str], int]],
        relayed: abc.Mapping[str, abc.Mapping[str, int]],
    ) -> None:
        """Register the metrics; the arguments are read on each scrape."""
        self.registry = collectors.Registry()
        self._events = collectors.Counter(
            "hibiscussaddle_events_total",
            "Decisions and changes by the name of their log event.",
            registry=self.registry,
        )
        self._responses = collectors.Counter(
            "hibiscussaddle_answers_total",
            "Answers to callers by route and status.",
            registry=self.registry,
        )
        self._store_calls = collectors.Counter(
            "hibiscussaddle_store_calls_total",
            "Calls of the store by kind.",
            registry=self.registry,
        )
        self._score_attempts_total = collectors.Counter(
            "hibiscussaddle_score_attempts_total",
            "Attempts to get the score of a text by outcome.",
            registry=self.registry,
        )
        self._score_attempts = score_attempts
        self._permits_total = collectors.Counter(
            "hibiscussaddle_limit_permits_total",
            "Permits for limited endpoints by purpose and outcome.",
            registry=self.registry,
        )
        self._permits = permits
        self._caller_bytes = collectors.Gauge(
            "hibiscussaddle_caller_bytes",
            "Bytes that are held for callers by holder.",
            registry=self.registry,
        )
        self._caller_refusals = collectors.Counter(
            "hibiscussaddle_caller_refusals_total",
            "Holds of callers that ended early by holder and reason.",
            registry=self.registry,
        )
        self._account = account
        self._connections_open = collectors.Gauge(
            "hibiscussaddle_connections_open",
            "Open connections by port.",
            registry=self.registry,
        )
        self._connections_closed = collectors.Counter(
            "hibiscussaddle_connections_closed_total",
            "Connections closed by this instance by port and reason.",
            registry=self.registry,
        )
        self._tables = tables
        self._waiting_seconds_total = collectors.Counter(
            "hibiscussaddle_item_waiting_seconds_total",
            "Seconds that items of batches waited for engines, by route.",
            registry=self.registry,
        )
        self._waiting_seconds = waiting_seconds
        self._item_events_total = collectors.Counter(
            "hibiscussaddle_item_events_total",
            "Events of completed items by route, expected and generated.",
            registry=self.registry,
        )
        self._item_events = item_events
        self._unfinished_items_gauge = collectors.Gauge(
            "hibiscussaddle_unfinished_items",
            "Items of owned batches without a result, by state and by why "
            "they wait.",
            registry=self.registry,
        )
        self._unfinished_items = unfinished_items
        # Labels that were rendered and are zero once no item has them.
        self._unfinished_labels: set[tuple[str, str]] = set()
        self._relayed_total = collectors.Counter(
            "hibiscussaddle_relayed_attempts_total",
            "Attempts through peers by the role of this instance and outcome.",
            registry=self.registry,
        )
        self._relayed = relayed
        self._response_seconds = collectors.Histogram(
            "hibiscussaddle_answer_seconds",
            "Seconds from the arrival of a request to its answer, by route.",
            buckets=list(_BUCKET_SECONDS),
            registry=self.registry,
        )
        self._gauges = {
            name: collectors.Gauge(
                f"hibiscussaddle_{name}",
                "Current value; see docs/OPERATIONS.md.",
                registry=self.registry,
            )
            for name in gauges
        }
        self._gauge_readers = gauges
        self._response_counts: dict[tuple[str, int], int] = {}

    def count_response(self, route: str, status: int, seconds: float) -> None:
        """Count one response to a caller."""
        key = (route, status)
        self._response_counts[key] = self._response_counts.get(key, 0) + 1
        self._response_seconds.observe({"route": route}, seconds)

    def render(
        self, store_calls: abc.Mapping[str, int], accept: list[str]
    ) -> tuple[bytes, dict[str, str]]:
        """Return the text of all metrics and its headers."""
        for name, total in logs.EVENTS.items():
            self._events.set({"event": name}, total)
        for (route, status), total in self._response_counts.items():
            self._responses.set({"route": route, "status": str(status)}, total)
        for kind, total in store_calls.items():
            self._store_calls.set({"kind": kind}, total)
        for outcome, total in self._score_attempts.items():
            self._score_attempts_total.set({"outcome": outcome}, total)
        for (purpose, outcome), total in self._permits.items():
            self._permits_total.set(
                {"purpose": purpose, "outcome": outcome}, total
            )
        self._render_callers()
        for route, seconds in self._waiting_seconds.items():
            self._waiting_seconds_total.set({"route": route}, seconds)
        for (route, kind), total in self._item_events.items():
            self._item_events_total.set({"route": route, "kind": kind}, total)
        self._render_unfinished_items()
        for role, outcomes in self._relayed.items():
            for outcome, total in outcomes.items():
                self._relayed_total.set(
                    {"role": role, "outcome": outcome}, total
                )
        for name, read_value in self._gauge_readers.items():
            self._gauges[name].set({}, read_value())
        return typing.cast(
            tuple[bytes, dict[str, str]],
            renderer.render(self.registry, accept),
        )

    def _render_unfinished_items(self) -> None:
        counts = self._unfinished_items()
        self._unfinished_labels.update(counts)
        for state, reason in self._unfinished_labels:
            self._unfinished_items_gauge.set(
                {"state": state, "reason": reason},
                counts.get((state, reason), 0),
            )

    def _render_callers(self) -> None:
        for holder, held in self._account.by_holder.items():
            self._caller_bytes.set({"holder": holder}, held)
        for (holder, reason), total in self._account.refusals.items():
            self._caller_refusals.set(
                {"holder": holder, "reason": reason}, total
            )
        for port, table in self._tables.items():
            self._connections_open.set({"port": port}, table.open_count)
            for reason, total in table.closed.items():
                self._connections_closed.set(
                    {"port": port, "reason": reason}, total
                )


def create_gauges(
    running: abc.Callable[[], float],
    batches: abc.Callable[[], float],
    members: abc.Callable[[], float],
    endpoints: abc.Callable[[], float],
    endpoints_limited: abc.Callable[[], float],
    config_version: abc.Callable[[], float],
    holds_lease: abc.Callable[[], float],
    store_direct: abc.Callable[[], float],
    memory: abc.Callable[[], float],
    cached_texts: abc.Callable[[], float],
    running_texts: abc.Callable[[], float],
    idle_connections: abc.Callable[[], float],
    held_responses: abc.Callable[[], float],
    marked_requests: abc.Callable[[], float],
    undecided_requests: abc.Callable[[], float],
    suspected_endpoints: abc.Callable[[], float],
    tasks: abc.Callable[[], float],
    keys_age: abc.Callable[[], float],
    longest_wait: abc.Callable[[], float],
    services_cut: abc.Callable[[], float],
) -> Gauges:
    """Return the gauges of an instance by metric name."""
    return {
        "requests_running": running,
        "batches_owned": batches,
        "members": members,
        "endpoints": endpoints,
        "endpoints_limited": endpoints_limited,
        "config_version": config_version,
        "weight_lease_held": holds_lease,
        "store_direct": store_direct,
        "memory_bytes": memory,
        "cached_text_bytes": cached_texts,
        "running_text_bytes": running_texts,
        "idle_connections": idle_connections,
        "held_response_bytes": held_responses,
        "marked_requests": marked_requests,
        "undecided_requests": undecided_requests,
        "suspected_endpoints": suspected_endpoints,
        "tasks": tasks,
        "keys_age_seconds": keys_age,
        "item_longest_wait_seconds": longest_wait,
        "services_cut": services_cut,
    }


def create_memory_fields(gauges: Gauges) -> dict[str, int]:
    """Return the fields of a log line that tell what holds memory."""
    return {
        "cached_text_kb": int(gauges["cached_text_bytes"]()) >> 10,
        "running_text_kb": int(gauges["running_text_bytes"]()) >> 10,
        "idle_connections": int(gauges["idle_connections"]()),
        "held_response_kb": int(gauges["held_response_bytes"]()) >> 10,
        "tasks": int(gauges["tasks"]()),
        "batches_owned": int(gauges["batches_owned"]()),
        "requests_running": int(gauges["requests_running"]()),
    }
