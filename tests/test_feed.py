"""Guard how an instance follows keys of the store."""

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import feed
from hibiscussaddle import gateway_parts


class FakeClient:
    """Answer scans and watches with prepared results."""

    def __init__(self) -> None:
        """Fail nothing at first."""
        self.failure: store.StoreFailure | None = None
        self.revision = 1
        self.waits: list[float] = []
        self.scans = 0

    async def scan(self, prefix: str) -> object:
        """Return an empty listing."""
        self.scans += 1
        if self.failure is not None:
            return result.Err(store.StoreError(self.failure))
        return result.Ok(([], self.revision))

    async def watch(self, prefix: str, after: int, wait: float) -> object:
        """Return no change and note how long the call would wait."""
        self.waits.append(wait)
        if self.failure is not None:
            return result.Err(store.StoreError(self.failure))
        return result.Ok(([], self.revision))


def create_feed(client: FakeClient) -> feed.Feed:
    """Return a feed whose watches wait for 3 s."""
    return feed.Feed(client, "op/", lambda _: None, lambda _: None, 3.0)


def test_first_call_after_an_outage_does_not_wait() -> None:
    """Fails when a watch that waits is sent into an outage.

    On a silent connection such a call hangs for its whole wait after the
    store is back; kigali-engrave trouble-3 put a configuration in force
    2.0 s late that way.
    """
    client = FakeClient()
    followed = create_feed(client)

    async def main() -> None:
        await followed.step()
        await followed.step()
        client.failure = store.StoreFailure.UNKNOWN
        await followed.step()
        await followed.step()
        client.failure = None
        await followed.step()
        await followed.step()

    anyio.run(main)
    assert client.waits == [3.0, 3.0, 0.0, 0.0, 3.0]


def test_dropped_history_is_read_anew() -> None:
    """Fails when changes in a gap of the store's history are missed."""
    client = FakeClient()
    followed = create_feed(client)

    async def main() -> None:
        await followed.step()
        client.failure = store.StoreFailure.HISTORY_GONE
        await followed.step()
        client.failure = None
        await followed.step()

    anyio.run(main)
    assert client.scans == 2


def test_older_answer_is_not_taken() -> None:
    """Fails when an answer from before the known state is applied."""
    client = FakeClient()
    client.revision = 5
    seen: list[object] = []
    followed = feed.Feed(client, "op/", seen.append, seen.append, 3.0)

    async def main() -> None:
        await followed.step()
        client.revision = 4
        assert await followed.step() is store.StoreFailure.UNKNOWN

    anyio.run(main)
    assert len(seen) == 1
    assert followed.is_failing()


def test_leaving_endpoint_is_known_in_time_despite_a_lost_watch() -> None:
    """Fails when one watch on a silent connection delays the news too long.

    On kigali-engrave deploy/days/herd-and-burst.toml --vary --seed
    736352611495 a request reached an endpoint 2.3 s after it said that it
    leaves; the bound is 2 s.
    """
    lost = gateway_parts.ENDPOINT_WAIT + store.WATCH_GRACE_SECONDS
    # The second call takes some time as well.
    news = gateway_parts.ENDPOINT_PAUSE + lost + feed.FIRST_RETRY
    assert news + 0.15 < 2.0
