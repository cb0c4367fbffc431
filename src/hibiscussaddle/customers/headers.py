"""Headers of callers that endpoints must not receive."""

from collections import abc

from hibiscussaddle import auth
from hibiscussaddle.platform import endpoint_wire


def is_forwarded(name: str, value: str) -> bool:
    """Return whether an endpoint may receive a caller's header.

    Endpoints trust the header that names the workspace, and a bearer key
    would allow them to act as the caller.
    """
    if name == endpoint_wire.WORKSPACE_HEADER:
        return False
    return name != "authorization" or not auth.bearer_token(value)


def forwarded(
    headers: abc.Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that an endpoint may receive; names are lower."""
    return tuple(
        (name, value) for name, value in headers if is_forwarded(name, value)
    )
