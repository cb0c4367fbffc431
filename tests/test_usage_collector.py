"""Test who gets totals, and from which processes a holder waits for them."""

import collections
import typing

import anyio
import httpx
import msgspec

from hibiscussaddle.adapters import store
from hibiscussaddle.duties import contention as duty_contention
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle.fleet import feed as feed_lib
from hibiscussaddle.fleet import presence
from hibiscussaddle.usage import collector as collector_lib
from hibiscussaddle.usage import counter as counter_lib
from hibiscussaddle.usage import service
from hibiscussaddle.usage import totals as totals_lib

LATE_SECONDS: typing.Final = 10.0


class _Setup:
    """Hold a collector with clocks that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        # What each instance got, and those that don't answer.
        self.messages = collections.defaultdict[
            str, list[collector_lib.TotalsMessage]
        ](list)
        self.silent: set[str] = set()
        self.members = presence.Members(
            presence.Member("gateway-1", "zone-a", 1, "127.0.0.1:1")
        )
        self.counter = counter_lib.UsageCounter(5.0)
        self.table = totals_lib.Table()
        self.contention = duty_contention.LeaseContention(
            self.members, "fleet", "m"
        )
        self.collector = collector_lib.Collector(
            httpx.AsyncClient(transport=httpx.MockTransport(self._answer)),
            self.members,
            self.contention,
            self.counter,
            self.table,
            LATE_SECONDS,
            wall_clock=lambda: self.now,
            clock=lambda: self.now,
        )

    def add(self, name: str) -> None:
        """List a member."""
        member = presence.Member(name, "zone-a", 1, f"{name}:1")
        self.members.all[name] = member

    def _answer(self, req: httpx.Request) -> httpx.Response:
        name = req.url.host
        if name in self.silent:
            return httpx.Response(503)
        self.messages[name].append(
            msgspec.msgpack.decode(
                req.content, type=collector_lib.TotalsMessage
            )
        )
        answer = msgspec.msgpack.encode(collector_lib.TotalsResponse())
        return httpx.Response(200, content=answer)


def test_process_whose_lease_ended_is_required_for_a_while() -> None:
    """Fails when an outage of the store makes a holder forget instances."""
    setup = _Setup()
    setup.add("gateway-2")
    setup.collector.update_own_totals()
    setup.members.all.clear()
    setup.now += LATE_SECONDS - 1
    assert ("gateway-2", 1) in setup.collector.recent_sources()
    setup.now += 2
    assert setup.collector.recent_sources() == {("gateway-1", 1)}


def test_process_that_stopped_as_planned_is_not_required() -> None:
    """Fails when each planned stop delays the reports."""
    setup = _Setup()
    setup.add("gateway-2")
    setup.collector.update_own_totals()
    setup.members.all.clear()
    setup.table.merge(
        totals_lib.Totals("gateway-2", 1, 1, totals_lib.ALL_WINDOWS)
    )
    assert setup.collector.recent_sources() == {("gateway-1", 1)}


def test_listing_is_steady_only_some_time_after_a_failure() -> None:
    """Fails when a listing right after an outage passes for complete."""
    feed = feed_lib.Feed(
        typing.cast(typing.Any, None), "lease/", print, print, 1.0
    )
    assert feed.steady_seconds(0.0) == 0.0
    page: typing.Any = feed_lib.change_log.Page
    feed.apply(page((), 1, True), 10.0)
    feed.apply(page((), 2, False), 12.0)
    assert feed.steady_seconds(12.0) == 2.0
    feed.last_failure_at = 13.0
    assert feed.steady_seconds(14.0) == 0.0
    feed.apply(page((), 3, False), 14.0)
    assert feed.steady_seconds(15.0) == 2.0


def test_counts_too_old_for_a_report_are_dropped() -> None:
    """Fails when counts pile up while nothing is ever reported."""
    setup = _Setup()
    setup.table.merge(
        totals_lib.Totals(
            "gateway-2", 1, 1, totals_lib.ALL_WINDOWS, {20: {"desk": 1}}
        )
    )
    for _ in range(800):
        setup.counter.track("desk").record_send(setup.now)
        setup.now += 5.0
    setup.collector.update_own_totals()
    present = counter_lib.window_at(setup.now, 5.0)
    oldest = present - 720
    assert min(setup.counter.counts()) == oldest
    windows = {w for t in setup.table.all() for w in t.windows}
    assert min(windows) == oldest


def test_clock_that_was_ahead_loses_no_later_counts() -> None:
    """Fails when windows dropped by a wrong clock are never counted again."""
    setup = _Setup()
    setup.now += 1e6
    setup.collector.update_own_totals()
    setup.now -= 1e6
    setup.counter.track("desk").record_send(setup.now)
    setup.collector.update_own_totals()
    assert setup.table.sum(20) == {"desk": 1}


def _stop(*silent: str) -> set[str]:
    """Stop an instance; return who got its totals, as final ones."""
    setup = _Setup()
    for number in (2, 3, 4, 5):
        setup.add(f"gateway-{number}")
    setup.silent = set(silent)
    entry = store.StoreEntry(
        duty_lease.lease_key("fleet"),
        b'{"holder":"gateway-3/gateway-3:1/1/1"}',
        1,
    )
    setup.contention.apply_listing([entry])
    assert setup.contention.holder is not None
    setup.counter.track("desk").record_send(setup.now)
    anyio.run(setup.collector.stop)
    for messages in setup.messages.values():
        (found,) = messages[-1].totals
        assert found.final_through == totals_lib.ALL_WINDOWS
        assert found.windows == {20: {"desk": 1}}
    return set(setup.messages)


def test_stopping_instance_tells_the_holder_and_its_heir() -> None:
    """Fails when a kill of the holder loses what a stopped instance sent."""
    assert _stop() == {"gateway-3", "gateway-2"}
    assert _stop("gateway-3") == {"gateway-2", "gateway-4"}
    assert _stop("gateway-2") == {"gateway-3", "gateway-4"}


class _Reporter:
    """Have a call in flight for ever."""

    async def stop(self) -> None:
        """Wait for the call."""
        await anyio.sleep_forever()


def test_counts_are_sent_while_a_call_is_in_flight() -> None:
    """Fails when a stopping holder waits for a slow API with its counts."""
    setup = _Setup()
    setup.add("gateway-2")
    setup.counter.track("desk").record_send(setup.now)
    reporter: typing.Any = _Reporter()
    usage = service.Usage(
        setup.counter, setup.collector, reporter, setup.table
    )

    async def main() -> None:
        with anyio.move_on_after(0.2):
            await usage.stop()

    anyio.run(main)
    sent = setup.messages["gateway-2"][0]
    assert sent.totals[0].windows == {20: {"desk": 1}}
