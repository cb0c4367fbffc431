"""Test the age of what an instance knows of the operator's documents."""

import pathlib
import random
import signal
import time

import anyio
import hypothesis
from hypothesis import strategies
import msgspec

from hibiscussaddle import clocks
from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import confirmation
from hibiscussaddle.fleet import feed
from hibiscussaddle.fleet import feed_sharing
from hibiscussaddle.rate_limits import observed
from hibiscussaddle.routes import suspects

import processes
import test_feed

INSTANCES = 3


class Fleet:
    """Model instances with own clocks that read a store or each other.

    Each message waits until it is delivered, in any order and after any time,
    as in a freeze or behind a relay, or never, as in a cut.
    """

    def __init__(self) -> None:
        """Start with the first revision of the documents."""
        self.now = 0.0
        self.revision = 1
        # Times at which revisions were acknowledged, ascending.
        self.acknowledged = [0.0]
        self.states = [confirmation.Confirmation(5.0) for _ in range(3)]
        self.known = [0] * INSTANCES
        # Messages on their way, as (step, instance, data).
        self.messages: list[tuple[str, int, tuple[float, ...]]] = []

    def clock(self, instance: int) -> float:
        """Return the time since an instance's machine has booted."""
        return self.now + 1000.0 * instance

    def call_store(self, instance: int) -> None:
        """Send a call, whose response has the state of its execution."""
        data = (self.clock(instance),)
        self.messages.append(("execute", instance, data))

    def ask(self, follower: int, reader: int) -> None:
        """Send a request to a reader, which holds it for a while."""
        data = (self.clock(follower), float(reader))
        self.messages.append(("arrive", follower, data))

    def deliver(self, index: int) -> None:
        """Handle one message."""
        step, instance, data = self.messages.pop(index)
        if step == "execute":
            response = (data[0], float(self.revision))
            self.messages.append(("apply", instance, response))
        elif step == "arrive":
            held = (*data, self.clock(int(data[1])))
            self.messages.append(("respond", instance, held))
        elif step == "respond":
            sent_at, reader, arrived_at = data
            state = self.states[int(reader)]
            if state.confirmed_at is not None:
                claimed = sent_at - state.age(arrived_at)
                page = (claimed, float(self.known[int(reader)]))
                self.messages.append(("apply", instance, page))
        else:
            claimed, revision = data
            self.known[instance] = max(self.known[instance], int(revision))
            self.states[instance].confirm(claimed, int(revision))

    def check(self) -> None:
        """Compare what instances claim to know with what they know."""
        for instance, state in enumerate(self.states):
            if state.confirmed_at is None:
                continue
            claimed_at = state.confirmed_at - 1000.0 * instance
            required = sum(ack <= claimed_at for ack in self.acknowledged)
            assert self.known[instance] >= required


@hypothesis.given(strategies.integers(0, 2**32))
def test_knowledge_is_never_older_than_claimed(seed: int) -> None:
    """Guard against a revoked key that an instance believes to be current.

    Freezes, relays, cuts and responses out of order may only make knowledge
    look older.
    """
    rng = random.Random(seed)
    fleet = Fleet()
    for _ in range(200):
        instance, other = rng.sample(range(INSTANCES), 2)
        step = rng.choice(("pass", "write", "call", "ask", *["deliver"] * 4))
        if step == "pass":
            fleet.now += rng.choice((0.01, 0.3, 6.0))
        elif step == "write":
            fleet.now += 0.01
            fleet.revision += 1
            fleet.acknowledged.append(fleet.now)
            fleet.now += 0.01
        elif step == "call":
            fleet.call_store(instance)
        elif step == "ask":
            fleet.ask(instance, other)
        elif fleet.messages:
            fleet.deliver(rng.randrange(len(fleet.messages)))
        fleet.check()


def test_age_is_bounded_with_a_margin() -> None:
    """Guard against accepting a key when clocks run at different rates."""
    state = confirmation.Confirmation(5.0)
    assert not state.is_fresh(0.0)
    state.confirm(10.0, 1)
    assert state.is_fresh(14.9) and not state.is_fresh(14.91)
    state.confirm(9.0, 2)
    assert state.age(14.0) == 4.0


def _create_feed(client: test_feed.FakeClient, bound: float) -> feed.Feed:
    return feed.Feed(
        client,  # type: ignore[arg-type]
        "op/",
        lambda _: None,
        lambda _: None,
        3.0,
        confirmation=confirmation.Confirmation(bound),
    )


