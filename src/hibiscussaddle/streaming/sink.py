"""Interface through which events reach a caller."""

from collections import abc
import typing


class Sink(typing.Protocol):
    """Write one response to a caller.

    A response that has started and isn't finished must end visibly broken.
    """

    async def start(
        self, status: int, headers: abc.Sequence[tuple[str, str]]
    ) -> None:
        """Write the head."""

    async def send(self, data: bytes) -> None:
        """Write data; return once the caller's connection has taken it."""

    async def finish(self) -> None:
        """Mark the response as complete."""

    def keep(self, count: int) -> None:
        """Account the bytes of an event that is held back."""
