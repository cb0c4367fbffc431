"""Log each event as one line of key=value pairs."""

import collections
from collections import abc
import json
import logging
import os
import sys
import time
import typing

# Rate limit of the log lines of one process and its burst size. A gateway
# wrote at most 40 lines a second in the heaviest run so far.
LINES_PER_SECOND: typing.Final = 200.0
LINES_BURST: typing.Final = 1000.0
# Writes of up to this size to a pipe are atomic.
_MAX_LINE_BYTES: typing.Final = 4096

# Number of events by name since the start, including those whose lines were
# dropped.
EVENTS: typing.Final[collections.Counter[str]] = collections.Counter()

_UNQUOTED_CHARS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+,"
)


def format_value(value: object) -> str:
    """Return a value as text, quoted as JSON unless it is a plain word."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and _UNQUOTED_CHARS.issuperset(text):
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
    """Write lines to a file descriptor without blocking.

    Lines above the rate limit, and those that a full pipe rejects, are
    dropped and counted; the next written line contains the count.
    """

    def __init__(
        self, fd: int, clock: abc.Callable[[], float] = time.monotonic
    ) -> None:
        """Make the descriptor non-blocking."""
        super().__init__()
        os.set_blocking(fd, False)
        self.dropped_lines = 0
        self._fd = fd
        self._clock = clock
        self._tokens = LINES_BURST
        self._refilled_at = clock()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop and count it."""
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(LINES_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.dropped_lines += 1
            return
        self._tokens -= 1.0
        line = self.format(record)
        if self.dropped_lines:
            line = f"{line} lines_left_out={self.dropped_lines}"
        self._write(line)

    def _write(self, line: str) -> None:
        data = line.encode(errors="replace")[: _MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._fd, data)
        except OSError:
            # The reader is slow or closed, and there is no other place to log
            # the error.
            self.dropped_lines += 1
        else:
            self.dropped_lines = 0


def configure(
    level: str,
    instance: str,
    zone: str,
    handler: logging.Handler | None = None,
) -> None:
    """Log lines with time, level, instance and zone to a handler.

    The default handler writes to standard error.
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
    # The request lines of these libraries duplicate the events logged here.
    for name in ("httpx", "httpcore", "hypercorn.access"):
        logging.getLogger(name).setLevel(logging.WARNING)
