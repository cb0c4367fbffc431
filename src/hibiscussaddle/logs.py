"""Log one line of key=value pairs for each event."""

import json
import logging
import sys
import typing

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
    """Write one event line."""
    if not logger.isEnabledFor(level):
        return
    pairs = " ".join(f"{k}={format_value(v)}" for k, v in fields.items())
    logger.log(level, "event=%s %s", name, pairs)


def configure(
    level: str,
    instance: str,
    zone: str,
    stream: typing.TextIO | None = None,
) -> None:
    """Send log lines to a stream with time, level and place.

    Without a stream they go to standard error.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
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
