"""Log one line of key=value pairs for each event."""

import collections
from collections import abc
import json
import logging
import os
import sys
import time
import typing

# Lines a second that one process writes, and lines that may follow a quiet
# time at once. A gateway on its busiest day so far writes 40 a second.
LINES_PER_SECOND: typing.Final = 200.0
LINES_BURST: typing.Final = 1000.0
# A pipe takes a line of this size whole or not at all, in bytes.
_MAX_LINE_BYTES: typing.Final = 4096

# Events by name since the start, also those whose lines were left out.
EVENTS: typing.Final[collections.Counter[str]] = collections.Counter()

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+,"
)


def format_value(value: object) -> str:
    """Return the value bare when it is plain, else quoted as JSON."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)


def event(
    logger: logging.Logger,
    name: str,
    /,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Count an event and write its line."""
    EVENTS[name] += 1
    if not logger.isEnabledFor(level):
        return
    pairs = " ".join(f"{k}={format_value(v)}" for k, v in fields.items())
    logger.log(level, "event=%s %s", name, pairs)


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor without ever waiting for it.

    Lines above the rate, and those that a slow reader leaves no room for,
    are counted; the next line that is written says how many there were.
    """

    def __init__(
        self, fd: int, clock: abc.Callable[[], float] = time.monotonic
    ) -> None:
        """Make the descriptor non-blocking."""
        super().__init__()
        os.set_blocking(fd, False)
        self.left_out = 0
        self._fd = fd
        self._clock = clock
        self._room = LINES_BURST
        self._at = clock()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line or count it."""
        now = self._clock()
        refill = (now - self._at) * LINES_PER_SECOND
        self._room = min(LINES_BURST, self._room + refill)
        self._at = now
        if self._room < 1.0:
            self.left_out += 1
            return
        self._room -= 1.0
        line = self.format(record)
        if self.left_out:
            line = f"{line} lines_left_out={self.left_out}"
        self._write(line)

    def _write(self, line: str) -> None:
        data = line.encode(errors="replace")[: _MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._fd, data)
        except OSError:
            # The reader is slow or gone; logging is where this would go.
            self.left_out += 1
        else:
            self.left_out = 0


def configure(
    level: str,
    instance: str,
    zone: str,
    handler: logging.Handler | None = None,
) -> None:
    """Send log lines to a handler with time, level and place.

    Without a handler they go to standard error.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logging.Formatter(
            "time=%(asctime)s.%(msecs)03d level=%(levelname)s "
            f"instance={format_value(instance)} zone={format_value(zone)} "
            "%(message)s",
            datefmt="%Y-%m-%dT%H:%M:%S",
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Request lines of the client library repeat the events of ours.
    for name in ("httpx", "httpcore", "hypercorn.access"):
        logging.getLogger(name).setLevel(logging.WARNING)
