"""Connect to the address of an endpoint to see whether it answers."""

from collections import abc
import enum
import errno
import typing

import anyio
import httpx

# Links take up to a few milliseconds one way.
TIMEOUT_SECONDS: typing.Final = 0.1
# Turns of the event loop in which an answer that is there gets noticed.
_LATE_TURNS: typing.Final = 16
_HTTP_PORT: typing.Final = 80
# Errors of a machine that has no descriptors, ports or memory left.
_LOCAL_ERRORS: typing.Final = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


class Answer(enum.Enum):
    """Name how an address answers a connection attempt."""

    ACCEPTED = "accepted"
    # Nothing listens at the address, or a link on the way refuses.
    REFUSED = "refused"
    # There was no answer, or the network can't be reached.
    SILENT = "silent"
    # This machine had no means to try.
    UNTRIED = "untried"


# Opens a connection to an address and closes it.
Connect: typing.TypeAlias = abc.Callable[[str], abc.Awaitable[Answer]]


async def connect(address: str, timeout: float = TIMEOUT_SECONDS) -> Answer:
    """Return how an address such as http://10.0.0.1:80 answers in time.

    The timeout is in seconds.
    """
    url = httpx.URL(address)
    answer = Answer.SILENT
    async with anyio.create_task_group() as tasks:

        async def attempt() -> None:
            nonlocal answer
            try:
                stream = await anyio.connect_tcp(
                    url.host, url.port or _HTTP_PORT
                )
            except OSError as exc:
                answer = _failed_answer(exc)
            else:
                answer = Answer.ACCEPTED
                await stream.aclose()
            tasks.cancel_scope.cancel()

        tasks.start_soon(attempt)
        await anyio.sleep(timeout)
        # An answer may have arrived while this process was busy.
        for _ in range(_LATE_TURNS):
            await anyio.sleep(0)
        tasks.cancel_scope.cancel()
    return answer


def _failed_answer(exc: OSError) -> Answer:
    numbers = set(_error_numbers(exc))
    if numbers & _LOCAL_ERRORS:
        return Answer.UNTRIED
    if errno.ECONNREFUSED in numbers:
        return Answer.REFUSED
    return Answer.SILENT


def _error_numbers(exc: BaseException | None) -> abc.Iterator[int]:
    """Yield the numbers of an error and its causes.

    anyio raises an error without a number and names the first one as cause.
    """
    if isinstance(exc, BaseExceptionGroup):
        for each in exc.exceptions:
            yield from _error_numbers(each)
    if isinstance(exc, OSError) and exc.errno is not None:
        yield exc.errno
    if exc is not None:
        yield from _error_numbers(exc.__cause__)
