"""Guard one run of an item at an engine: whole texts of the right engine."""

from collections import abc
import contextlib
import time
import typing

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.adapters import connections
from hibiscussaddle.batches import events
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs

import batch_builders
import loopback

Answer: typing.TypeAlias = abc.Callable[
    [requests.Request], abc.Awaitable[responses.Response]
]


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: token {number}\n\n".encode()


async def _stream(
    *parts: bytes, breaks: bool = False
) -> abc.AsyncIterator[bytes]:
    for part in parts:
        yield part
    if breaks:
        raise ConnectionResetError("the engine crashed")


def _reply(
    req: requests.Request, *parts: bytes, **options: typing.Any
) -> responses.Response:
    headers = {
        "x-request-id": options.pop("id", req.headers["x-request-id"]),
        "x-weight-versions": "3",
    }
    return responses.StreamingResponse(
        _stream(*parts, **options), headers=headers
    )


class Engine:
    """Run one item at a fake engine."""

    def __init__(self, url: str, client: typing.Any) -> None:
        """Start without a text."""
        self.endpoint = batch_builders.engine("engine-1", address=url)
        self.batch = batch_builders.batch()
        item = self.batch.items[0]
        self.progress = runs.Progress(item, events.Transcript())
        self.seen: list[dict[str, str]] = []
        self._runner = runs.ItemRunner(client, placement.Placement())

    async def run(self) -> runs.RunEnd:
        """Run the item once."""
        with anyio.fail_after(5):
            return await self._runner.run(
                self.progress, self.batch, self.endpoint
            )


@contextlib.asynccontextmanager
async def engine(answer: Answer) -> abc.AsyncIterator[Engine]:
    """Yield a fake engine with one way to answer."""
    seen: list[dict[str, str]] = []

    async def handle(req: requests.Request) -> responses.Response:
        seen.append(dict(req.headers))
        return await answer(req)

    route = routing.Route("/{path:path}", handle, methods=["POST"])
    async with loopback.serve(applications.Starlette(routes=[route])) as url:
        client = connections.create_client()
        found = Engine(url, client)
        found.seen = seen
        yield found
        await client.aclose()


def _play(answer: Answer, runs_wanted: int = 1) -> tuple[Engine, list[str]]:
    """Return the engine and how each run ended."""

    async def main() -> tuple[Engine, list[str]]:
        async with engine(answer) as found:
            ends = [(await found.run()).value for _ in range(runs_wanted)]
            return found, ends

    return anyio.run(main)


def test_whole_stream_is_the_text() -> None:
    """Fails when a text is not the engine's whole output."""

    async def answer(req: requests.Request) -> responses.Response:
        return _reply(req, _event(1), _event(2))

    found, ends = _play(answer)
    assert ends == ["complete"]
    assert found.progress.transcript.texts == ["token 1", "token 2"]
    assert found.progress.transcript.versions == {3}


def test_stream_that_ends_inside_an_event_is_not_complete() -> None:
    """Fails when a result is listed whose last event was cut off."""

    async def answer(req: requests.Request) -> responses.Response:
        return _reply(req, _event(1), b"id: 2\ndata: tok")

    found, ends = _play(answer)
    assert ends == ["broken"]
    assert found.progress.transcript.texts == ["token 1"]


def test_stream_that_is_reset_is_continued() -> None:
    """Fails when a crash between two events makes a text look complete."""

    async def answer(req: requests.Request) -> responses.Response:
        if "last-event-id" in req.headers:
            return _reply(req, _event(2))
        return _reply(req, _event(1), breaks=True)

    found, ends = _play(answer, runs_wanted=2)
    assert ends == ["broken", "complete"]
    assert found.seen[1]["last-event-id"] == "1"
    assert found.progress.transcript.texts == ["token 1", "token 2"]


def test_stream_of_another_request_is_not_taken() -> None:
    """Fails when the late answer to another item ends up in a text."""

    async def answer(req: requests.Request) -> responses.Response:
        return _reply(req, _event(1), id="another")

    found, ends = _play(answer)
    assert ends == ["broken"]
    assert found.progress.transcript.texts == []


def test_item_names_the_engine_that_it_is_meant_for() -> None:
    """Fails when an item runs at an engine that took over an address."""

    async def answer(_: requests.Request) -> responses.Response:
        return responses.Response(status_code=421)

    found, ends = _play(answer)
    assert ends == ["other_endpoint"]
    assert found.seen[0]["x-expect-instance"] == "engine-1"


def test_run_that_is_ended_leaves_its_engine() -> None:
    """Fails when an engine works on for a batch that was ended."""
    left: list[float] = []

    async def answer(req: requests.Request) -> responses.Response:
        async def hang() -> abc.AsyncIterator[bytes]:
            yield _event(1)
            try:
                await anyio.sleep_forever()
            finally:
                left.append(time.monotonic())

        headers = {
            "x-request-id": req.headers["x-request-id"],
            "x-weight-versions": "3",
        }
        return responses.StreamingResponse(hang(), headers=headers)

    async def main() -> None:
        async with engine(answer) as found:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(found.run)
                with anyio.fail_after(5):
                    while not found.progress.transcript.texts:
                        await anyio.sleep(0.01)
                ended_at = time.monotonic()
                tasks.cancel_scope.cancel()
            with anyio.fail_after(5):
                while not left:
                    await anyio.sleep(0.01)
            assert left[0] - ended_at < 0.5

    anyio.run(main)
