"""Generate one response, resuming it on other engines as needed."""

from collections import abc
import contextlib
import dataclasses
import typing

import anyio
import result

from hibiscussaddle.adapters import engines
from hibiscussaddle import codes
from hibiscussaddle import endpoint_choice
from hibiscussaddle import exchange
from hibiscussaddle import placement as placement_lib
from hibiscussaddle import runtime as runtime_lib

# A resumed stream computes no token twice, so resumptions are limited by this
# number and not charged to the retry budget.
MAX_RESUMPTIONS: typing.Final = 4
# Gives a crashed engine time to restart when there is no other.
MAX_BACKOFF_SECONDS: typing.Final = 0.1
# Assumed limit of a request without `max_tokens`.
DEFAULT_MAX_TOKENS: typing.Final = 256


class GenerationError(Exception):
    """Signal that a response cannot be completed."""

    def __init__(self, refusal: codes.Refusal) -> None:
        """Create an error that carries the refusal."""
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclasses.dataclass
class VersionRange:
    """Hold the weight version of a range of tokens, ends included."""

    # None if the engine reported no version.
    version: int | None
    first_token: int
    last_token: int


class Generation:
    """Produce the chunks of one response without gap or overlap."""

    def __init__(
        self,
        runtime: runtime_lib.Runtime,
        client: engines.EngineClient,
        req: exchange.Request,
        body: abc.Mapping[str, typing.Any],
    ) -> None:
        """Create a generation without sending anything."""
        self.tokens = 0
        self.versions: list[VersionRange] = []
        self._runtime = runtime
        self._client = client
        self._req = req
        self._body = body
        self._tried_ids: set[str] = set()
        self._failure_count = 0
        self._may_have_run = False

    async def chunk_batches(
        self,
    ) -> abc.AsyncGenerator[list[engines.Chunk], None]:
        """Yield the chunks of each read, from one engine after another.

        Raises:
            GenerationError: the response cannot be completed.
        """
        while True:
            attempt = self._run_attempt()
            try:
                async with contextlib.aclosing(attempt):
                    async for batch in attempt:
                        yield batch
                return
            except engines.NotRunError as exc:
                self._record_failure(exc)
            except engines.BrokenStreamError as exc:
                self._may_have_run = True
                self._record_failure(exc)
            await anyio.sleep(MAX_BACKOFF_SECONDS * self._runtime.rng.random())

    def _record_failure(self, exc: Exception) -> None:
        self._failure_count += 1
        if self._runtime.clock() >= self._req.deadline:
            raise self._create_error(
                codes.Code.BACK_END_TIMEOUT, str(exc)
            ) from exc
        if self.tokens:
            is_allowed = self._failure_count <= MAX_RESUMPTIONS
        else:
            is_allowed = endpoint_choice.may_retry(
                self._runtime, self._failure_count
            )
        if not is_allowed:
            raise self._create_error(
                codes.Code.STREAM_BROKEN, str(exc)
            ) from exc

    def _create_error(self, code: codes.Code, message: str) -> GenerationError:
        if not self._may_have_run:
            code = codes.Code.ENDPOINT_REFUSED
        return GenerationError(codes.Refusal(code, message))

    async def _run_attempt(
        self,
    ) -> abc.AsyncGenerator[list[engines.Chunk], None]:
        model = str(self._body["model"])
        async with endpoint_choice.acquire_endpoint(
            self._runtime,
            self._req,
            model,
            self._tried_ids,
            self._remaining_tokens(),
            placement_lib.prefix_key(self._body.get("messages", "")),
        ) as acquired:
            if isinstance(acquired, result.Err):
                refusal = acquired.err_value
                if self._may_have_run:
                    refusal = dataclasses.replace(
                        refusal, code=codes.Code.STREAM_BROKEN
                    )
                raise GenerationError(refusal)
            attempt = self._run_on_endpoint(acquired.ok_value)
            async with contextlib.aclosing(attempt):
                async for batch in attempt:
                    yield batch

    def _remaining_tokens(self) -> float:
        """Return the maximum number of tokens still to come."""
        limit = float(self._body.get("max_tokens", DEFAULT_MAX_TOKENS))
        return max(1.0, limit - self.tokens)

    async def _run_on_endpoint(
        self, placement: placement_lib.Placement
    ) -> abc.AsyncGenerator[list[engines.Chunk], None]:
        runtime = self._runtime
        endpoint = placement.endpoint
        # Unique at the engine even if callers reuse their ids.
        request_id = (
            f"{runtime.cfg.instance}-{runtime.incarnation:x}-"
            f"{next(runtime.callers.attempt_numbers)}"
        )
        body = {
            **self._body,
            "request_id": request_id,
            "priority": placement.engine_priority,
        }
        if self.tokens:
            body["resume_tokens"] = self.tokens
        timeout = max(0.001, self._req.deadline - runtime.clock())
        batches = self._client.stream_chunk_batches(endpoint, body, timeout)
        has_ended = False
        try:
            async with contextlib.aclosing(batches):
                async for batch in batches:
                    for chunk in batch:
                        self._record_chunk(chunk, request_id)
                    placement.record_tokens(
                        sum(chunk.tokens for chunk in batch)
                    )
                    # Set before the yield: the engine has generated tokens
                    # even if the caller has disconnected.
                    self._may_have_run = True
                    yield batch
                    # Time that the caller takes does not count for the engine.
                    placement.restart_interval()
            has_ended = True
            placement.record_success()
        except engines.NotRunError:
            has_ended = True
            placement.record_failure()
            raise
        except engines.BrokenStreamError:
            placement.record_failure()
            raise
        finally:
            self._tried_ids.add(endpoint.id)
            if not has_ended:
                await self._client.cancel(endpoint, request_id)

    def _record_chunk(self, chunk: engines.Chunk, request_id: str) -> None:
        if chunk.request_id and chunk.request_id != request_id:
            raise engines.BrokenStreamError(
                "received tokens of another request"
            )
        if chunk.first_token != self.tokens or chunk.tokens < 0:
            raise engines.BrokenStreamError(
                f"received token {chunk.first_token} instead of {self.tokens}"
            )
        self.tokens += chunk.tokens
        last = self.tokens - 1
        if self.versions and self.versions[-1].version == chunk.version:
            self.versions[-1].last_token = last
        else:
            self.versions.append(
                VersionRange(chunk.version, chunk.first_token, last)
            )
