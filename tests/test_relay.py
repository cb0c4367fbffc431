"""Test that responses have exactly the tokens that engines generated."""

import random

import anyio
import httpx
import pytest

from hibiscussaddle.standins import engine as engine_lib
import stack as stack_lib


def _expected_text(tokens: int) -> str:
    return "".join(f"t{index} " for index in range(tokens))


def _check_complete(text: str, tokens: int) -> set[int]:
    """Check that a response is complete; return its incarnations."""
    events, is_complete = stack_lib.read_events(text)
    assert is_complete, text[-200:]
    next_token = 0
    for event in events:
        assert event["first_token"] == next_token, "gap or overlap"
        next_token += event["tokens"]
    assert next_token == tokens
    content = [e["choices"][0]["delta"]["content"] for e in events]
    assert "".join(content) == _expected_text(tokens)
    assert len({event["id"] for event in events}) <= 1
    return {event["incarnation"] for event in events}


async def _crash_engines(
    rng: random.Random, engines: list[engine_lib.Engine]
) -> None:
    while True:
        engine = rng.choice(engines)
        engine.crash_after_tokens = rng.randrange(1, 60)
        engine.refuse_work = rng.random() < 0.2
        engine.version = (engine.version or 0) + 1
        await anyio.sleep(0.02 * rng.random())


@pytest.mark.parametrize("seed", range(3))
def test_responses_are_complete_or_end_with_an_error(seed: int) -> None:
    """Fails when an engine crash causes a gap, an overlap or a silent end."""
    tokens = 60

    async def main() -> None:
        rng = random.Random(seed)
        complete = resumed = 0
        async with stack_lib.run() as stack:
            engines = [
                await stack.add_engine(token_seconds=0.0005) for _ in range(3)
            ]

            async def send_request(number: int) -> None:
                nonlocal complete, resumed
                await anyio.sleep(rng.random() * 0.3)
                # The IDs of callers need not be unique.
                async with stack.generate(
                    tokens, f"number {number}.", **{"x-request-id": "same"}
                ) as resp:
                    text = (await resp.aread()).decode()
                if resp.status_code != 200:
                    refusal = resp.json()
                    generation_count = sum(
                        f"number {number}." in gen.prompt
                        for engine in engines
                        for gen in engine.record.values()
                    )
                    assert refusal["ran"] == "unknown" or not generation_count
                    return
                events, is_complete = stack_lib.read_events(text)
                if not is_complete:
                    assert events[-1]["error"]["ran"] == "unknown"
                    return
                complete += 1
                resumed += len(_check_complete(text, tokens)) > 1

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_crash_engines, rng, engines)
                async with anyio.create_task_group() as callers:
                    for number in range(40):
                        callers.start_soon(send_request, number)
                tasks.cancel_scope.cancel()
        assert complete >= 10, (
            f"only {complete} complete responses, seed {seed}"
        )
        assert resumed >= 1, f"no response was resumed, seed {seed}"

    anyio.run(main)


def test_response_has_the_version_of_each_token() -> None:
    """Fails when a resumed response reports one version for all tokens."""

    async def main() -> None:
        async with stack_lib.run() as stack:
            engines = [await stack.add_engine() for _ in range(2)]
            engines[1].version = 7
            for engine in engines:
                engine.crash_after_tokens = 12
            resp = await stack.caller.post(
                "/v1/chat/completions",
                json={"model": "base", "max_tokens": 30},
                headers=stack_lib.HEADERS,
            )
            body = resp.json()
            message = body["choices"][0]["message"]
            assert message["content"] == _expected_text(30)
            token_versions = [
                version
                for segment in body["weight_versions"]
                for version in [segment["version"]]
                * (segment["last_token"] - segment["first_token"] + 1)
            ]
            # The first engine sent tokens 0 to 7 before it crashed, the second
            # one tokens 8 to 15.
            assert token_versions[0:8] == token_versions[:1] * 8
            assert token_versions[8:16] == [8 - token_versions[0]] * 8
            assert len(token_versions) == 30
            versions = resp.headers["x-weight-version"].split(",")
            assert set(versions) == {"1", "7"}

    anyio.run(main)


def test_disconnect_cancels_the_stream_at_the_engine() -> None:
    """Fails when an engine keeps generating for a disconnected caller."""

    async def main() -> None:
        async with stack_lib.run() as stack:
            engine = await stack.add_engine(token_seconds=0.002)
            async with stack.generate(100_000) as resp:
                await anext(resp.aiter_bytes())
            gen = next(iter(engine.record.values()))
            await stack_lib.wait_until(lambda: gen.cancelled, 5.0)
            body = {"model": "base", "max_tokens": 100_000}
            with pytest.raises(httpx.ReadTimeout):
                await stack.caller.post(
                    "/v1/chat/completions",
                    json=body,
                    headers=stack_lib.HEADERS,
                    timeout=0.1,
                )
            gens = list(engine.record.values())
            assert len(gens) == 2
            await stack_lib.wait_until(lambda: gens[1].cancelled, 5.0)
            lifecycle = stack.runtime.lifecycle
            await stack_lib.wait_until(
                lambda: lifecycle.total_running() == 0, 5.0
            )
            assert engine.running == 0

    anyio.run(main)


def test_same_request_id_does_not_mix_responses() -> None:
    """Fails when equal request IDs of callers collide at the engine."""

    async def main() -> None:
        async with stack_lib.run() as stack:
            engine = await stack.add_engine(token_seconds=0.0005)

            async def send_request() -> None:
                headers = {"x-request-id": "same"}
                async with stack.generate(40, **headers) as resp:
                    text = (await resp.aread()).decode()
                assert resp.headers["x-request-id"] == "same"
                _check_complete(text, 40)
                events, _ = stack_lib.read_events(text)
                assert events[0]["id"] == "same"

            async with anyio.create_task_group() as callers:
                for _ in range(8):
                    callers.start_soon(send_request)
            assert len(engine.record) == 8
            assert all(
                len(gen.versions) == 40 for gen in engine.record.values()
            )

    anyio.run(main)


def test_slow_reader_exerts_backpressure_on_the_engine() -> None:
    """Fails when an unread response is buffered without a bound."""
    # Far more than the sockets and buffers of both hops can hold.
    tokens = 2_000_000

    async def main() -> None:
        async with stack_lib.run() as stack:
            engine = await stack.add_engine(tokens_per_chunk=500)
            async with stack.generate(tokens) as resp:
                data = resp.aiter_bytes()
                await anext(data)
                gen = next(iter(engine.record.values()))
                count = -1
                # The count is stable once it does not grow for a second.
                while len(gen.versions) != count:
                    count = len(gen.versions)
                    await anyio.sleep(1.0)
                assert count < tokens, "the engine did not wait for the reader"

    anyio.run(main)


def test_unexpected_engine_tokens_are_rejected() -> None:
    """Fails when tokens out of order or of another request are relayed."""

    async def main() -> None:
        async with stack_lib.run() as stack:
            engine = await stack.add_engine()
            chunk = engine._chunk
            engine._chunk = lambda rid, text, first, count: {  # type: ignore
                **chunk(rid, text, first, count),
                "first_token": 0,
            }
            async with stack.generate(12) as resp:
                text = (await resp.aread()).decode()
            events, is_complete = stack_lib.read_events(text)
            assert not is_complete
            assert events[-1]["error"]["code"] == 1402

    anyio.run(main)
