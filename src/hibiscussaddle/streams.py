"""Run one generation over as many endpoints as it needs."""

from collections import abc
import contextlib
import dataclasses
import typing

import anyio
from anyio import abc as anyio_abc
import result

from hibiscussaddle.adapters import engines
from hibiscussaddle import codes
from hibiscussaddle import dispatcher as dispatcher_lib
from hibiscussaddle import endpoints
from hibiscussaddle import placement as placement_lib

# Tokens that a move computes twice besides the chunk under way: the prompt.
MOVE_TOKENS: typing.Final = 8.0
# Overdue work whose move was not possible is looked at again after this.
RECHECK_SECONDS: typing.Final = 0.1

# It must not wait: a move may cancel the reading task, and a chunk that
# is counted but not delivered would be lost.
OnChunk: typing.TypeAlias = abc.Callable[[engines.Chunk], None]
Outcome: typing.TypeAlias = result.Result[int, codes.Refusal]


class Client(typing.Protocol):
    """Stream chunks from an engine."""

    def stream(
        self,
        endpoint: endpoints.Endpoint,
        body: abc.Mapping[str, typing.Any],
        timeout: float,
    ) -> abc.AsyncIterator[engines.Chunk]:
        """Yield chunks; raise NotRunError or BrokenStreamError."""
        ...


async def run(
    dispatcher: dispatcher_lib.Dispatcher,
    client: Client,
    work: placement_lib.Work,
    body: abc.Mapping[str, typing.Any],
    on_chunk: OnChunk,
) -> Outcome:
    """Generate to the end and return the number of tokens.

    A broken or overdue stream is resumed on another endpoint with
    `resume_tokens`, within the budget of retries and hedges.
    """
    async with dispatcher.place(work) as placed:
        if isinstance(placed, result.Err):
            return placed
        job = _Job(dispatcher, client, work, body, on_chunk)
        return await job.run(placed.ok_value)


@dataclasses.dataclass
class _Job:
    dispatcher: dispatcher_lib.Dispatcher
    client: Client
    work: placement_lib.Work
    body: abc.Mapping[str, typing.Any]
    on_chunk: OnChunk
    tokens: int = 0
    ended: bool = False
    failure: codes.Refusal | None = None

    async def run(self, first: placement_lib.Placement) -> Outcome:
        """Follow the work from endpoint to endpoint."""
        placed = first
        while True:
            following = await self._run_on(placed)
            if placed is not first:
                self.dispatcher.release(placed)
            if self.ended:
                if following is not None:
                    self.dispatcher.release(following)
                return result.Ok(self.tokens)
            if following is None:
                following = self._retry(placed)
            if following is None:
                assert self.failure is not None
                return result.Err(self.failure)
            placed = following

    async def _run_on(
        self, placed: placement_lib.Placement
    ) -> placement_lib.Placement | None:
        """Run on one endpoint; return the placement to move to."""
        moved: placement_lib.Placement | None = None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, placed, tasks)
                moved = await self._watch(placed)
                tasks.cancel_scope.cancel()
        except BaseException:
            if moved is not None:
                self.dispatcher.release(moved)
            raise
        return moved

    async def _read(
        self,
        placed: placement_lib.Placement,
        tasks: anyio_abc.TaskGroup,
    ) -> None:
        dispatcher = self.dispatcher
        timeout = max(0.001, self.work.deadline - dispatcher.clock())
        body = {**self.body, "priority": placed.engine_priority}
        if self.tokens:
            body["resume_tokens"] = self.tokens
        chunks = self.client.stream(placed.endpoint, body, timeout)
        generator = typing.cast(
            abc.AsyncGenerator[engines.Chunk, None], chunks
        )
        try:
            async with contextlib.aclosing(generator) as stream:
                async for chunk in stream:
                    placed.got_tokens(chunk.tokens)
                    self.tokens += chunk.tokens
                    self.on_chunk(chunk)
            placed.finish()
            self.ended = True
        except engines.NotRunError as exc:
            placed.fail()
            code = codes.Code.ENDPOINT_REFUSED
            if self.tokens:
                code = codes.Code.STREAM_BROKEN
            self.failure = codes.Refusal(code, str(exc))
        except engines.BrokenStreamError as exc:
            placed.fail()
            self.failure = codes.Refusal(codes.Code.STREAM_BROKEN, str(exc))
        tasks.cancel_scope.cancel()

    async def _watch(
        self, placed: placement_lib.Placement
    ) -> placement_lib.Placement:
        while True:
            pause = min(1.0, max(RECHECK_SECONDS, placed.patience()))
            await anyio.sleep(pause)
            if placed.is_overdue():
                moved = self._move(placed)
                if moved is not None:
                    return moved

    def _move(
        self, placed: placement_lib.Placement
    ) -> placement_lib.Placement | None:
        following = self.dispatcher.try_place(self._rest(placed))
        if following is None:
            return None
        detector = self.dispatcher.detector
        is_better = detector.weight(
            following.endpoint.id, self.dispatcher.clock()
        ) > detector.weight(placed.endpoint.id, self.dispatcher.clock())
        extra = MOVE_TOKENS + placed.chunk_tokens
        if placed.patience() > 0 and not is_better:
            self.dispatcher.release(following)
            return None
        if not self.dispatcher.budget.withdraw_hedge(extra):
            self.dispatcher.release(following)
            return None
        return following

    def _retry(
        self, placed: placement_lib.Placement
    ) -> placement_lib.Placement | None:
        if self.dispatcher.clock() >= self.work.deadline:
            return None
        if not self.dispatcher.budget.withdraw_retry():
            return None
        return self.dispatcher.try_place(self._rest(placed))

    def _rest(self, placed: placement_lib.Placement) -> placement_lib.Work:
        return dataclasses.replace(
            self.work,
            avoid=self.work.avoid | {placed.endpoint.id},
            max_tokens=max(1.0, self.work.max_tokens - self.tokens),
            is_first=False,
        )
