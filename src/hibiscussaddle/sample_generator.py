"""Generate one sample on one engine and verify its weight versions."""

from collections import abc
import contextlib
import dataclasses
import itertools
import typing

import anyio

from hibiscussaddle.adapters import engines
from hibiscussaddle import placement as placement_lib
from hibiscussaddle.policy import groups
from hibiscussaddle.policy import versions
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import step_table
from hibiscussaddle import steps

# Timeout between two chunks of a stream.
CHUNK_TIMEOUT_SECONDS: typing.Final = 60.0
_CANCEL_TIMEOUT_SECONDS: typing.Final = 2.0


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """Hold the reason why an attempt gave no sample."""

    reason: str
    # Whether the engine failed, rather than only this sample.
    is_engine_failure: bool = False


class SampleGenerator:
    """Generate samples by streaming from engines."""

    def __init__(self, runtime: runtime_lib.Runtime) -> None:
        """Create a generator that uses the components of one instance."""
        self._runtime = runtime
        self._client = engines.EngineClient(runtime.client)
        self._request_numbers = itertools.count(1)

    async def generate(
        self,
        run: step_table.StepRun,
        attempt: groups.Attempt,
        placement: placement_lib.Placement,
        max_staleness: int,
    ) -> steps.Sample | FailedAttempt:
        """Return the sample, or the reason why there is none.

        `max_staleness` is a number of weight versions.
        """
        cfg = self._runtime.cfg
        endpoint = placement.endpoint
        number = next(self._request_numbers)
        request_id = f"{cfg.instance}-{self._runtime.incarnation:x}-{number}"
        group = attempt.slot // run.spec.samples_per_group
        body = {
            "model": run.spec.model,
            "messages": run.spec.groups[group],
            "max_tokens": run.spec.max_tokens,
            "request_id": request_id,
            "priority": placement.engine_priority,
        }
        is_complete = False
        try:
            outcome = await self._read_stream(
                run, attempt, placement, body, max_staleness
            )
            is_complete = isinstance(outcome, steps.Sample)
            return outcome
        except (engines.NotRunError, engines.BrokenStreamError) as exc:
            # Operators see these reasons, so renaming the exception classes
            # must not change them.
            is_not_run = isinstance(exc, engines.NotRunError)
            reason = "NotRun" if is_not_run else "StreamBroken"
            return FailedAttempt(reason, is_engine_failure=True)
        except (ValueError, KeyError, IndexError, TypeError):
            return FailedAttempt("malformed_chunk", is_engine_failure=True)
        finally:
            if not is_complete:
                with anyio.move_on_after(_CANCEL_TIMEOUT_SECONDS, shield=True):
                    await self._client.cancel(endpoint, request_id)

    async def _read_stream(
        self,
        run: step_table.StepRun,
        attempt: groups.Attempt,
        placement: placement_lib.Placement,
        body: dict[str, typing.Any],
        max_staleness: int,
    ) -> steps.Sample | FailedAttempt:
        table, clock = self._runtime.steps, self._runtime.clock
        endpoint = placement.endpoint
        tracker = versions.VersionTracker()
        text: list[str] = []
        reported: tuple[int, int | None] | None = None
        oldest_version: int | None = None
        # Closed explicitly rather than by the garbage collector, so that a
        # cancelled attempt closes its connection at once.
        stream = typing.cast(
            "abc.AsyncGenerator[engines.Chunk, None]",
            self._client.stream(endpoint, body, CHUNK_TIMEOUT_SECONDS),
        )
        async with contextlib.aclosing(stream) as chunks:
            async for chunk in chunks:
                placement.record_tokens(chunk.tokens)
                if reported != (chunk.incarnation, chunk.version):
                    reported = (chunk.incarnation, chunk.version)
                    table.record_engine_version(
                        endpoint.id, run.spec.model, *reported, clock()
                    )
                if not tracker.add(
                    chunk.first_token,
                    chunk.tokens,
                    chunk.version,
                    chunk.incarnation,
                ):
                    break
                if chunk.version is not None:
                    if (
                        oldest_version is None
                        or chunk.version < oldest_version
                    ):
                        oldest_version = chunk.version
                    if (
                        table.newest_version(run) - oldest_version
                        > max_staleness
                    ):
                        return FailedAttempt("stale")
                text.append(chunk.text)
        ranges = tracker.finish()
        if ranges is None:
            assert tracker.uncertainty is not None
            return FailedAttempt(tracker.uncertainty.value)
        group, index = divmod(attempt.slot, run.spec.samples_per_group)
        return steps.Sample(
            trainer=run.spec.trainer,
            step=run.spec.step,
            group=group,
            index=index,
            text="".join(text),
            tokens=tracker.tokens,
            versions=ranges,
        )
