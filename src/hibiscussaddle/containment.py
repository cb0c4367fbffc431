"""Keep an unexpected error from ending more than the input that caused it."""

from collections import abc
import contextlib
import logging

from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)


@contextlib.contextmanager
def contain(kind: str, key: str) -> abc.Iterator[None]:
    """Log an error of the body in place of raising it.

    Use it around the handling of one input from outside: an entry, an item, a
    response or a message. Errors of the process's own loops must end it.
    """
    try:
        yield
    # Decoders raise ValueError, which their callers handle with a reason.
    except Exception as exc:
        logs.event(
            _LOG,
            "input_failed",
            logging.ERROR,
            kind=kind,
            key=key,
            why=repr(exc),
        )
        _LOG.debug("the input failed", exc_info=exc)
