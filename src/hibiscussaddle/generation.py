"""Generate one answer over as many engines as it needs."""

from collections import abc
import contextlib
import dataclasses
import typing

import anyio
import result

from hibiscussaddle.adapters import engines
from hibiscussaddle import choice
from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import placement
from hibiscussaddle import runtime as runtime_lib

# A resumed stream computes no token twice, so resumption is not charged to
# the budget of retries; this bounds it instead.
MAX_RESUMPTIONS: typing.Final = 4
# Time for a crashed engine to come back, when there is no other.
PAUSE_SECONDS: typing.Final = 0.1
# Expected length of an answer whose request names no limit.
DEFAULT_MAX_TOKENS: typing.Final = 256


class Failed(Exception):
    """Report an answer that cannot be completed."""

    def __init__(self, refusal: codes.Refusal) -> None:
        """Carry the refusal."""
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclasses.dataclass
class VersionRange:
    """Name the weight version of consecutive tokens."""

    version: int | None
    first_token: int
    last_token: int


class Generation:
    """Produce the chunks of one answer without gap or overlap."""

    def __init__(
        self,
        runtime: runtime_lib.Runtime,
        client: engines.EngineClient,
        req: exchange.Request,
        body: abc.Mapping[str, typing.Any],
    ) -> None:
        """Prepare; nothing is sent yet."""
        self.tokens = 0
        self.versions: list[VersionRange] = []
        self._runtime = runtime
        self._client = client
        self._req = req
        self._body = body
        self._tried: set[str] = set()
        self._failures = 0
        self._may_have_run = False

    async def batches(
        self,
    ) -> abc.AsyncGenerator[list[engines.Chunk], None]:
        """Yield the chunks of each read, from one engine after another.

        Raises:
            Failed: the answer cannot be completed.
        """
        while True:
            attempt = self._attempt()
            try:
                async with contextlib.aclosing(attempt):
                    async for batch in attempt:
                        yield batch
                return
            except engines.NotRunError as exc:
                self._note_failure(exc)
            except engines.BrokenStreamError as exc:
                self._may_have_run = True
                self._note_failure(exc)
            await anyio.sleep(PAUSE_SECONDS * self._runtime.rng.random())

    def _note_failure(self, exc: Exception) -> None:
        self._failures += 1
        if self._runtime.clock() >= self._req.deadline:
            raise self._failed(codes.Code.BACK_END_TIMEOUT, str(exc)) from exc
        if self.tokens:
            is_allowed = self._failures <= MAX_RESUMPTIONS
        else:
            is_allowed = choice.may_retry(self._runtime, self._failures)
        if not is_allowed:
            raise self._failed(codes.Code.STREAM_BROKEN, str(exc)) from exc

    def _failed(self, code: codes.Code, message: str) -> Failed:
        if not self._may_have_run:
            code = codes.Code.ENDPOINT_REFUSED
        return Failed(codes.Refusal(code, message))

    async def _attempt(
        self,
    ) -> abc.AsyncGenerator[list[engines.Chunk], None]:
        model = str(self._body["model"])
        async with choice.hold(
            self._runtime,
            self._req,
            model,
            self._tried,
            self._left(),
            placement.prefix_of(self._body.get("messages", "")),
        ) as chosen:
            if isinstance(chosen, result.Err):
                refusal = chosen.err_value
                if self._may_have_run:
                    refusal = dataclasses.replace(
                        refusal, code=codes.Code.STREAM_BROKEN
                    )
                raise Failed(refusal)
            attempt = self._run_on(chosen.ok_value)
            async with contextlib.aclosing(attempt):
                async for batch in attempt:
                    yield batch

    def _left(self) -> float:
        """Return the most tokens that are still to come."""
        limit = float(self._body.get("max_tokens", DEFAULT_MAX_TOKENS))
        return max(1.0, limit - self.tokens)

    async def _run_on(
        self, placed: placement.Placement
    ) -> abc.AsyncGenerator[list[engines.Chunk], None]:
        runtime = self._runtime
        endpoint = placed.endpoint
        # Unique at the engine, whatever id the caller chose.
        request_id = (
            f"{runtime.cfg.instance}-{runtime.incarnation:x}-"
            f"{next(runtime.callers.attempts)}"
        )
        body = {
            **self._body,
            "request_id": request_id,
            "priority": placed.engine_priority,
        }
        if self.tokens:
            body["resume_tokens"] = self.tokens
        timeout = max(0.001, self._req.deadline - runtime.clock())
        batches = self._client.stream_batches(endpoint, body, timeout)
        has_ended = False
        try:
            async with contextlib.aclosing(batches):
                async for batch in batches:
                    for chunk in batch:
                        self._check(chunk, request_id)
                    placed.got_tokens(sum(chunk.tokens for chunk in batch))
                    # Set first: the engine has made the tokens even if the
                    # caller has gone.
                    self._may_have_run = True
                    yield batch
                    # The caller's pace is not the endpoint's.
                    placed.resume()
            has_ended = True
            placed.finish()
        except engines.NotRunError:
            has_ended = True
            placed.fail()
            raise
        except engines.BrokenStreamError:
            placed.fail()
            raise
        finally:
            self._tried.add(endpoint.id)
            if not has_ended:
                await self._client.cancel(endpoint, request_id)

    def _check(self, chunk: engines.Chunk, request_id: str) -> None:
        if chunk.request_id and chunk.request_id != request_id:
            raise engines.BrokenStreamError("tokens of another request")
        if chunk.first_token != self.tokens or chunk.tokens < 0:
            raise engines.BrokenStreamError(
                f"token {chunk.first_token} came instead of {self.tokens}"
            )
        self.tokens += chunk.tokens
        last = self.tokens - 1
        if self.versions and self.versions[-1].version == chunk.version:
            self.versions[-1].last_token = last
        else:
            self.versions.append(
                VersionRange(chunk.version, chunk.first_token, last)
            )
