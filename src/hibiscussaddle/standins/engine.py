"""Fake model engine with slots, priorities, versions and faults."""

from collections import abc
import contextlib
import dataclasses
import heapq
import itertools
import json
import random
import time
import typing

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.adapters import services
from hibiscussaddle.standins import faults as faults_lib

SSE_DONE: typing.Final = b"data: [DONE]\n\n"


@dataclasses.dataclass(frozen=True)
class EngineConfig:
    """Configure the size and speed of one fake engine."""

    id: str
    model: str = "base"
    slots: int = 8
    token_seconds: float = 0.002
    tokens_per_chunk: int = 4
    swap_seconds: float = 0.05
    load_lag_seconds: float = 1.0
    checks_fencing: bool = True
    cached_prefixes: int = 64
    # Disabled in benchmarks, where records of all requests would fill memory.
    keep_record: bool = True
    seed: int = 0


@dataclasses.dataclass
class Generation:
    """Record what was executed for one request."""

    request_id: str
    prompt: str
    versions: list[int | None] = dataclasses.field(default_factory=list)
    text: list[str] = dataclasses.field(default_factory=list)
    finished: bool = False
    cancelled: bool = False


class Engine:
    """Simulate an engine and record the requests that it executed."""

    def __init__(self, cfg: EngineConfig, version: int = 0) -> None:
        """Create an idle engine with the given weight version."""
        self.cfg = cfg
        self.version: int | None = version
        self.incarnation = time.time_ns() // 1_000_000
        self.fencing = 0
        self.slow_factor = 1.0
        self.crash_after_tokens: int | None = None
        self.fail_swaps = 0
        self.refuse_work = False
        self.faults = faults_lib.Faults()
        self.record: dict[str, Generation] = {}
        self.cache_events: list[dict[str, typing.Any]] = []
        self.orders: list[dict[str, typing.Any]] = []
        self.running = 0
        self._cached: dict[str, None] = {}
        self._rng = random.Random(cfg.seed)
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        self._load_history: list[tuple[float, int, int]] = [(0.0, 0, 0)]
        self._swapping = anyio.Lock()

    @contextlib.asynccontextmanager
    async def slot(self, priority: int) -> abc.AsyncIterator[None]:
        """Hold one slot; waiters are admitted by descending priority."""
        if self.running >= self.cfg.slots:
            admitted = anyio.Event()
            entry = (-priority, next(self._arrivals), admitted)
            heapq.heappush(self._waiting, entry)
            self._record_load()
            try:
                await admitted.wait()
            except BaseException:
                if admitted.is_set():
                    self._release()
                else:
                    self._waiting.remove(entry)
                    heapq.heapify(self._waiting)
                raise
        else:
            self.running += 1
        self._record_load()
        try:
            yield
        finally:
            self._release()

    def discard_record(self, request_id: str) -> None:
        """Discard an ended generation unless records are kept."""
        if not self.cfg.keep_record:
            del self.record[request_id]
            self.cache_events.clear()

    def _release(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
        self._record_load()

    def _record_load(self) -> None:
        now = time.monotonic()
        self._load_history.append((now, self.running, len(self._waiting)))
        del self._load_history[:-10_000]

    def delayed_load(self) -> dict[str, typing.Any]:
        """Return the load as of `load_lag_seconds` ago."""
        cutoff = time.monotonic() - self.cfg.load_lag_seconds
        running = waiting = 0
        for recorded_at, run, wait in self._load_history:
            if recorded_at > cutoff:
                break
            running, waiting = run, wait
        return {
            "running": running,
            "waiting": waiting,
            "slots": self.cfg.slots,
            "age_seconds": self.cfg.load_lag_seconds,
            "version": self.version,
            "incarnation": self.incarnation,
        }

    def touch_prefix(self, prompt: str) -> bool:
        """Cache the prompt's prefix; return whether it was already cached."""
        prefix = prompt[:64]
        hit = self._cached.pop(prefix, False) is None
        self._cached[prefix] = None
        if len(self._cached) > self.cfg.cached_prefixes:
            self._cached.pop(next(iter(self._cached)))
        # Real engines lose cache events too; one in ten is dropped here.
        if self._rng.random() >= 0.1:
            number = len(self.cache_events) + 1
            self.cache_events.append({"number": number, "prefix": prefix})
        return hit

    async def swap(self, version: int) -> bool:
        """Load a version; a failed swap leaves mixed weights (None)."""
        async with self._swapping:
            await anyio.sleep(self.cfg.swap_seconds)
            if self.fail_swaps > 0:
                self.fail_swaps -= 1
                self.version = None
                return False
            self.version = version
            return True

    async def generate(
        self, body: dict[str, typing.Any], request_id: str
    ) -> abc.AsyncIterator[dict[str, typing.Any]]:
        """Yield chunks of tokens, each with the version that generated it."""
        prompt = json.dumps(body.get("messages", ""), sort_keys=True)
        first = int(body.get("resume_tokens", 0))
        total = int(body.get("max_tokens", 16))
        gen = self.record.setdefault(
            request_id, Generation(request_id, prompt)
        )
        hit = self.touch_prefix(prompt)
        if not hit:
            await self._compute(8)
        index = first
        while index < total:
            count = min(self.cfg.tokens_per_chunk, total - index)
            await self._compute(count)
            self._crash_if_due(count)
            if gen.cancelled:
                return
            text = "".join(
                self.token_text(prompt, index + i) for i in range(count)
            )
            gen.text.append(text)
            gen.versions.extend([self.version] * count)
            yield self._chunk(request_id, text, index, count)
            index += count
        gen.finished = True

    def token_text(self, prompt: str, number: int) -> str:
        """Return the text of one token; tests override this method."""
        return f"t{number} "

    async def _compute(self, tokens: int) -> None:
        seconds = self.cfg.token_seconds * tokens * self.slow_factor
        async with contextlib.AsyncExitStack() as stack:
            if self._swapping.locked():
                await stack.enter_async_context(self._swapping)
        if seconds > 0:
            await anyio.sleep(seconds)
        else:
            await anyio.lowlevel.checkpoint()

    def _crash_if_due(self, tokens: int) -> None:
        if self.crash_after_tokens is None:
            return
        self.crash_after_tokens -= tokens
        if self.crash_after_tokens <= 0:
            self.restart()
            raise faults_lib.ResponseLostError

    def restart(self) -> None:
        """Restart as a new incarnation with the same weights."""
        self.crash_after_tokens = None
        self.incarnation = max(
            time.time_ns() // 1_000_000, self.incarnation + 1
        )
        self.fencing = 0
        self._cached.clear()

    def _chunk(
        self, request_id: str, text: str, first: int, count: int
    ) -> dict[str, typing.Any]:
        return {
            "id": request_id,
            "object": "chat.completion.chunk",
            "model": self.cfg.model,
            "weight_version": self.version,
            "incarnation": self.incarnation,
            "first_token": first,
            "tokens": count,
            "choices": [
                {
                    "index": 0,
                    "delta": {"content": text},
                    "finish_reason": None,
                }
            ],
        }


def encode_event(body: object) -> bytes:
    """Encode a JSON body as one server-sent event."""
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def create_app(engine: Engine) -> applications.Starlette:
    """Return the HTTP application of the fake engine."""

    async def chat(req: requests.Request) -> responses.Response:
        error_response = await faults_lib.apply_request_faults(engine.faults)
        if error_response is not None or engine.refuse_work:
            return responses.JSONResponse(
                {"error": "not run"},
                status_code=503,
                headers={services.NOT_STARTED_HEADER: "1"},
            )
        body = await req.json()
        request_id = str(body.get("request_id", ""))
        priority = int(body.get("priority", 5))
        if body.get("stream"):
            return responses.StreamingResponse(
                _event_stream(engine, body, request_id, priority),
                media_type="text/event-stream",
            )
        return await _complete_response(engine, body, request_id, priority)

    async def cancel(req: requests.Request) -> responses.Response:
        gen = engine.record.get(req.path_params["id"])
        if gen is not None and not gen.finished:
            gen.cancelled = True
        return responses.JSONResponse({"found": gen is not None})

    async def load(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(engine.delayed_load())

    async def cache_events(req: requests.Request) -> responses.Response:
        after = int(req.query_params.get("after", "0"))
        events = [e for e in engine.cache_events if e["number"] > after]
        return responses.JSONResponse(
            {"events": events[:1000], "incarnation": engine.incarnation}
        )

    async def weights(req: requests.Request) -> responses.Response:
        error_response = await faults_lib.apply_request_faults(engine.faults)
        if error_response is not None:
            return error_response
        body = await req.json()
        fencing = int(body.get("fencing", 0))
        if engine.cfg.checks_fencing and fencing < engine.fencing:
            return responses.JSONResponse(
                {"error": "old fencing number"}, status_code=409
            )
        engine.fencing = max(engine.fencing, fencing)
        engine.orders.append(body)
        swapped = await engine.swap(int(body["version"]))
        await faults_lib.apply_response_faults(engine.faults)
        return responses.JSONResponse(
            {"version": engine.version, "incarnation": engine.incarnation},
            status_code=200 if swapped else 500,
        )

    async def record(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            [dataclasses.asdict(gen) for gen in engine.record.values()]
        )

    async def set_behaviour(req: requests.Request) -> responses.Response:
        for name, value in (await req.json()).items():
            setattr(engine, name, value)
        return responses.JSONResponse({})

    return applications.Starlette(
        routes=[
            routing.Route("/v1/chat/completions", chat, methods=["POST"]),
            routing.Route("/v1/cancel/{id}", cancel, methods=["POST"]),
            routing.Route("/v1/load", load),
            routing.Route("/v1/cache_events", cache_events),
            routing.Route("/v1/weights", weights, methods=["POST"]),
            routing.Route("/v1/record", record),
            routing.Route("/behaviour", set_behaviour, methods=["POST"]),
            faults_lib.create_route(engine.faults),
        ]
    )


async def _event_stream(
    engine: Engine,
    body: dict[str, typing.Any],
    request_id: str,
    priority: int,
) -> abc.AsyncIterator[bytes]:
    async with engine.slot(priority):
        async for chunk in engine.generate(body, request_id):
            yield encode_event(chunk)
    if engine.record[request_id].finished:
        yield SSE_DONE
    engine.discard_record(request_id)


async def _complete_response(
    engine: Engine,
    body: dict[str, typing.Any],
    request_id: str,
    priority: int,
) -> responses.Response:
    text: list[str] = []
    versions: list[int | None] = []
    async with engine.slot(priority):
        async for chunk in engine.generate(body, request_id):
            text.append(chunk["choices"][0]["delta"]["content"])
            versions.extend([chunk["weight_version"]] * chunk["tokens"])
    engine.discard_record(request_id)
    message = {"role": "assistant", "content": "".join(text)}
    return responses.JSONResponse(
        {
            "id": request_id,
            "object": "chat.completion",
            "model": engine.cfg.model,
            "weight_versions": versions,
            "incarnation": engine.incarnation,
            "choices": [
                {"index": 0, "message": message, "finish_reason": "stop"}
            ],
        }
    )
