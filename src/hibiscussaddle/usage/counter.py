"""Count the requests that endpoints began to run, by window and workspace.

Window k begins k times the window's length after the start of 1970. All times
are Unix seconds and are passed in.
"""

import collections
import math
import typing

# Windows before the present one that are still reported after an outage.
MAX_BACKLOG_WINDOWS: typing.Final = 720

Counts = dict[str, int]


def window_at(at: float, window_seconds: float) -> int:
    """Return the window that contains a time."""
    return math.floor(at / window_seconds)


def oldest_window(now: float, window_seconds: float) -> int:
    """Return the oldest window that is still reported."""
    return window_at(now, window_seconds) - MAX_BACKLOG_WINDOWS


def window_end(window: int, window_seconds: float) -> float:
    """Return the time at which a window ends."""
    return (window + 1) * window_seconds


class CountedRequest:
    """Track the attempts of one request of a caller.

    The request counts once, in the window in which the first attempt was sent
    that an endpoint ran or may have run.
    """

    def __init__(self, counter: "UsageCounter", workspace: str) -> None:
        """Count nothing until an attempt is sent."""
        self._counter = counter
        self._workspace = workspace
        self._sent_at: list[float] = []
        # Window in which the request is counted at present.
        self._window: int | None = None

    def record_send(self, at: float) -> None:
        """Count an attempt that is sent at a time."""
        self._sent_at.append(at)
        self._update()

    def record_not_run(self, sent_at: float) -> None:
        """Stop counting an attempt that no endpoint ran."""
        self._sent_at.remove(sent_at)
        self._update()

    def close(self) -> None:
        """Record that the outcome of the request is final."""
        self._counter.close(self)

    @property
    def window(self) -> int | None:
        """Return the window in which the request counts so far."""
        return self._window

    def _update(self) -> None:
        window = None
        if self._sent_at:
            window = window_at(
                min(self._sent_at), self._counter.window_seconds
            )
        if window == self._window:
            return
        if self._window is not None:
            self._counter.add(self._window, self._workspace, -1)
        if window is not None:
            self._counter.add(window, self._workspace, 1)
        self._window = window


class UsageCounter:
    """Hold the counts of an instance for the windows not yet reported."""

    def __init__(self, window_seconds: float) -> None:
        """Start without counts."""
        self.window_seconds = window_seconds
        # Changes with every change of the counts.
        self.version = 0
        self._counts: dict[int, collections.Counter[str]] = {}
        self._open: set[CountedRequest] = set()
        self._forgotten_through = -1

    def track(self, workspace: str) -> CountedRequest:
        """Return the tracker of a request, which its caller closes."""
        req = CountedRequest(self, workspace)
        self._open.add(req)
        return req

    def close(self, req: CountedRequest) -> None:
        """Forget a request whose outcome is final."""
        self._open.discard(req)

    def add(self, window: int, workspace: str, number: int) -> None:
        """Change the count of a workspace in a window."""
        if window <= self._forgotten_through:
            return
        counts = self._counts.setdefault(window, collections.Counter())
        counts[workspace] += number
        self.version += 1

    def counts(self) -> dict[int, Counts]:
        """Return the counts above zero by window."""
        return {
            window: {name: n for name, n in counts.items() if n > 0}
            for window, counts in self._counts.items()
        }

    def final_through(self, now: float) -> int:
        """Return the newest window whose counts can't change any more."""
        newest = window_at(now, self.window_seconds) - 1
        windows = [req.window for req in self._open if req.window is not None]
        return min([newest, *(window - 1 for window in windows)])

    def drop_before(self, window: int) -> None:
        """Drop windows too old for a report.

        Unlike reported ones they may be counted again, in case the clock was
        ahead for a while.
        """
        for old in [w for w in self._counts if w < window]:
            del self._counts[old]
            self.version += 1

    def forget(self, through: int) -> None:
        """Drop the windows up to one whose report was accepted."""
        self._forgotten_through = max(self._forgotten_through, through)
        for window in [w for w in self._counts if w <= through]:
            del self._counts[window]
