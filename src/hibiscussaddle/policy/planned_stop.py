"""Decide what a stopping instance still accepts, and when it ends requests.

This module only decides: all arguments are durations in seconds.
"""

import typing

# The load balancer sends new connections for up to this time after SIGTERM, so
# that requests until then are accepted whatever their timeout is.
ACCEPT_SECONDS: typing.Final = 3.0
# Time before the process is killed in which the last responses are sent.
RESPONSE_RESERVE_SECONDS: typing.Final = 0.6


def accepts_request(elapsed: float, grace: float, timeout: float) -> bool:
    """Return whether a request that arrives after SIGTERM is accepted.

    A late one is refused, as not run, unless it ends in time at the latest:
    cut off without a response, it may have run.
    """
    if elapsed <= min(ACCEPT_SECONDS, grace / 2):
        return True
    return elapsed + timeout <= grace - RESPONSE_RESERVE_SECONDS


def seconds_until_requests_end(elapsed: float, grace: float) -> float:
    """Return the seconds after which running requests get their response."""
    return max(0.0, grace - RESPONSE_RESERVE_SECONDS - elapsed)
