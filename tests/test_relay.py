"""Check streamed and whole answers against what the engines generated."""

import random

import anyio
import httpx
import pytest

from hibiscussaddle.standins import engine as engine_lib
import stack as stack_lib


def _expected(tokens: int) -> str:
    return "".join(f"t{index} " for index in range(tokens))


def _check_whole(text: str, tokens: int) -> set[int]:
    """Return the incarnations that made a gapless answer."""
    events, is_whole = stack_lib.read_events(text)
    assert is_whole, text[-200:]
    following = 0
    for event in events:
        assert event["first_token"] == following, "gap or overlap"
        following += event["tokens"]
    assert following == tokens
    content = [e["choices"][0]["delta"]["content"] for e in events]
    assert "".join(content) == _expected(tokens)
    assert len({event["id"] for event in events}) <= 1
    return {event["incarnation"] for event in events}


async def _crash_often(
    rng: random.Random, engines: list[engine_lib.Engine]
) -> None:
    while True:
        engine = rng.choice(engines)
        engine.crash_after_tokens = rng.randrange(1, 60)
        engine.refuse_work = rng.random() < 0.2
        engine.version = (engine.version or 0) + 1
        await anyio.sleep(0.02 * rng.random())


@pytest.mark.parametrize("seed", range(3))
def test_answers_are_whole_or_end_with_an_error(seed: int) -> None:
    """Fails when a crash leaves a gap, an overlap or a silent end."""
    tokens = 60

    async def main() -> None:
        rng = random.Random(seed)
        whole = resumed = 0
        async with stack_lib.run() as stack:
            engines = [
                await stack.add_engine(token_seconds=0.0005) for _ in range(3)
            ]

            async def ask(number: int) -> None:
                nonlocal whole, resumed
                await anyio.sleep(rng.random() * 0.3)
                # The same id for all: ids of callers are not unique.
                async with stack.generate(
                    tokens, f"number {number}.", **{"x-request-id": "same"}
                ) as resp:
                    text = (await resp.aread()).decode()
                if resp.status_code != 200:
                    refusal = resp.json()
                    made = sum(
                        f"number {number}." in gen.prompt
                        for engine in engines
                        for gen in engine.record.values()
                    )
                    assert refusal["ran"] == "unknown" or not made
                    return
                events, is_whole = stack_lib.read_events(text)
                if not is_whole:
                    assert events[-1]["error"]["ran"] == "unknown"
                    return
                whole += 1
                resumed += len(_check_whole(text, tokens)) > 1

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_crash_often, rng, engines)
                async with anyio.create_task_group() as callers:
                    for number in range(40):
                        callers.start_soon(ask, number)
                tasks.cancel_scope.cancel()
        assert whole >= 10, f"only {whole} whole answers, seed {seed}"
        assert resumed >= 1, f"no answer was resumed, seed {seed}"

    anyio.run(main)


def test_answer_names_the_versions_of_each_part() -> None:
    """Fails when a resumed answer claims one version for all tokens."""

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
            answer = resp.json()
            message = answer["choices"][0]["message"]
            assert message["content"] == _expected(30)
            made = [
                version
                for part in answer["weight_versions"]
                for version in [part["version"]]
                * (part["last_token"] - part["first_token"] + 1)
            ]
            # Tokens 0 to 7 left the first engine before it crashed, 8 to 15
            # the second one.
            assert made[0:8] == made[:1] * 8
            assert made[8:16] == [8 - made[0]] * 8
            assert len(made) == 30
            shown = resp.headers["x-weight-version"].split(",")
            assert set(shown) == {"1", "7"}

    anyio.run(main)


def test_disconnect_cancels_the_stream_at_the_engine() -> None:
    """Fails when an engine goes on for a caller who has gone."""

    async def main() -> None:
        async with stack_lib.run() as stack:
            engine = await stack.add_engine(token_seconds=0.002)
            async with stack.generate(100_000) as resp:
                await anext(resp.aiter_bytes())
            gen = next(iter(engine.record.values()))
            await stack_lib.until(lambda: gen.cancelled, 5.0)
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
            await stack_lib.until(lambda: gens[1].cancelled, 5.0)
            life = stack.runtime.lifecycle
            await stack_lib.until(lambda: life.total() == 0, 5.0)
            assert engine.running == 0

    anyio.run(main)


def test_same_request_id_does_not_mix_answers() -> None:
    """Fails when a caller's id collides with another at the engine."""

    async def main() -> None:
        async with stack_lib.run() as stack:
            engine = await stack.add_engine(token_seconds=0.0005)

            async def ask() -> None:
                headers = {"x-request-id": "same"}
                async with stack.generate(40, **headers) as resp:
                    text = (await resp.aread()).decode()
                assert resp.headers["x-request-id"] == "same"
                _check_whole(text, 40)
                events, _ = stack_lib.read_events(text)
                assert events[0]["id"] == "same"

            async with anyio.create_task_group() as callers:
                for _ in range(8):
                    callers.start_soon(ask)
            assert len(engine.record) == 8
            assert all(
                len(gen.versions) == 40 for gen in engine.record.values()
            )

    anyio.run(main)


def test_slow_reader_slows_the_engine_down() -> None:
    """Fails when an unread answer piles up in the instance."""
    # Far above what the sockets and buffers of both hops hold.
    tokens = 2_000_000

    async def main() -> None:
        async with stack_lib.run() as stack:
            engine = await stack.add_engine(tokens_per_chunk=500)
            async with stack.generate(tokens) as resp:
                parts = resp.aiter_bytes()
                await anext(parts)
                gen = next(iter(engine.record.values()))
                seen = -1
                # Stops growing within a second of silence.
                while len(gen.versions) != seen:
                    seen = len(gen.versions)
                    await anyio.sleep(1.0)
                assert seen < tokens, "the engine ran to its end unread"

    anyio.run(main)


def test_engine_tokens_of_another_request_are_refused() -> None:
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
            events, is_whole = stack_lib.read_events(text)
            assert not is_whole
            assert events[-1]["error"]["code"] == 1402

    anyio.run(main)
