"""Run one generation, moving it between endpoints as needed."""

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

# Cost of processing the prompt again after a move, in tokens. The tokens of
# the interrupted chunk are added to it.
MOVE_OVERHEAD_TOKENS: typing.Final = 8.0
# Interval at which the move of overdue work is tried again.
RECHECK_INTERVAL_SECONDS: typing.Final = 0.1

# The callback must not await: a move may cancel the reading task, and a chunk
# that is counted but not delivered would be lost.
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
        generation_run = _GenerationRun(
            dispatcher, client, work, body, on_chunk
        )
        return await generation_run.run(placed.ok_value)


@dataclasses.dataclass
class _GenerationRun:
    dispatcher: dispatcher_lib.Dispatcher
    client: Client
    work: placement_lib.Work
    body: abc.Mapping[str, typing.Any]
    on_chunk: OnChunk
    tokens: int = 0
    has_ended: bool = False
    failure: codes.Refusal | None = None

    async def run(self, first: placement_lib.Placement) -> Outcome:
        """Run the work on one endpoint after another until it ends."""
        placement = first
        while True:
            next_placement = await self._run_on_endpoint(placement)
            if placement is not first:
                self.dispatcher.release(placement)
            if self.has_ended:
                if next_placement is not None:
                    self.dispatcher.release(next_placement)
                return result.Ok(self.tokens)
            if next_placement is None:
                next_placement = self._try_retry(placement)
            if next_placement is None:
                assert self.failure is not None
                return result.Err(self.failure)
            placement = next_placement

    async def _run_on_endpoint(
        self, placement: placement_lib.Placement
    ) -> placement_lib.Placement | None:
        """Run on one endpoint and return the placement to move to, if any."""
        next_placement: placement_lib.Placement | None = None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read_stream, placement, tasks)
                next_placement = await self._wait_for_move(placement)
                tasks.cancel_scope.cancel()
        except BaseException:
            if next_placement is not None:
                self.dispatcher.release(next_placement)
            raise
        return next_placement

    async def _read_stream(
        self,
        placement: placement_lib.Placement,
        tasks: anyio_abc.TaskGroup,
    ) -> None:
        dispatcher = self.dispatcher
        timeout = max(0.001, self.work.deadline - dispatcher.clock())
        body = {**self.body, "priority": placement.engine_priority}
        if self.tokens:
            body["resume_tokens"] = self.tokens
        chunks = self.client.stream(placement.endpoint, body, timeout)
        generator = typing.cast(
            abc.AsyncGenerator[engines.Chunk, None], chunks
        )
        try:
            async with contextlib.aclosing(generator) as stream:
                async for chunk in stream:
                    placement.record_tokens(chunk.tokens)
                    self.tokens += chunk.tokens
                    self.on_chunk(chunk)
            placement.record_success()
            self.has_ended = True
        except engines.NotRunError as exc:
            placement.record_failure()
            code = codes.Code.ENDPOINT_REFUSED
            if self.tokens:
                code = codes.Code.STREAM_BROKEN
            self.failure = codes.Refusal(code, str(exc))
        except engines.BrokenStreamError as exc:
            placement.record_failure()
            self.failure = codes.Refusal(codes.Code.STREAM_BROKEN, str(exc))
        tasks.cancel_scope.cancel()

    async def _wait_for_move(
        self, placement: placement_lib.Placement
    ) -> placement_lib.Placement:
        while True:
            pause = min(
                1.0,
                max(
                    RECHECK_INTERVAL_SECONDS, placement.seconds_until_overdue()
                ),
            )
            await anyio.sleep(pause)
            if placement.is_overdue():
                next_placement = self._try_move(placement)
                if next_placement is not None:
                    return next_placement

    def _try_move(
        self, placement: placement_lib.Placement
    ) -> placement_lib.Placement | None:
        next_placement = self.dispatcher.try_place(
            self._remaining_work(placement)
        )
        if next_placement is None:
            return None
        detector = self.dispatcher.detector
        is_better = detector.weight(
            next_placement.endpoint.id, self.dispatcher.clock()
        ) > detector.weight(placement.endpoint.id, self.dispatcher.clock())
        recomputed_tokens = MOVE_OVERHEAD_TOKENS + placement.chunk_tokens
        # The endpoint may be ejected while this stream is still on time; then
        # only a better endpoint is worth the move.
        if placement.seconds_until_overdue() > 0 and not is_better:
            self.dispatcher.release(next_placement)
            return None
        if not self.dispatcher.retry_budget.withdraw_hedge(recomputed_tokens):
            self.dispatcher.release(next_placement)
            return None
        return next_placement

    def _try_retry(
        self, placement: placement_lib.Placement
    ) -> placement_lib.Placement | None:
        if self.dispatcher.clock() >= self.work.deadline:
            return None
        if not self.dispatcher.retry_budget.withdraw_retry():
            return None
        return self.dispatcher.try_place(self._remaining_work(placement))

    def _remaining_work(
        self, placement: placement_lib.Placement
    ) -> placement_lib.Work:
        return dataclasses.replace(
            self.work,
            excluded_ids=self.work.excluded_ids | {placement.endpoint.id},
            max_tokens=max(1.0, self.work.max_tokens - self.tokens),
            is_first_attempt=False,
        )