def test_feed_counts_from_the_sending_of_its_call() -> None:
    """Guard against a slow response that makes old keys look new."""

    class SlowClient(test_feed.FakeClient):
        async def watch(self, prefix: str, after: int, wait: float) -> object:
            await anyio.sleep(0.2)
            return await super().watch(prefix, after, wait)

    client = SlowClient()
    prefix_feed = _create_feed(client, 5.0)
    state = prefix_feed.confirmation
    assert state is not None

    async def main() -> None:
        await prefix_feed.poll_once()
        await prefix_feed.poll_once()
        assert state.age(clocks.boot_seconds()) >= 0.2
        confirmed_at = state.confirmed_at
        # A response that is older than what is known confirms nothing, also
        # when it is a listing.
        client.revision = 0
        await prefix_feed.poll_once()
        prefix_feed.suspend()
        prefix_feed.resume()
        await prefix_feed.poll_once()
        assert prefix_feed.is_failing()
        assert state.confirmed_at == confirmed_at

    anyio.run(main)


def test_feed_with_old_knowledge_does_not_wait() -> None:
    """Guard against refusing keys for a watch's wait after a suspend."""
    client = test_feed.FakeClient()
    prefix_feed = _create_feed(client, 0.05)

    async def main() -> None:
        await prefix_feed.poll_once()
        await prefix_feed.poll_once()
        await anyio.sleep(0.1)
        await prefix_feed.poll_once()

    anyio.run(main)
    assert client.waits == [3.0, 0.0]


def _create_reader(prefix_feed: feed.Feed) -> feed_sharing.ZoneReader:
    return feed_sharing.ZoneReader(
        [prefix_feed], observed.ObservedLimits(), suspects.Suspects()
    )


def test_reader_tells_its_age_at_the_arrival_of_a_request() -> None:
    """Guard against followers that seem to know the reader's keys longer.

    With the wait counted as age, knowledge of a follower in calm was up to
    5 s old, which is the whole time that a revocation may take.
    """
    prefix_feed = _create_feed(test_feed.FakeClient(), 5.0)
    reader = _create_reader(prefix_feed)

    async def ask(wait: float) -> float:
        request = feed_sharing.ChangesRequest({"op/": 1}, wait)
        response = await reader.wait_for_changes(request)
        assert response is not None
        assert isinstance(response.age_at_arrival, float)
        return response.age_at_arrival

    async def main() -> None:
        await prefix_feed.poll_once()
        await anyio.sleep(0.3)
        assert 0.3 <= await ask(0.0) < 1.0
        await prefix_feed.poll_once()
        assert await ask(0.4) < 0.2
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(prefix_feed.poll_once)
            started = time.monotonic()
            assert await ask(0.9) < 0.1
            # The confirmation ends the wait.
            assert time.monotonic() - started < 0.5

    anyio.run(main)


def test_response_without_an_age_is_unchanged() -> None:
    """Guard against larger messages where a revocation has no time limit."""
    page = change_log.Page((), 1)
    response = feed_sharing.ChangesResponse({"op/": page}, None)
    assert b"age_at_arrival" not in msgspec.msgpack.encode(response)
    with_age = msgspec.structs.replace(response, age_at_arrival=0.5)

    class EarlierResponse(msgspec.Struct):
        pages: dict[str, change_log.Page]
        failed_ago: float | None

    encoded = msgspec.msgpack.encode(with_age)
    assert msgspec.msgpack.decode(encoded, type=EarlierResponse).pages


def test_suspended_process_does_not_trust_its_keys(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a thawed instance that accepts a key revoked meanwhile."""
    with processes.run_fleet(tmp_path) as fleet:
        gateway = fleet.start_gateway(
            1, "--strict_revocation=true", "--revocation_ms=1500"
        )

        def count(event: str) -> int:
            return gateway.log.read_text().count(f"event={event} ")

        fleet.wait_until(lambda: count("keys_fresh") > 0)
        stale = count("keys_stale")
        gateway.signal(signal.SIGSTOP)
        time.sleep(1.8)
        gateway.signal(signal.SIGCONT)
        fleet.wait_until(lambda: count("keys_stale") > stale)
        fleet.wait_until(lambda: count("keys_fresh") > count("keys_stale"))
