"""Test that logging never blocks a process and is rate-limited."""

import logging
import os
import select
import time

from hibiscussaddle import logs


def _record(text: str) -> logging.LogRecord:
    return logging.LogRecord("n", logging.INFO, "", 0, text, (), None)


def test_full_pipe_does_not_block_logging() -> None:
    """Fails when a full pipe blocks the process that logs."""
    reader, writer = os.pipe()
    now = 0.0
    handler = logs.BoundedHandler(writer, lambda: now)
    started = time.monotonic()
    for _ in range(500):
        now += 1.0
        handler.emit(_record("x" * 2000))
    assert time.monotonic() - started < 5
    assert handler.dropped_lines > 0
    dropped_lines = handler.dropped_lines
    os.read(reader, 1 << 20)
    handler.emit(_record("event=next"))
    assert (
        f"lines_left_out={dropped_lines}" in os.read(reader, 1 << 20).decode()
    )
    assert handler.dropped_lines == 0
    os.close(reader)
    os.close(writer)


def test_line_rate_is_limited() -> None:
    """Fails when a burst of events writes more lines than the limit."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    now = 0.0
    handler = logs.BoundedHandler(writer, lambda: now)
    lines = 0
    for _ in range(3000):
        now += 0.001
        handler.emit(_record("event=x"))
        lines += (
            os.read(reader, 1 << 20).count(b"\n") if _readable(reader) else 0
        )
    assert lines <= logs.LINES_BURST + 3.0 * logs.LINES_PER_SECOND + 1
    os.close(reader)
    os.close(writer)


def _readable(fd: int) -> bool:
    return bool(select.select([fd], [], [], 0)[0])


def test_events_below_the_log_level_are_counted() -> None:
    """Fails when the metric misses events below the log level."""
    before = logs.EVENTS["silent_event"]
    logger = logging.getLogger("hibiscussaddle.silent")
    logger.setLevel(logging.ERROR)
    logs.event(logger, "silent_event", logging.DEBUG)
    assert logs.EVENTS["silent_event"] == before + 1
