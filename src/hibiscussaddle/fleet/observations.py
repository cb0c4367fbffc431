"""Keep what an instance observed of each endpoint incarnation."""

import collections
from collections import abc
import typing

from hibiscussaddle import endpoints

# Endpoints that are remembered; four times the servers of the target size,
# since each restart brings a new id.
_MAX_ENDPOINTS: typing.Final = 4096

_T = typing.TypeVar("_T")


class Observations(typing.Generic[_T]):
    """Map endpoints to observations; a restart starts them anew."""

    def __init__(self, create: abc.Callable[[], _T]) -> None:
        """Start without observations."""
        self._create = create
        self._found: collections.OrderedDict[str, tuple[int, _T]]
        self._found = collections.OrderedDict()

    def of(self, endpoint: endpoints.Endpoint) -> _T:
        """Return the observations of an endpoint's incarnation."""
        entry = self._found.get(endpoint.id)
        if entry is not None and entry[0] == endpoint.incarnation:
            return entry[1]
        found = self._create()
        self._found[endpoint.id] = (endpoint.incarnation, found)
        if len(self._found) > _MAX_ENDPOINTS:
            self._found.popitem(last=False)
        return found
