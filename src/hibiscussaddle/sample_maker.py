"""Make one sample on one engine and prove its weight versions."""

from collections import abc
import contextlib
import dataclasses
import itertools
import typing

import anyio

from hibiscussaddle.adapters import engines
from hibiscussaddle import placement
from hibiscussaddle.policy import groups
from hibiscussaddle.policy import versions
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import step_table
from hibiscussaddle import steps

# Longest silence between two chunks of a stream.
CHUNK_SECONDS: typing.Final = 60.0
_CANCEL_SECONDS: typing.Final = 2.0


@dataclasses.dataclass(frozen=True)
class Lost:
    """Tell why an attempt gave no sample."""

    reason: str
    # True when the engine, not the sample, is at fault.
    engine_failed: bool = False


class SampleMaker:
    """Stream samples from engines."""

    def __init__(self, runtime: runtime_lib.Runtime) -> None:
        """Use the components of one instance."""
        self._runtime = runtime
        self._client = engines.EngineClient(runtime.client)
        self._numbers = itertools.count(1)

    async def make(
        self,
        run: step_table.StepRun,
        attempt: groups.Attempt,
        placed: placement.Placement,
        bound: int,
    ) -> steps.Sample | Lost:
        """Return the sample, or why there is none."""
        cfg = self._runtime.cfg
        endpoint = placed.endpoint
        number = next(self._numbers)
        request_id = f"{cfg.instance}-{self._runtime.incarnation:x}-{number}"
        group = attempt.slot // run.spec.samples_per_group
        body = {
            "model": run.spec.model,
            "messages": run.spec.groups[group],
            "max_tokens": run.spec.max_tokens,
            "request_id": request_id,
            "priority": placed.engine_priority,
        }
        whole = False
        try:
            made = await self._read(run, attempt, placed, body, bound)
            whole = isinstance(made, steps.Sample)
            return made
        except (engines.NotRunError, engines.BrokenStreamError) as exc:
            return Lost(type(exc).__name__, engine_failed=True)
        except (ValueError, KeyError, IndexError, TypeError):
            return Lost("malformed_chunk", engine_failed=True)
        finally:
            if not whole:
                with anyio.move_on_after(_CANCEL_SECONDS, shield=True):
                    await self._client.cancel(endpoint, request_id)

    async def _read(
        self,
        run: step_table.StepRun,
        attempt: groups.Attempt,
        placed: placement.Placement,
        body: dict[str, typing.Any],
        bound: int,
    ) -> steps.Sample | Lost:
        table, clock = self._runtime.steps, self._runtime.clock
        endpoint = placed.endpoint
        trail = versions.VersionTracker()
        text: list[str] = []
        shown: tuple[int, int | None] | None = None
        oldest: int | None = None
        # Closed here and not by the garbage collector, so that a cancelled
        # attempt ends its connection at once.
        stream = typing.cast(
            "abc.AsyncGenerator[engines.Chunk, None]",
            self._client.stream(endpoint, body, CHUNK_SECONDS),
        )
        async with contextlib.aclosing(stream) as chunks:
            async for chunk in chunks:
                placed.got_tokens(chunk.tokens)
                if shown != (chunk.incarnation, chunk.version):
                    shown = (chunk.incarnation, chunk.version)
                    table.note_engine(
                        endpoint.id, run.spec.model, *shown, clock()
                    )
                if not trail.add(
                    chunk.first_token,
                    chunk.tokens,
                    chunk.version,
                    chunk.incarnation,
                ):
                    break
                if chunk.version is not None:
                    if oldest is None or chunk.version < oldest:
                        oldest = chunk.version
                    if table.newest(run) - oldest > bound:
                        return Lost("stale")
                text.append(chunk.text)
        ranges = trail.finish()
        if ranges is None:
            assert trail.uncertainty is not None
            return Lost(trail.uncertainty.value)
        group, index = divmod(attempt.slot, run.spec.samples_per_group)
        return steps.Sample(
            trainer=run.spec.trainer,
            step=run.spec.step,
            group=group,
            index=index,
            text="".join(text),
            tokens=trail.tokens,
            versions=ranges,
        )
